// Peers that read slowly, and peers that are gone: the first ones get all that
// is written to them, the second ones are noticed in time.

#include "net/tcp_connection.h"

#include <doctest/doctest.h>
#include <linux/filter.h>
#include <sys/socket.h>

#include <memory>
#include <string>
#include <vector>

#include "net/testing/test_loop.h"

namespace leverwick {
namespace {

using boost::asio::io_context;
using boost::asio::ip::tcp;

constexpr int kReceiveBuffer = 16384;
// A silent peer is looked at twice a second, and a probe of a closed window
// may be as far away as the window has been closed.
constexpr milliseconds kNoticedWithin = kUnacknowledged + milliseconds(1500);

// The writer's side, from ConnectTcp.
class Writer : public TcpConnection::Observer {
 public:
  void OnBytes(std::string_view) override {}
  void OnClosed(std::error_code why) override {
    is_closed = true;
    error = why;
  }

  std::shared_ptr<TcpConnection> tcp;
  bool is_closed = false;
  std::error_code error;
};

// A peer that reads only when it is told to.
class Peer {
 public:
  explicit Peer(io_context* loop)
      : loop_(loop), acceptor_(*loop), socket(*loop) {
    acceptor_.open(tcp::v4());
    acceptor_.set_option(
        boost::asio::socket_base::receive_buffer_size(kReceiveBuffer));
    acceptor_.bind({boost::asio::ip::address_v4::loopback(), 0});
    acceptor_.listen();
    bool is_accepted = false;
    acceptor_.async_accept(socket, [&](auto) { is_accepted = true; });
    ConnectTcp(loop, acceptor_.local_endpoint(), milliseconds(1000),
               [this](auto error, auto connection) {
                 REQUIRE_FALSE(error);
                 writer.tcp = connection;
                 connection->Start(&writer);
               });
    REQUIRE(
        RunUntil(loop, [&] { return is_accepted && writer.tcp != nullptr; }));
    socket.non_blocking(true);
  }

  // Drops every segment that arrives, so that none is acknowledged.
  void FallSilent() {
    sock_filter drop_all{BPF_RET | BPF_K, 0, 0, 0};
    sock_fprog program{1, &drop_all};
    REQUIRE(setsockopt(socket.native_handle(), SOL_SOCKET, SO_ATTACH_FILTER,
                       &program, sizeof(program)) == 0);
  }

  void RunFor(milliseconds time) {
    loop_->restart();
    loop_->run_for(time);
  }

  // Reads up to `bytes`, as they come.
  size_t Read(size_t bytes) {
    std::vector<char> buffer(65536);
    size_t received = 0;
    RunUntil(loop_, [&] {
      boost::system::error_code error;
      received += socket.read_some(boost::asio::buffer(buffer), error);
      bool may_come = !error || error == boost::asio::error::would_block;
      return received >= bytes || !may_come;
    });
    return received;
  }

 private:
  io_context* const loop_;
  tcp::acceptor acceptor_;

 public:
  tcp::socket socket;
  Writer writer;
};

TEST_CASE("a peer that reads nothing for a time gets all that is written") {
  for (size_t size : {100UL << 10, 4UL << 20}) {
    io_context loop;
    Peer peer(&loop);
    peer.writer.tcp->Write(std::string(size, 'x'));
    peer.RunFor(2 * kUnacknowledged + milliseconds(500));
    CAPTURE(size);
    CHECK_FALSE(peer.writer.is_closed);
    CHECK(peer.Read(size) == size);
    // The kernel's notice is in force again for what is written next.
    peer.RunFor(milliseconds(600));
    peer.FallSilent();
    peer.writer.tcp->Write("next");
    CHECK(RunUntil(
        &loop, [&] { return peer.writer.is_closed; }, kNoticedWithin));
  }
}

TEST_CASE("a peer that falls silent is given up") {
  for (size_t size : {100UL, 100UL << 10, 4UL << 20}) {
    io_context loop;
    Peer peer(&loop);
    peer.FallSilent();
    peer.writer.tcp->Write(std::string(size, 'x'));
    CAPTURE(size);
    CHECK(RunUntil(
        &loop, [&] { return peer.writer.is_closed; }, kNoticedWithin));
    CHECK(peer.writer.error == std::errc::timed_out);
  }
}

TEST_CASE("a peer that falls silent with its window closed is given up") {
  io_context loop;
  Peer peer(&loop);
  peer.writer.tcp->Write(std::string(4UL << 20, 'x'));
  constexpr milliseconds kClosedFor{3000};
  peer.RunFor(kClosedFor);
  REQUIRE_FALSE(peer.writer.is_closed);
  peer.FallSilent();
  CHECK(RunUntil(
      &loop, [&] { return peer.writer.is_closed; },
      kClosedFor + kNoticedWithin));
  CHECK(peer.writer.error == std::errc::timed_out);
}

}  // namespace
}  // namespace leverwick
