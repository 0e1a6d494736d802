// Chooses which of a route's models serves a request.
//
// By default a request goes to the smallest model first. The response of that
// model starts with its confidence in the response; if the confidence is low,
// the response is discarded before any of it reaches the caller, and the
// request is sent to a larger model instead. Where most responses of the small
// model are discarded, trying it first only adds latency, so requests go
// directly to the larger model, except for a few that keep the estimate up to
// date.
//
//   ModelCascade cascade(0.6);
//   size_t first = cascade.ChooseFirstModel(route, service, draw);
//   cascade.RecordConfidence(route.name, first, confidence);
//   if (cascade.IsWeak(confidence)) {
//     next = ModelCascade::EscalationModel(route, first);
//   }

#ifndef LEVERWICK_MODEL_CASCADE_H_
#define LEVERWICK_MODEL_CASCADE_H_

#include <cstddef>
#include <map>
#include <string>
#include <utility>

#include "leverwick/service_config.h"

namespace leverwick {

// Not thread-safe.
class ModelCascade {
 public:
  // A response with a confidence below `min_confidence` (0 to 1) is weak.
  explicit ModelCascade(double min_confidence)
      : min_confidence_(min_confidence) {}

  // Returns the index of the model to try first. `draw` is uniform in [0, 1).
  size_t ChooseFirstModel(const ServiceRoute& route, const ServiceSpec* service,
                          double draw) const;

  bool IsWeak(double confidence) const { return confidence < min_confidence_; }

  // Returns the index of the model to try after a weak response of the model at
  // `index`, or `index` itself if there is none.
  static size_t EscalationModel(const ServiceRoute& route, size_t index);

  // Records the confidence of a response that has started.
  void RecordConfidence(const std::string& route, size_t index,
                        double confidence);

  // Returns the share of a model's responses on the route that are not weak.
  double ConfidentShare(const std::string& route, size_t index) const;

 private:
  struct Counts {
    double responses = 0;
    double confident = 0;
  };

  const double min_confidence_;
  std::map<std::pair<std::string, size_t>, Counts> counts_;
};

}  // namespace leverwick

#endif  // LEVERWICK_MODEL_CASCADE_H_
