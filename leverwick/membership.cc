// The ring is the roster sorted by the hash of the lives; a member's targets
// are its next `fanout` successors. Only the targets of a member judge it, for
// only they should hear from it. A box that is not yet in the roster, or no
// longer, has the targets that it would have as a member.

#include "leverwick/membership.h"

#include <algorithm>
#include <iterator>

#include "leverwick/digest.h"

namespace leverwick {
namespace {

bool Holds(const Roster& roster, const std::string& life) {
  for (const Member& member : roster.members()) {
    if (member.life() == life) return true;
  }
  return false;
}

bool HoldsAddress(const RosterChange& change, const std::string& address) {
  for (const Member& member : change.members()) {
    if (member.address() == address) return true;
  }
  return false;
}

}  // namespace

uint32_t LifeHash(const std::string& life) {
  return static_cast<uint32_t>(StableHash(life));
}

void Membership::Tick(const Roster& roster, TimePoint now) {
  std::lock_guard<std::mutex> lock(mutex_);
  bool paused = now - last_tick_ > options_.dead_after / 2;
  last_tick_ = now;
  if (paused) {
    // Members may have been heard of meanwhile; who else is there is not known.
    for (auto entry = peers_.begin(); entry != peers_.end();) {
      bool member = Holds(roster_, entry->first);
      if (member) entry->second.heard = now;
      entry = member ? std::next(entry) : peers_.erase(entry);
    }
  }
  if (roster.epoch() == roster_.epoch()) return;
  NoteRemoved(roster, now);
  roster_ = roster;
  // One that is seen for the first time, or sends to this box since this
  // roster, has the full time to be heard.
  std::set<std::string> judged_before;
  judged_before.swap(judged_);
  for (const Member& member : roster_.members()) {
    Peer& peer =
        peers_.emplace(member.life(), Peer{member, now, false}).first->second;
    if (!SendsToUs(member)) continue;
    judged_.insert(member.life());
    if (judged_before.count(member.life()) == 0) peer.heard = now;
  }
}

void Membership::NoteRemoved(const Roster& next, TimePoint now) {
  for (auto entry = removed_.begin(); entry != removed_.end();) {
    bool over = now - entry->second >= options_.dead_after;
    entry = over ? removed_.erase(entry) : std::next(entry);
  }
  for (const Member& member : roster_.members()) {
    if (!Holds(next, member.life())) removed_[member.life()] = now;
  }
}

// A box that was removed waits, lest the roster change back and forth.
bool Membership::IsDamped(const std::string& life, TimePoint now) const {
  auto found = removed_.find(life);
  return found != removed_.end() && now - found->second < options_.dead_after;
}

void Membership::Heard(const Member& from, uint64_t next_offset, bool leaving,
                       TimePoint now) {
  std::lock_guard<std::mutex> lock(mutex_);
  Peer& peer = peers_[from.life()];
  peer.member = from;
  peer.heard = now;
  peer.leaving = leaving;
  uint64_t& offset = offsets_[LifeHash(from.life())];
  offset = std::max(offset, next_offset);
}

void Membership::HeardOf(uint32_t life_hash, uint64_t next_offset) {
  std::lock_guard<std::mutex> lock(mutex_);
  uint64_t& offset = offsets_[life_hash];
  offset = std::max(offset, next_offset);
}

void Membership::Listed(const std::vector<std::string>& lives, TimePoint now) {
  std::lock_guard<std::mutex> lock(mutex_);
  list_read_ = now;
  for (const std::string& life : lives) listed_[life] = now;
}

bool Membership::IsGone(const std::string& life, TimePoint now) const {
  std::lock_guard<std::mutex> lock(mutex_);
  if (now - list_read_ > options_.dead_after) return false;
  auto found = listed_.find(life);
  // A life this box never saw listed is gone if it is not heard of either.
  TimePoint last = found == listed_.end() ? TimePoint{} : found->second;
  auto peer = peers_.find(life);
  if (peer != peers_.end()) last = std::max(last, peer->second.heard);
  return now - last > options_.dead_after;
}

std::vector<Member> Membership::SuccessorsOf(const Member& member) const {
  std::vector<Member> ring(roster_.members().begin(), roster_.members().end());
  if (!Holds(roster_, member.life())) ring.push_back(member);
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

std::vector<Member> Membership::Targets() const {
  std::lock_guard<std::mutex> lock(mutex_);
  return SuccessorsOf(options_.self);
}

bool Membership::SendsToUs(const Member& member) const {
  for (const Member& target : SuccessorsOf(member)) {
    if (target.life() == options_.self.life()) return true;
  }
  return false;
}

bool Membership::IsSilent(const Member& member, TimePoint now) const {
  auto found = peers_.find(member.life());
  if (found == peers_.end()) return false;
  return now - found->second.heard > options_.dead_after;
}

// So many boxes that start at once need one record, not one each. A life at an
// address that is taken is left to itself: it may be the older of the two.
bool Membership::AddNewcomers(RosterChange* change, TimePoint now) const {
  bool added = false;
  for (const auto& entry : peers_) {
    const Peer& peer = entry.second;
    bool known = Holds(roster_, entry.first) ||
                 entry.first == options_.self.life() ||
                 HoldsAddress(*change, peer.member.address());
    bool fit = !peer.leaving && now - peer.heard <= options_.dead_after / 2 &&
               !IsDamped(entry.first, now);
    if (known || !fit || peer.member.address().empty()) continue;
    *change->add_members() = peer.member;
    added = true;
  }
  return added;
}

std::optional<RosterChange> Membership::Propose(bool stopping, TimePoint now) {
  std::lock_guard<std::mutex> lock(mutex_);
  const std::string& self = options_.self.life();
  bool is_member = Holds(roster_, self);
  RosterChange change;
  change.set_data_centre(options_.data_centre);
  change.set_base_epoch(roster_.epoch());
  bool changed = false;
  for (const Member& member : roster_.members()) {
    bool is_self = member.life() == self;
    // A new life at our address proves that the old one is over.
    bool replaced = !is_self && member.address() == options_.self.address();
    bool judged = is_member ? SendsToUs(member) : roster_.members_size() == 1;
    bool silent = !is_self && judged && IsSilent(member, now);
    if (replaced || silent || (is_self && stopping)) {
      changed = true;
      continue;
    }
    *change.add_members() = member;
  }
  if (!is_member && !stopping && !IsDamped(self, now)) {
    *change.add_members() = options_.self;
    changed = true;
  }
  if (!stopping && AddNewcomers(&change, now)) changed = true;
  if (!changed) return std::nullopt;
  return change;
}

bool Membership::Settled() const {
  std::lock_guard<std::mutex> lock(mutex_);
  for (const Member& member : roster_.members()) {
    if (member.life() == options_.self.life()) continue;
    auto found = offsets_.find(LifeHash(member.life()));
    if (found == offsets_.end() || found->second < roster_.epoch()) {
      return false;
    }
  }
  return true;
}

std::vector<MemberSeen> Membership::seen() const {
  std::lock_guard<std::mutex> lock(mutex_);
  std::vector<MemberSeen> all;
  for (const Member& member : roster_.members()) {
    auto found = offsets_.find(LifeHash(member.life()));
    if (found == offsets_.end()) continue;
    all.emplace_back();
    all.back().set_life_hash(found->first);
    all.back().set_next_offset(found->second);
  }
  return all;
}

}  // namespace leverwick
