#include "leverwick/send_eligibility.h"

#include <algorithm>

namespace leverwick {

// Ordered by cost, cheapest first: most endpoints pass all checks.
const SendEligibility::Check SendEligibility::kChecks[] = {
    &SendEligibility::TimeUntilReachable,
    &SendEligibility::TimeUntilBackoffEnds,
    &SendEligibility::TimeUntilSlowStartAdmits,
    &SendEligibility::TimeUntilCapacityShare,
    &SendEligibility::TimeUntilPermit};

bool SendEligibility::IsEligible(const ListedEndpoint& endpoint, Scope scope,
                                 TimePoint now) const {
  return std::all_of(std::begin(kChecks), std::end(kChecks), [&](Check check) {
    return (this->*check)(endpoint, scope, now) <= nanoseconds(0);
  });
}

nanoseconds SendEligibility::TimeUntilEligible(const ListedEndpoint& endpoint,
                                               TimePoint now) const {
  nanoseconds latest(0);
  for (Check check : kChecks) {
    latest = std::max(latest, (this->*check)(endpoint, Scope::kAll, now));
  }
  return latest;
}

void SendEligibility::RecordSend(const std::string& endpoint,
                                 size_t max_in_flight, TimePoint now) const {
  dependencies_.reach->RecordAttempt(endpoint, now);
  dependencies_.backoffs->RecordSend(endpoint, now);
  dependencies_.slow_start->RecordSend(endpoint, now);
  dependencies_.permits->RecordSend(endpoint, now);
  dependencies_.brittle->RecordSend(endpoint, max_in_flight, now);
}

nanoseconds SendEligibility::TimeUntilReachable(const ListedEndpoint& endpoint,
                                                Scope, TimePoint now) const {
  bool may_attempt = dependencies_.reach->AllowsAttempt(endpoint.address, now);
  return may_attempt ? nanoseconds(0) : Reachability::kProbeInterval;
}

nanoseconds SendEligibility::TimeUntilBackoffEnds(
    const ListedEndpoint& endpoint, Scope scope, TimePoint now) const {
  if (scope == Scope::kIgnoreLimitsAndBackoffs) return nanoseconds(0);
  return dependencies_.backoffs->TimeUntilSendAllowed(endpoint.address, now);
}

nanoseconds SendEligibility::TimeUntilSlowStartAdmits(
    const ListedEndpoint& endpoint, Scope, TimePoint now) const {
  return dependencies_.slow_start->TimeUntilSendAllowed(endpoint, now);
}

nanoseconds SendEligibility::TimeUntilCapacityShare(
    const ListedEndpoint& endpoint, Scope scope, TimePoint now) const {
  bool is_ignored =
      scope == Scope::kIgnoreLimits || scope == Scope::kIgnoreLimitsAndBackoffs;
  if (is_ignored) return nanoseconds(0);
  return dependencies_.brittle->TimeUntilSendAllowed(endpoint, now);
}

nanoseconds SendEligibility::TimeUntilPermit(const ListedEndpoint& endpoint,
                                             Scope scope, TimePoint now) const {
  const std::string& id = endpoint.address;
  bool is_ignored =
      scope == Scope::kIgnoreLimits || scope == Scope::kIgnoreLimitsAndBackoffs;
  if (is_ignored || dependencies_.permits->MaySend(id, now))
    return nanoseconds(0);
  bool can_request = dependencies_.permits->CanRequestPermit(id, now);
  if (scope == Scope::kAllowPermitRequest && can_request) return nanoseconds(0);
  // Never zero without a permit, even if a granter may have capacity now.
  return std::max(dependencies_.permits->TimeUntilCapacity(id, now),
                  nanoseconds(1));
}

}  // namespace leverwick
