// A weak answer goes straight to the largest model: what a model in between
// could save is little, since the confidence of a weak answer says only that
// the request is hard for the smallest.

#include "leverwick/model_cascade.h"

namespace leverwick {
namespace {

// Requests that try the small model where it does not pay.
constexpr double kExplore = 0.05;
// The share of good answers is believed from this many on; before, the small
// model is taken to be worth asking.
constexpr double kLeastAnswers = 40;
// Counts are halved at this many, so that a change shows within as many again.
constexpr double kMostAnswers = 400;

double CostOf(const ServiceSpec* service, const std::string& model) {
  if (service == nullptr) return 0;
  for (const ServiceModel& known : service->models) {
    if (known.name == model) return known.cost;
  }
  return 0;
}

}  // namespace

size_t ModelCascade::First(const ServiceRoute& route,
                           const ServiceSpec* service, double draw) const {
  size_t largest = route.models.empty() ? 0 : route.models.size() - 1;
  if (largest == 0) return 0;
  auto counts = counts_.find({route.name, 0});
  bool known =
      counts != counts_.end() && counts->second.answers >= kLeastAnswers;
  if (!known || draw < kExplore) return 0;
  double small = CostOf(service, route.models.front());
  double large = CostOf(service, route.models[largest]);
  // Asking the small one first costs `small` and saves `large` where it does.
  bool pays = small < large * GoodShare(route.name, 0);
  return pays ? 0 : largest;
}

size_t ModelCascade::Better(const ServiceRoute& route, size_t index) {
  return route.models.empty() ? index : route.models.size() - 1;
}

void ModelCascade::Answered(const std::string& route, size_t index,
                            double confidence) {
  Counts& counts = counts_[{route, index}];
  counts.answers += 1;
  if (!IsWeak(confidence)) counts.good += 1;
  if (counts.answers < kMostAnswers) return;
  counts.answers /= 2;
  counts.good /= 2;
}

double ModelCascade::GoodShare(const std::string& route, size_t index) const {
  auto found = counts_.find({route, index});
  if (found == counts_.end() || found->second.answers == 0) return 1;
  return found->second.good / found->second.answers;
}

}  // namespace leverwick
