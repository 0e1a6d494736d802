// An organisation's keys live in its home data centre. Placements are worked
// out once an epoch and kept, since every claim asks for them.

#include "daemon/claim_desk.h"

#include <thread>

#include "net/log.h"

namespace leverwick {
namespace {

const Log log_("claims");
// A roster change moves slots; their new owners need a few exchanges.
constexpr int kTries = 6;
constexpr milliseconds kPause(40);

ClaimOptions OptionsOf(const Node& node) {
  ClaimOptions options;
  options.incarnation = node.life;
  options.data_centre = node.settings.box().data_centre();
  options.retention = FromProto(node.settings.claims().window());
  options.max_request_duration = FromProto(node.settings.requests().deadline());
  return options;
}

}  // namespace

ClaimDesk::ClaimDesk(Node* node)
    : node_(node),
      owner_(std::make_unique<ClaimOwner>(
          OptionsOf(*node), &node->claim_copies, this,
          [this](uint32_t slot) { return PlacementsHere(slot); })) {}

std::vector<Placement> ClaimDesk::PlacementsHere(uint32_t slot) {
  std::shared_ptr<const Table> table = node_->tables.table();
  const std::vector<Roster>& rosters =
      table->RostersFor(node_->settings.box().data_centre());
  if (rosters.empty()) return {};
  std::lock_guard<std::mutex> lock(mutex_);
  if (cached_epoch_ != rosters.back().epoch()) {
    cached_.clear();
    auto slots = static_cast<uint32_t>(node_->settings.claims().slots());
    for (uint32_t i = 0; i < slots; ++i) {
      cached_.push_back(ComputePlacements(rosters, i));
    }
    cached_epoch_ = rosters.back().epoch();
  }
  return slot < cached_.size() ? cached_[slot] : std::vector<Placement>();
}

bool ClaimDesk::OwnerOf(const ClaimRequest& request, Member* owner) const {
  std::shared_ptr<const Table> table = node_->tables.table();
  const std::vector<Roster>& rosters = table->RostersFor(request.data_centre());
  if (rosters.empty() || rosters.back().members().empty()) return false;
  *owner = RankMembers(rosters.back(), request.slot()).front();
  return true;
}

ClaimReply ClaimDesk::Ask(const Organisation& organisation, const Claim& claim,
                          bool finish) {
  ClaimRequest request;
  request.set_data_centre(organisation.home());
  request.set_slot(SlotForKey(
      claim.key(), static_cast<uint32_t>(node_->settings.claims().slots())));
  *request.mutable_claim() = claim;
  request.set_finish(finish);
  ClaimReply reply;
  reply.set_code(static_cast<int>(Result::kClaimsUnavailable));
  for (int i = 0; i < kTries; ++i) {
    if (i > 0) std::this_thread::sleep_for(kPause * i);
    Member owner;
    if (!OwnerOf(request, &owner)) continue;
    ClaimReply answer;
    if (owner.life() == node_->life) {
      answer = owner_->Handle(request, std::chrono::system_clock::now());
    } else if (node_->peers.Call(owner, "Claim", request, &answer)) {
      continue;
    }
    auto result = static_cast<Result>(answer.code());
    if (result != Result::kNotOwner && result != Result::kClaimsUnavailable) {
      return answer;
    }
  }
  return reply;
}

ClaimReply ClaimDesk::Make(const Organisation& organisation,
                           const Claim& claim) {
  return Ask(organisation, claim, false);
}

void ClaimDesk::Finish(const Organisation& organisation, const Claim& outcome) {
  ClaimReply reply = Ask(organisation, outcome, true);
  if (reply.code() == 0) return;
  log_.Warning("An outcome could not be stored.",
               {{"request", outcome.request_id()},
                {"code", std::to_string(reply.code())}});
}

bool ClaimDesk::ServeClaim(const ClaimRequest& request, ClaimReply* reply) {
  // A box that was paused must see the log before it may own anything.
  TableFreshness::State state = node_->freshness.StateAt(Clock::now());
  bool here = request.data_centre() == node_->settings.box().data_centre();
  if (!here || state == TableFreshness::kStalled) return false;
  *reply = owner_->Handle(request, std::chrono::system_clock::now());
  return true;
}

void ClaimDesk::Maintain() {
  auto now = std::chrono::system_clock::now();
  auto slots = static_cast<uint32_t>(node_->settings.claims().slots());
  // Read first: slots that were active on an older roster prove nothing.
  uint64_t epoch = node_->CurrentRoster().epoch();
  if (owner_->ActivateOwned(slots, now)) node_->slots_epoch = epoch;
  // Copies keep claims longer than owners look at them, for clocks differ.
  nanoseconds window = FromProto(node_->settings.claims().window());
  node_->claim_copies.Expire(
      now - std::chrono::duration_cast<std::chrono::system_clock::duration>(
                2 * window));
  node_->metrics.Set("leverwick_claims_held", "",
                     static_cast<double>(node_->claim_copies.size()));
}

std::error_code ClaimDesk::Seal(const Member& member,
                                const SealRequest& request, SealReply* reply) {
  return node_->peers.Call(member, "Seal", request, reply);
}

std::error_code ClaimDesk::Install(const Member& member,
                                   const InstallRequest& request, Ack* reply) {
  return node_->peers.Call(member, "Install", request, reply);
}

std::error_code ClaimDesk::Put(const Member& member, const PutRequest& request,
                               Ack* reply) {
  return node_->peers.Call(member, "Put", request, reply);
}

bool ClaimDesk::IsGone(const Member& member) {
  return node_->membership.IsGone(member.life(), Clock::now());
}

}  // namespace leverwick
