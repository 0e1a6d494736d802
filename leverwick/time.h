// Time types and conversions. The decision library never reads a clock: callers
// pass the current time in.

#ifndef LEVERWICK_TIME_H_
#define LEVERWICK_TIME_H_

#include <chrono>

#include "google/protobuf/duration.pb.h"

namespace leverwick {

using std::chrono::milliseconds;
using std::chrono::nanoseconds;

// A steady clock that, unlike std::chrono::steady_clock, also counts the time
// for which the machine is suspended: to everyone else that time has passed.
struct Clock {
  using duration = nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<Clock>;
  static constexpr bool is_steady = true;

  static time_point now() noexcept;  // in net/clock.cc
};
using TimePoint = Clock::time_point;

// Wall-clock time. The clocks of boxes differ, so times from different boxes
// are only compared with a tolerance of minutes.
using WallTime = std::chrono::system_clock::time_point;

// Returns the time since the Unix epoch (1970), the form in which records and
// messages hold wall-clock times.
inline milliseconds SinceEpoch(WallTime time) {
  return std::chrono::duration_cast<milliseconds>(time.time_since_epoch());
}

// Seconds as a floating-point number, for arithmetic.
using Seconds = std::chrono::duration<double>;

// Converts a protobuf duration, as used in settings and table rows.
inline nanoseconds FromProto(const google::protobuf::Duration& duration) {
  return std::chrono::seconds(duration.seconds()) +
         nanoseconds(duration.nanos());
}

inline milliseconds ToMilliseconds(const google::protobuf::Duration& duration) {
  return std::chrono::duration_cast<milliseconds>(FromProto(duration));
}

inline double ToSeconds(Clock::duration duration) {
  return std::chrono::duration_cast<Seconds>(duration).count();
}

inline Clock::duration FromSeconds(double seconds) {
  return std::chrono::duration_cast<Clock::duration>(Seconds(seconds));
}

}  // namespace leverwick

#endif  // LEVERWICK_TIME_H_
