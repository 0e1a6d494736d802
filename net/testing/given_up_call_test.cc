// Calls that are given up while their bytes wait in the kernel.

#include <doctest/doctest.h>

#include <boost/asio/write.hpp>
#include <optional>
#include <string>
#include <vector>

#include "leverwick/result.h"
#include "net/http_call.h"
#include "net/testing/free_port.h"
#include "net/testing/test_loop.h"

namespace leverwick {
namespace {

using boost::asio::io_context;
using boost::asio::ip::tcp;

// More than the server's side of the connection takes without a read, and less
// than the kernel takes from the caller.
constexpr size_t kBodyBytes = 200000;
constexpr int kServerBuffer = 4096;

// Accepts one connection and reads it only when asked.
class DeafServer {
 public:
  explicit DeafServer(io_context* loop) : acceptor_(*loop), socket_(*loop) {
    tcp::endpoint address = FreePort(loop);
    acceptor_.open(tcp::v4());
    acceptor_.set_option(
        boost::asio::socket_base::receive_buffer_size(kServerBuffer));
    acceptor_.bind(address);
    acceptor_.listen();
    address_ = "127.0.0.1:" + std::to_string(address.port());
    acceptor_.async_accept(socket_, [](auto) {});
  }

  const std::string& address() const { return address_; }

  // Returns the number of bytes that arrive until the connection ends.
  size_t ReadAll() {
    std::vector<char> buffer(65536);
    size_t received = 0;
    boost::system::error_code error;
    while (!error) {
      received += socket_.read_some(boost::asio::buffer(buffer), error);
    }
    return received;
  }

 private:
  tcp::acceptor acceptor_;
  tcp::socket socket_;
  std::string address_;
};

// Guards against calls that reach their server after the caller has given them
// up: a box that was cut off made a call with an old fencing token so.
TEST_CASE("a call that was given up does not arrive later") {
  io_context loop;
  DeafServer server(&loop);
  HttpConnections connections(&loop, HttpConnectionsOptions());
  HttpHead head;
  head.method = "POST";
  head.target = "/";
  head.Set("Host", server.address());
  head.Set("Content-Length", std::to_string(kBodyBytes));
  std::string request = RequestText(head) + std::string(kBodyBytes, 'x');
  std::optional<std::error_code> ended;
  HttpCall::Start(&loop, &connections, server.address(), request,
                  milliseconds(200),
                  [&](std::error_code error, const HttpHead&,
                      const std::string&) { ended = error; });
  REQUIRE(RunUntil(&loop, [&] { return ended.has_value(); }));
  CHECK(*ended == Result::kUnreachable);
  CHECK(server.ReadAll() < request.size());
}

}  // namespace
}  // namespace leverwick
