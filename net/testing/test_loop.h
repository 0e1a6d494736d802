// Runs an event loop in a test until something has happened.

#ifndef NET_TESTING_TEST_LOOP_H_
#define NET_TESTING_TEST_LOOP_H_

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <functional>

namespace leverwick {

// False when `happened` did not become true within the limit, which is for
// broken code only: no test waits it out.
inline bool RunUntil(
    boost::asio::io_context* loop, const std::function<bool()>& happened,
    std::chrono::milliseconds limit = std::chrono::milliseconds(8000)) {
  auto end = std::chrono::steady_clock::now() + limit;
  loop->restart();
  bool done = false;
  while (!(done = happened()) && std::chrono::steady_clock::now() < end) {
    loop->run_one_for(std::chrono::milliseconds(20));
    if (loop->stopped()) loop->restart();
  }
  return done;
}

}  // namespace leverwick

#endif  // NET_TESTING_TEST_LOOP_H_
