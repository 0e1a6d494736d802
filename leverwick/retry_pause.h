// RetryPause spaces the attempts of a call that fails: exponential back-off
// with full jitter, so that boxes whose calls fail together don't come back
// together, and so that a server that is overloaded gets ever fewer calls.
//
//   RetryPause pause(milliseconds(250), std::chrono::seconds(8));
//   nanoseconds wait = pause.Next(draw);  // after a failure
//   pause.Reset();                        // after a success

#ifndef LEVERWICK_RETRY_PAUSE_H_
#define LEVERWICK_RETRY_PAUSE_H_

#include <algorithm>

#include "leverwick/time.h"

namespace leverwick {

class RetryPause {
 public:
  // The first pause is at most `first`, each further one at most twice as long
  // as the one before, none longer than `longest`.
  RetryPause(nanoseconds first, nanoseconds longest)
      : first_(first), longest_(longest), bound_(first) {}

  // Returns the pause after a failure. `draw` is uniform from 0 to 1.
  nanoseconds Next(double draw) {
    nanoseconds pause = FromSeconds(ToSeconds(bound_) * draw);
    bound_ = std::min(bound_ * 2, longest_);
    return std::max<nanoseconds>(pause, kLeast);
  }
  void Reset() { bound_ = first_; }

 private:
  // Without it a draw near zero would repeat the call at once.
  static constexpr milliseconds kLeast{10};

  nanoseconds first_;
  nanoseconds longest_;
  nanoseconds bound_;
};

}  // namespace leverwick

#endif  // LEVERWICK_RETRY_PAUSE_H_
