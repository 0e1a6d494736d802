// This box's side of claims: it asks a key's owner, and is the owner of some.

#ifndef DAEMON_CLAIM_DESK_H_
#define DAEMON_CLAIM_DESK_H_

#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "daemon/node.h"
#include "leverwick/claims.h"

namespace leverwick {

// Thread-safe.
class ClaimDesk : public ClaimPeers {
 public:
  explicit ClaimDesk(Node* node);

  // Claims a key for a request; reply code 0: granted.
  ClaimReply Make(const Organisation& organisation, const Claim& claim);

  // Stores the outcome of a claim that was granted, or releases it.
  void Finish(const Organisation& organisation, const Claim& outcome);

  // Answers a peer's Claim call.
  bool ServeClaim(const ClaimRequest& request, ClaimReply* reply);

  // Activates slots that came to this box and forgets old claims.
  void Maintain();

 private:
  std::error_code Seal(const Member& member, const SealRequest& request,
                       SealReply* reply) override;
  std::error_code Install(const Member& member, const InstallRequest& request,
                          Ack* reply) override;
  std::error_code Put(const Member& member, const PutRequest& request,
                      Ack* reply) override;
  bool IsGone(const Member& member) override;

  bool OwnerOf(const ClaimRequest& request, Member* owner) const;
  ClaimReply Ask(const Organisation& organisation, const Claim& claim,
                 bool finish);
  std::vector<Placement> PlacementsHere(uint32_t slot);

  Node* const node_;
  std::unique_ptr<ClaimOwner> owner_;
  std::mutex mutex_;  // guards the cache
  uint64_t cached_epoch_ = 0;
  std::vector<std::vector<Placement>> cached_;
};

}  // namespace leverwick

#endif  // DAEMON_CLAIM_DESK_H_
