// Which endpoint of a service a try goes to.
//
// The endpoint whose answer would begin first, weighed: what reading the prompt
// there would hold up, what bytes to another data centre cost, and what is
// known of cut-off data centres count as waiting. A roll-out decides which of
// its two versions may take the request; an endpoint that was tried before is
// taken again only if there is no other. One that SendEligibility shuts, in a
// data centre that is drained or outside the request's home regions is never
// taken.
//
//   EndpointChoice choice(EndpointChoice::Facts{...}, far_cost, data_centre);
//   std::string id = choice.Choose(wanted, now);
//   if (id.empty()) {
//     Result why = choice.WhyNone(wanted, now);
//     milliseconds come_back_after = choice.ComeBackAfter(wanted, now);
//   }

#ifndef LEVERWICK_ENDPOINT_CHOICE_H_
#define LEVERWICK_ENDPOINT_CHOICE_H_

#include <cstdint>
#include <optional>
#include <set>
#include <string>

#include "leverwick/drained_data_centres.h"
#include "leverwick/endpoints.h"
#include "leverwick/engine_loads.h"
#include "leverwick/far_cost.h"
#include "leverwick/homes.h"
#include "leverwick/recent_refusals.h"
#include "leverwick/result.h"
#include "leverwick/send_eligibility.h"
#include "leverwick/service_rollouts.h"
#include "leverwick/time.h"

namespace leverwick {

// What a try asks for.
struct WantedEndpoint {
  std::string service;
  ServiceRollouts::Side side = ServiceRollouts::Side::kAny;
  // Requests with the same value are best sent to the same endpoint.
  uint64_t affinity = 0;
  EngineWork work;
  size_t body_bytes = 0;
  Homes homes;
  std::set<std::string> tried;  // ids
  std::string last_tried;       // empty: none
  // Set by the choice itself:
  // No sound version is listed: one that was found bad before the newest order
  // is better than none.
  bool takes_bad_before = false;
  SendEligibility::Scope gates = SendEligibility::Scope::kAll;
};

class EndpointChoice {
 public:
  // What is known of endpoints; all of it must outlive the choice.
  struct Facts {
    const EndpointPool* pool;
    const ServiceRollouts* rollouts;
    const EngineLoads* loads;
    const SendEligibility* gates;
    const DrainedDataCentres* drained;
    const RecentRefusals* refusals;
  };

  // `data_centre`: of this box.
  EndpointChoice(const Facts& facts, FarCost far_cost, std::string data_centre,
                 Regions regions = {})
      : facts_(facts),
        far_cost_(far_cost),
        data_centre_(std::move(data_centre)),
        regions_(std::move(regions)) {}

  // The endpoint's id; empty when none may take the request.
  std::string Choose(const WantedEndpoint& wanted, TimePoint now) const;

  // The endpoint for which a permit should be asked: one that would be chosen
  // with it. Empty when the best choice needs none.
  std::string ChooseToAsk(const WantedEndpoint& wanted, TimePoint now) const;

  // What keeps the request from all endpoints, where none may take it: limits
  // that they name, back-offs that they ask for, or anything else.
  Result WhyNone(const WantedEndpoint& wanted, TimePoint now) const;

  // When an endpoint may take the request that none takes now: what its caller
  // is told.
  milliseconds ComeBackAfter(const WantedEndpoint& wanted, TimePoint now) const;

  // What an endpoint would cost, in waiting. `preferred`: the one that the
  // affinity hashes to.
  Seconds CostAt(const ListedEndpoint& endpoint, const WantedEndpoint& wanted,
                 bool preferred, TimePoint now) const;

 private:
  std::string ChooseFrom(const WantedEndpoint& wanted,
                         const std::set<std::string>& excluded,
                         TimePoint now) const;
  std::string ChooseOn(ServiceRollouts::Side side, const WantedEndpoint& wanted,
                       const std::set<std::string>& excluded,
                       TimePoint now) const;

  // Whether all listed endpoints of a service are of versions found bad.
  bool OnlyBadListed(const std::string& service) const;
  bool AnyWith(SendEligibility::Scope gates, const WantedEndpoint& wanted,
               TimePoint now) const;
  // Whether neither an operator's order, a version that was found bad nor the
  // request's homes forbid it.
  bool IsPermitted(const ListedEndpoint& endpoint,
                   const WantedEndpoint& wanted) const;

  const Facts facts_;
  const FarCost far_cost_;
  const std::string data_centre_;
  const Regions regions_;
};

}  // namespace leverwick

#endif  // LEVERWICK_ENDPOINT_CHOICE_H_
