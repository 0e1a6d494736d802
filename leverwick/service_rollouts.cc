// A box measures a step from when it saw the order, so a proposal comes later
// than the order's own time, never earlier. A box that starts midway learns
// the step from the record, and proposes nothing before the whole of a step's
// time has passed for it too: the others are ahead of it.

#include "leverwick/service_rollouts.h"

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

void ServiceRollouts::Ordered(const std::string& service,
                              const std::string& target_version,
                              milliseconds duration, TimePoint now) {
  Rollout& rollout = rollouts_[service];
  if (rollout.target == target_version) return;
  rollout = Rollout();
  rollout.target = target_version;
  rollout.duration = duration;
  rollout.ordered_at = now;
}

void ServiceRollouts::Learned(const RolloutRecord& record, TimePoint) {
  auto found = rollouts_.find(record.service);
  if (found == rollouts_.end()) return;
  Rollout& rollout = found->second;
  if (rollout.target != record.target_version) return;
  rollout.recorded = true;
  if (IsLast(rollout.step)) return;
  if (record.step > rollout.step) rollout.step = record.step;
}

void ServiceRollouts::Trip(const std::string& service,
                           const std::string& why) {
  auto found = rollouts_.find(service);
  if (found == rollouts_.end() || IsLast(found->second.step)) return;
  found->second.tripped = true;
  found->second.why = why;
}

bool ServiceRollouts::IsOnTarget(const Rollout& rollout,
                                 const std::string& service,
                                 const std::string& session,
                                 const Session* known) const {
  if (rollout.tripped || rollout.step == RolloutStep::kRolledBack) return false;
  if (rollout.step >= RolloutStep::kAll) return true;
  if (known != nullptr && known->on_target) return true;
  bool wider = rollout.step == RolloutStep::kWider;
  if (known != nullptr && !wider) return false;
  double draw = UnitHash(service + "/" + rollout.target + "/" + session);
  return draw < options_.target_share;
}

ServiceRollouts::Side ServiceRollouts::SideFor(const std::string& service,
                                               const std::string& session,
                                               TimePoint now) {
  auto key = std::make_pair(service, session);
  auto seen = sessions_.find(key);
  const Session* known = nullptr;
  if (seen != sessions_.end() && !IsOver(seen->second, now)) {
    known = &seen->second;
  }
  auto found = rollouts_.find(service);
  bool on_target = found != rollouts_.end() &&
                   IsOnTarget(found->second, service, session, known);
  if (!session.empty()) {
    Session& entry = sessions_[key];
    entry.on_target = on_target;
    entry.last = now;
    ++entry.open;
  }
  if (found == rollouts_.end()) return Side::kAny;
  return on_target ? Side::kTarget : Side::kBaseline;
}

void ServiceRollouts::Ended(const std::string& service,
                            const std::string& session, TimePoint now) {
  auto found = sessions_.find({service, session});
  if (found == sessions_.end()) return;
  found->second.last = now;
  if (found->second.open > 0) --found->second.open;
}

bool ServiceRollouts::IsOver(const Session& session, TimePoint now) const {
  return session.open == 0 && now - session.last > options_.session_pause;
}

std::string ServiceRollouts::TargetOf(const std::string& service) const {
  auto found = rollouts_.find(service);
  return found == rollouts_.end() ? "" : found->second.target;
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
  for (auto session = sessions_.begin(); session != sessions_.end();) {
    session = IsOver(session->second, now) ? sessions_.erase(session) : std::next(session);
  }
}

}  // namespace leverwick
