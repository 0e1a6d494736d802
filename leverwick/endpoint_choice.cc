// Looks at every endpoint that may take the request; a service has a few
// hundred at most.

#include "leverwick/endpoint_choice.h"

#include <algorithm>

namespace leverwick {

using Side = ServiceRollouts::Side;

namespace {

// Drains last for seconds to hours, and no order says how long; a caller that
// comes back each second costs little and is late by a second at most.
constexpr milliseconds kLookForDrained{1000};
// Dearer than any wait that another endpoint could mean.
constexpr Seconds kLastResort{1000};

}  // namespace

std::string EndpointChoice::Choose(const WantedEndpoint& wanted,
                                   TimePoint now) const {
  // A return to the version before may be found bad as well, by chance: without
  // this no version is left and the service has no endpoint until the next
  // order.
  if (!wanted.takes_bad_before && OnlyBadListed(wanted.service)) {
    WantedEndpoint any = wanted;
    any.takes_bad_before = true;
    return Choose(any, now);
  }
  std::string chosen = ChooseFrom(wanted, wanted.tried, now);
  // With few endpoints, one that was tried before may be tried again.
  if (chosen.empty() && wanted.tried.size() > 1) {
    chosen = ChooseFrom(wanted, {wanted.last_tried}, now);
  }
  return chosen;
}

std::string EndpointChoice::ChooseFrom(const WantedEndpoint& wanted,
                                       const std::set<std::string>& excluded,
                                       TimePoint now) const {
  std::string chosen = ChooseOn(wanted.side, wanted, excluded, now);
  if (!chosen.empty()) return chosen;
  // What the version before has no room for must not raise the share of
  // requests that a new one gets.
  if (wanted.side == Side::kBaseline) {
    WantedEndpoint open = wanted;
    open.gates = SendGates::Scope::kIgnoreRequested;
    if (!ChooseOn(wanted.side, open, excluded, now).empty()) return "";
  }
  // A version without endpoints of its own leaves its requests to the other.
  return ChooseOn(Side::kAny, wanted, excluded, now);
}

std::string EndpointChoice::ChooseOn(Side side, const WantedEndpoint& wanted,
                                     const std::set<std::string>& excluded,
                                     TimePoint now) const {
  std::string target = facts_.rollouts->TargetFor(wanted.service);
  auto allowed = [&](const ListedEndpoint& endpoint) {
    if (!IsPermitted(endpoint, wanted)) return false;
    if (!facts_.gates->IsOpen(endpoint, wanted.gates, now)) return false;
    return side == Side::kAny ||
           (endpoint.version == target) == (side == Side::kTarget);
  };
  auto cost = [&](const ListedEndpoint& endpoint, bool preferred) {
    return CostAt(endpoint, wanted, preferred, now).count();
  };
  return facts_.pool
      ->PickCheapest(wanted.service, wanted.affinity, excluded, now, allowed,
                     cost)
      .address;
}

bool EndpointChoice::OnlyBadListed(const std::string& service) const {
  const ServiceRollouts& rollouts = *facts_.rollouts;
  // Most services have no bad version: no look at the list.
  if (rollouts.MayUseTarget(service)) return false;
  return !facts_.pool->AnyListed(service, [&](const ListedEndpoint& endpoint) {
    return !rollouts.IsUnhealthy(service, endpoint.version);
  });
}

bool EndpointChoice::IsPermitted(const ListedEndpoint& endpoint,
                                 const WantedEndpoint& wanted) const {
  bool bad = facts_.rollouts->IsUnhealthy(wanted.service, endpoint.version);
  bool last_resort =
      wanted.takes_bad_before &&
      endpoint.version != facts_.rollouts->TargetFor(wanted.service);
  return !facts_.drained->IsDrained(endpoint.data_centre) &&
         (!bad || last_resort) &&
         wanted.homes.Allow(regions_.Of(endpoint.data_centre));
}

std::string EndpointChoice::ChooseToAsk(const WantedEndpoint& wanted,
                                        TimePoint now) const {
  WantedEndpoint with_asks = wanted;
  with_asks.gates = SendGates::Scope::kAskPermits;
  std::string chosen = Choose(with_asks, now);
  return facts_.gates->NeedsPermit(chosen, now) ? chosen : "";
}

bool EndpointChoice::AnyWith(SendGates::Scope gates,
                             const WantedEndpoint& wanted,
                             TimePoint now) const {
  WantedEndpoint any = wanted;
  any.gates = gates;
  return !Choose(any, now).empty();
}

Result EndpointChoice::WhyNone(const WantedEndpoint& wanted,
                               TimePoint now) const {
  using Scope = SendGates::Scope;
  if (AnyWith(Scope::kIgnoreLimits, wanted, now))
    return Result::kEndpointsLimited;
  if (AnyWith(Scope::kIgnoreRequested, wanted, now))
    return Result::kEndpointsBackOff;
  return Result::kNoEndpoint;
}

milliseconds EndpointChoice::ComeBackAfter(const WantedEndpoint& wanted,
                                           TimePoint now) const {
  bool listed = false;
  std::optional<nanoseconds> soonest;
  auto look = [&](const ListedEndpoint& endpoint) {
    listed = true;
    if (!IsPermitted(endpoint, wanted)) return false;
    nanoseconds opens_in = facts_.gates->OpensIn(endpoint, now);
    soonest = std::min(opens_in, soonest.value_or(opens_in));
    return false;  // only looked at
  };
  auto no_cost = [](const ListedEndpoint&, bool) { return 0.0; };
  facts_.pool->PickCheapest(wanted.service, wanted.affinity, {}, now, look,
                            no_cost);
  if (listed && !soonest) return kLookForDrained;
  // What an endpoint may take now has been tried: it is looked for as if none
  // were within reach.
  if (!soonest || *soonest <= nanoseconds(0)) {
    return Reachability::kProbeInterval;
  }
  return std::chrono::ceil<milliseconds>(*soonest);
}

Seconds EndpointChoice::CostAt(const ListedEndpoint& endpoint,
                               const WantedEndpoint& wanted, bool preferred,
                               TimePoint now) const {
  bool far = endpoint.data_centre != data_centre_;
  bool last_resort = facts_.refusals->IsLastResort(endpoint.address, now);
  return (last_resort ? kLastResort : Seconds(0)) +
         facts_.loads->ExpectedWait(endpoint.address, wanted.work, preferred,
                                    now) +
         facts_.loads->CutOffWait(endpoint.data_centre, now) +
         (far ? far_cost_.Of(wanted.body_bytes) : Seconds(0));
}

}  // namespace leverwick
