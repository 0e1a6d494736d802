// EndpointSelector selects the endpoint of a service for one attempt of a
// request.
//
// It selects the endpoint with the lowest expected time to the first byte of
// the response, to which it adds penalties, all in seconds: the delay that
// reading the prompt causes to other requests, the wait for a place where the
// request has no prompt and the endpoint lists its places, the cost of sending
// bytes to another data centre, and a penalty for data centres that appear
// partitioned.
// During a roll-out, the request's side decides which of the two versions may
// run it. An endpoint that was attempted before is selected again only if there
// is no other. An endpoint that SendEligibility blocks, that is in a drained
// data centre or that is outside the request's home regions is never selected.
//
//   EndpointSelector selector(EndpointSelector::Facts{...}, remote_cost,
//                             data_centre);
//   std::string id = selector.Select(criteria, now);
//   if (id.empty()) {
//     Result why = selector.ReasonForNone(criteria, now);
//     milliseconds retry_after = selector.RetryAfter(criteria, now);
//   }

#ifndef LEVERWICK_ENDPOINT_SELECTOR_H_
#define LEVERWICK_ENDPOINT_SELECTOR_H_

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "leverwick/drained_data_centres.h"
#include "leverwick/endpoint_pool.h"
#include "leverwick/engine_loads.h"
#include "leverwick/home_regions.h"
#include "leverwick/recent_refusals.h"
#include "leverwick/remote_cost.h"
#include "leverwick/result.h"
#include "leverwick/send_eligibility.h"
#include "leverwick/service_rollouts.h"
#include "leverwick/service_room.h"
#include "leverwick/time.h"

namespace leverwick {

// What one attempt requires of an endpoint.
struct EndpointCriteria {
  std::string service;
  ServiceRollouts::Side side = ServiceRollouts::Side::kAny;
  // Requests with the same affinity are preferably sent to the same endpoint,
  // which then has their prompt prefix cached.
  uint64_t affinity = 0;
  // Differs between requests of the same affinity.
  uint64_t request_hash = 0;
  EngineWork work;
  size_t body_bytes = 0;
  HomeRegions homes;
  std::set<std::string> attempted;  // endpoint ids
  std::string last_attempted;       // empty if none
  // The fields below are set by EndpointSelector. If true, versions that were
  // found unhealthy before the newest order may be selected, because no healthy
  // version is listed.
  bool allow_unhealthy_versions = false;
  SendEligibility::Scope gates = SendEligibility::Scope::kAll;
};

// The requests at an endpoint that may take a request.
struct EndpointQueue {
  std::string endpoint;
  bool is_near = false;  // in the data centre of this box
  PlaceUse use;
  Seconds cost{0};  // of sending the request there
};

class EndpointSelector {
 public:
  // Sources of the state of endpoints. All must outlive the selector.
  struct Facts {
    const EndpointPool* pool;
    const ServiceRollouts* rollouts;
    const EngineLoads* loads;
    const SendEligibility* gates;
    const DrainedDataCentres* drained;
    const RecentRefusals* refusals;
    const ServiceRoom* room;
  };

  // `data_centre` is the data centre of this box.
  EndpointSelector(const Facts& facts, RemoteCost remote_cost,
                   std::string data_centre, RegionMap regions = {})
      : facts_(facts),
        remote_cost_(remote_cost),
        data_centre_(std::move(data_centre)),
        regions_(std::move(regions)) {}

  // Returns the id of the endpoint to send to, or an empty string if no
  // endpoint is eligible.
  std::string Select(const EndpointCriteria& criteria, TimePoint now) const;

  // Returns the endpoint for which a permit should be requested: the one that
  // Select would return if this box held a permit for it. Empty if that
  // endpoint needs no permit.
  std::string SelectForPermitRequest(const EndpointCriteria& criteria,
                                     TimePoint now) const;

  // Returns why no endpoint is eligible: rate limits that endpoints report,
  // back-offs that they requested, or anything else.
  Result ReasonForNone(const EndpointCriteria& criteria, TimePoint now) const;

  // Returns the queue at the endpoint where the request would begin first, of
  // those that are eligible now. Empty if one of them does not list its places
  // or none is eligible.
  std::optional<PlaceUse> ShortestQueue(const EndpointCriteria& criteria,
                                        TimePoint now) const;

  // Returns the queues at all endpoints that are eligible now, at the lowest
  // cost first. Empty if one of them does not list its places.
  std::vector<EndpointQueue> Queues(const EndpointCriteria& criteria,
                                    TimePoint now) const;

  // Returns whether an endpoint is listed that could run the request if this
  // box reached it.
  bool HasListed(const EndpointCriteria& criteria) const;

  // Returns how long until an endpoint may become eligible. It is sent to the
  // caller as the retry-after time.
  milliseconds RetryAfter(const EndpointCriteria& criteria,
                          TimePoint now) const;

  // Returns the cost of sending the request to `endpoint`, expressed as waiting
  // time. `preferred` is true for the endpoint that the affinity hashes to.
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

  // Returns whether all listed endpoints of the service run versions that were
  // found unhealthy.
  bool AllListedUnhealthy(const std::string& service) const;
  bool AnyWithScope(SendEligibility::Scope scope,
                    const EndpointCriteria& criteria, TimePoint now) const;
  // Returns whether the endpoint is allowed by the drained data centres, the
  // health of its version and the request's home regions.
  bool IsEligible(const ListedEndpoint& endpoint,
                  const EndpointCriteria& criteria) const;

  const Facts facts_;
  const RemoteCost remote_cost_;
  const std::string data_centre_;
  const RegionMap regions_;
};

}  // namespace leverwick

#endif  // LEVERWICK_ENDPOINT_SELECTOR_H_
