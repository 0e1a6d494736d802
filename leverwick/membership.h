// Membership of the data centre's roster and detection of failed members.
//
// Boxes send heartbeats to their next few successors on a ring, so the cost per
// box does not grow with the data centre. The roster changes only by a record
// in the platform's log; Membership merely computes the change that this box
// would append. A joining box proposes to add itself, a stopping box proposes
// to remove itself, and a silent member is proposed for removal by the members
// that it should send heartbeats to.
//
// A box that was paused must not mistake its own pause for silence of the
// others: Tick restarts all heartbeat timers when it is called late.

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

// Failure detector of one box and its proposals for roster changes.
// Thread-safe.
class Membership {
 public:
  explicit Membership(MembershipOptions options)
      : options_(std::move(options)) {}

  // Applies the current roster. Must be called several times per
  // failure_timeout; a gap of more than half of it counts as a pause of this
  // box.
  void Tick(const Roster& roster, TimePoint now);

  // Records a heartbeat, or the reply to one, from a peer.
  void RecordHeartbeat(const Member& from, uint64_t next_offset, bool leaving,
                       TimePoint now);

  // Records the log offset that a member has applied, as forwarded in a
  // heartbeat of another member.
  void RecordAppliedOffset(uint32_t incarnation_hash, uint64_t next_offset);

  // Records the incarnations of this data centre that the platform lists as
  // live. Used to distinguish a box that is gone from one that is silent.
  void RecordListedBoxes(const std::vector<std::string>& incarnations,
                         TimePoint now);

  // Returns true if the list is current and neither the list nor a heartbeat
  // has shown the incarnation for failure_timeout.
  bool IsGone(const std::string& incarnation, TimePoint now) const;

  // Returns the members that receive the heartbeats and replication streams of
  // this box, also while it is not a member itself.
  std::vector<Member> HeartbeatTargets() const;

  // Returns the change that this box would append now, or nullopt if the roster
  // needs none.
  std::optional<RosterChange> ProposeChange(bool stopping, TimePoint now);

  // Returns true if every other member is known to have applied the record of
  // the current roster.
  bool HaveAllMembersApplied() const;

  // Returns the known log offsets of the members, to be forwarded in
  // heartbeats.
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
  std::set<std::string> monitored_;    // members that send heartbeats to self
  std::map<uint32_t, uint64_t> applied_offsets_;  // by hash of incarnation
  std::map<std::string, TimePoint> last_listed_;  // last time in the list
  TimePoint last_list_read_{};
  TimePoint last_tick_{};
  std::map<std::string, TimePoint> removed_at_;  // by incarnation
};

// Returns the hash that identifies an incarnation in MemberSeen.
uint32_t IncarnationHash(const std::string& incarnation);

}  // namespace leverwick

#endif  // LEVERWICK_MEMBERSHIP_H_
