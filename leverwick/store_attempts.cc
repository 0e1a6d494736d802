// The place of a box in the random order is draw * boxes. The boxes whose place
// is below kFirstAttempts * 2^k attempt in step k or before.

#include "leverwick/store_attempts.h"

#include <algorithm>
#include <cmath>

namespace leverwick {
namespace {

// Boxes that attempt in the first step.
constexpr double kFirstAttempts = 50;
// Pauses after a failure lie between the minimum and the sum of both; for each
// kBoxesPerSpread boxes the spread is longer by twice itself.
constexpr milliseconds kMinPause{1500};
constexpr milliseconds kSpread{1500};
constexpr size_t kBoxesPerSpread = 50;

int StepOf(double place) {
  return static_cast<int>(
      std::ceil(std::log2(std::max(1.0, place / kFirstAttempts))));
}

}  // namespace

int StoreAttempts::StepsInSearch(size_t boxes) {
  return StepOf(static_cast<double>(boxes));
}

nanoseconds StoreAttempts::DelayInSearch(size_t boxes, double draw,
                                         nanoseconds step) {
  return step * StepOf(draw * static_cast<double>(boxes));
}

void StoreAttempts::RecordFailure(size_t boxes, double draw, TimePoint now) {
  const milliseconds spread = kSpread * (1 + 2 * (boxes / kBoxesPerSpread));
  next_at_ = now + kMinPause + FromSeconds(ToSeconds(spread) * draw);
  relay_at_ = now + kMinPause;
}

}  // namespace leverwick
