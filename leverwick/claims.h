// Claims: a request that may not be repeated runs at most once, also when its
// caller retries the key through another box or data centre.
//
// Each key has one owner (slots.h). The owner grants a claim only after every
// replica of the slot has stored it: write all. A new owner, once the roster
// that names it is in the log, seals: it reads the claims from one replica of
// the epoch before, and that replica refuses the previous epoch from then on:
// read one. Write-all meets read-one, so an previous owner that was frozen and
// wakes can grant nothing the new one doesn't know of. No clock decides
// ownership.
//
// ClaimReplicas is the part of every box that stores replicas. ClaimOwner is
// the part that grants, for the slots the box owns.
//
//   ClaimReply reply = owner.Handle(request, now);
//   if (reply.code() == 0) ...  // granted: dispatch, then finish it
//
// A claim granted and never dispatched is released, and may be made again.

#ifndef LEVERWICK_CLAIMS_H_
#define LEVERWICK_CLAIMS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "leverwick/result.h"
#include "leverwick/slots.h"
#include "leverwick/time.h"
#include "schema/peer.pb.h"

namespace leverwick {

// Stores replicas of slots' claims. Thread-safe; one lock a slot.
class ClaimReplicas {
 public:
  // Reads the claims of `for_epoch` and refuses that epoch from now on.
  SealReply Seal(const SealRequest& request);

  // Takes over all claims of a slot at an epoch; false when a later epoch has
  // been sealed or installed.
  bool Install(const InstallRequest& request);

  // Stores one claim; false unless the slot is installed at just this epoch
  // and not sealed.
  bool Put(const PutRequest& request);

  // The claim of a key; false when there is none at this epoch.
  bool Find(const SlotRef& slot, const std::string& key, Claim* claim) const;

  // Forgets claims made before `oldest`. Returns how many.
  size_t Expire(WallTime oldest);

  // Claims sealed now.
  size_t size() const;

 private:
  struct Replica {
    mutable std::mutex mutex;
    uint64_t installed_epoch = 0;
    uint64_t sealed_epoch = 0;  // epochs below this are refused
    WallTime doubtful_until{};
    std::map<std::string, Claim> claims;
  };

  Replica& ReplicaFor(const SlotRef& slot) const;

  mutable std::mutex mutex_;  // guards the map, not the replicas
  mutable std::map<std::pair<std::string, uint32_t>, std::unique_ptr<Replica>>
      replicas_;
};

// How the owner reaches the replicas on other boxes; each call returns an error
// when the box could not be reached or is another incarnation.
class ClaimPeers {
 public:
  virtual ~ClaimPeers() = default;
  virtual std::error_code Seal(const Member& member, const SealRequest& request,
                               SealReply* reply) = 0;
  virtual std::error_code Install(const Member& member,
                                  const InstallRequest& request,
                                  Ack* reply) = 0;
  virtual std::error_code Put(const Member& member, const PutRequest& request,
                              Ack* reply) = 0;
  // Whether the platform's list says that the incarnation is over for good.
  virtual bool IsGone(const Member& member) = 0;
};

struct ClaimOptions {
  std::string incarnation;  // of this box
  std::string data_centre;
  nanoseconds retention{0};             // how long a key is remembered
  nanoseconds max_request_duration{0};  // longest incarnation of a request
};

// Grants claims for the slots this box owns. Thread-safe; one lock a slot,
// sealed over the calls to the replicas.
class ClaimOwner {
 public:
  // `placements` gives a slot's placements, newest first, from the table in
  // force. The pointers must outlive the owner.
  using PlacementSource = std::function<std::vector<Placement>(uint32_t slot)>;
  ClaimOwner(ClaimOptions options, ClaimReplicas* replicas, ClaimPeers* peers,
             PlacementSource placements);

  // Grants, finishes or releases a claim.
  ClaimReply Handle(const ClaimRequest& request, WallTime now);

  // Activates the slots this box owns and has not activated yet; returns
  // whether all `slots` of them are active.
  bool ActivateOwned(uint32_t slots, WallTime now);

 private:
  struct Slot {
    std::mutex mutex;
    uint64_t active_epoch = 0;
    uint64_t last_change = 0;  // of the puts of this epoch
    // Until then keys may have been claimed on replicas that were all lost. The
    // replicas carry it on, for the next owner must know it too.
    WallTime doubtful_until{};
  };

  Slot& SlotFor(uint32_t slot);
  bool Owns(const Placement& placement) const;
  SlotRef MakeSlotRef(uint32_t slot, uint64_t epoch) const;
  bool Activate(uint32_t slot, const std::vector<Placement>& placements,
                Slot* state, WallTime now);
  enum class SealOutcome { kComplete, kNeverActive, kUnreachable, kAllLost };
  SealOutcome SealPrevious(const SlotRef& slot, const Placement& previous,
                           SealReply* sealed);
  bool InstallAll(const SlotRef& slot, const Placement& placement,
                  const SealReply& sealed);
  bool PutAll(const SlotRef& slot, const Placement& placement,
              const Claim& claim, Slot* state);
  ClaimReply Grant(const SlotRef& slot, const Placement& placement,
                   const Claim& requested, Slot* state, WallTime now);
  ClaimReply Finish(const SlotRef& slot, const Placement& placement,
                    const Claim& outcome, Slot* state);
  ClaimReply ReplyForExisting(const Claim& found, const Claim& requested,
                              WallTime now) const;
  bool InstallAt(const Member& member, const InstallRequest& request);
  bool PutAt(const Member& member, const PutRequest& request);
  bool SealAt(const Member& member, const SealRequest& request,
              SealReply* reply);

  const ClaimOptions options_;
  ClaimReplicas* const replicas_;
  ClaimPeers* const peers_;
  const PlacementSource placements_;
  std::mutex mutex_;  // guards the map, not the slots
  std::map<uint32_t, std::unique_ptr<Slot>> slots_;
};

// The digest under which a caller's key is claimed.
std::string ClaimKey(const std::string& organisation, const std::string& key);

}  // namespace leverwick

#endif  // LEVERWICK_CLAIMS_H_
