// A box measures a step from when it saw the order, so a proposal comes later
// than the order's own time, never earlier. A box that starts midway learns
// the step from the record, and proposes nothing before the whole of a step's
// time has passed for it too: the others are ahead of it.

#include "leverwick/service_rollouts.h"

#include "leverwick/digest.h"

namespace leverwick {
namespace {

constexpr double kHalfShare = 0.5;

bool Ended(RolloutStep step) {
  return step == RolloutStep::kCompleted || step == RolloutStep::kRolledBack;
}

}  // namespace

const char* RolloutStepName(RolloutStep step) {
  static const char* const kNames[] = {"canary", "half", "all", "completed",
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
  if (Ended(rollout.step)) return;
  if (record.step > rollout.step) rollout.step = record.step;
}

void ServiceRollouts::Trip(const std::string& service,
                           const std::string& why) {
  auto found = rollouts_.find(service);
  if (found == rollouts_.end() || Ended(found->second.step)) return;
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
  bool half = rollout.step == RolloutStep::kHalf;
  if (known != nullptr && !half) return false;
  double draw = UnitHash(service + "/" + rollout.target + "/" + session);
  return draw < (half ? kHalfShare : options_.canary_share);
}

ServiceRollouts::Side ServiceRollouts::SideFor(const std::string& service,
                                               const std::string& session,
                                               TimePoint now) {
  auto key = std::make_pair(service, session);
  auto seen = sessions_.find(key);
  const Session* known = nullptr;
  if (seen != sessions_.end() &&
      now - seen->second.last < options_.session_pause) {
    known = &seen->second;
  }
  auto found = rollouts_.find(service);
  bool on_target = found != rollouts_.end() &&
                   IsOnTarget(found->second, service, session, known);
  if (!session.empty()) sessions_[key] = {on_target, now};
  if (found == rollouts_.end()) return Side::kAny;
  return on_target ? Side::kTarget : Side::kBaseline;
}

std::string ServiceRollouts::TargetOf(const std::string& service) const {
  auto found = rollouts_.find(service);
  return found == rollouts_.end() ? "" : found->second.target;
}

bool ServiceRollouts::IsActive(const std::string& service) const {
  auto found = rollouts_.find(service);
  return found != rollouts_.end() && !Ended(found->second.step);
}

std::vector<std::string> ServiceRollouts::active_services() const {
  std::vector<std::string> active;
  for (const auto& entry : rollouts_) {
    if (!Ended(entry.second.step)) active.push_back(entry.first);
  }
  return active;
}

bool ServiceRollouts::IsWatched(const std::string& service) const {
  auto found = rollouts_.find(service);
  return found != rollouts_.end() && !Ended(found->second.step) &&
         !found->second.tripped;
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
      RolloutStep::kHalf, RolloutStep::kAll, RolloutStep::kCompleted};
  const double from[] = {options_.half_from, options_.all_from,
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
    if (Ended(rollout.step) || !IsDue(rollout, &next, now)) continue;
    proposals.push_back({entry.first, rollout.target, next});
  }
  return proposals;
}

void ServiceRollouts::Expire(TimePoint now) {
  for (auto session = sessions_.begin(); session != sessions_.end();) {
    bool old = now - session->second.last > options_.session_pause;
    session = old ? sessions_.erase(session) : std::next(session);
  }
}

}  // namespace leverwick
