// Looks at every endpoint that may take the request; a service has a few
// hundred at most.

#include "leverwick/endpoint_choice.h"

namespace leverwick {

using Side = ServiceRollouts::Side;

std::string EndpointChoice::Choose(const WantedEndpoint& wanted,
                                   TimePoint now) const {
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
  // A version without endpoints of its own leaves its requests to the other,
  // but nothing new goes to a target that is bad.
  bool may_cross = rollouts_->MayUseTarget(wanted.service);
  if (!chosen.empty() || !may_cross) return chosen;
  return ChooseOn(Side::kAny, wanted, excluded, now);
}

std::string EndpointChoice::ChooseOn(Side side, const WantedEndpoint& wanted,
                                     const std::set<std::string>& excluded,
                                     TimePoint now) const {
  std::string target = rollouts_->TargetOf(wanted.service);
  auto allowed = [&](const ListedEndpoint& endpoint) {
    if (!reach_->MayTry(endpoint.address, now)) return false;
    return side == Side::kAny ||
           (endpoint.version == target) == (side == Side::kTarget);
  };
  auto cost = [&](const ListedEndpoint& endpoint, bool preferred) {
    return CostAt(endpoint, wanted, preferred, now).count();
  };
  return pool_
      ->PickCheapest(wanted.service, wanted.affinity, excluded, now, allowed,
                     cost)
      .address;
}

Seconds EndpointChoice::CostAt(const ListedEndpoint& endpoint,
                               const WantedEndpoint& wanted, bool preferred,
                               TimePoint now) const {
  bool far = endpoint.data_centre != data_centre_;
  return loads_->ExpectedWait(endpoint.address, wanted.work, preferred, now) +
         loads_->CutOffWait(endpoint.data_centre, now) +
         (far ? far_cost_.Of(wanted.body_bytes) : Seconds(0));
}

}  // namespace leverwick
