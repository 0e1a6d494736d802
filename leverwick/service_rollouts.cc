// A box measures a step from when it received the order, so a proposal comes
// later than the order's own time, never earlier. A box that starts midway
// reads the step from the record, and proposes nothing before the step's full
// time has passed for it too: the other boxes are ahead of it.
//
// The first use of the target is a barrier across a continuous stream of
// requests. To close it, a session is reported when its request is sent, not
// when it ends: the session's next request comes after the response, and by
// then the other boxes have received the report. A session can slip through
// only around the first use, if its response and pause are shorter than the
// propagation delay of the report. Boxes receive the first step within some
// tens of milliseconds of each other and count the settling time from then, so
// that they start to use the target together.

#include "leverwick/service_rollouts.h"

#include <algorithm>
#include <limits>

#include "leverwick/digest.h"

namespace leverwick {
namespace {

// Part of the bound on exposure that is used. The rest covers requests that are
// counted before a step and reach the target after it.
constexpr double kUsableExposure = 0.96;

// Part of the bound that the last steps, with all requests on the target, may
// use. They must last long enough to show faults that appear only then, and the
// share before them must be large enough to show all other faults.
constexpr double kAllStepExposure = 2.0 / 3;

bool IsFinal(RolloutStep step) {
  return step == RolloutStep::kCompleted || step == RolloutStep::kRolledBack;
}

}  // namespace

RolloutOptions RolloutOptions::ForExposureBound(double bound) {
  RolloutOptions options;
  double end =
      std::min(1 - options.all_start_fraction, kAllStepExposure * bound);
  options.all_start_fraction = 1 - end;
  options.completed_start_fraction =
      std::max(options.completed_start_fraction, 1 - end / 2);
  options.min_all_fraction =
      options.completed_start_fraction - options.all_start_fraction;
  double before = (kUsableExposure * bound - end) / options.all_start_fraction;
  options.target_share = std::min(options.target_share, before);
  return options;
}

const char* RolloutStepName(RolloutStep step) {
  static const char* const kNames[] = {"canary", "wider", "all", "completed",
                                       "rolled_back"};
  return kNames[static_cast<int>(step)];
}

const char* ServiceRollouts::SideName(Side side) {
  static const char* const kNames[] = {"any", "baseline", "target"};
  return kNames[static_cast<int>(side)];
}

std::string RegressionSubject(const std::string& service,
                              const std::string& version) {
  return service + "/" + version;
}

void ServiceRollouts::RecordOrder(const std::string& service,
                                  const std::string& target_version,
                                  milliseconds duration, TimePoint now) {
  Rollout& rollout = rollouts_[service];
  if (rollout.target == target_version) return;
  std::set<std::string> unhealthy = std::move(rollout.unhealthy_before);
  if (rollout.IsUnhealthy()) unhealthy.insert(rollout.target);
  unhealthy.erase(target_version);
  rollout = Rollout();
  rollout.unhealthy_before = std::move(unhealthy);
  rollout.target = target_version;
  rollout.duration = duration;
  rollout.ordered_at = now;
  rollout.step_at = now;
}

void ServiceRollouts::ApplyRecord(const RolloutRecord& record, TimePoint now) {
  auto found = rollouts_.find(record.service);
  if (found == rollouts_.end()) return;
  Rollout& rollout = found->second;
  if (rollout.target != record.target_version) return;
  if (!rollout.is_recorded) {
    rollout.is_recorded = true;
    rollout.recorded_at = now;
    if (record.step == RolloutStep::kCanary) {
      PinRecentSessions(record.service, &rollout, now);
    }
  }
  if (IsFinal(rollout.step)) return;
  if (record.step <= rollout.step) return;
  rollout.step = record.step;
  rollout.step_at = now;
}

void ServiceRollouts::RecordStatusWritten(const RolloutRecord& record) {
  auto found = rollouts_.find(record.service);
  bool is_its_end = found != rollouts_.end() && record.is_finished() &&
                    found->second.target == record.target_version;
  if (is_its_end) found->second.is_status_written = true;
}

void ServiceRollouts::Trip(const std::string& service,
                           const std::string& reason) {
  auto found = rollouts_.find(service);
  if (found == rollouts_.end() || IsFinal(found->second.step)) return;
  found->second.is_tripped = true;
  found->second.reason = reason;
}

bool ServiceRollouts::IsInTargetShare(const std::string& service,
                                      const Rollout& rollout,
                                      uint64_t session) const {
  uint64_t mixed = StableHash(service + "/" + rollout.target, session);
  return static_cast<double>(mixed) <
         options_.target_share *
             static_cast<double>(std::numeric_limits<uint64_t>::max());
}

bool ServiceRollouts::HasSettled(const Rollout& rollout, TimePoint now) const {
  return rollout.is_recorded && rollout.is_synced &&
         now >= rollout.recorded_at + options_.settling_time;
}

ServiceRollouts::Side ServiceRollouts::SideFor(const std::string& service,
                                               const std::string& session,
                                               TimePoint now) const {
  auto found = rollouts_.find(service);
  if (found == rollouts_.end()) return Side::kAny;
  const Rollout& rollout = found->second;
  if (!MayUseTarget(service)) return Side::kBaseline;
  if (rollout.step >= RolloutStep::kAll) return Side::kTarget;
  uint64_t hash = StableHash(session);
  bool stays = rollout.step == RolloutStep::kCanary &&
               (!HasSettled(rollout, now) || rollout.pinned.count(hash) > 0);
  bool on_target = !stays && IsInTargetShare(service, rollout, hash);
  return on_target ? Side::kTarget : Side::kBaseline;
}

void ServiceRollouts::RecordRequestStart(const std::string& service,
                                         const std::string& session,
                                         TimePoint now) {
  if (session.empty()) return;
  Session& served = sessions_[service][StableHash(session)];
  ++served.in_flight;
  served.used_at = now;
}

void ServiceRollouts::RecordRequestEnd(const std::string& service,
                                       const std::string& session,
                                       TimePoint now) {
  if (session.empty()) return;
  Session& served = sessions_[service][StableHash(session)];
  served.in_flight = std::max(0, served.in_flight - 1);
  served.used_at = now;
}

bool ServiceRollouts::IsOver(const Session& session, TimePoint now) const {
  return session.in_flight == 0 &&
         now - session.used_at > options_.session_idle_timeout;
}

void ServiceRollouts::RecordSend(const std::string& service,
                                 const std::string& session,
                                 const std::string& version) {
  auto found = rollouts_.find(service);
  if (found == rollouts_.end() || session.empty()) return;
  Rollout& rollout = found->second;
  bool stays = rollout.is_recorded && rollout.step == RolloutStep::kCanary &&
               version != rollout.target;
  uint64_t hash = StableHash(session);
  if (stays && IsInTargetShare(service, rollout, hash)) AddPin(&rollout, hash);
}

void ServiceRollouts::AddPin(Rollout* rollout, uint64_t session) {
  bool is_new = rollout->pinned.insert(session).second;
  if (is_new) rollout->unreported_pins.insert(session);
}

void ServiceRollouts::PinRecentSessions(const std::string& service,
                                        Rollout* rollout, TimePoint now) {
  for (const auto& [hash, session] : sessions_[service]) {
    bool must_stay =
        !IsOver(session, now) && IsInTargetShare(service, *rollout, hash);
    if (must_stay) AddPin(rollout, hash);
  }
}

std::vector<uint64_t> ServiceRollouts::TakeUnreportedPins(
    const std::string& service) {
  auto found = rollouts_.find(service);
  if (found == rollouts_.end()) return {};
  std::unordered_set<uint64_t>& unreported = found->second.unreported_pins;
  std::vector<uint64_t> sessions(unreported.begin(), unreported.end());
  unreported.clear();
  return sessions;
}

void ServiceRollouts::RequeueUnreportedPins(
    const std::string& service, const std::string& target_version,
    const std::vector<uint64_t>& sessions) {
  auto found = rollouts_.find(service);
  if (found == rollouts_.end()) return;
  Rollout& rollout = found->second;
  bool needed =
      rollout.target == target_version && rollout.step == RolloutStep::kCanary;
  if (needed) rollout.unreported_pins.insert(sessions.begin(), sessions.end());
}

void ServiceRollouts::RecordSyncedUpTo(TimePoint as_of) {
  for (auto& entry : rollouts_) {
    Rollout& state = entry.second;
    if (state.is_recorded && as_of >= state.recorded_at) state.is_synced = true;
  }
}

void ServiceRollouts::PinSessions(const std::string& service,
                                  const std::string& target_version,
                                  const std::vector<uint64_t>& sessions) {
  auto found = rollouts_.find(service);
  if (found == rollouts_.end() || found->second.target != target_version) {
    return;
  }
  found->second.pinned.insert(sessions.begin(), sessions.end());
}

std::string ServiceRollouts::TargetFor(const std::string& service) const {
  auto found = rollouts_.find(service);
  return found == rollouts_.end() ? "" : found->second.target;
}

std::vector<RolloutRecord> ServiceRollouts::records() const {
  std::vector<RolloutRecord> records;
  for (const auto& entry : rollouts_) {
    records.push_back({entry.first, entry.second.target, entry.second.step});
  }
  return records;
}

nanoseconds ServiceRollouts::DurationFor(const std::string& service) const {
  auto found = rollouts_.find(service);
  return found == rollouts_.end() ? nanoseconds(0) : found->second.duration;
}

bool ServiceRollouts::IsActive(const std::string& service) const {
  auto found = rollouts_.find(service);
  return found != rollouts_.end() && !IsFinal(found->second.step);
}

std::vector<std::string> ServiceRollouts::active_services() const {
  std::vector<std::string> active;
  for (const auto& entry : rollouts_) {
    if (!IsFinal(entry.second.step)) active.push_back(entry.first);
  }
  return active;
}

bool ServiceRollouts::IsMonitored(const std::string& service) const {
  auto found = rollouts_.find(service);
  return found != rollouts_.end() && !IsFinal(found->second.step) &&
         !found->second.is_tripped;
}

bool ServiceRollouts::MayUseTarget(const std::string& service) const {
  auto found = rollouts_.find(service);
  return found == rollouts_.end() || !found->second.IsUnhealthy();
}

bool ServiceRollouts::IsRetired(const std::string& service,
                                const std::string& version) const {
  if (IsUnhealthy(service, version)) return true;
  auto found = rollouts_.find(service);
  return found != rollouts_.end() &&
         found->second.step == RolloutStep::kCompleted &&
         version != found->second.target;
}

VersionUse ServiceRollouts::UseOf(const std::string& service,
                                  const std::string& version) const {
  if (IsUnhealthy(service, version)) return VersionUse::kOther;
  auto found = rollouts_.find(service);
  if (found == rollouts_.end()) return VersionUse::kServes;
  const Rollout& rollout = found->second;
  bool is_target = version == rollout.target;
  bool is_target_for_all =
      rollout.step >= RolloutStep::kAll && !rollout.IsUnhealthy();
  if (is_target == is_target_for_all) return VersionUse::kServes;
  if (is_target) return VersionUse::kOther;
  bool is_ended =
      rollout.step == RolloutStep::kCompleted && rollout.is_status_written;
  return is_ended ? VersionUse::kStopped : VersionUse::kReplaced;
}

bool ServiceRollouts::IsUnhealthy(const std::string& service,
                                  const std::string& version) const {
  auto found = rollouts_.find(service);
  if (found == rollouts_.end()) return false;
  const Rollout& rollout = found->second;
  if (version == rollout.target) return rollout.IsUnhealthy();
  return rollout.unhealthy_before.count(version) > 0;
}

bool ServiceRollouts::IsTargetInUse(const std::string& service,
                                    TimePoint now) const {
  auto found = rollouts_.find(service);
  if (found == rollouts_.end() || !MayUseTarget(service)) return false;
  const Rollout& rollout = found->second;
  return rollout.step > RolloutStep::kCanary || HasSettled(rollout, now);
}

bool ServiceRollouts::IsLatencyComparable(const std::string& service) const {
  auto found = rollouts_.find(service);
  return found != rollouts_.end() && found->second.step < RolloutStep::kAll;
}

bool ServiceRollouts::IsNextStepDue(const Rollout& rollout, RolloutStep* next,
                                    TimePoint now) const {
  if (rollout.is_tripped) {
    *next = RolloutStep::kRolledBack;
    return true;
  }
  if (!rollout.is_recorded) {
    *next = RolloutStep::kCanary;
    return true;
  }
  static constexpr RolloutStep kNext[] = {
      RolloutStep::kWider, RolloutStep::kAll, RolloutStep::kCompleted};
  const double start_fractions[] = {options_.wider_start_fraction,
                                    options_.all_start_fraction,
                                    options_.completed_start_fraction};
  auto step = static_cast<size_t>(rollout.step);
  *next = kNext[step];
  double seconds_in_step = ToSeconds(now - rollout.step_at);
  bool is_all_too_short =
      rollout.step == RolloutStep::kAll &&
      seconds_in_step < options_.min_all_fraction * ToSeconds(rollout.duration);
  if (is_all_too_short) return false;
  double elapsed = ToSeconds(now - rollout.ordered_at);
  return elapsed >= start_fractions[step] * ToSeconds(rollout.duration);
}

std::vector<RolloutRecord> ServiceRollouts::DueRecords(TimePoint now) const {
  std::vector<RolloutRecord> due;
  for (const auto& entry : rollouts_) {
    const Rollout& rollout = entry.second;
    RolloutStep next;
    if (IsFinal(rollout.step) || !IsNextStepDue(rollout, &next, now)) continue;
    due.push_back({entry.first, rollout.target, next});
  }
  return due;
}

void ServiceRollouts::ExpireSessions(TimePoint now) {
  for (auto& service : sessions_) {
    auto& sessions = service.second;
    for (auto session = sessions.begin(); session != sessions.end();) {
      bool is_over = IsOver(session->second, now);
      session = is_over ? sessions.erase(session) : std::next(session);
    }
  }
}

}  // namespace leverwick
