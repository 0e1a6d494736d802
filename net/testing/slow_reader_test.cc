// Callers that read their answers slowly: a whole answer that waits in the
// process is delivered, whatever ends connections at rest.

#include <doctest/doctest.h>
#include <sys/resource.h>
#include <unistd.h>

#include <boost/asio/write.hpp>
#include <list>
#include <memory>
#include <string>
#include <vector>

#include "net/async_http_server.h"
#include "net/testing/free_port.h"
#include "net/testing/test_loop.h"

namespace leverwick {
namespace {

using boost::asio::io_context;
using boost::asio::ip::tcp;

constexpr size_t kAnswerBytes = 12UL << 20;
// Of these the kernel takes so many at most.
constexpr size_t kKernelBytes = 4UL << 20;
constexpr milliseconds kIdleTime{600};

// Takes no more bytes than it is asked to read, through a small buffer.
class SlowCaller {
 public:
  explicit SlowCaller(const tcp::endpoint& server) : socket_(loop_) {
    socket_.open(tcp::v4());
    socket_.set_option(boost::asio::socket_base::receive_buffer_size(65536));
    socket_.connect(server);
    socket_.non_blocking(true);
    std::string request = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";
    boost::asio::write(socket_, boost::asio::buffer(request));
  }

  void Read(size_t most) {
    buffer_.resize(most);
    boost::system::error_code error;
    size_t size = socket_.read_some(boost::asio::buffer(buffer_), error);
    received_ += size;
    if (error && error != boost::asio::error::would_block) ended_ = true;
  }
  size_t received() const { return received_; }
  bool is_whole() const { return received_ > kAnswerBytes; }
  bool ended() const { return ended_; }

 private:
  io_context loop_;
  tcp::socket socket_;
  std::vector<char> buffer_;
  size_t received_ = 0;
  bool ended_ = false;
};

class LargeAnswers {
 public:
  LargeAnswers()
      : http(&loop,
             [this](const auto& exchange) {
               HttpHead head;
               head.status = 200;
               exchange->Answer(std::move(head), body_);
             }),
        endpoint(FreePort(&loop)),
        body_(kAnswerBytes, 'x') {
    HttpServerLimits limits;
    limits.idle_time = kIdleTime;
    http.SetLimits(limits);
    REQUIRE_FALSE(http.Listen(endpoint));
  }

  void RunFor(milliseconds time) {
    loop.restart();
    loop.run_for(time);
  }
  // Until the answer is given and waits for its caller.
  void AwaitUndelivered(size_t count) {
    REQUIRE(RunUntil(&loop, [&] { return http.undelivered() == count; }));
  }
  // The caller takes 12 KB in 2 ms, so that the answer takes longer than the
  // idle time.
  void ReadSlowly(SlowCaller* caller) {
    for (int i = 0; i < 5000 && !caller->is_whole() && !caller->ended(); ++i) {
      caller->Read(12000);
      RunFor(milliseconds(2));
    }
  }

  io_context loop;
  AsyncHttpServer http;
  tcp::endpoint endpoint;

 private:
  const std::string body_;
};

// Guards against a stop that drops whole answers which wait in the process.
TEST_CASE("a stop waits for the answers of slow callers") {
  LargeAnswers server;
  SlowCaller caller(server.endpoint);
  server.AwaitUndelivered(1);
  server.http.Drain();
  server.ReadSlowly(&caller);
  CHECK(caller.is_whole());
  CHECK(RunUntil(&server.loop, [&] { return server.http.connections() == 0; }));
  CHECK(server.http.undelivered() == 0);
}

TEST_CASE("an answer given during a stop counts until it has left") {
  LargeAnswers server;
  server.http.Drain();
  SlowCaller caller(server.endpoint);
  server.AwaitUndelivered(1);
  CHECK(server.http.connections() == 1);
  server.ReadSlowly(&caller);
  CHECK(caller.is_whole());
  CHECK(RunUntil(&server.loop, [&] { return server.http.connections() == 0; }));
}

// Guards against an idle limit that begins while an answer is on its way.
TEST_CASE("the idle limit begins when the answer has left") {
  LargeAnswers server;
  SlowCaller caller(server.endpoint);
  server.AwaitUndelivered(1);
  server.ReadSlowly(&caller);
  CHECK(caller.is_whole());
  CHECK(server.http.connections() == 1);
  CHECK(RunUntil(&server.loop, [&] { return server.http.connections() == 0; }));
}

TEST_CASE("a caller that takes nothing is given up after the idle time") {
  LargeAnswers server;
  SlowCaller caller(server.endpoint);
  server.AwaitUndelivered(1);
  CHECK(RunUntil(
      &server.loop, [&] { return server.http.connections() == 0; },
      4 * kIdleTime));
  CHECK(server.http.undelivered() == 0);
}

int OpenDescriptors() {
  int probe = dup(0);
  close(probe);
  return probe;
}

// Guards against new connections that take the place of an answer on its way.
TEST_CASE("without descriptors answers on their way make no room") {
  LargeAnswers server;
  HttpServerLimits limits;
  limits.idle_time = milliseconds(15000);
  server.http.SetLimits(limits);
  SlowCaller caller(server.endpoint);
  server.AwaitUndelivered(1);
  // Longer than what counts as rested.
  server.RunFor(milliseconds(1200));
  std::list<tcp::socket> others;
  rlimit before{};
  getrlimit(RLIMIT_NOFILE, &before);
  rlimit lower = before;
  constexpr int kConnections = 3;
  lower.rlim_cur = static_cast<rlim_t>(OpenDescriptors()) + kConnections;
  setrlimit(RLIMIT_NOFILE, &lower);
  for (int i = 0; i < kConnections; ++i) {
    others.emplace_back(server.loop);
    boost::system::error_code error;
    others.back().connect(server.endpoint, error);
  }
  server.RunFor(milliseconds(300));
  setrlimit(RLIMIT_NOFILE, &before);
  CHECK(server.http.undelivered() == 1);
  server.ReadSlowly(&caller);
  CHECK(caller.is_whole());
}

TEST_CASE("answers for slow callers take bounded memory") {
  LargeAnswers server;
  HttpServerLimits limits;
  limits.idle_time = milliseconds(15000);
  server.http.SetLimits(limits);
  std::list<SlowCaller> callers;
  constexpr size_t kCallers = 12;
  for (size_t i = 0; i < kCallers; ++i) {
    callers.emplace_back(server.endpoint);
    server.RunFor(milliseconds(20));
  }
  // 32 MB in all, and the last one's.
  constexpr size_t kMost = (32UL << 20) / (kAnswerBytes - kKernelBytes) + 1;
  CHECK(server.http.undelivered() <= kMost);
  CHECK(server.http.undelivered() >= 2);
  // Those that have waited for longest were broken off.
  server.ReadSlowly(&callers.back());
  CHECK(callers.back().is_whole());
  server.ReadSlowly(&callers.front());
  CHECK_FALSE(callers.front().is_whole());
}

}  // namespace
}  // namespace leverwick
