#include "leverwick/fleet_agreement.h"

#include <algorithm>
#include <iterator>

#include "leverwick/digest.h"

namespace leverwick {

FleetAgreement::FleetAgreement(BoxLocation self) : self_(std::move(self)) {
  UpdateDigests();
}

void FleetAgreement::SetListedBoxes(const std::vector<BoxLocation>& others) {
  for (auto& entry : peers_) entry.second.is_listed = false;
  for (const BoxLocation& box : others) {
    Peer& peer = peers_[box.name];
    peer.box = box;
    peer.is_listed = true;
    peer.was_listed = true;
    peer.unlisted_reads = 0;
  }
  for (auto entry = peers_.begin(); entry != peers_.end();) {
    Peer& peer = entry->second;
    bool is_gone =
        !peer.is_listed && (++peer.unlisted_reads >= kMaxUnlistedReads ||
                            (IsDelisted(peer) && IsUnresponsive(peer)));
    entry = is_gone ? peers_.erase(entry) : std::next(entry);
  }
  UpdateDigests();
  UpdateAgreement();
}

void FleetAgreement::SetKnownToAllSince(TimePoint from) {
  bool was_dropped =
      known_to_all_since_ != TimePoint::max() && from > known_to_all_since_;
  if (was_dropped) ResetAgreement();
  known_to_all_since_ = from;
}

void FleetAgreement::ResetAgreement() {
  is_agreed_ = false;
  // Unresponsive boxes stay so until they send something.
  for (auto& entry : peers_) entry.second.digest.reset();
}

bool FleetAgreement::RecordPeerDigest(const BoxLocation& box, uint64_t digest) {
  if (box.name == self_.name) return false;
  bool is_new = peers_.count(box.name) == 0;
  Peer& peer = peers_[box.name];
  bool was_unresponsive = IsUnresponsive(peer);
  peer.box = box;
  peer.unanswered_probes = 0;
  peer.digest = digest;
  if (is_new) {
    new_boxes_.push_front(box.name);
    if (new_boxes_.size() > kMaxReportedNewBoxes) new_boxes_.pop_back();
  }
  if (is_new || was_unresponsive) UpdateDigests();
  UpdateAgreement();
  return is_new;
}

bool FleetAgreement::AddReportedBox(const BoxLocation& box) {
  if (box.name == self_.name || peers_.count(box.name) > 0) return false;
  peers_[box.name].box = box;
  UpdateDigests();
  return true;
}

std::vector<BoxLocation> FleetAgreement::new_boxes() const {
  std::vector<BoxLocation> boxes;
  for (const std::string& name : new_boxes_) {
    auto found = peers_.find(name);
    if (found != peers_.end()) boxes.push_back(found->second.box);
  }
  return boxes;
}

void FleetAgreement::RecordProbe(const std::string& name) {
  auto found = peers_.find(name);
  if (found == peers_.end()) return;
  bool was_unresponsive = IsUnresponsive(found->second);
  ++found->second.unanswered_probes;
  bool is_gone = IsDelisted(found->second) && IsUnresponsive(found->second);
  bool became_unresponsive = IsUnresponsive(found->second) != was_unresponsive;
  if (is_gone) peers_.erase(found);
  if (became_unresponsive) UpdateDigests();
  UpdateAgreement();
}

void FleetAgreement::UpdateDigests() {
  digest_ = ComputeDigest(true);
  responsive_digest_ = ComputeDigest(false);
}

uint64_t FleetAgreement::ComputeDigest(bool include_unresponsive) const {
  // In order of names, so that it does not depend on the order of arrival.
  uint64_t digest = 0;
  auto add = [&](const BoxLocation& box) {
    digest = StableHash(box.data_centre, StableHash(box.name, digest));
  };
  bool is_self_added = false;
  for (const auto& [name, peer] : peers_) {
    if (!is_self_added && self_.name < name) {
      add(self_);
      is_self_added = true;
    }
    if (include_unresponsive || !IsUnresponsive(peer)) add(peer.box);
  }
  if (!is_self_added) add(self_);
  return digest;
}

void FleetAgreement::UpdateAgreement() {
  if (is_agreed_) return;
  size_t matching = 0;
  for (const auto& entry : peers_) {
    const Peer& peer = entry.second;
    if (HasMatchingDigest(peer)) {
      ++matching;
    } else if (!IsUnresponsive(peer)) {
      return;
    }
  }
  // At least half of the fleet; both sides count this box.
  is_agreed_ = matching > 0 && 2 * (matching + 1) >= peers_.size() + 1;
}

bool FleetAgreement::NeedsProbes(TimePoint now) const {
  auto is_delisted = [](const auto& entry) { return IsDelisted(entry.second); };
  return now < active_from() ||
         std::any_of(peers_.begin(), peers_.end(), is_delisted);
}

std::vector<std::string> FleetAgreement::BoxesToProbe() const {
  std::vector<std::string> names;
  for (const auto& [name, peer] : peers_) {
    bool blocks_agreement = !is_agreed_ && !HasMatchingDigest(peer);
    if (blocks_agreement || IsDelisted(peer)) names.push_back(name);
  }
  return names;
}

std::vector<BoxLocation> FleetAgreement::others() const {
  std::vector<BoxLocation> boxes;
  for (const auto& entry : peers_) boxes.push_back(entry.second.box);
  return boxes;
}

}  // namespace leverwick
