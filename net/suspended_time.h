// The time for which this machine has been suspended since it booted.
//
//   nanoseconds before = SuspendedTime();
//   ...
//   nanoseconds suspended_for = SuspendedTime() - before;

#ifndef NET_SUSPENDED_TIME_H_
#define NET_SUSPENDED_TIME_H_

#include "leverwick/time.h"

namespace leverwick {

// Thread-safe. Two calls in a row may differ by a millisecond.
nanoseconds SuspendedTime();

}  // namespace leverwick

#endif  // NET_SUSPENDED_TIME_H_
