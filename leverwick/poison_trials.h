// When a quarantined request, or one with a quarantined part, may be sent once
// as a trial.
//
//   TimePoint at = NextTrialTime({box + "/" + name, trials, last_event_at,
//   true});

#ifndef LEVERWICK_POISON_TRIALS_H_
#define LEVERWICK_POISON_TRIALS_H_

#include <chrono>
#include <cstddef>
#include <string>

#include "leverwick/time.h"

namespace leverwick {

// The trial times of the boxes are staggered over this time, so that the report
// of the first trial reaches most other boxes before they send one.
constexpr std::chrono::seconds kTrialStagger{4};

struct TrialHistory {
  std::string stagger_key;    // differs between boxes
  size_t trials = 0;          // since the first crash that counts
  TimePoint last_event_at{};  // of the latest crash or trial
  // Whether an endpoint of a version that crashed is still registered.
  bool crashed_version_listed = true;
};

TimePoint NextTrialTime(const TrialHistory& history);

}  // namespace leverwick

#endif  // LEVERWICK_POISON_TRIALS_H_
