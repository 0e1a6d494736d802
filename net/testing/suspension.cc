#include "net/testing/suspension.h"

#include <dlfcn.h>

#include <atomic>
#include <cstdint>
#include <ctime>

namespace leverwick {
namespace {

constexpr int64_t kNanosecondsPerSecond = 1000000000;

std::atomic<int64_t> suspended_ns{0};

using ClockFunction = int (*)(clockid_t, timespec*);

int ReadClock(clockid_t clock, timespec* time) {
  static const auto real =
      reinterpret_cast<ClockFunction>(dlsym(RTLD_NEXT, "clock_gettime"));
  return real(clock, time);
}

}  // namespace

void SuspendMachine(std::chrono::nanoseconds time) {
  suspended_ns.fetch_add(time.count(), std::memory_order_relaxed);
}

}  // namespace leverwick

// Comes before the C library's for every caller, the C++ library among them.
extern "C" int clock_gettime(clockid_t clock, timespec* time) noexcept {
  using leverwick::kNanosecondsPerSecond;
  int result = leverwick::ReadClock(clock, time);
  if (result != 0 || clock != CLOCK_BOOTTIME) return result;
  int64_t sum =
      time->tv_nsec + leverwick::suspended_ns.load(std::memory_order_relaxed);
  time->tv_sec += sum / kNanosecondsPerSecond;
  time->tv_nsec = sum % kNanosecondsPerSecond;
  return result;
}
