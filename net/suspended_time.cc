// CLOCK_BOOTTIME is CLOCK_MONOTONIC plus the time that the machine was
// suspended. The two are read again when much time has passed in between.

#include "net/suspended_time.h"

#include <ctime>

namespace leverwick {
namespace {

constexpr milliseconds kMaxReadTime{1};

nanoseconds Read(clockid_t clock) {
  timespec time{};
  clock_gettime(clock, &time);
  return std::chrono::seconds(time.tv_sec) + nanoseconds(time.tv_nsec);
}

}  // namespace

nanoseconds SuspendedTime() {
  nanoseconds before = Read(CLOCK_MONOTONIC);
  for (;;) {
    nanoseconds boot = Read(CLOCK_BOOTTIME);
    nanoseconds after = Read(CLOCK_MONOTONIC);
    if (after - before < kMaxReadTime) return boot - before;
    before = after;
  }
}

}  // namespace leverwick
