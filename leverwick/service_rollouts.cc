// A box measures a step from when it saw the order, so a proposal comes later
// than the order's own time, never earlier. A box that starts midway learns
// the step from the record, and proposes nothing before the whole of a step's
// time has passed for it too: the others are ahead of it.

#include "leverwick/service_rollouts.h"

#include <limits>

#include "leverwick/digest.h"

namespace leverwick {
namespace {

bool IsLast(RolloutStep step) {
  return step == RolloutStep::kCompleted || step == RolloutStep::kRolledBack;
}

}  // namespace

const char* RolloutStepName(RolloutStep step) {
  static const char* const kNames[] = {"canary", "wider", "all", "completed",
                                       "rolled_back"};
  return kNames[static_cast<int>(step)];
}

std::string GuardSubject(const std::string& service,
                         const std::string& version) {
  return service + "/" + version;
}

void ServiceRollouts::Ordered(const std::string& service,
                              const std::string& target_version,
                              milliseconds duration, TimePoint now) {
  Rollout& rollout = rollouts_[service];
  if (rollout.target == target_version) return;
  rollout = Rollout();
  rollout.target = target_version;
  rollout.duration = duration;
  rollout.ordered_at = now;
  rollout.step_at = now;
}

void ServiceRollouts::Learned(const RolloutRecord& record, TimePoint now) {
  auto found = rollouts_.find(record.service);
  if (found == rollouts_.end()) return;
  Rollout& rollout = found->second;
  if (rollout.target != record.target_version) return;
  rollout.recorded = true;
  if (IsLast(rollout.step)) return;
  if (record.step <= rollout.step) return;
  rollout.step = record.step;
  rollout.step_at = now;
}

void ServiceRollouts::Trip(const std::string& service, const std::string& why) {
  auto found = rollouts_.find(service);
  if (found == rollouts_.end() || IsLast(found->second.step)) return;
  found->second.tripped = true;
  found->second.why = why;
}

bool ServiceRollouts::IsInShare(const std::string& service,
                                const Rollout& rollout,
                                uint64_t session) const {
  uint64_t mixed = StableHash(service + "/" + rollout.target, session);
  return static_cast<double>(mixed) <
         options_.target_share *
             static_cast<double>(std::numeric_limits<uint64_t>::max());
}

ServiceRollouts::Side ServiceRollouts::SideFor(
    const std::string& service, const std::string& session) const {
  auto found = rollouts_.find(service);
  if (found == rollouts_.end()) return Side::kAny;
  const Rollout& rollout = found->second;
  if (!MayUseTarget(service)) return Side::kBaseline;
  if (rollout.step >= RolloutStep::kAll) return Side::kTarget;
  uint64_t hash = StableHash(session);
  bool pinned =
      rollout.step == RolloutStep::kCanary && rollout.pinned.count(hash) > 0;
  bool on_target = !pinned && IsInShare(service, rollout, hash);
  return on_target ? Side::kTarget : Side::kBaseline;
}

void ServiceRollouts::Served(const std::string& service,
                             const std::string& session, TimePoint now) {
  sessions_[service][StableHash(session)] = now;
}

std::vector<uint64_t> ServiceRollouts::RecentSessions(
    const std::string& service, TimePoint now) const {
  std::vector<uint64_t> recent;
  auto rollout = rollouts_.find(service);
  auto known = sessions_.find(service);
  if (rollout == rollouts_.end() || known == sessions_.end()) return recent;
  for (const auto& session : known->second) {
    bool over = now - session.second > options_.session_pause;
    if (over || !IsInShare(service, rollout->second, session.first)) continue;
    recent.push_back(session.first);
  }
  return recent;
}

void ServiceRollouts::Pin(const std::string& service,
                          const std::string& target_version,
                          const std::vector<uint64_t>& sessions) {
  auto found = rollouts_.find(service);
  if (found == rollouts_.end() || found->second.target != target_version) {
    return;
  }
  found->second.pinned.insert(sessions.begin(), sessions.end());
}

std::string ServiceRollouts::TargetOf(const std::string& service) const {
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

nanoseconds ServiceRollouts::DurationOf(const std::string& service) const {
  auto found = rollouts_.find(service);
  return found == rollouts_.end() ? nanoseconds(0) : found->second.duration;
}

bool ServiceRollouts::IsActive(const std::string& service) const {
  auto found = rollouts_.find(service);
  return found != rollouts_.end() && !IsLast(found->second.step);
}

std::vector<std::string> ServiceRollouts::active_services() const {
  std::vector<std::string> active;
  for (const auto& entry : rollouts_) {
    if (!IsLast(entry.second.step)) active.push_back(entry.first);
  }
  return active;
}

bool ServiceRollouts::IsWatched(const std::string& service) const {
  auto found = rollouts_.find(service);
  return found != rollouts_.end() && !IsLast(found->second.step) &&
         !found->second.tripped;
}

bool ServiceRollouts::MayUseTarget(const std::string& service) const {
  auto found = rollouts_.find(service);
  if (found == rollouts_.end()) return true;
  const Rollout& rollout = found->second;
  return !rollout.tripped && rollout.step != RolloutStep::kRolledBack;
}

bool ServiceRollouts::IsTimed(const std::string& service) const {
  auto found = rollouts_.find(service);
  return found != rollouts_.end() && found->second.step < RolloutStep::kAll;
}

bool ServiceRollouts::IsDue(const Rollout& rollout, RolloutStep* next,
                            TimePoint now) const {
  if (rollout.tripped) {
    *next = RolloutStep::kRolledBack;
    return true;
  }
  if (!rollout.recorded) {
    *next = RolloutStep::kCanary;
    return true;
  }
  static constexpr RolloutStep kNext[] = {
      RolloutStep::kWider, RolloutStep::kAll, RolloutStep::kCompleted};
  const double from[] = {options_.wider_from, options_.all_from,
                         options_.completed_from};
  auto step = static_cast<size_t>(rollout.step);
  *next = kNext[step];
  double in_step = ToSeconds(now - rollout.step_at);
  bool all_too_short =
      rollout.step == RolloutStep::kAll &&
      in_step < options_.all_lasts * ToSeconds(rollout.duration);
  if (all_too_short) return false;
  double elapsed = ToSeconds(now - rollout.ordered_at);
  return elapsed >= from[step] * ToSeconds(rollout.duration);
}

std::vector<RolloutRecord> ServiceRollouts::Proposals(TimePoint now) const {
  std::vector<RolloutRecord> proposals;
  for (const auto& entry : rollouts_) {
    const Rollout& rollout = entry.second;
    RolloutStep next;
    if (IsLast(rollout.step) || !IsDue(rollout, &next, now)) continue;
    proposals.push_back({entry.first, rollout.target, next});
  }
  return proposals;
}

void ServiceRollouts::Expire(TimePoint now) {
  for (auto& service : sessions_) {
    auto& sessions = service.second;
    for (auto session = sessions.begin(); session != sessions.end();) {
      bool over = now - session->second > options_.session_pause;
      session = over ? sessions.erase(session) : std::next(session);
    }
  }
}

}  // namespace leverwick
