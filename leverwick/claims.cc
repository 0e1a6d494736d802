// Activation walks a slot's placements from the newest old one backwards. A
// copy that answers "complete" ends the walk with its claims. A copy that
// answers "nothing" proves that its epoch never was active, since activation
// needs every copy, and never will be, since it is now sealed: the walk goes
// one placement further back. When no copy answers, the slot stays inactive,
// unless the platform's list says that all of them are gone for good; then
// the slot opens with every key in doubt for one window.
//
// A put that reached some copies only leaves a claim that was never granted.
// The owner doesn't count it as made, because its own copy is written last;
// a later owner may find it and then answers "in progress" or "unknown",
// which errs on the safe side.

#include "leverwick/claims.h"

#include "leverwick/digest.h"

namespace leverwick {
namespace {

WallTime MadeAt(const Claim& claim) {
  return WallTime(milliseconds(claim.made_at_ms()));
}

ClaimReply Refuse(Result result) {
  ClaimReply reply;
  reply.set_code(static_cast<int>(result));
  return reply;
}

}  // namespace

std::string ClaimKey(const std::string& organisation, const std::string& key) {
  return ShortDigest(organisation + std::string(1, '\0') + key);
}

ClaimCopies::Copy& ClaimCopies::CopyOf(const SlotRef& slot) const {
  std::lock_guard<std::mutex> lock(mutex_);
  auto& copy = copies_[std::make_pair(slot.data_centre(), slot.slot())];
  if (copy == nullptr) copy = std::make_unique<Copy>();
  return *copy;
}

SealReply ClaimCopies::Seal(const SealRequest& request) {
  Copy& copy = CopyOf(request.slot());
  std::lock_guard<std::mutex> lock(copy.mutex);
  copy.sealed_epoch = std::max(copy.sealed_epoch, request.slot().epoch());
  SealReply reply;
  if (copy.installed_epoch < request.for_epoch()) return reply;
  // Installed later than asked: it holds all the asked epoch held, and more.
  reply.set_have(SealReply::COMPLETE);
  reply.set_doubtful_until_ms(SinceEpoch(copy.doubtful_until).count());
  for (const auto& entry : copy.claims) *reply.add_claims() = entry.second;
  return reply;
}

bool ClaimCopies::Install(const InstallRequest& request) {
  Copy& copy = CopyOf(request.slot());
  std::lock_guard<std::mutex> lock(copy.mutex);
  uint64_t epoch = request.slot().epoch();
  if (epoch < copy.sealed_epoch || epoch < copy.installed_epoch) return false;
  // An install may arrive again, late, after puts: it must undo none of them.
  if (epoch > copy.installed_epoch) copy.claims.clear();
  copy.installed_epoch = epoch;
  copy.sealed_epoch = epoch;
  copy.doubtful_until = std::max(
      copy.doubtful_until, WallTime(milliseconds(request.doubtful_until_ms())));
  for (Claim claim : request.claims()) {
    claim.set_change(0);
    copy.claims.emplace(claim.key(), claim);
  }
  return true;
}

bool ClaimCopies::Put(const PutRequest& request) {
  Copy& copy = CopyOf(request.slot());
  std::lock_guard<std::mutex> lock(copy.mutex);
  uint64_t epoch = request.slot().epoch();
  if (epoch != copy.installed_epoch || epoch < copy.sealed_epoch) return false;
  Claim& stored = copy.claims[request.claim().key()];
  if (request.claim().change() < stored.change()) return false;
  stored = request.claim();
  return true;
}

bool ClaimCopies::Find(const SlotRef& slot, const std::string& key,
                       Claim* claim) const {
  Copy& copy = CopyOf(slot);
  std::lock_guard<std::mutex> lock(copy.mutex);
  auto found = copy.claims.find(key);
  if (copy.installed_epoch != slot.epoch() || found == copy.claims.end()) {
    return false;
  }
  *claim = found->second;
  return true;
}

size_t ClaimCopies::Expire(WallTime oldest) {
  std::lock_guard<std::mutex> lock(mutex_);
  size_t expired = 0;
  for (auto& entry : copies_) {
    Copy& copy = *entry.second;
    std::lock_guard<std::mutex> copy_lock(copy.mutex);
    for (auto claim = copy.claims.begin(); claim != copy.claims.end();) {
      bool old = MadeAt(claim->second) < oldest;
      expired += old ? 1 : 0;
      claim = old ? copy.claims.erase(claim) : std::next(claim);
    }
  }
  return expired;
}

size_t ClaimCopies::size() const {
  std::lock_guard<std::mutex> lock(mutex_);
  size_t size = 0;
  for (const auto& entry : copies_) {
    std::lock_guard<std::mutex> copy_lock(entry.second->mutex);
    size += entry.second->claims.size();
  }
  return size;
}

ClaimOwner::ClaimOwner(ClaimOptions options, ClaimCopies* copies,
                       ClaimPeers* peers, PlacementSource placements)
    : options_(std::move(options)),
      copies_(copies),
      peers_(peers),
      placements_(std::move(placements)) {}

ClaimOwner::Slot& ClaimOwner::SlotAt(uint32_t slot) {
  std::lock_guard<std::mutex> lock(mutex_);
  auto& state = slots_[slot];
  if (state == nullptr) state = std::make_unique<Slot>();
  return *state;
}

bool ClaimOwner::Owns(const Placement& placement) const {
  return !placement.copies.empty() &&
         placement.copies.front().life() == options_.life;
}

SlotRef ClaimOwner::RefOf(uint32_t slot, uint64_t epoch) const {
  SlotRef ref;
  ref.set_data_centre(options_.data_centre);
  ref.set_slot(slot);
  ref.set_epoch(epoch);
  return ref;
}

ClaimReply ClaimOwner::Handle(const ClaimRequest& request, WallTime now) {
  Slot& state = SlotAt(request.slot());
  std::lock_guard<std::mutex> lock(state.mutex);
  std::vector<Placement> placements = placements_(request.slot());
  if (placements.empty() || !Owns(placements.front())) {
    return Refuse(Result::kNotOwner);
  }
  if (!Activate(request.slot(), placements, &state, now)) {
    return Refuse(Result::kClaimsUnavailable);
  }
  const Placement& placement = placements.front();
  SlotRef slot = RefOf(request.slot(), placement.epoch);
  if (request.finish()) {
    return Finish(slot, placement, request.claim(), &state);
  }
  return Grant(slot, placement, request.claim(), &state, now);
}

bool ClaimOwner::ActivateOwned(uint32_t slots, WallTime now) {
  bool all = true;
  for (uint32_t slot = 0; slot < slots; ++slot) {
    std::vector<Placement> placements = placements_(slot);
    if (placements.empty() || !Owns(placements.front())) continue;
    Slot& state = SlotAt(slot);
    std::lock_guard<std::mutex> lock(state.mutex);
    all = Activate(slot, placements, &state, now) && all;
  }
  return all;
}

bool ClaimOwner::Activate(uint32_t slot,
                          const std::vector<Placement>& placements, Slot* state,
                          WallTime now) {
  const Placement& placement = placements.front();
  if (state->active_epoch == placement.epoch) return true;
  SlotRef ref = RefOf(slot, placement.epoch);
  SealReply held;
  for (size_t i = 1; i < placements.size(); ++i) {
    Read read = ReadOld(ref, placements[i], &held);
    if (read == Read::kUnreachable) return false;
    if (read == Read::kLost) {
      held.set_doubtful_until_ms(SinceEpoch(now + options_.window).count());
    }
    if (read != Read::kNeverActive) break;
  }
  if (!InstallAll(ref, placement, held)) return false;
  state->doubtful_until = WallTime(milliseconds(held.doubtful_until_ms()));
  state->active_epoch = placement.epoch;
  state->last_change = 0;
  return true;
}

ClaimOwner::Read ClaimOwner::ReadOld(const SlotRef& slot, const Placement& old,
                                     SealReply* held) {
  SealRequest request;
  *request.mutable_slot() = slot;
  request.set_for_epoch(old.epoch);
  bool all_gone = true;
  for (const Member& member : old.copies) {
    SealReply reply;
    if (!SealAt(member, request, &reply)) {
      all_gone = all_gone && peers_->IsGone(member);
      continue;
    }
    if (reply.have() == SealReply::NOTHING) return Read::kNeverActive;
    *held = reply;
    return Read::kComplete;
  }
  return all_gone ? Read::kLost : Read::kUnreachable;
}

bool ClaimOwner::InstallAll(const SlotRef& slot, const Placement& placement,
                            const SealReply& held) {
  InstallRequest request;
  *request.mutable_slot() = slot;
  *request.mutable_claims() = held.claims();
  request.set_doubtful_until_ms(held.doubtful_until_ms());
  for (const Member& member : placement.copies) {
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
  // The owner's own copy last: it holds only what all the others hold.
  for (auto member = placement.copies.rbegin();
       member != placement.copies.rend(); ++member) {
    if (!PutAt(*member, request)) return false;
  }
  return true;
}

ClaimReply ClaimOwner::Grant(const SlotRef& slot, const Placement& placement,
                             const Claim& wanted, Slot* state, WallTime now) {
  Claim found;
  if (copies_->Find(slot, wanted.key(), &found) &&
      found.state() != Claim::RELEASED &&
      MadeAt(found) + options_.window > now) {
    return Answer(found, wanted, now);
  }
  if (now < state->doubtful_until) return Refuse(Result::kKeyOutcomeUnknown);
  Claim made = wanted;
  made.set_state(Claim::RUNNING);
  made.set_made_at_ms(SinceEpoch(now).count());
  if (!PutAll(slot, placement, made, state)) {
    return Refuse(Result::kClaimsUnavailable);
  }
  return ClaimReply();
}

ClaimReply ClaimOwner::Answer(const Claim& found, const Claim& wanted,
                              WallTime now) const {
  ClaimReply reply;
  *reply.mutable_found() = found;
  Result result = Result::kOk;
  if (found.request_id() == wanted.request_id()) {
    // The same attempt asks again because our answer to it was lost.
    result = Result::kOk;
  } else if (found.request() != wanted.request()) {
    result = Result::kKeyReused;
  } else if (found.state() == Claim::DONE) {
    result = Result::kAnswerNotKept;  // the caller of this looks in `found`
  } else if (found.state() == Claim::RUNNING &&
             MadeAt(found) + options_.deadline > now) {
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
  if (!copies_->Find(slot, outcome.key(), &found) ||
      found.request_id() != outcome.request_id()) {
    return Refuse(Result::kUnknownRequest);
  }
  Claim finished = outcome;
  finished.set_made_at_ms(found.made_at_ms());
  finished.set_request(found.request());
  if (!PutAll(slot, placement, finished, state)) {
    return Refuse(Result::kClaimsUnavailable);
  }
  return ClaimReply();
}

bool ClaimOwner::InstallAt(const Member& member,
                           const InstallRequest& request) {
  if (member.life() == options_.life) return copies_->Install(request);
  Ack ack;
  return !peers_->Install(member, request, &ack) && ack.accepted();
}

bool ClaimOwner::PutAt(const Member& member, const PutRequest& request) {
  if (member.life() == options_.life) return copies_->Put(request);
  Ack ack;
  return !peers_->Put(member, request, &ack) && ack.accepted();
}

bool ClaimOwner::SealAt(const Member& member, const SealRequest& request,
                        SealReply* reply) {
  if (member.life() == options_.life) {
    *reply = copies_->Seal(request);
    return true;
  }
  return !peers_->Seal(member, request, reply);
}

}  // namespace leverwick
