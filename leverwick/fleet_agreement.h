// Determines when the boxes of a fleet agree on its members, so that a new box
// may take on duties that only one box at a time may have, such as granting
// permits.
//
// A box that is new in the box list sends each listed box a probe with its own
// name and a digest of the boxes that it is aware of. The receiver adds the
// sender and replies with its own digest. Once the digests of all responsive
// boxes match, no box acts on a list without the new box any more.
//
// Lists may be out of date. A reply to a differing digest names the boxes that
// the replying box added most recently. An unresponsive box may or may not be
// aware of the new one. It is ignored if at least half of the fleet has
// replied: it has stopped or is partitioned off. A box without any reply can't
// tell whether it is partitioned off itself, and never reaches agreement.
//
//   FleetAgreement agreement({"box-1", "dc1"});
//   agreement.SetListedBoxes(others);
//   agreement.SetKnownToAllSince(from);
//   for (const std::string& name : agreement.BoxesToProbe()) {
//     ... send it a probe
//     agreement.RecordProbe(name);
//   }
//   agreement.RecordPeerDigest(box, digest);  // from a probe or a reply
//   if (now >= agreement.active_from()) ...

#ifndef LEVERWICK_FLEET_AGREEMENT_H_
#define LEVERWICK_FLEET_AGREEMENT_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "leverwick/send_permits.h"
#include "leverwick/time.h"

namespace leverwick {

// Not thread-safe.
class FleetAgreement {
 public:
  // A box with more unanswered probes than this is unresponsive.
  static constexpr int kMaxUnansweredProbes = 3;
  // A box that is absent from this many successive reads of the list is
  // removed, even if it sent a probe itself.
  static constexpr int kMaxUnlistedReads = 3;
  // Maximum number of boxes that a reply names.
  static constexpr size_t kMaxReportedNewBoxes = 8;

  explicit FleetAgreement(BoxLocation self);

  // Replaces the listed boxes: all boxes on the list except this one. Boxes
  // that sent a probe but are not listed yet are kept. So are boxes that are no
  // longer listed, until they are unresponsive, since the list may have been
  // lost.
  void SetListedBoxes(const std::vector<BoxLocation>& others);
  // Sets the time from which on all other boxes must have read a list that
  // contains this box. A later time than before means that the others have
  // dropped this box from their lists, so that agreement must be reached anew.
  void SetKnownToAllSince(TimePoint from);
  // Records a probe or reply of `box`, with the digest of the boxes that it is
  // aware of. Returns true if `box` is new here.
  bool RecordPeerDigest(const BoxLocation& box, uint64_t digest);
  // Adds a box that another box named in a reply. Returns true if it is new
  // here.
  bool AddReportedBox(const BoxLocation& box);
  // Returns the most recent boxes that became known here by their own probe or
  // reply, newest first.
  std::vector<BoxLocation> new_boxes() const;
  // Records that the box is sent a probe.
  void RecordProbe(const std::string& name);

  // Returns the digest of the boxes that this one is aware of, itself included.
  uint64_t digest() const { return digest_; }
  // Returns whether a box with this digest is aware of the same boxes, with or
  // without the unresponsive ones.
  bool MatchesDigest(uint64_t digest) const {
    return digest == digest_ || digest == responsive_digest_;
  }
  // Returns whether all responsive boxes have at some moment been aware of the
  // same boxes.
  bool is_agreed() const { return is_agreed_; }
  // Returns the time from which on this box may act; max() if it is unknown.
  TimePoint active_from() const {
    return is_agreed_ ? TimePoint() : known_to_all_since_;
  }
  // Returns whether probes would let this box act earlier, or establish which
  // delisted boxes have stopped.
  bool NeedsProbes(TimePoint now) const;
  // Returns the boxes to probe: before agreement, those whose digest does not
  // match; at any time, those that are no longer listed.
  std::vector<std::string> BoxesToProbe() const;
  // Returns all boxes that this one is aware of, except itself.
  std::vector<BoxLocation> others() const;

 private:
  struct Peer {
    BoxLocation box;
    bool is_listed = false;
    bool was_listed = false;
    int unlisted_reads = 0;
    int unanswered_probes = 0;
    std::optional<uint64_t> digest;
  };

  bool IsUnresponsive(const Peer& peer) const {
    return peer.unanswered_probes > kMaxUnansweredProbes;
  }
  // Returns whether the list contained the box once and no longer does.
  static bool IsDelisted(const Peer& peer) {
    return peer.was_listed && !peer.is_listed;
  }
  bool HasMatchingDigest(const Peer& peer) const {
    return peer.digest && MatchesDigest(*peer.digest);
  }
  void ResetAgreement();
  void UpdateDigests();
  uint64_t ComputeDigest(bool include_unresponsive) const;
  void UpdateAgreement();

  const BoxLocation self_;
  std::map<std::string, Peer> peers_;  // by name
  TimePoint known_to_all_since_ = TimePoint::max();
  std::deque<std::string> new_boxes_;  // names, newest first
  uint64_t digest_ = 0;
  uint64_t responsive_digest_ = 0;  // without unresponsive boxes
  bool is_agreed_ = false;
};

}  // namespace leverwick

#endif  // LEVERWICK_FLEET_AGREEMENT_H_
