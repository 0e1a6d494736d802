// What a server does when its own means run out: descriptors, places for new
// connections, memory, and the way to callers that read slowly.

#include <doctest/doctest.h>
#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <boost/asio/write.hpp>
#include <fstream>
#include <list>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "net/async_http_client.h"
#include "net/async_http_server.h"
#include "net/testing/collected_answer.h"
#include "net/testing/free_port.h"
#include "net/testing/test_loop.h"

namespace leverwick {
namespace {

using boost::asio::io_context;
using boost::asio::ip::tcp;

const std::string kRequest =
    "GET /a HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n";

size_t ResidentBytes() {
  size_t pages = 0;
  size_t resident = 0;
  std::ifstream("/proc/self/statm") >> pages >> resident;
  return resident * static_cast<size_t>(sysconf(_SC_PAGESIZE));
}

int OpenDescriptors() {
  int probe = dup(0);
  close(probe);
  return probe;
}

// Lowers the process's limit of open files for one test.
class FileLimit {
 public:
  explicit FileLimit(int most) {
    getrlimit(RLIMIT_NOFILE, &before_);
    rlimit lower = before_;
    lower.rlim_cur = static_cast<rlim_t>(most);
    setrlimit(RLIMIT_NOFILE, &lower);
  }
  ~FileLimit() { setrlimit(RLIMIT_NOFILE, &before_); }

 private:
  rlimit before_{};
};

// A server that answers at once with `body`.
class Server {
 public:
  explicit Server(io_context* loop, std::string body = "ok")
      : http(loop,
             [this](const auto& exchange) {
               HttpHead head;
               head.status = 200;
               exchange->Answer(std::move(head), body_);
             }),
        endpoint(FreePort(loop)),
        body_(std::move(body)) {
    REQUIRE_FALSE(http.Listen(endpoint));
  }

  std::string address() const {
    return "127.0.0.1:" + std::to_string(endpoint.port());
  }

  AsyncHttpServer http;
  tcp::endpoint endpoint;

 private:
  const std::string body_;
};

bool IsServed(io_context* loop, HttpConnections* callers,
              const std::string& address,
              milliseconds limit = milliseconds(8000)) {
  CollectedAnswer answer;
  auto call = callers->Send(address, kRequest, &answer);
  RunUntil(
      loop, [&] { return answer.ended(); }, limit);
  if (!answer.ended()) call->Abort();
  return answer.whole;
}

TEST_CASE("without descriptors open connections are served, new ones later") {
  io_context loop;
  Server server(&loop);
  HttpConnections callers(&loop, {});
  REQUIRE(IsServed(&loop, &callers, server.address()));
  constexpr int kConnections = 20;
  std::list<tcp::socket> sockets;
  {
    // Each connection takes two, one of the caller and one of the server: the
    // server's run out when about half of the connections stand.
    FileLimit limit(OpenDescriptors() + kConnections + kConnections / 2);
    for (int i = 0; i < kConnections; ++i) {
      sockets.emplace_back(loop);
      boost::system::error_code error;
      sockets.back().connect(server.endpoint, error);
    }
    auto is_full = [&] { return OpenDescriptors() < 0; };
    REQUIRE(RunUntil(&loop, is_full));
    CHECK(server.http.connections() < kConnections + 1);
    // The kept connection goes on.
    CHECK(IsServed(&loop, &callers, server.address()));
    CHECK(callers.opened() == 1);
    sockets.clear();
    HttpConnections late(&loop, {});
    CHECK(IsServed(&loop, &late, server.address()));
  }
  CHECK(RunUntil(&loop, [&] { return server.http.connections() <= 2; }));
}

TEST_CASE("without descriptors connections at rest make room for new ones") {
  io_context loop;
  Server server(&loop);
  constexpr int kConnections = 100;
  std::list<tcp::socket> sockets;
  for (int i = 0; i < kConnections; ++i) {
    sockets.emplace_back(loop);
    boost::system::error_code error;
    sockets.back().connect(server.endpoint, error);
  }
  REQUIRE(RunUntil(&loop, [&] {
    return server.http.connections() == static_cast<size_t>(kConnections);
  }));
  RunUntil(
      &loop, [] { return false; }, milliseconds(1100));
  // The caller's own descriptors, and none for the server.
  constexpr int kCallers = 10;
  HttpConnections callers(&loop, {});
  std::list<CollectedAnswer> answers;
  FileLimit limit(OpenDescriptors() + kCallers);
  for (int i = 0; i < kCallers; ++i) {
    answers.emplace_back();
    callers.Send(server.address(), kRequest, &answers.back());
  }
  auto all_served = [&] {
    return std::all_of(answers.begin(), answers.end(),
                       [](const auto& answer) { return answer.whole; });
  };
  // A caller's new connection is given up after a second.
  CHECK(RunUntil(&loop, all_served, milliseconds(1000)));
}

TEST_CASE("connections that come while the server is busy are all served") {
  io_context loop;
  Server server(&loop);
  // The loop does not run: nothing is accepted.
  constexpr int kCallers = 300;
  std::list<tcp::socket> sockets;
  for (int i = 0; i < kCallers; ++i) {
    sockets.emplace_back(loop);
    sockets.back().open(tcp::v4());
    sockets.back().non_blocking(true);
    boost::system::error_code in_progress;
    sockets.back().connect(server.endpoint, in_progress);
  }
  REQUIRE(RunUntil(&loop, [&] {
    return server.http.connections() == static_cast<size_t>(kCallers);
  }));
  for (tcp::socket& socket : sockets) {
    socket.non_blocking(false);
    boost::asio::write(socket, boost::asio::buffer(kRequest));
  }
  int answered = 0;
  std::vector<std::array<char, 512>> answers(kCallers);
  auto buffer = answers.begin();
  for (tcp::socket& socket : sockets) {
    socket.async_read_some(boost::asio::buffer(*buffer++),
                           [&](auto error, size_t) {
                             if (!error) ++answered;
                           });
  }
  CHECK(RunUntil(&loop, [&] { return answered == kCallers; }));
}

TEST_CASE("callers that send a byte at a time take little memory, and time") {
  io_context loop;
  Server server(&loop);
  HttpServerLimits limits;
  limits.head_time = milliseconds(1500);
  server.http.SetLimits(limits);
  HttpConnections callers(&loop, {});
  REQUIRE(IsServed(&loop, &callers, server.address()));
  constexpr size_t kSlow = 200;
  size_t before = ResidentBytes();
  std::list<tcp::socket> slow;
  for (size_t i = 0; i < kSlow; ++i) {
    slow.emplace_back(loop);
    slow.back().connect(server.endpoint);
  }
  REQUIRE(
      RunUntil(&loop, [&] { return server.http.connections() == kSlow + 1; }));
  std::string head = "GET /" + std::string(400, 'a');
  for (char byte : head) {
    for (tcp::socket& socket : slow) {
      boost::system::error_code closed;
      boost::asio::write(socket, boost::asio::buffer(&byte, 1), closed);
    }
    loop.poll();
  }
  // Both ends of each connection are in this process.
  CHECK(ResidentBytes() - before < kSlow * 32UL * 1024);
  CHECK(IsServed(&loop, &callers, server.address(), milliseconds(200)));
  CHECK(RunUntil(&loop, [&] { return server.http.connections() <= 1; }));
}

TEST_CASE("requests without memory are refused and come back in turns") {
  io_context loop;
  std::vector<std::shared_ptr<ServerExchange>> kept;
  tcp::endpoint endpoint = FreePort(&loop);
  AsyncHttpServer server(
      &loop, [&](const auto& exchange) { kept.push_back(exchange); });
  HttpServerCapacity capacity;
  capacity.request_bytes = 256UL * 1024;
  server.SetCapacity(capacity);
  REQUIRE_FALSE(server.Listen(endpoint));
  const std::string body(150UL * 1024, 'x');
  const std::string request = "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: " +
                              std::to_string(body.size()) + "\r\n\r\n" + body;
  HttpConnections callers(&loop, {});
  std::string address = "127.0.0.1:" + std::to_string(endpoint.port());
  CollectedAnswer served;
  callers.Send(address, request, &served);
  REQUIRE(RunUntil(&loop, [&] { return kept.size() == 1; }));
  std::set<std::string> times;
  for (int i = 0; i < 3; ++i) {
    CollectedAnswer refused;
    callers.Send(address, request, &refused);
    REQUIRE(RunUntil(&loop, [&] { return refused.whole; }));
    CHECK(refused.head.status == 503);
    CHECK(refused.head.Field("connection") == "close");
    times.insert(refused.head.Field("retry-after"));
  }
  CHECK(times == std::set<std::string>{"1", "2", "3"});
  CHECK(kept.size() == 1);
  HttpHead head;
  head.status = 200;
  kept.front()->Answer(std::move(head), "ok");
  CHECK(RunUntil(&loop, [&] { return served.whole; }));
  kept.clear();
  CHECK(server.request_bytes() == 0);
}

TEST_CASE("a caller that reads a byte at a time holds up nobody else") {
  io_context loop;
  constexpr size_t kLarge = 4UL << 20;
  Server server(&loop, std::string(kLarge, 'x'));
  tcp::socket slow(loop);
  slow.connect(server.endpoint);
  boost::asio::write(slow, boost::asio::buffer(kRequest));
  char byte = 0;
  for (int i = 0; i < 100; ++i) {
    loop.poll();
    boost::system::error_code none_yet;
    slow.non_blocking(true);
    slow.read_some(boost::asio::buffer(&byte, 1), none_yet);
  }
  size_t before = ResidentBytes();
  HttpConnections callers(&loop, {});
  for (int i = 0; i < 5; ++i) {
    CHECK(IsServed(&loop, &callers, server.address(), milliseconds(1000)));
  }
  // The one answer that is on its way, and no more with each request.
  CHECK(ResidentBytes() - before < 4 * kLarge);
  boost::system::error_code ignored;  // the socket is done with
  slow.close(ignored);
  CHECK(RunUntil(&loop, [&] { return server.http.connections() <= 1; }));
}

}  // namespace
}  // namespace leverwick
