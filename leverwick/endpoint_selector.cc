// Looks at every endpoint that may take the request; a service has a few
// hundred at most.

#include "leverwick/endpoint_selector.h"

#include <algorithm>

namespace leverwick {

using Side = ServiceRollouts::Side;

namespace {

// Drains last for seconds to hours, and no order says how long; a caller that
// comes back each second costs little and is late by a second at most.
constexpr milliseconds kDrainedRetryAfter{1000};
// Dearer than any wait that another endpoint could mean.
constexpr Seconds kLastResortPenalty{1000};

}  // namespace

std::string EndpointSelector::Select(const EndpointCriteria& criteria,
                                     TimePoint now) const {
  // A return to the version before may be found bad as well, by chance: without
  // this no version is left and the service has no endpoint until the next
  // order.
  if (!criteria.allow_unhealthy_versions &&
      AllListedUnhealthy(criteria.service)) {
    EndpointCriteria any = criteria;
    any.allow_unhealthy_versions = true;
    return Select(any, now);
  }
  std::string chosen = SelectExcluding(criteria, criteria.attempted, now);
  // With few endpoints, one that was attempted before may be attempted again.
  if (chosen.empty() && criteria.attempted.size() > 1) {
    chosen = SelectExcluding(criteria, {criteria.last_attempted}, now);
  }
  return chosen;
}

std::string EndpointSelector::SelectExcluding(
    const EndpointCriteria& criteria, const std::set<std::string>& excluded,
    TimePoint now) const {
  std::string chosen = SelectOnSide(criteria.side, criteria, excluded, now);
  if (!chosen.empty()) return chosen;
  // What the version before has no room for must not raise the share of
  // requests that a new one gets.
  if (criteria.side == Side::kBaseline) {
    EndpointCriteria open = criteria;
    open.gates = SendGates::Scope::kIgnoreRequested;
    if (!SelectOnSide(criteria.side, open, excluded, now).empty()) return "";
  }
  // A version without endpoints of its own leaves its requests to the other.
  return SelectOnSide(Side::kAny, criteria, excluded, now);
}

std::string EndpointSelector::SelectOnSide(
    Side side, const EndpointCriteria& criteria,
    const std::set<std::string>& excluded, TimePoint now) const {
  std::string target = facts_.rollouts->TargetOf(criteria.service);
  auto allowed = [&](const ListedEndpoint& endpoint) {
    if (!IsEligible(endpoint, criteria)) return false;
    if (!facts_.gates->IsOpen(endpoint, criteria.gates, now)) return false;
    return side == Side::kAny ||
           (endpoint.version == target) == (side == Side::kTarget);
  };
  auto cost = [&](const ListedEndpoint& endpoint, bool preferred) {
    return ComputeCost(endpoint, criteria, preferred, now).count();
  };
  return facts_.pool
      ->PickCheapest(criteria.service, criteria.affinity, excluded, now,
                     allowed, cost)
      .address;
}

bool EndpointSelector::AllListedUnhealthy(const std::string& service) const {
  const ServiceRollouts& rollouts = *facts_.rollouts;
  // Most services have no bad version: no look at the list.
  if (rollouts.MayUseTarget(service)) return false;
  return !facts_.pool->AnyListed(service, [&](const ListedEndpoint& endpoint) {
    return !rollouts.IsBad(service, endpoint.version);
  });
}

bool EndpointSelector::IsEligible(const ListedEndpoint& endpoint,
                                  const EndpointCriteria& criteria) const {
  bool bad = facts_.rollouts->IsBad(criteria.service, endpoint.version);
  bool last_resort =
      criteria.allow_unhealthy_versions &&
      endpoint.version != facts_.rollouts->TargetOf(criteria.service);
  return !facts_.drained->IsDrained(endpoint.data_centre) &&
         (!bad || last_resort) &&
         criteria.homes.Allows(regions_.RegionFor(endpoint.data_centre));
}

std::string EndpointSelector::SelectForPermitRequest(
    const EndpointCriteria& criteria, TimePoint now) const {
  EndpointCriteria with_permits = criteria;
  with_permits.gates = SendGates::Scope::kAskPermits;
  std::string chosen = Select(with_permits, now);
  return facts_.gates->NeedsPermit(chosen, now) ? chosen : "";
}

bool EndpointSelector::AnyWithScope(SendGates::Scope gates,
                                    const EndpointCriteria& criteria,
                                    TimePoint now) const {
  EndpointCriteria any = criteria;
  any.gates = gates;
  return !Select(any, now).empty();
}

Result EndpointSelector::ReasonForNone(const EndpointCriteria& criteria,
                                       TimePoint now) const {
  using Scope = SendGates::Scope;
  if (AnyWithScope(Scope::kIgnoreLimits, criteria, now))
    return Result::kEndpointsLimited;
  if (AnyWithScope(Scope::kIgnoreRequested, criteria, now))
    return Result::kEndpointsBackOff;
  return Result::kNoEndpoint;
}

milliseconds EndpointSelector::RetryAfter(const EndpointCriteria& criteria,
                                          TimePoint now) const {
  bool listed = false;
  std::optional<nanoseconds> earliest;
  auto look = [&](const ListedEndpoint& endpoint) {
    listed = true;
    if (!IsEligible(endpoint, criteria)) return false;
    nanoseconds time_until_open = facts_.gates->OpensIn(endpoint, now);
    earliest = std::min(time_until_open, earliest.value_or(time_until_open));
    return false;  // only looked at
  };
  auto no_cost = [](const ListedEndpoint&, bool) { return 0.0; };
  facts_.pool->PickCheapest(criteria.service, criteria.affinity, {}, now, look,
                            no_cost);
  if (listed && !earliest) return kDrainedRetryAfter;
  // What an endpoint may take now has been attempted: it is looked for as if
  // none were within reach.
  if (!earliest || *earliest <= nanoseconds(0)) {
    return Reachability::kProbeInterval;
  }
  return std::chrono::ceil<milliseconds>(*earliest);
}

Seconds EndpointSelector::ComputeCost(const ListedEndpoint& endpoint,
                                      const EndpointCriteria& criteria,
                                      bool preferred, TimePoint now) const {
  bool is_remote = endpoint.data_centre != data_centre_;
  bool last_resort = facts_.refusals->IsLastResort(endpoint.address, now);
  return (last_resort ? kLastResortPenalty : Seconds(0)) +
         facts_.loads->ExpectedWait(endpoint.address, criteria.work, preferred,
                                    now) +
         facts_.loads->PartitionPenalty(endpoint.data_centre, now) +
         (is_remote ? remote_cost_.ForBytes(criteria.body_bytes) : Seconds(0));
}

}  // namespace leverwick
