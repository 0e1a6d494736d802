// Timer waits on an event loop until a point in time of Clock.
//
// The kernel's timers stand still while the machine is suspended. A timer that
// ran out meanwhile fires with the next one of its loop that is due by the
// running clock; what it does must look at the time first.
//
//   Timer timer(loop);
//   timer.expires_after(milliseconds(250));
//   timer.async_wait([](auto error) { if (!error) ... });

#ifndef NET_TIMER_H_
#define NET_TIMER_H_

#include <boost/asio/basic_waitable_timer.hpp>

#include "leverwick/time.h"

namespace leverwick {

using Timer = boost::asio::basic_waitable_timer<Clock>;

}  // namespace leverwick

#endif  // NET_TIMER_H_
