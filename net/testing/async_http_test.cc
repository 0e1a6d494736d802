#include <doctest/doctest.h>

#include <algorithm>
#include <vector>

#include "net/async_http_client.h"
#include "net/async_http_server.h"
#include "net/testing/collected_answer.h"
#include "net/testing/free_port.h"
#include "net/testing/raw_peer.h"
#include "net/testing/test_loop.h"

namespace leverwick {
namespace {

using boost::asio::io_context;

const std::string kRequest =
    "GET /a HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n";

// Answers each whole request (they have no body) with the given bytes.
RawConnection::Receiver AnswerWith(std::string bytes, bool close = false) {
  return [bytes, close](RawConnection* peer) {
    if (peer->received.find("\r\n\r\n") == std::string::npos) return;
    peer->received.clear();
    peer->tcp->Write(bytes);
    if (close) peer->tcp->CloseWhenDrained();
  };
}

TEST_CASE("a connection is kept for the next request") {
  io_context loop;
  RawServer server(
      &loop, AnswerWith("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"));
  HttpConnections connections(&loop, {});
  for (int i = 0; i < 3; ++i) {
    CollectedAnswer answer;
    connections.Send(server.address(), kRequest, &answer);
    REQUIRE(RunUntil(&loop, [&] { return answer.ended(); }));
    CHECK(answer.body == "ok");
  }
  CHECK(connections.opened() == 1);
}

TEST_CASE("sends of one request use different connections") {
  io_context loop;
  RawServer server(&loop, [](RawConnection* peer) {
    peer->received.clear();
    peer->tcp->Write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  });
  HttpConnections connections(&loop, {});
  auto send = [&](const std::string& id) {
    CollectedAnswer answer;
    connections.Send(server.address(),
                     ClientRequest{"GET / HTTP/1.1\r\n\r\n", nullptr, id},
                     &answer);
    REQUIRE(RunUntil(&loop, [&] { return answer.whole; }));
  };
  send("a");
  send("a");
  CHECK(server.connections.size() == 2);
  // Others use both; a late answer may still come behind theirs.
  send("b");
  send("c");
  CHECK(server.connections.size() == 2);
  send("a");
  CHECK(server.connections.size() == 3);
  send("");
  CHECK(server.connections.size() == 3);
}

TEST_CASE("while too many connections are open none is kept") {
  io_context loop;
  RawServer server(&loop,
                   AnswerWith("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"));
  HttpConnectionsOptions options;
  options.max_open = 2;
  HttpConnections connections(&loop, options);
  std::vector<CollectedAnswer> answers(5);
  for (CollectedAnswer& answer : answers) {
    connections.Send(server.address(), kRequest, &answer);
  }
  REQUIRE(RunUntil(&loop, [&] {
    return std::all_of(answers.begin(), answers.end(),
                       [](const auto& answer) { return answer.whole; });
  }));
  CHECK(connections.idle() == 2);
  CHECK(RunUntil(&loop, [&] { return connections.open() == 2; }));
}

TEST_CASE("an answer of another request is dropped and the next awaited") {
  io_context loop;
  RawServer server(
      &loop, AnswerWith("HTTP/1.1 200 OK\r\nx-id: old\r\nContent-Length: 3"
                        "\r\n\r\nold"
                        "HTTP/1.1 200 OK\r\nx-id: new\r\nContent-Length: 3"
                        "\r\n\r\nnew"));
  HttpConnections connections(&loop, {});
  CollectedAnswer answer;
  answer.expected_id = "new";
  connections.Send(server.address(), kRequest, &answer);
  REQUIRE(RunUntil(&loop, [&] { return answer.ended(); }));
  CHECK(answer.whole);
  CHECK(answer.heads == 2);
  CHECK(answer.body == "new");
}

TEST_CASE("a connection with bytes after a whole answer is not used again") {
  io_context loop;
  RawServer server(&loop, AnswerWith("HTTP/1.1 200 OK\r\nContent-Length: 2"
                                     "\r\n\r\nokHTTP/1.1 200 OK\r\n"
                                     "Content-Length: 3\r\n\r\nbad"));
  HttpConnections connections(&loop, {});
  for (int i = 0; i < 2; ++i) {
    CollectedAnswer answer;
    connections.Send(server.address(), kRequest, &answer);
    REQUIRE(RunUntil(&loop, [&] { return answer.ended(); }));
    CHECK(answer.body == "ok");
  }
  CHECK(connections.opened() == 2);
}

TEST_CASE("a connection that gets bytes while idle is not used again") {
  io_context loop;
  RawServer server(
      &loop, AnswerWith("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"));
  HttpConnections connections(&loop, {});
  CollectedAnswer first;
  connections.Send(server.address(), kRequest, &first);
  REQUIRE(RunUntil(&loop, [&] { return first.ended(); }));
  CHECK(connections.idle() == 1);
  server.connections[0]->tcp->Write("HTTP/1.1 200 OK\r\n\r\n");
  REQUIRE(RunUntil(&loop, [&] { return connections.idle() == 0; }));
}

TEST_CASE("a connection whose reading paused is read again when at rest") {
  io_context loop;
  RawServer server(
      &loop, AnswerWith("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"));
  HttpConnections connections(&loop, {});
  // The receiver pauses the reading with the last bytes of its answer.
  struct PausingAnswer : public CollectedAnswer {
    void OnAnswerBody(std::string_view bytes) override {
      CollectedAnswer::OnAnswerBody(bytes);
      call->PauseReading();
    }
    std::shared_ptr<ClientCall> call;
  } paused;
  paused.call = connections.Send(server.address(), kRequest, &paused);
  REQUIRE(RunUntil(&loop, [&] { return paused.ended(); }));
  CollectedAnswer next;
  connections.Send(server.address(), kRequest, &next);
  REQUIRE(RunUntil(&loop, [&] { return next.ended(); }));
  CHECK(next.body == "ok");
  CHECK(connections.opened() == 1);
  server.connections[0]->tcp->Close();
  REQUIRE(RunUntil(&loop, [&] { return connections.idle() == 0; }));
}

TEST_CASE("a close without a byte of an answer is told as sent") {
  io_context loop;
  RawServer server(&loop, AnswerWith("", true));
  HttpConnections connections(&loop, {});
  CollectedAnswer answer;
  connections.Send(server.address(), kRequest, &answer);
  REQUIRE(RunUntil(&loop, [&] { return answer.ended(); }));
  CHECK(answer.failed);
  CHECK(answer.failure.sent);
}

TEST_CASE("a refused connection is told as not sent") {
  io_context loop;
  std::string address;
  {
    RawServer gone(&loop, nullptr);
    address = gone.address();
  }
  HttpConnections connections(&loop, {});
  CollectedAnswer answer;
  connections.Send(address, kRequest, &answer);
  REQUIRE(RunUntil(&loop, [&] { return answer.ended(); }));
  CHECK(answer.failed);
  CHECK_FALSE(answer.failure.sent);
}

TEST_CASE("bytes that are no answer end the call as garbled") {
  io_context loop;
  RawServer server(&loop, AnswerWith("\x01\x02nonsense\r\n\r\n"));
  HttpConnections connections(&loop, {});
  CollectedAnswer answer;
  connections.Send(server.address(), kRequest, &answer);
  REQUIRE(RunUntil(&loop, [&] { return answer.ended(); }));
  CHECK(answer.failure.garbled);
}

TEST_CASE("an answer cut short is not whole, one without a length is") {
  io_context loop;
  RawServer cut(
      &loop,
      AnswerWith("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nab", true));
  RawServer unframed(&loop, AnswerWith("HTTP/1.1 200 OK\r\n\r\nab", true));
  HttpConnections connections(&loop, {});
  CollectedAnswer short_answer;
  CollectedAnswer whole_answer;
  connections.Send(cut.address(), kRequest, &short_answer);
  connections.Send(unframed.address(), kRequest, &whole_answer);
  REQUIRE(RunUntil(
      &loop, [&] { return short_answer.ended() && whole_answer.ended(); }));
  CHECK(short_answer.failed);
  CHECK(whole_answer.whole);
  CHECK(whole_answer.body == "ab");
}

struct TestServer {
  explicit TestServer(io_context* loop, AsyncHttpServer::Handler handler,
                      HttpServerLimits limits = {})
      : server(loop, std::move(handler)) {
    server.SetLimits(limits);
    endpoint = FreePort(loop);
    REQUIRE_FALSE(server.Listen(endpoint));
  }
  std::string address() const {
    return "127.0.0.1:" + std::to_string(endpoint.port());
  }
  boost::asio::ip::tcp::endpoint endpoint;
  AsyncHttpServer server;
};

// A caller that writes raw bytes.
struct RawCaller {
  RawCaller(io_context* loop, const boost::asio::ip::tcp::endpoint& endpoint) {
    TcpConnection::Socket socket(*loop);
    socket.connect(endpoint);
    tcp = std::make_shared<TcpConnection>(std::move(socket));
    peer = std::make_shared<RawConnection>(tcp, nullptr);
    tcp->Start(peer.get());
  }
  std::shared_ptr<TcpConnection> tcp;
  std::shared_ptr<RawConnection> peer;
};

void AnswerOk(const std::shared_ptr<ServerExchange>& exchange) {
  HttpHead head;
  head.status = 200;
  exchange->Answer(head, exchange->head().target + exchange->body());
}

TEST_CASE("requests sent ahead are answered in order") {
  io_context loop;
  TestServer server(&loop, AnswerOk);
  RawCaller caller(&loop, server.endpoint);
  caller.tcp->Write(
      "GET /one HTTP/1.1\r\nHost: x\r\n\r\n"
      "POST /two HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nab"
      "GET /three HTTP/1.1\r\nHost: x\r\n\r\n");
  auto& got = caller.peer->received;
  REQUIRE(
      RunUntil(&loop, [&] { return got.find("/three") != std::string::npos; }));
  CHECK(got.find("/one") < got.find("/twoab"));
  CHECK(got.find("/twoab") < got.find("/three"));
}

TEST_CASE("a caller that leaves is noticed while its request is worked on") {
  io_context loop;
  std::shared_ptr<ServerExchange> open;
  bool left = false;
  TestServer server(&loop, [&](const auto& exchange) {
    open = exchange;
    exchange->OnLeft([&] { left = true; });
  });
  RawCaller caller(&loop, server.endpoint);
  caller.tcp->Write("GET /a HTTP/1.1\r\nHost: x\r\n\r\n");
  REQUIRE(RunUntil(&loop, [&] { return open != nullptr; }));
  caller.tcp->Close();
  REQUIRE(RunUntil(&loop, [&] { return left; }));
  CHECK(server.server.open_requests() == 0);
}

TEST_CASE("what can't be read gets a clear answer and the connection ends") {
  io_context loop;
  HttpServerLimits limits;
  limits.head_bytes = 512;
  limits.body_bytes = 10;
  TestServer server(&loop, AnswerOk, limits);
  const std::pair<std::string, std::string> cases[] = {
      {"nonsense\r\n\r\n", "HTTP/1.1 400"},
      {"GET / HTTP/1.1\r\nA: " + std::string(600, 'a') + "\r\n\r\n",
       "HTTP/1.1 431"},
      {"POST / HTTP/1.1\r\nContent-Length: 11\r\n\r\n01234567890",
       "HTTP/1.1 413"},
  };
  for (const auto& entry : cases) {
    RawCaller caller(&loop, server.endpoint);
    caller.tcp->Write(entry.first);
    REQUIRE(RunUntil(&loop, [&] { return caller.peer->closed; }));
    CHECK(caller.peer->received.rfind(entry.second, 0) == 0);
  }
}

TEST_CASE("limits that change hold for the next request of a connection") {
  io_context loop;
  TestServer server(&loop, AnswerOk);
  RawCaller caller(&loop, server.endpoint);
  caller.tcp->Write("GET /one HTTP/1.1\r\nHost: x\r\n\r\n");
  auto& got = caller.peer->received;
  REQUIRE(
      RunUntil(&loop, [&] { return got.find("/one") != std::string::npos; }));
  HttpServerLimits small;
  small.body_bytes = 4;
  server.server.SetLimits(small);
  // This request's reader was made ready before the change.
  caller.tcp->Write("GET /two HTTP/1.1\r\nHost: x\r\n\r\n");
  REQUIRE(
      RunUntil(&loop, [&] { return got.find("/two") != std::string::npos; }));
  caller.tcp->Write("POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\n01234");
  REQUIRE(RunUntil(&loop, [&] { return caller.peer->closed; }));
  CHECK(got.find("HTTP/1.1 413") != std::string::npos);
}

TEST_CASE("a caller that never ends its request is told so") {
  io_context loop;
  HttpServerLimits limits;
  limits.head_time = milliseconds(50);
  TestServer server(&loop, AnswerOk, limits);
  RawCaller caller(&loop, server.endpoint);
  caller.tcp->Write("GET / HTT");
  REQUIRE(RunUntil(&loop, [&] { return caller.peer->closed; }));
  CHECK(caller.peer->received.rfind("HTTP/1.1 408", 0) == 0);
}

TEST_CASE("a stopping server answers open connections and closes them") {
  io_context loop;
  TestServer server(&loop, AnswerOk);
  RawCaller busy(&loop, server.endpoint);
  RawCaller idle(&loop, server.endpoint);
  REQUIRE(RunUntil(&loop, [&] { return server.server.connections() == 2; }));
  server.server.Drain();
  busy.tcp->Write("GET /late HTTP/1.1\r\nHost: x\r\n\r\n");
  REQUIRE(
      RunUntil(&loop, [&] { return busy.peer->closed && idle.peer->closed; }));
  CHECK(busy.peer->received.find("/late") != std::string::npos);
  CHECK(busy.peer->received.find("Connection: close") != std::string::npos);
  CHECK(server.server.connections() == 0);
}

TEST_CASE("a stream that is broken off does not look whole") {
  io_context loop;
  TestServer server(&loop, [&](const auto& exchange) {
    HttpHead head;
    head.status = 200;
    exchange->StartStream(head);
    exchange->Write("part");
    exchange->BreakOff();
  });
  HttpConnections connections(&loop, {});
  CollectedAnswer answer;
  connections.Send(server.address(), kRequest, &answer);
  REQUIRE(RunUntil(&loop, [&] { return answer.ended(); }));
  CHECK(answer.failed);
}

}  // namespace
}  // namespace leverwick
