// StableWallClock tells the time of day from a steady clock, so that a step of
// the system's clock that is taken back soon has no effect.
//
// The difference of both clocks is followed while it changes slowly. A larger
// change is adopted only when it has lasted for kAdoptAfter.
//
//   StableWallClock clock;
//   WallTime time = clock.At(steady_now, system_now);

#ifndef LEVERWICK_STABLE_WALL_CLOCK_H_
#define LEVERWICK_STABLE_WALL_CLOCK_H_

#include <optional>

#include "leverwick/time.h"

namespace leverwick {

class StableWallClock {
 public:
  // Returns the time of day at `now`, of which the system says `system`.
  WallTime At(TimePoint now, WallTime system) {
    nanoseconds offset = system.time_since_epoch() - now.time_since_epoch();
    if (!offset_) offset_ = offset;
    nanoseconds change = offset - *offset_;
    bool is_step = change > kStep || change < -kStep;
    if (is_step && !stepped_at_) stepped_at_ = now;
    bool has_lasted = is_step && now - *stepped_at_ >= kAdoptAfter;
    if (!is_step || has_lasted) {
      stepped_at_.reset();
      offset_ = offset;
    }
    return WallTime(std::chrono::duration_cast<WallTime::duration>(
        now.time_since_epoch() + *offset_));
  }

 private:
  // Corrections by a time service are smaller, and steps of interest larger.
  static constexpr milliseconds kStep{500};
  // A clock that was set wrong is usually set right within this.
  static constexpr std::chrono::seconds kAdoptAfter{60};

  std::optional<nanoseconds> offset_;
  std::optional<TimePoint> stepped_at_;
};

}  // namespace leverwick

#endif  // LEVERWICK_STABLE_WALL_CLOCK_H_
