// Select evaluates the endpoints that may run the request, of a long list only
// those with the highest rendezvous weights. It considers endpoints that were
// not attempted yet, first those on the request's side of the roll-out and then
// those of either side. If there are none, it considers all endpoints but the
// one that was attempted last.

#include "leverwick/endpoint_selector.h"

#include <algorithm>

namespace leverwick {

using Side = ServiceRollouts::Side;

namespace {

// The retry-after time while no listed endpoint is eligible, as during a drain.
// Drains last for seconds to hours and their end is not known in advance; one
// retry per second costs little and notices the end within a second.
constexpr milliseconds kDrainedRetryAfter{1000};
// Endpoints that are compared for one request. The least loaded of so many is
// about as good as that of thousands, which a small box takes too long to
// compare.
constexpr size_t kMaxCandidates = 256;
// Exceeds any wait that another endpoint could cause.
constexpr Seconds kLastResortPenalty{1000};

}  // namespace

std::string EndpointSelector::Select(const EndpointCriteria& criteria,
                                     TimePoint now) const {
  // The version that a roll-out returned to may be found unhealthy as well, by
  // chance. Without this fallback no version would be eligible, and the service
  // would have no endpoint until the next order.
  if (!criteria.allow_unhealthy_versions &&
      AllListedUnhealthy(criteria.service)) {
    EndpointCriteria any = criteria;
    any.allow_unhealthy_versions = true;
    return Select(any, now);
  }
  std::string chosen = SelectExcluding(criteria, criteria.attempted, now);
  // With few endpoints, an endpoint that was attempted before may be attempted
  // again, except the last one.
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
  // Requests that limits or back-offs keep from the baseline version must not
  // go to the target version: that would raise its share of the requests above
  // the roll-out step.
  if (criteria.side == Side::kBaseline) {
    EndpointCriteria unlimited = criteria;
    unlimited.gates = SendEligibility::Scope::kIgnoreLimitsAndBackoffs;
    if (!SelectOnSide(criteria.side, unlimited, excluded, now).empty())
      return "";
  }
  // If one version has no usable endpoints, the other one gets its requests.
  return SelectOnSide(Side::kAny, criteria, excluded, now);
}

std::string EndpointSelector::SelectOnSide(
    Side side, const EndpointCriteria& criteria,
    const std::set<std::string>& excluded, TimePoint now) const {
  std::string target = facts_.rollouts->TargetFor(criteria.service);
  auto allowed = [&](const ListedEndpoint& endpoint) {
    if (!IsEligible(endpoint, criteria)) return false;
    if (!facts_.gates->IsEligible(endpoint, criteria.gates, now)) return false;
    return side == Side::kAny ||
           (endpoint.version == target) == (side == Side::kTarget);
  };
  auto cost = [&](const ListedEndpoint& endpoint, bool preferred) {
    return ComputeCost(endpoint, criteria, preferred, now).count();
  };
  CapacitySpread spread;
  spread.request_hash = criteria.request_hash;
  if (criteria.work.is_for_model()) {
    spread.capacity = [&](const ListedEndpoint& endpoint) {
      return facts_.loads->RelativeCapacity(endpoint.address, now);
    };
  }
  return facts_.pool
      ->PickCheapest(criteria.service, criteria.affinity, excluded, now,
                     allowed, cost, {data_centre_, kMaxCandidates}, spread)
      .address;
}

bool EndpointSelector::AllListedUnhealthy(const std::string& service) const {
  const ServiceRollouts& rollouts = *facts_.rollouts;
  // Avoids the scan of the list for services without an unhealthy version,
  // which are most.
  if (rollouts.MayUseTarget(service)) return false;
  return !facts_.pool->AnyListed(service, [&](const ListedEndpoint& endpoint) {
    return !rollouts.IsUnhealthy(service, endpoint.version);
  });
}

bool EndpointSelector::IsEligible(const ListedEndpoint& endpoint,
                                  const EndpointCriteria& criteria) const {
  bool unhealthy =
      facts_.rollouts->IsUnhealthy(criteria.service, endpoint.version);
  bool is_fallback =
      criteria.allow_unhealthy_versions &&
      endpoint.version != facts_.rollouts->TargetFor(criteria.service);
  return !facts_.drained->IsDrained(endpoint.data_centre) &&
         (!unhealthy || is_fallback) &&
         criteria.homes.Allows(regions_.RegionFor(endpoint.data_centre));
}

std::string EndpointSelector::SelectForPermitRequest(
    const EndpointCriteria& criteria, TimePoint now) const {
  EndpointCriteria with_permits = criteria;
  with_permits.gates = SendEligibility::Scope::kAllowPermitRequest;
  std::string chosen = Select(with_permits, now);
  return facts_.gates->NeedsPermit(chosen, now) ? chosen : "";
}

bool EndpointSelector::AnyWithScope(SendEligibility::Scope scope,
                                    const EndpointCriteria& criteria,
                                    TimePoint now) const {
  EndpointCriteria any = criteria;
  any.gates = scope;
  return !Select(any, now).empty();
}

Result EndpointSelector::ReasonForNone(const EndpointCriteria& criteria,
                                       TimePoint now) const {
  using Scope = SendEligibility::Scope;
  if (AnyWithScope(Scope::kIgnoreLimits, criteria, now))
    return Result::kEndpointsLimited;
  if (AnyWithScope(Scope::kIgnoreLimitsAndBackoffs, criteria, now))
    return Result::kEndpointsBackOff;
  return Result::kNoEndpoint;
}

bool EndpointSelector::HasListed(const EndpointCriteria& criteria) const {
  return facts_.pool->AnyListed(criteria.service,
                                [&](const ListedEndpoint& endpoint) {
                                  return IsEligible(endpoint, criteria);
                                });
}

milliseconds EndpointSelector::RetryAfter(const EndpointCriteria& criteria,
                                          TimePoint now) const {
  bool listed = false;
  std::optional<nanoseconds> earliest;
  auto visit = [&](const ListedEndpoint& endpoint) {
    listed = true;
    if (!IsEligible(endpoint, criteria)) return false;
    nanoseconds time_until_eligible =
        facts_.gates->TimeUntilEligible(endpoint, now);
    earliest =
        std::min(time_until_eligible, earliest.value_or(time_until_eligible));
    return false;  // visits the endpoint without selecting it
  };
  auto no_cost = [](const ListedEndpoint&, bool) { return 0.0; };
  facts_.pool->PickCheapest(criteria.service, criteria.affinity, {}, now, visit,
                            no_cost);
  if (listed && !earliest) return kDrainedRetryAfter;
  // Endpoints that are eligible now have been attempted already, so the caller
  // waits as long as if all endpoints were unreachable.
  if (!earliest || *earliest <= nanoseconds(0)) {
    return Reachability::kProbeInterval;
  }
  return std::chrono::ceil<milliseconds>(*earliest);
}

std::vector<EndpointQueue> EndpointSelector::Queues(
    const EndpointCriteria& criteria, TimePoint now) const {
  std::vector<EndpointQueue> queues;
  bool all_list_places = true;
  auto visit = [&](const ListedEndpoint& endpoint) {
    if (!IsEligible(endpoint, criteria)) return false;
    if (!facts_.gates->IsEligible(endpoint, criteria.gates, now)) return false;
    all_list_places = all_list_places && endpoint.lists_max_in_flight;
    EndpointQueue queue;
    queue.endpoint = endpoint.address;
    queue.is_near = endpoint.data_centre == data_centre_;
    queue.use = {endpoint.max_in_flight,
                 facts_.loads->ConfirmedRunningAt(endpoint.address, now)};
    queue.cost = ComputeCost(endpoint, criteria, false, now);
    queues.push_back(std::move(queue));
    return false;  // visits the endpoint without selecting it
  };
  auto no_cost = [](const ListedEndpoint&, bool) { return 0.0; };
  facts_.pool->PickCheapest(criteria.service, criteria.affinity, {}, now, visit,
                            no_cost);
  if (!all_list_places) return {};
  std::stable_sort(queues.begin(), queues.end(),
                   [](const EndpointQueue& left, const EndpointQueue& right) {
                     return left.cost < right.cost;
                   });
  return queues;
}

std::optional<PlaceUse> EndpointSelector::ShortestQueue(
    const EndpointCriteria& criteria, TimePoint now) const {
  std::optional<PlaceUse> shortest;
  for (const EndpointQueue& queue : Queues(criteria, now)) {
    bool shorter =
        !shortest || facts_.room->ExpectedWait(criteria.service, queue.use) <
                         facts_.room->ExpectedWait(criteria.service, *shortest);
    if (shorter) shortest = queue.use;
  }
  return shortest;
}

Seconds EndpointSelector::ComputeCost(const ListedEndpoint& endpoint,
                                      const EndpointCriteria& criteria,
                                      bool preferred, TimePoint now) const {
  bool is_remote = endpoint.data_centre != data_centre_;
  bool last_resort = facts_.refusals->IsLastResort(endpoint.address, now);
  bool waits_for_place =
      endpoint.lists_max_in_flight && !criteria.work.is_for_model();
  PlaceUse use{endpoint.max_in_flight, 0};
  if (waits_for_place)
    use.in_flight = facts_.loads->RunningAt(endpoint.address);
  return (last_resort ? kLastResortPenalty : Seconds(0)) +
         facts_.room->ExpectedWait(criteria.service, use) +
         facts_.loads->ExpectedWait(endpoint.address, criteria.work, preferred,
                                    now) +
         facts_.loads->PartitionPenalty(endpoint.data_centre, now) +
         (is_remote ? remote_cost_.ForBytes(criteria.body_bytes) : Seconds(0));
}

}  // namespace leverwick
