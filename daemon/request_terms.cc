#include "daemon/request_terms.h"

#include <algorithm>

#include "leverwick/digest.h"

namespace leverwick {

const std::string& RequestTerms::session_or_id() const {
  return request_->session.empty() ? request_->id : request_->session;
}

uint64_t RequestTerms::affinity() const {
  // The last part of a prompt is the request's own; the one before it is
  // shared, and an endpoint that read it holds all parts before it as well.
  const Prompt& prompt = request_->prompt;
  if (prompt.size() >= 2) return StableHash(prompt[prompt.size() - 2].id);
  return StableHash(request_->id);
}

const std::string& RequestTerms::ChosenModel(size_t model) const {
  static const std::string as_named;
  bool chosen = request_->any_model && !route_->models.empty();
  return chosen ? route_->models[model] : as_named;
}

EngineWork RequestTerms::Work(size_t model) const {
  EngineWork work;
  const std::string& chosen = ChosenModel(model);
  work.model = chosen.empty() ? request_->model : chosen;
  work.kind = route_->name + "/" + work.model;
  if (!request_->prompt.empty()) work.prompt = &request_->prompt;
  return work;
}

StreamKind RequestTerms::KindOf(size_t model) const {
  return {route_->name, ChosenModel(model), request_->max_answer_tokens};
}

EndpointOrder RequestTerms::OrderFor(const std::string& endpoint, size_t model,
                                     milliseconds time_left) const {
  EndpointOrder order;
  order.endpoint = endpoint;
  order.organisation = holder_->organisation;
  order.time_left = std::max(time_left, milliseconds(1));
  order.model = ChosenModel(model);
  return order;
}

}  // namespace leverwick
