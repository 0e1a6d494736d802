// Makes this process believe that its machine was suspended.
//
// A suspension moves CLOCK_BOOTTIME on and leaves CLOCK_MONOTONIC, and so
// std::chrono::steady_clock, where it was. Timers of the kernel stand still.
// Unlike after a real one, the wall clock stands still as well: other processes
// read it too.
//
//   SuspendMachine(std::chrono::seconds(7));  // it has just woken

#ifndef NET_TESTING_SUSPENSION_H_
#define NET_TESTING_SUSPENSION_H_

#include <chrono>

namespace leverwick {

// Lasts until the process ends, since a clock must not go back.
void SuspendMachine(std::chrono::nanoseconds time);

}  // namespace leverwick

#endif  // NET_TESTING_SUSPENSION_H_
