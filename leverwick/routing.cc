// A pinned session has one candidate, which must still be in force and allowed:
// a withdrawal takes precedence over a pin. Without a pin, the candidates are
// the stable versions that the row allows and that match the requested model.

#include "leverwick/routing.h"

#include <algorithm>

#include "leverwick/digest.h"

namespace leverwick {
namespace {

bool MatchesModel(const std::string& model, const Version& version) {
  return model == kAnyModel || model == version.model() ||
         model == VersionKey(version.model(), version.version());
}

bool IsKnownModel(const Table& table, const std::string& model) {
  std::vector<const Version*> versions = table.versions();
  return std::any_of(versions.begin(), versions.end(),
                     [&model](const Version* version) {
                       return MatchesModel(model, *version);
                     });
}

std::error_code FindPinned(const Table& table, const RouteRequest& request,
                           std::vector<const Version*>* candidates) {
  const SessionPin& pin = *request.pin;
  if (pin.organisation != request.organisation->name()) {
    return Result::kBadSession;
  }
  const Version* version = table.FindVersion(pin.model, pin.version);
  if (version == nullptr || version->state() == Version::WITHDRAWN) {
    return Result::kSessionWithdrawn;
  }
  if (!IsAllowed(*request.organisation, *version)) return Result::kNotAllowed;
  if (!MatchesModel(request.model, *version)) return Result::kBadSession;
  candidates->push_back(version);
  return {};
}

double StepShare(const Rollout& rollout, const RolloutProgress& progress) {
  int step = std::min(progress.step(), rollout.steps_size() - 1);
  return rollout.steps(step);
}

}  // namespace

bool IsAllowed(const Organisation& organisation, const Version& version) {
  for (const std::string& allowed : organisation.allowed()) {
    if (allowed == version.model()) return true;
    if (allowed == VersionKey(version.model(), version.version())) return true;
  }
  return false;
}

std::error_code FindCandidates(const Table& table, const RouteRequest& request,
                               std::vector<const Version*>* candidates) {
  candidates->clear();
  if (request.pin != nullptr) return FindPinned(table, request, candidates);
  bool any_allowed = false;
  for (const Version* version : table.versions()) {
    if (!MatchesModel(request.model, *version)) continue;
    if (!IsAllowed(*request.organisation, *version)) continue;
    any_allowed = true;
    bool stable = version->state() == Version::STABLE;
    bool draining = version->state() == Version::DRAINING;
    if (stable || (draining && !request.new_session)) {
      candidates->push_back(version);
    }
  }
  if (!candidates->empty()) return {};
  if (any_allowed) return Result::kNoEndpoint;
  return IsKnownModel(table, request.model) ? Result::kNotAllowed
                                            : Result::kUnknownModel;
}

bool MayServe(const Table& table, const RouteRequest& request,
              const Version& version) {
  if (version.state() == Version::WITHDRAWN) return false;
  if (!IsAllowed(*request.organisation, version)) return false;
  if (!MatchesModel(request.model, version)) return false;
  if (request.pin != nullptr) {
    return request.pin->organisation == request.organisation->name() &&
           request.pin->model == version.model() &&
           request.pin->version == version.version();
  }
  if (version.state() == Version::DRAINING) return !request.new_session;
  if (version.state() == Version::STABLE) return true;
  for (const Rollout* rollout : table.rollouts()) {
    if (rollout->model() == version.model() &&
        rollout->to_version() == version.version() &&
        !table.ProgressFor(rollout->name()).tripped()) {
      return true;
    }
  }
  return false;
}

const Version* ApplyRollouts(
    const Table& table, const Organisation& organisation, const Version& chosen,
    const std::string& sticky_key,
    const std::function<bool(const std::string&)>& is_tripped,
    const Rollout** applied) {
  for (const Rollout* rollout : table.rollouts()) {
    if (rollout->model() != chosen.model()) continue;
    if (rollout->from_version() != chosen.version()) continue;
    const Version* to =
        table.FindVersion(rollout->model(), rollout->to_version());
    if (to == nullptr || to->state() == Version::WITHDRAWN) continue;
    if (!IsAllowed(organisation, *to)) continue;
    RolloutProgress progress = table.ProgressFor(rollout->name());
    if (progress.tripped() || is_tripped(rollout->name())) continue;
    double draw = UnitHash(rollout->name() + "/" + sticky_key);
    if (draw >= StepShare(*rollout, progress)) continue;
    *applied = rollout;
    return to;
  }
  return nullptr;
}

}  // namespace leverwick
