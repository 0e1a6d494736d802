#include "leverwick/forward_targets.h"

#include <algorithm>

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

void ForwardTargets::SetPeers(std::vector<ForwardPeer> peers) {
  peers_ = std::move(peers);
  std::sort(peers_.begin(), peers_.end(),
            [](const ForwardPeer& a, const ForwardPeer& b) {
              return a.name < b.name;
            });
}

ForwardTargets::Peers ForwardTargets::EligiblePeers(
    const std::set<std::string>& excluded, TimePoint now) const {
  Peers eligible;
  for (const ForwardPeer& peer : peers_) {
    if (excluded.count(peer.name) > 0) continue;
    auto state = states_.find(peer.name);
    bool is_blocked =
        state != states_.end() && now < state->second.blocked_until;
    if (!is_blocked) eligible.push_back(&peer);
  }
  return eligible;
}

bool ForwardTargets::IsBlocked(const std::string& data_centre,
                               TimePoint now) const {
  auto found = data_centres_.find(data_centre);
  return found != data_centres_.end() && now < found->second.blocked_until;
}

ForwardTargets::Peers ForwardTargets::NearestOf(const Peers& eligible,
                                                TimePoint now) const {
  Peers near;
  Peers far;
  for (const ForwardPeer* peer : eligible) {
    if (IsBlocked(peer->data_centre, now)) continue;
    (peer->data_centre == data_centre_ ? near : far).push_back(peer);
  }
  if (!near.empty()) return near;
  return far.empty() ? eligible : far;
}

bool ForwardTargets::IsAccepting(const State& state, TimePoint now) {
  if (state.in_flight >= kMaxInFlightEach) return false;
  bool is_serving =
      state.in_flight > 0 && now - state.last_start >= kDeclineTime;
  bool has_served =
      state.last_served != TimePoint{} && now - state.last_served < kMemory;
  return is_serving || has_served;
}

ForwardTargets::Peers ForwardTargets::AcceptingOf(const Peers& peers,
                                                  TimePoint now) const {
  bool do_decline =
      last_failure_ != TimePoint{} && now - last_failure_ < kMemory;
  if (!do_decline) return peers;
  Peers accepting;
  for (const ForwardPeer* peer : peers) {
    auto state = states_.find(peer->name);
    bool accepts = state != states_.end() && IsAccepting(state->second, now);
    if (accepts) accepting.push_back(peer);
  }
  return accepting.empty() ? peers : accepting;
}

size_t ForwardTargets::InFlight(const ForwardPeer& peer) const {
  auto state = states_.find(peer.name);
  return state == states_.end() ? 0 : state->second.in_flight;
}

const ForwardPeer* ForwardTargets::Pick(const std::set<std::string>& excluded,
                                        const Draws& draws,
                                        TimePoint now) const {
  Peers peers = AcceptingOf(NearestOf(EligiblePeers(excluded, now), now), now);
  if (peers.empty()) return nullptr;
  const ForwardPeer* first = peers[IndexFor(draws.first, peers.size())];
  const ForwardPeer* second = peers[IndexFor(draws.second, peers.size())];
  return InFlight(*second) < InFlight(*first) ? second : first;
}

std::string ForwardTargets::DataCentreOf(const std::string& peer) const {
  auto found =
      std::lower_bound(peers_.begin(), peers_.end(), peer,
                       [](const ForwardPeer& listed, const std::string& name) {
                         return listed.name < name;
                       });
  bool is_listed = found != peers_.end() && found->name == peer;
  return is_listed ? found->data_centre : "";
}

void ForwardTargets::RecordStart(const std::string& peer, TimePoint now) {
  State& state = states_[peer];
  ++state.in_flight;
  state.last_start = now;
}

void ForwardTargets::RecordEnd(const std::string& peer, ForwardOutcome outcome,
                               TimePoint now) {
  State& state = states_[peer];
  if (state.in_flight > 0) --state.in_flight;
  if (outcome == ForwardOutcome::kAborted) return;
  if (outcome != ForwardOutcome::kServed) return RecordFailure(peer, now);
  state.failures = 0;
  state.blocked_until = TimePoint{};
  state.last_served = now;
  data_centres_.erase(DataCentreOf(peer));
}

void ForwardTargets::RecordFailure(const std::string& peer, TimePoint now) {
  State& state = states_[peer];
  last_failure_ = now;
  state.last_served = TimePoint{};
  // Requests that were in flight together count once.
  if (now >= state.blocked_until) ++state.failures;
  state.blocked_until = now + BlockTime(state.failures);
  DataCentre& data_centre = data_centres_[DataCentreOf(peer)];
  if (now < data_centre.blocked_until) return;
  ++data_centre.failures;
  if (data_centre.failures < kFailuresToBlockDataCentre) return;
  data_centre.blocked_until =
      now + BlockTime(data_centre.failures - kFailuresToBlockDataCentre + 1);
}

void ForwardTargets::Expire(TimePoint now) {
  for (auto entry = states_.begin(); entry != states_.end();) {
    const State& state = entry->second;
    TimePoint last_use = std::max(state.blocked_until, state.last_served);
    bool is_unused = state.in_flight == 0 && now - last_use > kLongestBlock;
    entry = is_unused ? states_.erase(entry) : std::next(entry);
  }
}

}  // namespace leverwick
