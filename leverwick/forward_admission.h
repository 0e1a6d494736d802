// ForwardAdmission bounds the requests that this box serves for other boxes.
//
// When many boxes forward their requests at once, those that still reach the
// endpoints must stay able to serve their own callers. A request is declined
// while too many are in flight, while their bodies take too much memory, or
// while the event loop is late.
//
//   ForwardAdmission admission;
//   if (admission.CanAdmit(body_bytes, now)) {
//     admission.RecordStart(body_bytes);
//     ...
//     admission.RecordEnd(body_bytes);
//   }

#ifndef LEVERWICK_FORWARD_ADMISSION_H_
#define LEVERWICK_FORWARD_ADMISSION_H_

#include <cstddef>

#include "leverwick/time.h"

namespace leverwick {

// Not thread-safe.
class ForwardAdmission {
 public:
  static constexpr size_t kMaxInFlight = 512;
  static constexpr size_t kMaxBodyBytes = 16UL << 20;

  // Returns whether one more request stays within the bounds.
  bool CanAdmit(size_t body_bytes, TimePoint now) const {
    return in_flight_ < kMaxInFlight &&
           body_bytes_ + body_bytes <= kMaxBodyBytes && now >= late_until_;
  }

  // Each start needs an end with the same size.
  void RecordStart(size_t body_bytes) {
    ++in_flight_;
    body_bytes_ += body_bytes;
  }
  void RecordEnd(size_t body_bytes) {
    --in_flight_;
    body_bytes_ -= body_bytes;
  }

  // Records by how much a timer of the event loop was late.
  void RecordLateness(nanoseconds late, TimePoint now) {
    if (late >= kMaxLateness) late_until_ = now + kLatePause;
  }

  size_t in_flight() const { return in_flight_; }

 private:
  // Callers notice a loop that is late by this much.
  static constexpr milliseconds kMaxLateness{100};
  static constexpr milliseconds kLatePause{500};

  size_t in_flight_ = 0;
  size_t body_bytes_ = 0;
  TimePoint late_until_{};
};

}  // namespace leverwick

#endif  // LEVERWICK_FORWARD_ADMISSION_H_
