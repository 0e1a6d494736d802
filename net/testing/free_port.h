// Loopback addresses that nothing listens on.

#ifndef NET_TESTING_FREE_PORT_H_
#define NET_TESTING_FREE_PORT_H_

#include <unistd.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>

namespace leverwick {

// The port is free when it is asked for; whoever takes it does so at once. Each
// call gives another one, below those that the kernel draws for connections;
// processes beside each other begin at different ones.
inline boost::asio::ip::tcp::endpoint FreePort(boost::asio::io_context* loop) {
  using boost::asio::ip::tcp;
  constexpr uint32_t kFirst = 10000;
  constexpr uint32_t kPorts = 9000;
  constexpr uint32_t kBetweenProcesses = 1499;
  static uint32_t next = static_cast<uint32_t>(getpid()) * kBetweenProcesses;
  for (;;) {
    tcp::endpoint candidate(boost::asio::ip::address_v4::loopback(),
                            static_cast<uint16_t>(kFirst + next++ % kPorts));
    tcp::acceptor probe(*loop, candidate.protocol());
    probe.set_option(tcp::acceptor::reuse_address(true));
    boost::system::error_code error;
    probe.bind(candidate, error);
    if (!error) probe.listen(1, error);
    if (!error) return candidate;
  }
}

}  // namespace leverwick

#endif  // NET_TESTING_FREE_PORT_H_
