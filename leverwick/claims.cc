// Activation walks the placements of a slot from the newest previous one
// backwards and sends a seal to the replicas of each. A replica that replies
// COMPLETE ends the walk and supplies its claims. A replica that replies
// NOTHING proves that its epoch was never active, since activation needs every
// replica, and never will be, since it is now sealed; the walk continues with
// the placement before. If no replica replies, the slot stays inactive, unless
// the platform's list says that all of them are gone for good. The slot is then
// activated with the outcome of every key uncertain for one retention period.
//
// A put that reached only some replicas leaves a claim that was never granted.
// The owner does not see it, because it writes its own replica last. A later
// owner may find it and then replies "in progress" or "unknown", which cannot
// lead to a second execution.

#include "leverwick/claims.h"

#include "leverwick/digest.h"

namespace leverwick {
namespace {

WallTime CreatedAt(const Claim& claim) {
  return WallTime(milliseconds(claim.made_at_ms()));
}

ClaimReply MakeRefusal(Result result) {
  ClaimReply reply;
  reply.set_code(static_cast<int>(result));
  return reply;
}

}  // namespace

std::string ClaimKey(const std::string& organisation, const std::string& key) {
  return ShortDigest(organisation + std::string(1, '\0') + key);
}

ClaimReplicas::Replica& ClaimReplicas::ReplicaFor(const SlotRef& slot) const {
  std::lock_guard<std::mutex> lock(mutex_);
  auto& replica = replicas_[std::make_pair(slot.data_centre(), slot.slot())];
  if (replica == nullptr) replica = std::make_unique<Replica>();
  return *replica;
}

SealReply ClaimReplicas::Seal(const SealRequest& request) {
  Replica& replica = ReplicaFor(request.slot());
  std::lock_guard<std::mutex> lock(replica.mutex);
  replica.sealed_epoch = std::max(replica.sealed_epoch, request.slot().epoch());
  SealReply reply;
  if (replica.installed_epoch < request.for_epoch()) return reply;
  // A replica installed at a later epoch holds all claims of the requested
  // epoch and possibly more.
  reply.set_have(SealReply::COMPLETE);
  reply.set_doubtful_until_ms(SinceEpoch(replica.doubtful_until).count());
  for (const auto& entry : replica.claims) *reply.add_claims() = entry.second;
  return reply;
}

bool ClaimReplicas::Install(const InstallRequest& request) {
  Replica& replica = ReplicaFor(request.slot());
  std::lock_guard<std::mutex> lock(replica.mutex);
  uint64_t epoch = request.slot().epoch();
  if (epoch < replica.sealed_epoch || epoch < replica.installed_epoch)
    return false;
  // A delayed duplicate of an install must not undo puts that came after it.
  if (epoch > replica.installed_epoch) replica.claims.clear();
  replica.installed_epoch = epoch;
  replica.sealed_epoch = epoch;
  replica.doubtful_until =
      std::max(replica.doubtful_until,
               WallTime(milliseconds(request.doubtful_until_ms())));
  for (Claim claim : request.claims()) {
    claim.set_change(0);
    replica.claims.emplace(claim.key(), claim);
  }
  return true;
}

bool ClaimReplicas::Put(const PutRequest& request) {
  Replica& replica = ReplicaFor(request.slot());
  std::lock_guard<std::mutex> lock(replica.mutex);
  uint64_t epoch = request.slot().epoch();
  if (epoch != replica.installed_epoch || epoch < replica.sealed_epoch)
    return false;
  Claim& stored = replica.claims[request.claim().key()];
  if (request.claim().change() < stored.change()) return false;
  stored = request.claim();
  return true;
}

bool ClaimReplicas::Find(const SlotRef& slot, const std::string& key,
                         Claim* claim) const {
  Replica& replica = ReplicaFor(slot);
  std::lock_guard<std::mutex> lock(replica.mutex);
  auto found = replica.claims.find(key);
  if (replica.installed_epoch != slot.epoch() ||
      found == replica.claims.end()) {
    return false;
  }
  *claim = found->second;
  return true;
}

size_t ClaimReplicas::Expire(WallTime oldest) {
  std::lock_guard<std::mutex> lock(mutex_);
  size_t expired = 0;
  for (auto& entry : replicas_) {
    Replica& replica = *entry.second;
    std::lock_guard<std::mutex> replica_lock(replica.mutex);
    for (auto claim = replica.claims.begin(); claim != replica.claims.end();) {
      bool expired_claim = CreatedAt(claim->second) < oldest;
      expired += expired_claim ? 1 : 0;
      claim = expired_claim ? replica.claims.erase(claim) : std::next(claim);
    }
  }
  return expired;
}

size_t ClaimReplicas::size() const {
  std::lock_guard<std::mutex> lock(mutex_);
  size_t size = 0;
  for (const auto& entry : replicas_) {
    std::lock_guard<std::mutex> replica_lock(entry.second->mutex);
    size += entry.second->claims.size();
  }
  return size;
}

ClaimOwner::ClaimOwner(ClaimOptions options, ClaimReplicas* replicas,
                       ClaimPeers* peers, PlacementSource placements)
    : options_(std::move(options)),
      replicas_(replicas),
      peers_(peers),
      placements_(std::move(placements)) {}

ClaimOwner::Slot& ClaimOwner::SlotFor(uint32_t slot) {
  std::lock_guard<std::mutex> lock(mutex_);
  auto& state = slots_[slot];
  if (state == nullptr) state = std::make_unique<Slot>();
  return *state;
}

bool ClaimOwner::Owns(const Placement& placement) const {
  return !placement.replicas.empty() &&
         placement.replicas.front().life() == options_.incarnation;
}

SlotRef ClaimOwner::MakeSlotRef(uint32_t slot, uint64_t epoch) const {
  SlotRef ref;
  ref.set_data_centre(options_.data_centre);
  ref.set_slot(slot);
  ref.set_epoch(epoch);
  return ref;
}

ClaimReply ClaimOwner::Handle(const ClaimRequest& request, WallTime now) {
  Slot& state = SlotFor(request.slot());
  std::lock_guard<std::mutex> lock(state.mutex);
  std::vector<Placement> placements = placements_(request.slot());
  if (placements.empty() || !Owns(placements.front())) {
    return MakeRefusal(Result::kNotOwner);
  }
  if (!Activate(request.slot(), placements, &state, now)) {
    return MakeRefusal(Result::kClaimsUnavailable);
  }
  const Placement& placement = placements.front();
  SlotRef slot = MakeSlotRef(request.slot(), placement.epoch);
  if (request.finish()) {
    return Finish(slot, placement, request.claim(), &state);
  }
  return Grant(slot, placement, request.claim(), &state, now);
}

bool ClaimOwner::ActivateOwned(uint32_t slots, WallTime now) {
  bool all_active = true;
  for (uint32_t slot = 0; slot < slots; ++slot) {
    std::vector<Placement> placements = placements_(slot);
    if (placements.empty() || !Owns(placements.front())) continue;
    Slot& state = SlotFor(slot);
    std::lock_guard<std::mutex> lock(state.mutex);
    all_active = Activate(slot, placements, &state, now) && all_active;
  }
  return all_active;
}

bool ClaimOwner::Activate(uint32_t slot,
                          const std::vector<Placement>& placements, Slot* state,
                          WallTime now) {
  const Placement& placement = placements.front();
  if (state->active_epoch == placement.epoch) return true;
  SlotRef ref = MakeSlotRef(slot, placement.epoch);
  SealReply sealed;
  for (size_t i = 1; i < placements.size(); ++i) {
    SealOutcome outcome = SealPrevious(ref, placements[i], &sealed);
    if (outcome == SealOutcome::kUnreachable) return false;
    if (outcome == SealOutcome::kAllLost) {
      sealed.set_doubtful_until_ms(
          SinceEpoch(now + options_.retention).count());
    }
    if (outcome != SealOutcome::kNeverActive) break;
  }
  if (!InstallAll(ref, placement, sealed)) return false;
  state->doubtful_until = WallTime(milliseconds(sealed.doubtful_until_ms()));
  state->active_epoch = placement.epoch;
  state->last_change = 0;
  return true;
}

ClaimOwner::SealOutcome ClaimOwner::SealPrevious(const SlotRef& slot,
                                                 const Placement& previous,
                                                 SealReply* sealed) {
  SealRequest request;
  *request.mutable_slot() = slot;
  request.set_for_epoch(previous.epoch);
  bool all_lost = true;
  for (const Member& member : previous.replicas) {
    SealReply reply;
    if (!SealAt(member, request, &reply)) {
      all_lost = all_lost && peers_->IsGone(member);
      continue;
    }
    if (reply.have() == SealReply::NOTHING) return SealOutcome::kNeverActive;
    *sealed = reply;
    return SealOutcome::kComplete;
  }
  return all_lost ? SealOutcome::kAllLost : SealOutcome::kUnreachable;
}

bool ClaimOwner::InstallAll(const SlotRef& slot, const Placement& placement,
                            const SealReply& sealed) {
  InstallRequest request;
  *request.mutable_slot() = slot;
  *request.mutable_claims() = sealed.claims();
  request.set_doubtful_until_ms(sealed.doubtful_until_ms());
  for (const Member& member : placement.replicas) {
    if (!InstallAt(member, request)) return false;
  }
  return true;
}

bool ClaimOwner::PutAll(const SlotRef& slot, const Placement& placement,
                        const Claim& claim, Slot* state) {
  PutRequest request;
  *request.mutable_slot() = slot;
  *request.mutable_claim() = claim;
  request.mutable_claim()->set_change(++state->last_change);
  // The owner writes its own replica last, so it holds only claims that all the
  // others hold.
  for (auto member = placement.replicas.rbegin();
       member != placement.replicas.rend(); ++member) {
    if (!PutAt(*member, request)) return false;
  }
  return true;
}

ClaimReply ClaimOwner::Grant(const SlotRef& slot, const Placement& placement,
                             const Claim& requested, Slot* state,
                             WallTime now) {
  Claim found;
  if (replicas_->Find(slot, requested.key(), &found) &&
      found.state() != Claim::RELEASED &&
      CreatedAt(found) + options_.retention > now) {
    return ReplyForExisting(found, requested, now);
  }
  if (now < state->doubtful_until)
    return MakeRefusal(Result::kKeyOutcomeUnknown);
  Claim created = requested;
  created.set_state(Claim::RUNNING);
  created.set_made_at_ms(SinceEpoch(now).count());
  if (!PutAll(slot, placement, created, state)) {
    return MakeRefusal(Result::kClaimsUnavailable);
  }
  return ClaimReply();
}

ClaimReply ClaimOwner::ReplyForExisting(const Claim& found,
                                        const Claim& requested,
                                        WallTime now) const {
  ClaimReply reply;
  *reply.mutable_found() = found;
  Result result = Result::kOk;
  if (found.request_id() == requested.request_id()) {
    // A retry of the request that holds the claim: its reply was lost.
    result = Result::kOk;
  } else if (found.request() != requested.request()) {
    result = Result::kKeyReused;
  } else if (found.state() == Claim::DONE) {
    // The caller reads the stored response from `found`.
    result = Result::kAnswerNotKept;
  } else if (found.state() == Claim::RUNNING &&
             CreatedAt(found) + options_.max_request_duration > now) {
    result = Result::kInProgress;
  } else {
    result = Result::kKeyOutcomeUnknown;
  }
  reply.set_code(static_cast<int>(result));
  return reply;
}

ClaimReply ClaimOwner::Finish(const SlotRef& slot, const Placement& placement,
                              const Claim& outcome, Slot* state) {
  Claim found;
  if (!replicas_->Find(slot, outcome.key(), &found) ||
      found.request_id() != outcome.request_id()) {
    return MakeRefusal(Result::kUnknownRequest);
  }
  Claim finished = outcome;
  finished.set_made_at_ms(found.made_at_ms());
  finished.set_request(found.request());
  if (!PutAll(slot, placement, finished, state)) {
    return MakeRefusal(Result::kClaimsUnavailable);
  }
  return ClaimReply();
}

bool ClaimOwner::InstallAt(const Member& member,
                           const InstallRequest& request) {
  if (member.life() == options_.incarnation) return replicas_->Install(request);
  Ack ack;
  return !peers_->Install(member, request, &ack) && ack.accepted();
}

bool ClaimOwner::PutAt(const Member& member, const PutRequest& request) {
  if (member.life() == options_.incarnation) return replicas_->Put(request);
  Ack ack;
  return !peers_->Put(member, request, &ack) && ack.accepted();
}

bool ClaimOwner::SealAt(const Member& member, const SealRequest& request,
                        SealReply* reply) {
  if (member.life() == options_.incarnation) {
    *reply = replicas_->Seal(request);
    return true;
  }
  return !peers_->Seal(member, request, reply);
}

}  // namespace leverwick
