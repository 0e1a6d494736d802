#include <cstdlib>
#include <ctime>

#include "leverwick/time.h"

namespace leverwick {

Clock::time_point Clock::now() noexcept {
  timespec time{};
  // A clock that stood still would keep every freshness proof valid.
  if (clock_gettime(CLOCK_BOOTTIME, &time) != 0) std::abort();
  return time_point(std::chrono::seconds(time.tv_sec) +
                    nanoseconds(time.tv_nsec));
}

}  // namespace leverwick
