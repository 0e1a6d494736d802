// The place of a box in the random order is draw * boxes. The boxes whose place
// is below kFirstAttempts * 2^k attempt in step k or before.

#include "leverwick/store_attempts.h"

#include <algorithm>
#include <cmath>

namespace leverwick {
namespace {

// Boxes that attempt in the first step.
constexpr double kFirstAttempts = 50;
// Pauses after a failure lie between the minimum and the sum of both. Below
// kBoxesPerSpread boxes both shrink with their number; above, the spread is
// longer by twice itself for each kBoxesPerSpread boxes.
constexpr milliseconds kMinPause{1500};
constexpr milliseconds kSpread{1500};
constexpr size_t kBoxesPerSpread = 50;
// Of a box that is alone, or nearly so.
constexpr milliseconds kShortestPause{300};

milliseconds MinPause(size_t boxes) {
  auto share = static_cast<double>(boxes) / kBoxesPerSpread;
  auto pause = FromSeconds(ToSeconds(kMinPause) * share);
  return std::clamp(std::chrono::duration_cast<milliseconds>(pause),
                    kShortestPause, kMinPause);
}

milliseconds SpreadOf(size_t boxes) {
  if (boxes < kBoxesPerSpread) return MinPause(boxes);
  return kSpread * (1 + 2 * (boxes / kBoxesPerSpread));
}

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
  milliseconds least = MinPause(boxes);
  next_at_ = now + least + FromSeconds(ToSeconds(SpreadOf(boxes)) * draw);
  relay_at_ = now + least;
}

}  // namespace leverwick
