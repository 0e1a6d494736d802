// A weak response is escalated directly to the largest model. A model in
// between would save little, since the confidence of a weak response says only
// that the request is hard for the smallest model.

#include "leverwick/model_cascade.h"

namespace leverwick {
namespace {

// The share of requests that try the small model where it saves no cost.
constexpr double kExplorationShare = 0.05;
// The number of responses from which on the measured share of confident ones is
// used. Before, the small model is assumed to save cost.
constexpr double kMinResponses = 40;
// Counts are halved at this number, so that they follow changes within as many
// responses again.
constexpr double kMaxResponses = 400;

double FindModelCost(const ServiceSpec* service, const std::string& model) {
  if (service == nullptr) return 0;
  for (const ServiceModel& candidate : service->models) {
    if (candidate.name == model) return candidate.cost;
  }
  return 0;
}

}  // namespace

size_t ModelCascade::ChooseFirstModel(const ServiceRoute& route,
                                      const ServiceSpec* service,
                                      double draw) const {
  size_t largest = route.models.empty() ? 0 : route.models.size() - 1;
  if (largest == 0) return 0;
  auto counts = counts_.find({route.name, 0});
  bool has_estimate =
      counts != counts_.end() && counts->second.responses >= kMinResponses;
  if (!has_estimate || draw < kExplorationShare) return 0;
  double small = FindModelCost(service, route.models.front());
  double large = FindModelCost(service, route.models[largest]);
  // Trying the small model first costs `small`, and saves `large` if its
  // response is confident.
  bool saves_cost = small < large * ConfidentShare(route.name, 0);
  return saves_cost ? 0 : largest;
}

size_t ModelCascade::EscalationModel(const ServiceRoute& route, size_t index) {
  return route.models.empty() ? index : route.models.size() - 1;
}

void ModelCascade::RecordConfidence(const std::string& route, size_t index,
                                    double confidence) {
  Counts& counts = counts_[{route, index}];
  counts.responses += 1;
  if (!IsWeak(confidence)) counts.confident += 1;
  if (counts.responses < kMaxResponses) return;
  counts.responses /= 2;
  counts.confident /= 2;
}

double ModelCascade::ConfidentShare(const std::string& route,
                                    size_t index) const {
  auto found = counts_.find({route, index});
  if (found == counts_.end() || found->second.responses == 0) return 1;
  return found->second.confident / found->second.responses;
}

}  // namespace leverwick
