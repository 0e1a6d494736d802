// Which endpoint of a service a try goes to.
//
// The endpoint whose answer would begin first, weighed: what reading the prompt
// there would hold up, what bytes to another data centre cost, and what is
// known of cut-off data centres count as waiting. A roll-out decides which of
// its two versions may take the request; an endpoint that was attempted before
// is taken again only if there is no other. One that SendGates shuts, in a data
// centre that is drained or outside the request's home regions is never taken.
//
//   EndpointChoice choice(EndpointChoice::Facts{...}, remote_cost,
//   data_centre); std::string id = choice.Select(criteria, now); if
//   (id.empty()) {
//     Result why = choice.WhyNone(criteria, now);
//     milliseconds come_back_after = choice.ComeBackAfter(criteria, now);
//   }

#ifndef LEVERWICK_ENDPOINT_SELECTOR_H_
#define LEVERWICK_ENDPOINT_SELECTOR_H_

#include <cstdint>
#include <optional>
#include <set>
#include <string>

#include "leverwick/drained_data_centres.h"
#include "leverwick/endpoint_pool.h"
#include "leverwick/engine_loads.h"
#include "leverwick/home_regions.h"
#include "leverwick/recent_refusals.h"
#include "leverwick/remote_cost.h"
#include "leverwick/result.h"
#include "leverwick/send_gates.h"
#include "leverwick/service_rollouts.h"
#include "leverwick/time.h"

namespace leverwick {

// What a try asks for.
struct EndpointCriteria {
  std::string service;
  ServiceRollouts::Side side = ServiceRollouts::Side::kAny;
  // Requests with the same value are best sent to the same endpoint.
  uint64_t affinity = 0;
  EngineWork work;
  size_t body_bytes = 0;
  HomeRegions homes;
  std::set<std::string> attempted;  // ids
  std::string last_attempted;       // empty: none
  // Set by the choice itself:
  // No sound version is listed: one that was found bad before the newest order
  // is better than none.
  bool allow_unhealthy_versions = false;
  SendGates::Scope gates = SendGates::Scope::kAll;
};

class EndpointSelector {
 public:
  // What is known of endpoints; all of it must outlive the choice.
  struct Facts {
    const EndpointPool* pool;
    const ServiceRollouts* rollouts;
    const EngineLoads* loads;
    const SendGates* gates;
    const DrainedDataCentres* drained;
    const RecentRefusals* refusals;
  };

  // `data_centre`: of this box.
  EndpointSelector(const Facts& facts, RemoteCost remote_cost,
                   std::string data_centre, RegionMap regions = {})
      : facts_(facts),
        remote_cost_(remote_cost),
        data_centre_(std::move(data_centre)),
        regions_(std::move(regions)) {}

  // The endpoint's id; empty when none may take the request.
  std::string Select(const EndpointCriteria& criteria, TimePoint now) const;

  // The endpoint for which a permit should be asked: one that would be chosen
  // with it. Empty when the best choice needs none.
  std::string SelectForPermitRequest(const EndpointCriteria& criteria,
                                     TimePoint now) const;

  // What keeps the request from all endpoints, where none may take it: limits
  // that they name, back-offs that they ask for, or anything else.
  Result ReasonForNone(const EndpointCriteria& criteria, TimePoint now) const;

  // When an endpoint may take the request that none takes now: what its caller
  // is told.
  milliseconds RetryAfter(const EndpointCriteria& criteria,
                          TimePoint now) const;

  // What an endpoint would cost, in waiting. `preferred`: the one that the
  // affinity hashes to.
  Seconds ComputeCost(const ListedEndpoint& endpoint,
                      const EndpointCriteria& criteria, bool preferred,
                      TimePoint now) const;

 private:
  std::string SelectExcluding(const EndpointCriteria& criteria,
                              const std::set<std::string>& excluded,
                              TimePoint now) const;
  std::string SelectOnSide(ServiceRollouts::Side side,
                           const EndpointCriteria& criteria,
                           const std::set<std::string>& excluded,
                           TimePoint now) const;

  // Whether all listed endpoints of a service are of versions found bad.
  bool AllListedUnhealthy(const std::string& service) const;
  bool AnyWithScope(SendGates::Scope gates, const EndpointCriteria& criteria,
                    TimePoint now) const;
  // Whether neither an operator's order, a version that was found bad nor the
  // request's homes forbid it.
  bool IsEligible(const ListedEndpoint& endpoint,
                  const EndpointCriteria& criteria) const;

  const Facts facts_;
  const RemoteCost remote_cost_;
  const std::string data_centre_;
  const RegionMap regions_;
};

}  // namespace leverwick

#endif  // LEVERWICK_ENDPOINT_SELECTOR_H_
