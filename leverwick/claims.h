// Idempotency claims: a request that is not repeatable runs at most once, also
// when its caller retries the key through another box or data centre.
//
// Each key belongs to a slot (a partition of the idempotency keys, see
// slots.h), and each slot has one owner. The owner grants a claim only after
// every replica of the slot has stored it (write all). A new owner, once the
// roster that names it is in the log, seals the previous epoch: it reads the
// claims from one replica of that epoch, and the replica rejects the previous
// epoch from then on (read one). Every write set contains every read set, so a
// previous owner that was paused and resumes cannot grant a claim that the new
// owner is unaware of. Ownership does not depend on clocks.
//
// ClaimReplicas stores replicas and runs on every box. ClaimOwner grants claims
// for the slots that this box owns.
//
//   ClaimReply reply = owner.Handle(request, now);
//   if (reply.code() == 0) ...  // granted: dispatch, then finish it
//
// A claim that was granted but never dispatched is released, and the key can be
// claimed again.

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

// Stores replicas of the claims of slots. Thread-safe; one lock per slot.
class ClaimReplicas {
 public:
  // Returns the claims of `for_epoch` and rejects that epoch from then on.
  SealReply Seal(const SealRequest& request);

  // Installs all claims of a slot at an epoch. Returns false if a later epoch
  // has been sealed or installed.
  bool Install(const InstallRequest& request);

  // Stores one claim. Returns false unless exactly this epoch is installed and
  // not sealed.
  bool Put(const PutRequest& request);

  // Finds the claim of a key. Returns false if there is none at this epoch.
  bool Find(const SlotRef& slot, const std::string& key, Claim* claim) const;

  // Removes claims made before `oldest` and returns how many were removed.
  size_t Expire(WallTime oldest);

  // Returns the number of claims held.
  size_t size() const;

 private:
  struct Replica {
    mutable std::mutex mutex;
    uint64_t installed_epoch = 0;
    uint64_t sealed_epoch = 0;  // epochs below this are rejected
    WallTime doubtful_until{};
    std::map<std::string, Claim> claims;
  };

  Replica& ReplicaFor(const SlotRef& slot) const;

  mutable std::mutex mutex_;  // guards the map, not the replicas
  mutable std::map<std::pair<std::string, uint32_t>, std::unique_ptr<Replica>>
      replicas_;
};

// Calls of the owner to replicas on other boxes. Each call returns an error if
// the box is unreachable or runs another incarnation.
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
  // Returns true if the incarnation has ended for good according to the
  // platform's list.
  virtual bool IsGone(const Member& member) = 0;
};

struct ClaimOptions {
  std::string incarnation;  // of this box
  std::string data_centre;
  nanoseconds retention{0};             // how long a claim is kept
  nanoseconds max_request_duration{0};  // deadline of a request
};

// Grants claims for the slots that this box owns. Thread-safe; one lock per
// slot, held during the calls to the replicas.
class ClaimOwner {
 public:
  // `placements` returns the placements of a slot, newest first, from the
  // current table. The pointers must outlive the owner.
  using PlacementSource = std::function<std::vector<Placement>(uint32_t slot)>;
  ClaimOwner(ClaimOptions options, ClaimReplicas* replicas, ClaimPeers* peers,
             PlacementSource placements);

  // Grants, finishes or releases a claim.
  ClaimReply Handle(const ClaimRequest& request, WallTime now);

  // Activates the slots that this box owns and has not activated yet. Returns
  // true if all of those among the first `slots` slots are active.
  bool ActivateOwned(uint32_t slots, WallTime now);

 private:
  struct Slot {
    std::mutex mutex;
    uint64_t active_epoch = 0;
    uint64_t last_change = 0;  // number of the last put in this epoch
    // Until this time, keys may have been claimed on replicas that were all
    // lost. It is stored on the replicas because the next owner needs it too.
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

// Returns the digest under which the key of a caller is claimed.
std::string ClaimKey(const std::string& organisation, const std::string& key);

}  // namespace leverwick

#endif  // LEVERWICK_CLAIMS_H_
