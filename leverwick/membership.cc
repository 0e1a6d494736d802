// The ring is the roster sorted by the hash of the incarnations. The heartbeat
// targets of a member are its next `fanout` successors, and only they may
// propose its removal, since only they expect heartbeats from it. A box outside
// the roster has the targets that it would have as a member.

#include "leverwick/membership.h"

#include <algorithm>
#include <iterator>

#include "leverwick/digest.h"

namespace leverwick {
namespace {

bool Contains(const Roster& roster, const std::string& incarnation) {
  for (const Member& member : roster.members()) {
    if (member.life() == incarnation) return true;
  }
  return false;
}

bool ContainsAddress(const RosterChange& change, const std::string& address) {
  for (const Member& member : change.members()) {
    if (member.address() == address) return true;
  }
  return false;
}

}  // namespace

uint32_t IncarnationHash(const std::string& incarnation) {
  return static_cast<uint32_t>(StableHash(incarnation));
}

void Membership::Tick(const Roster& roster, TimePoint now) {
  std::lock_guard<std::mutex> lock(mutex_);
  bool paused = now - last_tick_ > options_.failure_timeout / 2;
  last_tick_ = now;
  if (paused) {
    // Heartbeats of members may have been missed during the pause, so their
    // timers restart. Non-members are dropped: whether they still run is
    // unknown.
    for (auto entry = peers_.begin(); entry != peers_.end();) {
      bool member = Contains(roster_, entry->first);
      if (member) entry->second.last_heartbeat = now;
      entry = member ? std::next(entry) : peers_.erase(entry);
    }
  }
  if (roster.epoch() == roster_.epoch()) return;
  RecordRemovals(roster, now);
  roster_ = roster;
  // A member that is new, or sends heartbeats to this box only since this
  // roster, gets the full timeout for its first heartbeat.
  std::set<std::string> previously_monitored;
  previously_monitored.swap(monitored_);
  for (const Member& member : roster_.members()) {
    Peer& peer =
        peers_.emplace(member.life(), Peer{member, now, false}).first->second;
    if (!SendsHeartbeatsToSelf(member)) continue;
    monitored_.insert(member.life());
    if (previously_monitored.count(member.life()) == 0)
      peer.last_heartbeat = now;
  }
}

void Membership::RecordRemovals(const Roster& next, TimePoint now) {
  for (auto entry = removed_at_.begin(); entry != removed_at_.end();) {
    bool over = now - entry->second >= options_.failure_timeout;
    entry = over ? removed_at_.erase(entry) : std::next(entry);
  }
  for (const Member& member : roster_.members()) {
    if (!Contains(next, member.life())) removed_at_[member.life()] = now;
  }
}

// Delays the return of a removed box, so that the roster does not flap.
bool Membership::IsReadmissionDelayed(const std::string& incarnation,
                                      TimePoint now) const {
  auto found = removed_at_.find(incarnation);
  return found != removed_at_.end() &&
         now - found->second < options_.failure_timeout;
}

void Membership::RecordHeartbeat(const Member& from, uint64_t next_offset,
                                 bool leaving, TimePoint now) {
  std::lock_guard<std::mutex> lock(mutex_);
  Peer& peer = peers_[from.life()];
  peer.member = from;
  peer.last_heartbeat = now;
  peer.leaving = leaving;
  uint64_t& offset = applied_offsets_[IncarnationHash(from.life())];
  offset = std::max(offset, next_offset);
}

void Membership::RecordAppliedOffset(uint32_t incarnation_hash,
                                     uint64_t next_offset) {
  std::lock_guard<std::mutex> lock(mutex_);
  uint64_t& offset = applied_offsets_[incarnation_hash];
  offset = std::max(offset, next_offset);
}

void Membership::RecordListedBoxes(const std::vector<std::string>& incarnations,
                                   TimePoint now) {
  std::lock_guard<std::mutex> lock(mutex_);
  last_list_read_ = now;
  for (const std::string& incarnation : incarnations)
    last_listed_[incarnation] = now;
}

bool Membership::IsGone(const std::string& incarnation, TimePoint now) const {
  std::lock_guard<std::mutex> lock(mutex_);
  if (now - last_list_read_ > options_.failure_timeout) return false;
  auto found = last_listed_.find(incarnation);
  // An incarnation that was never listed is gone if no heartbeat came from it
  // either.
  TimePoint last = found == last_listed_.end() ? TimePoint{} : found->second;
  auto peer = peers_.find(incarnation);
  if (peer != peers_.end()) last = std::max(last, peer->second.last_heartbeat);
  return now - last > options_.failure_timeout;
}

std::vector<Member> Membership::Successors(const Member& member) const {
  std::vector<Member> ring(roster_.members().begin(), roster_.members().end());
  if (!Contains(roster_, member.life())) ring.push_back(member);
  std::sort(ring.begin(), ring.end(), [](const Member& a, const Member& b) {
    return StableHash(a.life()) < StableHash(b.life());
  });
  auto self = std::find_if(
      ring.begin(), ring.end(),
      [&member](const Member& m) { return m.life() == member.life(); });
  std::rotate(ring.begin(), self + 1, ring.end());
  ring.pop_back();
  if (ring.size() > options_.fanout) ring.resize(options_.fanout);
  return ring;
}

std::vector<Member> Membership::HeartbeatTargets() const {
  std::lock_guard<std::mutex> lock(mutex_);
  return Successors(options_.self);
}

bool Membership::SendsHeartbeatsToSelf(const Member& member) const {
  for (const Member& target : Successors(member)) {
    if (target.life() == options_.self.life()) return true;
  }
  return false;
}

bool Membership::IsSilent(const Member& member, TimePoint now) const {
  auto found = peers_.find(member.life());
  if (found == peers_.end()) return false;
  return now - found->second.last_heartbeat > options_.failure_timeout;
}

// Adds all boxes that send heartbeats in one change, so that many boxes that
// start together need one record instead of one each. An incarnation at an
// address that is already in the roster is not added: it may be the older of
// the two.
bool Membership::AddNewMembers(RosterChange* change, TimePoint now) const {
  bool added = false;
  for (const auto& entry : peers_) {
    const Peer& peer = entry.second;
    bool already_present = Contains(roster_, entry.first) ||
                           entry.first == options_.self.life() ||
                           ContainsAddress(*change, peer.member.address());
    bool is_eligible =
        !peer.leaving &&
        now - peer.last_heartbeat <= options_.failure_timeout / 2 &&
        !IsReadmissionDelayed(entry.first, now);
    if (already_present || !is_eligible || peer.member.address().empty())
      continue;
    *change->add_members() = peer.member;
    added = true;
  }
  return added;
}

std::optional<RosterChange> Membership::ProposeChange(bool stopping,
                                                      TimePoint now) {
  std::lock_guard<std::mutex> lock(mutex_);
  const std::string& self = options_.self.life();
  bool is_member = Contains(roster_, self);
  RosterChange change;
  change.set_data_centre(options_.data_centre);
  change.set_base_epoch(roster_.epoch());
  bool changed = false;
  for (const Member& member : roster_.members()) {
    bool is_self = member.life() == self;
    // A new incarnation at the address of this box proves that the old one has
    // ended.
    bool is_replaced = !is_self && member.address() == options_.self.address();
    bool is_monitored =
        is_member ? SendsHeartbeatsToSelf(member) : roster_.members_size() == 1;
    bool is_silent = !is_self && is_monitored && IsSilent(member, now);
    if (is_replaced || is_silent || (is_self && stopping)) {
      changed = true;
      continue;
    }
    *change.add_members() = member;
  }
  if (!is_member && !stopping && !IsReadmissionDelayed(self, now)) {
    *change.add_members() = options_.self;
    changed = true;
  }
  if (!stopping && AddNewMembers(&change, now)) changed = true;
  if (!changed) return std::nullopt;
  return change;
}

bool Membership::HaveAllMembersApplied() const {
  std::lock_guard<std::mutex> lock(mutex_);
  for (const Member& member : roster_.members()) {
    if (member.life() == options_.self.life()) continue;
    auto found = applied_offsets_.find(IncarnationHash(member.life()));
    if (found == applied_offsets_.end() || found->second < roster_.epoch()) {
      return false;
    }
  }
  return true;
}

std::vector<MemberSeen> Membership::applied_offsets() const {
  std::lock_guard<std::mutex> lock(mutex_);
  std::vector<MemberSeen> all;
  for (const Member& member : roster_.members()) {
    auto found = applied_offsets_.find(IncarnationHash(member.life()));
    if (found == applied_offsets_.end()) continue;
    all.emplace_back();
    all.back().set_life_hash(found->first);
    all.back().set_next_offset(found->second);
  }
  return all;
}

}  // namespace leverwick
