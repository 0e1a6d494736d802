// What it weighs to send a request to another data centre, in waiting.
//
// Bytes between data centres are paid for, and an endpoint there may be cut
// off. A near endpoint is taken as long as its wait exceeds the far one's by
// less than this.
//
//   FarCost cost(settings.far_megabyte);
//   Seconds weighed = wait + cost.Of(body.size());

#ifndef LEVERWICK_FAR_COST_H_
#define LEVERWICK_FAR_COST_H_

#include <cstddef>

#include "leverwick/time.h"

namespace leverwick {

// A way there and back: data centres are some milliseconds apart.
constexpr Seconds kFarTrip{0.005};

class FarCost {
 public:
  // With 30 s a megabyte days of six boxes gain 0.014 of their worth against
  // none, and of seven boxes 0.005 and 0.003 (30 played days each, paired).
  explicit FarCost(nanoseconds megabyte)
      : per_byte_(Seconds(megabyte) / kMegabyte) {}

  Seconds Of(size_t bytes) const {
    return kFarTrip + per_byte_ * static_cast<double>(bytes);
  }

 private:
  static constexpr double kMegabyte = 1e6;  // bytes

  const Seconds per_byte_;
};

}  // namespace leverwick

#endif  // LEVERWICK_FAR_COST_H_
