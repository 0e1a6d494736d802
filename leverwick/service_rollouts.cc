// A box measures a step from when it saw the order, so a proposal comes later
// than the order's own time, never earlier. A box that starts midway learns
// the step from the record, and proposes nothing before the whole of a step's
// time has passed for it too: the others are ahead of it.
//
// The first use of the target is a barrier across a stream of requests that
// never stops. It is closed by telling a session when its request is sent, not
// when it ends: the session's next request comes after the answer, and by then
// the others know. What can slip through is a session whose answer and pause
// are shorter than the way of the news, around the moment of the first use.
// Boxes learn the first step within some ten milliseconds of each other and
// count `settling` from then, so that they begin together.

#include "leverwick/service_rollouts.h"

#include <algorithm>
#include <limits>

#include "leverwick/digest.h"

namespace leverwick {
namespace {

// What is left of the bound on exposure for requests that are counted on one
// side of a moment and reach the target on the other.
constexpr double kExposureUsed = 0.96;
// Part of the bound that all requests at the end of a roll-out may use. They
// must go to the target for long enough to show what is bad only then, and the
// share before them be large enough to show the rest.
constexpr double kEndOfExposure = 2.0 / 3;

bool IsLast(RolloutStep step) {
  return step == RolloutStep::kCompleted || step == RolloutStep::kRolledBack;
}

}  // namespace

RolloutOptions RolloutOptions::ForExposure(double bound) {
  RolloutOptions options;
  double end = std::min(1 - options.all_from, kEndOfExposure * bound);
  options.all_from = 1 - end;
  options.completed_from = std::max(options.completed_from, 1 - end / 2);
  options.all_lasts = options.completed_from - options.all_from;
  double before = (kExposureUsed * bound - end) / options.all_from;
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

std::string GuardSubject(const std::string& service,
                         const std::string& version) {
  return service + "/" + version;
}

void ServiceRollouts::Ordered(const std::string& service,
                              const std::string& target_version,
                              milliseconds duration, TimePoint now) {
  Rollout& rollout = rollouts_[service];
  if (rollout.target == target_version) return;
  std::set<std::string> bad = std::move(rollout.bad_before);
  if (rollout.IsBad()) bad.insert(rollout.target);
  bad.erase(target_version);
  rollout = Rollout();
  rollout.bad_before = std::move(bad);
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
  if (!rollout.recorded) {
    rollout.recorded = true;
    rollout.recorded_at = now;
    if (record.step == RolloutStep::kCanary) {
      PinRecent(record.service, &rollout, now);
    }
  }
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

bool ServiceRollouts::HasSettled(const Rollout& rollout, TimePoint now) const {
  return rollout.recorded && rollout.heard &&
         now >= rollout.recorded_at + options_.settling;
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
  bool on_target = !stays && IsInShare(service, rollout, hash);
  return on_target ? Side::kTarget : Side::kBaseline;
}

void ServiceRollouts::Began(const std::string& service,
                            const std::string& session, TimePoint now) {
  if (session.empty()) return;
  Session& served = sessions_[service][StableHash(session)];
  ++served.open;
  served.used_at = now;
}

void ServiceRollouts::Ended(const std::string& service,
                            const std::string& session, TimePoint now) {
  if (session.empty()) return;
  Session& served = sessions_[service][StableHash(session)];
  served.open = std::max(0, served.open - 1);
  served.used_at = now;
}

bool ServiceRollouts::IsOver(const Session& session, TimePoint now) const {
  return session.open == 0 && now - session.used_at > options_.session_pause;
}

void ServiceRollouts::Sent(const std::string& service,
                           const std::string& session,
                           const std::string& version) {
  auto found = rollouts_.find(service);
  if (found == rollouts_.end() || session.empty()) return;
  Rollout& rollout = found->second;
  bool may_stay = rollout.recorded && rollout.step == RolloutStep::kCanary &&
                  version != rollout.target;
  uint64_t hash = StableHash(session);
  if (may_stay && IsInShare(service, rollout, hash)) PinHere(&rollout, hash);
}

void ServiceRollouts::PinHere(Rollout* rollout, uint64_t session) {
  bool is_news = rollout->pinned.insert(session).second;
  if (is_news) rollout->untold.insert(session);
}

void ServiceRollouts::PinRecent(const std::string& service, Rollout* rollout,
                                TimePoint now) {
  for (const auto& [hash, session] : sessions_[service]) {
    bool is_concerned =
        !IsOver(session, now) && IsInShare(service, *rollout, hash);
    if (is_concerned) PinHere(rollout, hash);
  }
}

std::vector<uint64_t> ServiceRollouts::TakeUntold(const std::string& service) {
  auto found = rollouts_.find(service);
  if (found == rollouts_.end()) return {};
  std::unordered_set<uint64_t>& untold = found->second.untold;
  std::vector<uint64_t> taken(untold.begin(), untold.end());
  untold.clear();
  return taken;
}

void ServiceRollouts::Retell(const std::string& service,
                             const std::string& target_version,
                             const std::vector<uint64_t>& sessions) {
  auto found = rollouts_.find(service);
  if (found == rollouts_.end()) return;
  Rollout& rollout = found->second;
  bool matters =
      rollout.target == target_version && rollout.step == RolloutStep::kCanary;
  if (matters) rollout.untold.insert(sessions.begin(), sessions.end());
}

void ServiceRollouts::Heard(TimePoint as_of) {
  for (auto& entry : rollouts_) {
    Rollout& rollout = entry.second;
    if (rollout.recorded && as_of >= rollout.recorded_at) rollout.heard = true;
  }
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
  return found == rollouts_.end() || !found->second.IsBad();
}

bool ServiceRollouts::IsLeft(const std::string& service,
                             const std::string& version) const {
  if (IsBad(service, version)) return true;
  auto found = rollouts_.find(service);
  return found != rollouts_.end() &&
         found->second.step == RolloutStep::kCompleted &&
         version != found->second.target;
}

bool ServiceRollouts::IsBad(const std::string& service,
                            const std::string& version) const {
  auto found = rollouts_.find(service);
  if (found == rollouts_.end()) return false;
  const Rollout& rollout = found->second;
  if (version == rollout.target) return rollout.IsBad();
  return rollout.bad_before.count(version) > 0;
}

bool ServiceRollouts::IsUsed(const std::string& service, TimePoint now) const {
  auto found = rollouts_.find(service);
  if (found == rollouts_.end() || !MayUseTarget(service)) return false;
  const Rollout& rollout = found->second;
  return rollout.step > RolloutStep::kCanary || HasSettled(rollout, now);
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
      bool over = IsOver(session->second, now);
      session = over ? sessions.erase(session) : std::next(session);
    }
  }
}

}  // namespace leverwick
