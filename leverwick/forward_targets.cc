#include "leverwick/forward_targets.h"

#include <algorithm>
#include <iterator>

namespace leverwick {
namespace {

constexpr milliseconds kFirstBlock{500};
constexpr milliseconds kLongestBlock{8000};
constexpr size_t kMaxDoublings = 4;
// Failures in a row, of any of its boxes, after which a data centre is left
// out.
constexpr size_t kFailuresToBlockDataCentre = 3;

// For how long a box that has accepted or declined is expected to do so again.
constexpr milliseconds kMemory{5000};
// A box that has not declined within this time has accepted.
constexpr milliseconds kDeclineTime{100};
// Boxes that are known to accept get this many requests each before others are
// asked.
constexpr size_t kMaxInFlightEach = 4;

milliseconds BlockTime(size_t failures) {
  size_t doublings = std::min(failures - 1, kMaxDoublings);
  return std::min(kFirstBlock * (1 << doublings), kLongestBlock);
}

size_t IndexFor(double draw, size_t count) {
  auto index = static_cast<size_t>(draw * static_cast<double>(count));
  return std::min(index, count - 1);
}

}  // namespace

const char* NameOf(ForwardOutcome outcome) {
  static const char* const kNames[] = {"served", "declined", "failed",
                                       "aborted"};
  return kNames[static_cast<int>(outcome)];
}

size_t ForwardTargets::DataCentreIndex(const std::string& name) {
  auto [found, is_new] =
      data_centre_indexes_.emplace(name, data_centres_.size());
  if (is_new) data_centres_.emplace_back();
  return found->second;
}

void ForwardTargets::SetPeers(std::vector<ForwardPeer> peers) {
  std::vector<Peer> earlier;
  earlier.swap(peers_);
  peers_.reserve(peers.size());
  for (ForwardPeer& listed : peers) {
    Peer peer;
    peer.data_centre = DataCentreIndex(listed.data_centre);
    peer.listed = std::move(listed);
    peers_.push_back(std::move(peer));
  }
  std::sort(peers_.begin(), peers_.end(), [](const Peer& a, const Peer& b) {
    return a.listed.name < b.listed.name;
  });
  for (Peer& before : earlier) {
    Peer* peer = Find(before.listed.name);
    if (peer == nullptr) continue;
    before.listed = std::move(peer->listed);
    before.data_centre = peer->data_centre;
    *peer = std::move(before);
  }
}

ForwardTargets::Peer* ForwardTargets::Find(const std::string& name) {
  auto found = std::lower_bound(peers_.begin(), peers_.end(), name,
                                [](const Peer& peer, const std::string& key) {
                                  return peer.listed.name < key;
                                });
  bool is_listed = found != peers_.end() && found->listed.name == name;
  return is_listed ? &*found : nullptr;
}

ForwardTargets::Peers ForwardTargets::NearestEligible(
    const std::set<std::string>& excluded, TimePoint now) const {
  Peers near;
  Peers far;
  Peers last;
  for (const Peer& peer : peers_) {
    if (now < peer.blocked_until) continue;
    if (!excluded.empty() && excluded.count(peer.listed.name) > 0) continue;
    bool is_last = now < data_centres_[peer.data_centre].blocked_until;
    bool is_near = peer.listed.data_centre == data_centre_;
    Peers& group = is_last ? last : is_near ? near : far;
    group.push_back(&peer);
  }
  if (!near.empty()) return near;
  return far.empty() ? last : far;
}

bool ForwardTargets::IsAccepting(const Peer& peer, TimePoint now) {
  if (peer.in_flight >= kMaxInFlightEach) return false;
  bool is_serving = peer.in_flight > 0 && now - peer.last_start >= kDeclineTime;
  bool has_served =
      peer.last_served != TimePoint{} && now - peer.last_served < kMemory;
  return is_serving || has_served;
}

ForwardTargets::Peers ForwardTargets::AcceptingOf(Peers peers,
                                                  TimePoint now) const {
  bool do_decline =
      last_failure_ != TimePoint{} && now - last_failure_ < kMemory;
  if (!do_decline) return peers;
  Peers accepting;
  std::copy_if(peers.begin(), peers.end(), std::back_inserter(accepting),
               [now](const Peer* peer) { return IsAccepting(*peer, now); });
  return accepting.empty() ? peers : accepting;
}

const ForwardPeer* ForwardTargets::Pick(const std::set<std::string>& excluded,
                                        const Draws& draws,
                                        TimePoint now) const {
  Peers peers = AcceptingOf(NearestEligible(excluded, now), now);
  if (peers.empty()) return nullptr;
  const Peer* first = peers[IndexFor(draws.first, peers.size())];
  const Peer* second = peers[IndexFor(draws.second, peers.size())];
  return second->in_flight < first->in_flight ? &second->listed
                                              : &first->listed;
}

void ForwardTargets::RecordStart(const std::string& name, TimePoint now) {
  Peer* peer = Find(name);
  if (peer == nullptr) return;
  ++peer->in_flight;
  peer->last_start = now;
}

void ForwardTargets::RecordEnd(const std::string& name, ForwardOutcome outcome,
                               TimePoint now) {
  Peer* peer = Find(name);
  if (peer == nullptr) return;
  if (peer->in_flight > 0) --peer->in_flight;
  if (outcome == ForwardOutcome::kAborted) return;
  if (outcome != ForwardOutcome::kServed) return RecordFailure(peer, now);
  peer->failures = 0;
  peer->blocked_until = TimePoint{};
  peer->last_served = now;
  data_centres_[peer->data_centre] = DataCentre();
}

void ForwardTargets::RecordFailure(Peer* peer, TimePoint now) {
  last_failure_ = now;
  peer->last_served = TimePoint{};
  // Requests that were in flight together count once.
  if (now >= peer->blocked_until) ++peer->failures;
  peer->blocked_until = now + BlockTime(peer->failures);
  DataCentre& data_centre = data_centres_[peer->data_centre];
  if (now < data_centre.blocked_until) return;
  ++data_centre.failures;
  if (data_centre.failures < kFailuresToBlockDataCentre) return;
  data_centre.blocked_until =
      now + BlockTime(data_centre.failures - kFailuresToBlockDataCentre + 1);
}

}  // namespace leverwick
