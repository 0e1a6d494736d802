// Which endpoint of a service a try goes to.
//
// The endpoint whose answer would begin first, weighed: what reading the prompt
// there would hold up, what bytes to another data centre cost, and what is
// known of cut-off data centres count as waiting. A roll-out decides which of
// its two versions may take the request; an endpoint that was tried before is
// taken again only if there is no other, and one beyond reach never.
//
//   EndpointChoice choice(&pool, &rollouts, &loads, &reach, far_cost,
//                         data_centre);
//   std::string id = choice.Choose(wanted, now);  // empty: none

#ifndef LEVERWICK_ENDPOINT_CHOICE_H_
#define LEVERWICK_ENDPOINT_CHOICE_H_

#include <cstdint>
#include <set>
#include <string>

#include "leverwick/endpoints.h"
#include "leverwick/engine_loads.h"
#include "leverwick/far_cost.h"
#include "leverwick/reachability.h"
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
  std::set<std::string> tried;  // ids
  std::string last_tried;       // empty: none
};

class EndpointChoice {
 public:
  // What is pointed to must outlive this. `data_centre`: of this box.
  EndpointChoice(const EndpointPool* pool, const ServiceRollouts* rollouts,
                 const EngineLoads* loads, const Reachability* reach,
                 FarCost far_cost, std::string data_centre)
      : pool_(pool),
        rollouts_(rollouts),
        loads_(loads),
        reach_(reach),
        far_cost_(far_cost),
        data_centre_(std::move(data_centre)) {}

  // The endpoint's id; empty when none may take the request.
  std::string Choose(const WantedEndpoint& wanted, TimePoint now) const;

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

  const EndpointPool* const pool_;
  const ServiceRollouts* const rollouts_;
  const EngineLoads* const loads_;
  const Reachability* const reach_;
  const FarCost far_cost_;
  const std::string data_centre_;
};

}  // namespace leverwick

#endif  // LEVERWICK_ENDPOINT_CHOICE_H_
