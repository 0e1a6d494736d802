// Who is in the data centre's roster, and when to propose a change of it.
//
// Boxes send heartbeats to the next few members on a ring, so the cost of one
// box doesn't grow with the data centre. The roster itself changes only by a
// record in the platform's log: Membership merely says what this box would
// append. A joining box proposes itself, a stopping one proposes to go, and a
// is_silent one is proposed for removal by those it should send heartbeats to.
//
// A box that was paused itself must not take its own silence for that of the
// others: Tick starts all timers anew when it is late.

#ifndef LEVERWICK_MEMBERSHIP_H_
#define LEVERWICK_MEMBERSHIP_H_

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "leverwick/time.h"
#include "schema/peer.pb.h"
#include "schema/table.pb.h"

namespace leverwick {

struct MembershipOptions {
  Member self;
  std::string data_centre;
  nanoseconds failure_timeout{0};
  size_t fanout = 4;
};

// Thread-safe.
class Membership {
 public:
  explicit Membership(MembershipOptions options)
      : options_(std::move(options)) {}

  // Must be called often; `roster` is the one in force.
  void Tick(const Roster& roster, TimePoint now);

  // A heartbeat, or an answer to one, came from a peer.
  void RecordHeartbeat(const Member& from, uint64_t next_offset, bool leaving,
                       TimePoint now);

  // A heartbeat passed on what a member has applied.
  void RecordAppliedOffset(uint32_t incarnation_hash, uint64_t next_offset);

  // The addresses of live boxes of this data centre in the platform's list.
  // Kept to tell a box that is gone from one that is is_silent.
  void RecordListedBoxes(const std::vector<std::string>& incarnations,
                         TimePoint now);

  // Whether the list, read since, has not held the incarnation for
  // failure_timeout.
  bool IsGone(const std::string& incarnation, TimePoint now) const;

  // The members that get this box's heartbeats and copies, also while it is
  // not a member itself.
  std::vector<Member> HeartbeatTargets() const;

  // The change this box would append now; none when the roster is right.
  std::optional<RosterChange> ProposeChange(bool stopping, TimePoint now);

  // Whether every member is known to have applied the roster's record.
  bool HaveAllMembersApplied() const;

  // What to pass on of the members' offsets.
  std::vector<MemberSeen> applied_offsets() const;

 private:
  struct Peer {
    Member member;
    TimePoint last_heartbeat{};
    bool leaving = false;
  };

  bool IsSilent(const Member& member, TimePoint now) const;
  bool IsReadmissionDelayed(const std::string& incarnation,
                            TimePoint now) const;
  void RecordRemovals(const Roster& next, TimePoint now);
  bool AddNewMembers(RosterChange* change, TimePoint now) const;
  bool SendsHeartbeatsToSelf(const Member& member) const;
  std::vector<Member> Successors(const Member& member) const;

  const MembershipOptions options_;
  mutable std::mutex mutex_;
  Roster roster_;
  std::map<std::string, Peer> peers_;  // by incarnation
  std::set<std::string> monitored_;    // members that send to this box
  std::map<uint32_t, uint64_t> applied_offsets_;  // by hash of incarnation
  std::map<std::string, TimePoint> last_listed_;  // last time in the list
  TimePoint last_list_read_{};
  TimePoint last_tick_{};
  std::map<std::string, TimePoint>
      removed_at_;  // incarnations that left the roster
};

// The hash under which MemberSeen names a incarnation.
uint32_t IncarnationHash(const std::string& incarnation);

}  // namespace leverwick

#endif  // LEVERWICK_MEMBERSHIP_H_
