// Time as the decision library sees it: always passed in, never read.

#ifndef LEVERWICK_TIME_H_
#define LEVERWICK_TIME_H_

#include <chrono>

#include "google/protobuf/duration.pb.h"

namespace leverwick {

using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using std::chrono::milliseconds;
using std::chrono::nanoseconds;

// Wall-clock time. Boxes' clocks differ: it is only ever compared within
// windows of minutes.
using WallTime = std::chrono::system_clock::time_point;

// Time since 1970, as records and other sides' messages hold it.
inline milliseconds SinceEpoch(WallTime time) {
  return std::chrono::duration_cast<milliseconds>(time.time_since_epoch());
}

// Seconds with a fraction, for arithmetic.
using Seconds = std::chrono::duration<double>;

// The std::chrono form of a settings' or a row's duration.
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
