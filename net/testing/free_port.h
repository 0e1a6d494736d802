// Loopback addresses that nothing listens on.

#ifndef NET_TESTING_FREE_PORT_H_
#define NET_TESTING_FREE_PORT_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <memory>

namespace leverwick {

// A range of ports that no other test process uses, below those that the kernel
// draws for connections. The process listens on the first port of its range, so
// that others take another one, for as long as it runs. If all ranges are taken
// it shares the last one.
class PortRange {
 public:
  static constexpr uint16_t kSize = 2250;

  PortRange() {
    using boost::asio::ip::tcp;
    for (uint16_t first = kFirst; first < kEnd; first += kSize) {
      tcp::endpoint marker(boost::asio::ip::address_v4::loopback(), first);
      marker_ = std::make_unique<tcp::acceptor>(loop_, marker.protocol());
      boost::system::error_code error;
      marker_->bind(marker, error);
      if (!error) marker_->listen(1, error);
      first_ = first;
      is_own_ = !error;
      if (is_own_) return;
    }
  }

  uint16_t first() const { return first_; }
  // Whether the range is this process's own.
  bool is_own() const { return is_own_; }
  // The next port of the range, which begins anew at its end.
  uint16_t Next() {
    next_ = static_cast<uint16_t>(next_ % (kSize - 1) + 1);
    return static_cast<uint16_t>(first_ + next_);
  }

 private:
  static constexpr uint16_t kFirst = 10000;
  static constexpr uint16_t kEnd = 19000;

  boost::asio::io_context loop_;
  std::unique_ptr<boost::asio::ip::tcp::acceptor> marker_;
  uint16_t first_ = kFirst;
  bool is_own_ = false;
  uint16_t next_ = 0;
};

// The port is free when it is asked for; whoever takes it does so at once. Each
// call gives another one.
inline boost::asio::ip::tcp::endpoint FreePort(boost::asio::io_context* loop) {
  using boost::asio::ip::tcp;
  static PortRange range;
  for (;;) {
    tcp::endpoint candidate(boost::asio::ip::address_v4::loopback(),
                            range.Next());
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
