// What it weighs to send a request to another data centre, in waiting.
//
// Bytes between data centres are paid for, and an endpoint there may be cut
// off. A near endpoint is taken as long as its wait exceeds the far one's by
// less than this.
//
//   FarCost cost(settings.far_megabyte);
//   Seconds weighed = wait + cost.ForBytes(body.size());

#ifndef LEVERWICK_REMOTE_COST_H_
#define LEVERWICK_REMOTE_COST_H_

#include <cstddef>

#include "leverwick/time.h"

namespace leverwick {

// A way there and back: data centres are some milliseconds apart.
constexpr Seconds kRemoteRoundTrip{0.005};

class RemoteCost {
 public:
  // With 30 s a megabyte days of six boxes gain 0.014 of their worth against
  // none, and of seven boxes 0.005 and 0.003 (30 played days each, paired).
  explicit RemoteCost(nanoseconds per_megabyte)
      : per_byte_(Seconds(per_megabyte) / kBytesPerMegabyte) {}

  Seconds ForBytes(size_t bytes) const {
    return kRemoteRoundTrip + per_byte_ * static_cast<double>(bytes);
  }

 private:
  static constexpr double kBytesPerMegabyte = 1e6;  // bytes

  const Seconds per_byte_;
};

}  // namespace leverwick

#endif  // LEVERWICK_REMOTE_COST_H_
