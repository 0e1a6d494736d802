// A loopback address that nothing listens on.

#ifndef NET_TESTING_FREE_PORT_H_
#define NET_TESTING_FREE_PORT_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace leverwick {

// The port is free when it is asked for; whoever takes it does so at once.
inline boost::asio::ip::tcp::endpoint FreePort(boost::asio::io_context* loop) {
  boost::asio::ip::tcp::acceptor probe(
      *loop, {boost::asio::ip::address_v4::loopback(), 0});
  return probe.local_endpoint();
}

}  // namespace leverwick

#endif  // NET_TESTING_FREE_PORT_H_
