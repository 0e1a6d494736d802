// What a caller's request asks of the endpoint that answers it: a model, the
// prompt's parts, the endpoints that may take it.
//
//   RequestTerms terms(&request, &route, &holder);
//   EngineWork work = terms.Work(model);

#ifndef DAEMON_REQUEST_TERMS_H_
#define DAEMON_REQUEST_TERMS_H_

#include <cstddef>
#include <cstdint>
#include <string>

#include "daemon/dialect.h"
#include "leverwick/engine_loads.h"
#include "leverwick/escalation_policy.h"
#include "leverwick/home_regions.h"
#include "leverwick/service_config.h"

namespace leverwick {

// `model` is an index among the route's models.
class RequestTerms {
 public:
  // All of them must outlive the terms.
  RequestTerms(const CallerRequest* request, const ServiceRoute* route,
               const ApiKeyOwner* holder)
      : request_(request), route_(route), holder_(holder) {}

  // What decides the side of a roll-out: a request without a session stands
  // for itself.
  const std::string& session_or_id() const;
  // Requests with the same value are best sent to the same endpoint.
  uint64_t affinity() const;
  HomeRegions homes() const {
    return {&route_->allowed_regions, &holder_->allowed_regions};
  }

  // The model that was chosen for the caller; empty: as the caller named it.
  const std::string& ChosenModel(size_t model) const;
  EngineWork Work(size_t model) const;
  StreamKind KindOf(size_t model) const;
  // `time_left`: until the caller must have its answer.
  EndpointOrder OrderFor(const std::string& endpoint, size_t model,
                         milliseconds time_left) const;

 private:
  const CallerRequest* const request_;
  const ServiceRoute* const route_;
  const ApiKeyOwner* const holder_;
};

}  // namespace leverwick

#endif  // DAEMON_REQUEST_TERMS_H_
