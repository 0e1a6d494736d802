// RemoteCost computes the cost of sending a request to another data centre,
// expressed as waiting time.
//
// Traffic between data centres is billed, and an endpoint in another data
// centre may become unreachable. A local endpoint is selected as long as its
// wait exceeds that of the remote one by less than this cost.
//
//   RemoteCost cost(settings.far_megabyte);
//   Seconds total = wait + cost.ForBytes(body.size());

#ifndef LEVERWICK_REMOTE_COST_H_
#define LEVERWICK_REMOTE_COST_H_

#include <cstddef>

#include "leverwick/time.h"

namespace leverwick {

// Round-trip time between two data centres.
constexpr Seconds kRemoteRoundTrip{0.005};

class RemoteCost {
 public:
  // `per_megabyte` is the waiting time that is accepted to avoid sending one
  // megabyte to another data centre.
  explicit RemoteCost(nanoseconds per_megabyte)
      : per_byte_(Seconds(per_megabyte) / kBytesPerMegabyte) {}

  Seconds ForBytes(size_t bytes) const {
    return kRemoteRoundTrip + per_byte_ * static_cast<double>(bytes);
  }

 private:
  static constexpr double kBytesPerMegabyte = 1e6;

  const Seconds per_byte_;
};

}  // namespace leverwick

#endif  // LEVERWICK_REMOTE_COST_H_
