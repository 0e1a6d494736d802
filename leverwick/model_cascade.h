// Which of a route's models answers a request.
//
// The smallest model is asked first. Its answer begins with its own rough
// opinion of that answer; if that is low, the answer is dropped before the
// caller has any of it and a larger model is asked instead. Where the small
// model's answers are nearly always dropped, asking it first only costs time,
// so the larger one is asked at once, but for some requests that keep the
// estimate alive.
//
//   ModelCascade cascade(0.6);
//   size_t first = cascade.First(route, draw);
//   if (cascade.IsWeak(confidence)) next = cascade.Better(route, first);
//   cascade.Answered(route.name, first, confidence);

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
  // An answer with less confidence than `enough` (0 to 1) is weak.
  explicit ModelCascade(double enough) : enough_(enough) {}

  // The index of the model to ask first; `draw` is uniform in [0, 1).
  size_t First(const ServiceRoute& route, const ServiceSpec* service,
               double draw) const;

  bool IsWeak(double confidence) const { return confidence < enough_; }

  // The index of the model to ask when that of `index` was weak; `index`
  // itself when there is none.
  static size_t Better(const ServiceRoute& route, size_t index);

  // An answer of the model began, with this confidence.
  void Answered(const std::string& route, size_t index, double confidence);

  // Share of a model's answers on the route that were good enough.
  double GoodShare(const std::string& route, size_t index) const;

 private:
  struct Counts {
    double answers = 0;
    double good = 0;
  };

  const double enough_;
  std::map<std::pair<std::string, size_t>, Counts> counts_;
};

}  // namespace leverwick

#endif  // LEVERWICK_MODEL_CASCADE_H_
