#include "leverwick/fleet_agreement.h"

#include "leverwick/digest.h"

namespace leverwick {

FleetAgreement::FleetAgreement(GranterBox self) : self_(std::move(self)) {
  Digest();
}

void FleetAgreement::SetBoxes(const std::vector<GranterBox>& others) {
  std::map<std::string, Other> before;
  before.swap(others_);
  for (const GranterBox& box : others) {
    Other& other = others_[box.name];
    auto found = before.find(box.name);
    if (found != before.end()) other = found->second;
    other.box = box;
    other.is_listed = true;
  }
  // One that left the list is gone; one that was never on it is new.
  for (auto& [name, other] : before) {
    bool stays = !other.is_listed && ++other.unlisted_reads < kUnlistedReads;
    if (stays) others_.emplace(name, other);
  }
  Digest();
  Judge();
}

void FleetAgreement::Restart() {
  holds_ = false;
  for (auto& entry : others_) {
    entry.second.digest.reset();
    entry.second.asks = 0;
  }
}

bool FleetAgreement::Heard(const GranterBox& box, uint64_t digest) {
  if (box.name == self_.name) return false;
  bool is_new = others_.count(box.name) == 0;
  Other& other = others_[box.name];
  other.box = box;
  other.asks = 0;
  other.digest = digest;
  if (is_new) Digest();
  Judge();
  return is_new;
}

void FleetAgreement::Asked(const std::string& name) {
  auto found = others_.find(name);
  if (found == others_.end()) return;
  ++found->second.asks;
  Judge();
}

void FleetAgreement::Digest() {
  // In the order of the names, whatever the order in which they came.
  std::map<std::string, std::string> boxes;
  for (const auto& [name, other] : others_) {
    boxes[name] = other.box.data_centre;
  }
  boxes[self_.name] = self_.data_centre;
  digest_ = 0;
  for (const auto& [name, data_centre] : boxes) {
    digest_ = StableHash(data_centre, StableHash(name, digest_));
  }
}

void FleetAgreement::Judge() {
  if (holds_) return;
  size_t agree = 0;
  for (const auto& entry : others_) {
    const Other& other = entry.second;
    bool is_silent = other.asks > kSilentAsks;
    bool agrees = other.digest == digest_;
    if (!agrees && !is_silent) return;
    if (agrees) ++agree;
  }
  // With this box itself, of all of them.
  holds_ = agree > 0 && 2 * (agree + 1) >= others_.size() + 1;
}

std::vector<std::string> FleetAgreement::Unsettled() const {
  std::vector<std::string> names;
  if (holds_) return names;
  for (const auto& [name, other] : others_) {
    if (other.digest != digest_) names.push_back(name);
  }
  return names;
}

std::vector<GranterBox> FleetAgreement::others() const {
  std::vector<GranterBox> boxes;
  for (const auto& entry : others_) boxes.push_back(entry.second.box);
  return boxes;
}

}  // namespace leverwick
