// StoreAttempts decides when a box that has lost its sources attempts to read
// the store itself.
//
// Many boxes lose their sources at the same moment. In a search, a few attempt
// it at once and twice as many in each further step, in random order. A box
// whose attempt has failed pauses. The pauses of all boxes are spread over a
// span that grows with their number, so that attempts arrive at a constant rate
// from the first seconds on, and a box among few is back soon.
//
//   StoreAttempts attempts;
//   TimePoint at = now + attempts.DelayInSearch(boxes, draw, step);
//   if (now >= std::max(at, attempts.next_at())) ...
//   attempts.RecordFailure(boxes, draw, now);

#ifndef LEVERWICK_STORE_ATTEMPTS_H_
#define LEVERWICK_STORE_ATTEMPTS_H_

#include <cstddef>

#include "leverwick/time.h"

namespace leverwick {

class StoreAttempts {
 public:
  // Returns the number of steps within which all boxes attempt to read.
  static int StepsInSearch(size_t boxes);
  // Returns the delay of this box's attempt. `draw` is random in [0, 1).
  static nanoseconds DelayInSearch(size_t boxes, double draw, nanoseconds step);

  // Records that the store did not serve an attempt.
  void RecordFailure(size_t boxes, double draw, TimePoint now);
  void RecordSuccess() { next_at_ = relay_at_ = {}; }

  // Returns the time before which this box makes no attempt of its own.
  TimePoint next_at() const { return next_at_; }
  // Returns whether the box may read for another one, which asks only while it
  // is the reader of its data centre. Such attempts are few.
  bool MayRelayAt(TimePoint now) const { return now >= relay_at_; }

 private:
  TimePoint next_at_{};
  TimePoint relay_at_{};
};

}  // namespace leverwick

#endif  // LEVERWICK_STORE_ATTEMPTS_H_
