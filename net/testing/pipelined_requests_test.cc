// Callers that send requests ahead of their answers, in pieces of any size, to
// a server that is at times late to read them.

#include <doctest/doctest.h>

#include <algorithm>
#include <boost/asio/write.hpp>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "net/async_http_server.h"
#include "net/http_codec.h"
#include "net/testing/free_port.h"

namespace leverwick {
namespace {

using boost::asio::io_context;
using boost::asio::ip::tcp;

std::string RequestOf(const std::string& id, const std::string& body) {
  return "POST /" + id + " HTTP/1.1\r\nHost: x\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

// Writes to the kernel at once, whether or not the server's loop runs.
class Caller {
 public:
  explicit Caller(const tcp::endpoint& server) : socket_(loop_) {
    socket_.connect(server);
    socket_.set_option(tcp::no_delay(true));
    socket_.non_blocking(true);
  }

  void Write(const std::string& bytes) {
    boost::asio::write(socket_, boost::asio::buffer(bytes));
  }
  // Reads what has come.
  const std::string& received() {
    char buffer[4096];
    boost::system::error_code error;
    while (size_t size =
               socket_.read_some(boost::asio::buffer(buffer), error)) {
      received_.append(buffer, size);
    }
    return received_;
  }

 private:
  io_context loop_;
  tcp::socket socket_;
  std::string received_;
};

// Keeps each request until the test answers it. The answer repeats the
// request's target and body.
class EchoServer {
 public:
  EchoServer()
      : endpoint_(FreePort(&loop)),
        server_(&loop, [this](const auto& exchange) {
          open.push_back(exchange);
          if (on_request) on_request();
        }) {
    REQUIRE_FALSE(server_.Listen(endpoint_));
  }

  const tcp::endpoint& endpoint() const { return endpoint_; }
  void Answer(size_t number) {
    auto exchange = open[number];
    open.erase(open.begin() + static_cast<std::ptrdiff_t>(number));
    HttpHead head;
    head.status = 200;
    exchange->Answer(std::move(head),
                     exchange->head().target + " " + exchange->body());
  }

  io_context loop;
  std::vector<std::shared_ptr<ServerExchange>> open;
  std::function<void()> on_request;

 private:
  const tcp::endpoint endpoint_;
  AsyncHttpServer server_;
};

// The bodies of whole answers, in order.
class Answers : private HttpReader::Observer {
 public:
  explicit Answers(const std::string& bytes)
      : reader_(HttpReader::kResponses, {}, this) {
    std::string_view rest = bytes;
    while (!rest.empty()) {
      size_t used = 0;
      bodies.emplace_back();
      REQUIRE(reader_.Feed(rest, &used));
      rest.remove_prefix(used);
      if (!reader_.done()) break;
      reader_.Reset();
    }
    if (!reader_.done() && reader_.any_read()) bodies.pop_back();
  }
  std::vector<std::string> bodies;

 private:
  void OnHead(HttpHead) override {}
  void OnBody(std::string_view bytes) override { bodies.back().append(bytes); }
  void OnEnd() override {}

  HttpReader reader_;
};

void PollUntil(io_context* loop, const std::function<bool()>& happened) {
  for (int i = 0; i < 100000 && !happened(); ++i) {
    loop->restart();
    loop->poll_one();
  }
  REQUIRE(happened());
}

// Guards against bytes of a later request that are read before those of an
// earlier one which waited for an answer: after a freeze, a request was lost
// and another one's answer came in its place.
TEST_CASE("a request that comes as an answer ends stays behind a held one") {
  EchoServer server;
  Caller caller(server.endpoint());
  Caller other(server.endpoint());
  caller.Write(RequestOf("1", ""));
  PollUntil(&server.loop, [&] { return server.open.size() == 1; });
  caller.Write(RequestOf("2", ""));
  for (int i = 0; i < 10; ++i) server.loop.poll();
  // Both are ready when the loop runs again; the other caller's request, which
  // is read first, brings the answer to the first one.
  bool is_first = true;
  server.on_request = [&] {
    if (std::exchange(is_first, false)) server.Answer(0);
  };
  other.Write(RequestOf("other", ""));
  caller.Write(RequestOf("3", ""));
  PollUntil(&server.loop, [&] { return !is_first; });
  PollUntil(&server.loop, [&] {
    while (!server.open.empty()) server.Answer(0);
    return Answers(caller.received()).bodies.size() == 3;
  });
  CHECK(Answers(caller.received()).bodies ==
        std::vector<std::string>{"/1 ", "/2 ", "/3 "});
}

TEST_CASE("requests sent ahead are answered in order at any split") {
  for (unsigned seed = 1; seed <= 300; ++seed) {
    CAPTURE(seed);
    std::mt19937 random(seed);
    EchoServer server;
    struct Sender {
      std::unique_ptr<Caller> caller;
      std::string unsent;
      std::vector<std::string> expected;
    };
    std::vector<Sender> senders(1 + random() % 3);
    for (size_t i = 0; i < senders.size(); ++i) {
      senders[i].caller = std::make_unique<Caller>(server.endpoint());
      for (size_t count = 1 + random() % 5; count > 0; --count) {
        std::string id = std::to_string(i) + "-" + std::to_string(count);
        // A body may look like a request.
        std::string body(random() % 300, 'b');
        if (random() % 3 == 0) body = RequestOf("inner", body);
        senders[i].unsent += RequestOf(id, body);
        senders[i].expected.push_back("/" + id + " " + body);
      }
    }
    // Answers are given from handlers too, between bytes that are ready.
    server.on_request = [&] {
      if (server.open.size() > 1 && random() % 2 == 0) server.Answer(0);
    };
    auto is_done = [&] {
      return std::all_of(senders.begin(), senders.end(), [](Sender& sender) {
        return Answers(sender.caller->received()).bodies.size() ==
               sender.expected.size();
      });
    };
    for (int step = 0; step < 100000 && !is_done(); ++step) {
      Sender& sender = senders[random() % senders.size()];
      if (!sender.unsent.empty() && random() % 2 == 0) {
        size_t size =
            1 + random() % std::min<size_t>(400, sender.unsent.size());
        size = std::min(size, sender.unsent.size());
        sender.caller->Write(sender.unsent.substr(0, size));
        sender.unsent.erase(0, size);
      }
      if (!server.open.empty() && random() % 3 == 0) {
        server.Answer(random() % server.open.size());
      }
      server.loop.restart();
      for (size_t turns = random() % 4; turns > 0; --turns) {
        server.loop.poll_one();
      }
    }
    for (Sender& sender : senders) {
      CHECK(Answers(sender.caller->received()).bodies == sender.expected);
    }
  }
}

TEST_CASE("two requests split at each byte are both answered") {
  const std::string first = RequestOf("1", "one");
  const std::string both = first + RequestOf("2", "two");
  EchoServer server;
  for (size_t at = 1; at < both.size(); ++at) {
    CAPTURE(at);
    Caller caller(server.endpoint());
    caller.Write(both.substr(0, at));
    for (int i = 0; i < 5; ++i) server.loop.poll();
    // The rest is there when the first answer, if it is due, is given.
    caller.Write(both.substr(at));
    PollUntil(&server.loop, [&] {
      if (!server.open.empty()) server.Answer(0);
      return Answers(caller.received()).bodies.size() == 2;
    });
    CHECK(Answers(caller.received()).bodies ==
          std::vector<std::string>{"/1 one", "/2 two"});
  }
}

}  // namespace
}  // namespace leverwick
