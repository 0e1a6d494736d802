// Within a data centre heartbeats go to the next few members of the ring.
// Between data centres only the reader of each sends, to one box in a few
// others, so that nothing is all-to-all at any size. Guard sums and trips ride
// on every heartbeat; estimates, which are larger, now and then, at a bounded
// rate of bytes.

#include "daemon/roster_keeper.h"

#include <algorithm>
#include <set>

#include "leverwick/digest.h"
#include "net/json.h"
#include "net/log.h"

namespace leverwick {
namespace {

const Log log_("roster");
constexpr Seconds kTripRetry(1.0);
// Other data centres that hear from the reader at each beat.
constexpr size_t kAcrossFanout = 2;
// Shares smaller than this are not worth a call.
constexpr double kLeastShareMove = 0.01;

bool HoldsLife(const Roster& roster, const std::string& life) {
  for (const Member& member : roster.members()) {
    if (member.life() == life) return true;
  }
  return false;
}

}  // namespace

void RosterKeeper::Start() {
  nanoseconds beat = FromProto(node_->settings.peers().heartbeat());
  ticker_.Start(beat, [this] {
    node_->membership.Tick(node_->CurrentRoster(), Clock::now());
  });
  sender_.Start(beat, [this] { SendHeartbeats(); });
  proposer_.Start(beat, [this] { Propose(); });
  slots_.Start(beat, [this] {
    if (node_->table_ready) claims_->Maintain();
  });
}

void RosterKeeper::Stop() {
  proposer_.Stop();
  sender_.Stop();
  slots_.Stop();
  ticker_.Stop();
}

void RosterKeeper::Propose() {
  if (!node_->table_ready) return;
  ProposeRoster(false);
  UpdateLimiter();
  MoveShares();
  ReportTrips();
  AdvanceRollouts();
}

Heartbeat RosterKeeper::MakeHeartbeat(bool with_sums) {
  Heartbeat heartbeat;
  *heartbeat.mutable_from() = node_->self();
  heartbeat.set_data_centre(node_->settings.box().data_centre());
  heartbeat.set_next_offset(node_->tables.table()->next_offset());
  heartbeat.set_sequence(++beats_);
  heartbeat.set_leaving(node_->stopping);
  for (const MemberSeen& seen : node_->membership.applied_offsets()) {
    *heartbeat.add_seen() = seen;
  }
  for (const GuardSum& sum : node_->guard.own_sums())
    *heartbeat.add_guards() = sum;
  for (const RolloutTrip& trip : node_->guard.trips()) {
    *heartbeat.add_trips() = trip;
  }
  for (const std::string& address : node_->endpoints.addresses()) {
    EndpointNote note;
    if (!node_->endpoints.FillNote(address, Clock::now(), &note)) continue;
    *heartbeat.add_notes() = note;
  }
  if (!with_sums) return heartbeat;
  for (const LifeSums& sums : node_->estimates.all()) {
    *heartbeat.add_sums() = sums;
  }
  return heartbeat;
}

void RosterKeeper::SendHeartbeats() {
  TimePoint now = Clock::now();
  bool with_sums = now >= next_sums_;
  Heartbeat heartbeat = MakeHeartbeat(with_sums);
  std::vector<Member> targets = node_->membership.HeartbeatTargets();
  if (with_sums) {
    size_t bytes = heartbeat.ByteSizeLong();
    next_sums_ =
        now + FromSeconds(SumsBroadcastInterval(bytes, targets.size()).count());
  }
  for (const Member& member : targets) {
    HeartbeatReply reply;
    bool answered =
        !node_->peers.CallFrame(member, FRAME_HEARTBEAT, heartbeat, &reply);
    if (!answered) continue;
    node_->membership.RecordHeartbeat(reply.from(), reply.next_offset(),
                                      reply.leaving(), Clock::now());
    TakeReply(reply);
  }
  if (node_->IsReader()) SendAcross(heartbeat);
}

void RosterKeeper::TakeReply(const HeartbeatReply& reply) {
  node_->freshness.RecordPeerOffset(reply.next_offset(), Clock::now());
  for (const RolloutTrip& trip : reply.trips()) {
    node_->guard.Trip(trip.rollout(), trip.reason());
  }
}

void RosterKeeper::SendAcross(const Heartbeat& heartbeat) {
  std::shared_ptr<const Table> table = node_->tables.table();
  std::vector<Member> others;
  for (const DataCentre* centre : table->data_centres()) {
    const std::vector<Roster>& rosters = table->RostersFor(centre->name());
    if (centre->name() == node_->settings.box().data_centre()) continue;
    if (rosters.empty() || rosters.back().members().empty()) continue;
    const Roster& roster = rosters.back();
    auto member =
        static_cast<int>(beats_ % static_cast<uint64_t>(roster.members_size()));
    others.push_back(roster.members(member));
  }
  for (size_t i = 0; i < std::min(kAcrossFanout, others.size()); ++i) {
    const Member& member = others[(beats_ + i) % others.size()];
    HeartbeatReply reply;
    bool answered = !node_->peers.Call(member, "Heartbeat", heartbeat, &reply);
    if (answered) TakeReply(reply);
  }
}

bool RosterKeeper::ServeHeartbeat(const Heartbeat& heartbeat,
                                  HeartbeatReply* reply) {
  TimePoint now = Clock::now();
  node_->freshness.RecordPeerOffset(heartbeat.next_offset(), now);
  bool same = heartbeat.data_centre() == node_->settings.box().data_centre();
  if (same) {
    node_->membership.RecordHeartbeat(heartbeat.from(), heartbeat.next_offset(),
                                      heartbeat.leaving(), now);
    for (const MemberSeen& seen : heartbeat.seen()) {
      node_->membership.RecordAppliedOffset(seen.life_hash(),
                                            seen.next_offset());
    }
  }
  TakeNews(heartbeat);
  *reply->mutable_from() = node_->self();
  reply->set_next_offset(node_->tables.table()->next_offset());
  reply->set_leaving(node_->stopping);
  for (const RolloutTrip& trip : node_->guard.trips()) {
    *reply->add_trips() = trip;
  }
  return true;
}

void RosterKeeper::TakeNews(const Heartbeat& heartbeat) {
  for (const LifeSums& sums : heartbeat.sums())
    node_->estimates.MergePeerSums(sums);
  for (const GuardSum& sum : heartbeat.guards()) node_->guard.Merge(sum);
  for (const RolloutTrip& trip : heartbeat.trips()) {
    node_->guard.Trip(trip.rollout(), trip.reason());
  }
  for (const EndpointNote& note : heartbeat.notes()) {
    LoadReport report;
    report.running = note.running();
    report.queued = note.queued();
    report.leaving = note.leaving();
    node_->endpoints.RecordReport(note.address(), report, Clock::now());
  }
}

ConfigRecord RosterKeeper::NewRecord(const std::string& what) const {
  ConfigRecord record;
  record.set_author(node_->life);
  record.set_edit_id(node_->life + "/" + what + "/" + std::to_string(beats_));
  return record;
}

void RosterKeeper::AppendConfig(const ConfigRecord& record) {
  uint64_t offset = 0;
  std::error_code error =
      node_->platform.Append(kConfigStream, MessageToJson(record), &offset);
  if (error) {
    log_.Warning(
        "The log took no record.",
        {{"id", record.edit_id()}, {"code", std::to_string(error.value())}});
  }
}

void RosterKeeper::ProposeRoster(bool leaving) {
  TimePoint now = Clock::now();
  if (now < next_proposal_ || node_->stopping != leaving) return;
  std::optional<RosterChange> change =
      node_->membership.ProposeChange(leaving, now);
  if (!change.has_value()) return;
  // Boxes that see the same need append at different times.
  nanoseconds beat = FromProto(node_->settings.peers().heartbeat());
  double jitter = UnitHash(node_->life + std::to_string(beats_));
  next_proposal_ = now + beat + FromSeconds(2 * jitter * ToSeconds(beat));
  ConfigRecord record = NewRecord("roster");
  *record.mutable_roster() = *change;
  AppendConfig(record);
}

bool RosterKeeper::Leave() {
  Roster roster = node_->CurrentRoster();
  if (!HoldsLife(roster, node_->life)) return true;
  node_->membership.Tick(roster, Clock::now());
  ProposeRoster(true);
  return false;
}

void RosterKeeper::UpdateLimiter() {
  std::shared_ptr<const Table> table = node_->tables.table();
  const std::string& here = node_->settings.box().data_centre();
  double total = 0;
  double mine = 0;
  for (const DataCentre* centre : table->data_centres()) {
    total += centre->limit_weight();
    if (centre->name() == here) mine = centre->limit_weight();
  }
  const std::vector<Roster>& rosters = table->RostersFor(here);
  if (rosters.empty() || total <= 0) return;
  const Roster& roster = rosters.back();
  if (!HoldsLife(roster, node_->life)) return;
  node_->limiter.SetRoster(roster.epoch(),
                           static_cast<size_t>(roster.members_size()),
                           mine / total, rosters.size() == 1);
  if (node_->membership.HaveAllMembersApplied())
    node_->limiter.MarkEpochSettled(roster.epoch());
}

void RosterKeeper::MoveShares() {
  std::shared_ptr<const Table> table = node_->tables.table();
  std::vector<Member> peers = node_->membership.HeartbeatTargets();
  std::set<std::string> silent;  // not asked twice in one round
  for (const Organisation* organisation : table->organisations()) {
    for (const Member& peer : peers) {
      double wanted = node_->limiter.ComputeMissingShare(organisation->name());
      if (wanted < kLeastShareMove) break;
      if (silent.count(peer.life()) > 0) continue;
      ShareRequest request;
      request.set_life(node_->life);
      request.set_epoch(node_->limiter.epoch());
      request.set_organisation(organisation->name());
      request.set_wanted(wanted);
      ShareReply reply;
      if (node_->peers.Call(peer, "MoveShare", request, &reply)) {
        silent.insert(peer.life());
        continue;
      }
      node_->limiter.AddShare(organisation->name(), request.epoch(),
                              reply.given());
    }
  }
}

bool RosterKeeper::ServeShare(const ShareRequest& request, ShareReply* reply) {
  reply->set_given(node_->limiter.ReleaseShare(
      request.organisation(), request.epoch(), request.wanted()));
  return true;
}

void RosterKeeper::ReportTrips() {
  TimePoint now = Clock::now();
  if (now < next_trip_) return;
  std::shared_ptr<const Table> table = node_->tables.table();
  for (const Rollout* rollout : table->rollouts()) {
    RolloutProgress progress = table->ProgressFor(rollout->name());
    std::string why;
    if (progress.tripped()) {
      node_->guard.Trip(rollout->name(), progress.reason());
    } else if (node_->guard.IsTripped(rollout->name(), &why)) {
      next_trip_ = now + FromSeconds(kTripRetry.count());
      log_.Warning("Roll-out stopped.",
                   {{"rollout", rollout->name()}, {"why", why}});
      ConfigRecord record = NewRecord("trip/" + rollout->name());
      record.mutable_trip()->set_rollout(rollout->name());
      record.mutable_trip()->set_reason(why);
      AppendConfig(record);
    }
  }
}

void RosterKeeper::AdvanceRollouts() {
  std::shared_ptr<const Table> table = node_->tables.table();
  TimePoint now = Clock::now();
  for (const Rollout* rollout : table->rollouts()) {
    RolloutProgress progress = table->ProgressFor(rollout->name());
    uint64_t answers = node_->guard.ResponseCount(rollout->name());
    StepState& state = steps_[rollout->name()];
    if (state.step != progress.step()) {
      state = StepState{progress.step(), now, answers};
    }
    bool last = progress.step() + 1 >= rollout->steps_size();
    bool early = now - state.since < FromProto(rollout->min_step_time());
    bool few = answers - state.answers_before <
               static_cast<uint64_t>(rollout->min_samples());
    bool stopped = progress.tripped() || rollout->paused();
    if (!node_->IsReader() || last || early || few || stopped) continue;
    state.since = now;  // not again before the log has had time to answer
    ConfigRecord record = NewRecord("advance/" + rollout->name());
    record.mutable_advance()->set_rollout(rollout->name());
    record.mutable_advance()->set_step(progress.step() + 1);
    AppendConfig(record);
  }
}

}  // namespace leverwick
