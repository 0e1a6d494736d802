#include "net/testing/free_port.h"

#include <doctest/doctest.h>

#include <cstdint>
#include <set>

namespace leverwick {
namespace {

// CI saw a box of a test fail to start, EADDRINUSE: two of its three listeners
// had been given one port.
TEST_CASE("a free port is given to one caller only") {
  constexpr size_t kPorts = 2000;
  boost::asio::io_context loop;
  std::set<uint16_t> ports;
  for (size_t i = 0; i < kPorts; ++i) ports.insert(FreePort(&loop).port());
  CHECK(ports.size() == kPorts);
}

TEST_CASE("test processes beside each other get ports of their own") {
  PortRange one;
  PortRange another;
  // Beyond the number of ranges they are shared.
  CHECK((one.first() != another.first() || !another.is_own()));
  if (!another.is_own()) return;
  std::set<uint16_t> ports;
  for (size_t i = 1; i < PortRange::kSize; ++i) {
    ports.insert(one.Next());
    ports.insert(another.Next());
  }
  CHECK(ports.size() == 2 * (PortRange::kSize - 1));
}

}  // namespace
}  // namespace leverwick
