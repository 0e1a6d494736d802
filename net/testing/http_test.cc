// The server, both clients and JSON-RPC on loopback, and the readers of
// callers' and engines' text.

#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <thread>

#include "daemon/chat_request.h"
#include "daemon/sse.h"
#include "leverwick/result.h"
#include "net/endpoint_client.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "net/json.h"
#include "net/rpc.h"
#include "schema/peer.pb.h"

namespace leverwick {
namespace {

constexpr char kAddress[] = "127.0.0.1:19871";
constexpr int kPort = 19871;

class Server {
 public:
  explicit Server(HttpServer::Handler handler) {
    HttpServerOptions options;
    options.address = kAddress;
    options.threads = 8;
    options.read_timeout = milliseconds(300);
    options.max_body_bytes = 1000;
    REQUIRE(!server_.Start(options, std::move(handler)));
  }

 private:
  HttpServer server_;
};

// Sends bytes as they are and returns all that comes until the end.
std::string SendRaw(const std::string& bytes) {
  int fd = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(kPort);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  REQUIRE(connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) ==
          0);
  send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
  std::string answer;
  char buffer[4096];
  for (ssize_t size = 0; (size = read(fd, buffer, sizeof buffer)) > 0;) {
    answer.append(buffer, static_cast<size_t>(size));
  }
  close(fd);
  return answer;
}

TEST_CASE("a body that is too large, cut short or slow is refused") {
  std::atomic<int> handled{0};
  Server server([&handled](const HttpRequest&, HttpResponder* responder) {
    ++handled;
    responder->Send(200, {{"Connection", "close"}}, "done");
  });
  HttpClient client(kAddress);
  HttpResult large =
      client.Call("POST", "/", std::string(2000, 'x'), milliseconds(1000));
  CHECK(large.status == 413);
  CHECK(large.body.find("\"code\":1007") != std::string::npos);
  // The rest never comes: the server gives up by itself.
  std::string slow =
      SendRaw("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 50\r\n\r\nabc");
  CHECK(slow.find("400") != std::string::npos);
  CHECK(SendRaw("NONSENSE\r\n\r\n").find("200 OK") == std::string::npos);
  CHECK(handled == 0);
  CHECK(client.Call("POST", "/", "small", milliseconds(1000)).status == 200);
}

TEST_CASE("the endpoint client tells what is known of a request") {
  std::atomic<int> received{0};
  Server server([&](const HttpRequest& request, HttpResponder* responder) {
    ++received;
    if (request.path == "/refuse") {
      responder->Send(503, {{"X-Started", "false"}}, "no");
    } else if (request.path == "/break") {
      responder->StartStream(200, {});
      responder->Write("part");
      responder->BreakOff();
    } else if (request.path == "/hang") {
      std::this_thread::sleep_for(milliseconds(500));
    } else {
      responder->Send(200, {}, "whole");
    }
  });
  EndpointClient client;
  auto call = [&client](const std::string& address, const std::string& path,
                        milliseconds timeout = milliseconds(5000)) {
    EndpointCall call;
    call.address = address;
    call.path = path;
    call.connect_timeout = milliseconds(300);
    call.timeout = timeout;
    call.fresh_connection = true;
    return client.Call(call);
  };
  CHECK(call(kAddress, "/").kind == EndpointAnswer::kAnswered);
  CHECK(call(kAddress, "/").body == "whole");
  CHECK(call(kAddress, "/refuse").not_started);
  CHECK(call(kAddress, "/break").kind == EndpointAnswer::kLost);
  CHECK(call(kAddress, "/hang", milliseconds(200)).kind ==
        EndpointAnswer::kTimedOut);
  CHECK(call("127.0.0.1:1", "/").kind == EndpointAnswer::kNotSent);
  CHECK(received == 5);
}

TEST_CASE("parts of a stream come as they are sent") {
  std::atomic<bool> first_seen{false};
  Server server([&](const HttpRequest&, HttpResponder* responder) {
    responder->StartStream(200, {});
    responder->Write("one");
    // Goes on only after the reader had the first part.
    for (int i = 0; i < 2000 && !first_seen; ++i) {
      std::this_thread::sleep_for(milliseconds(1));
    }
    responder->Write("two");
    responder->EndStream();
  });
  EndpointClient client;
  EndpointCall call;
  call.address = kAddress;
  call.connect_timeout = milliseconds(300);
  call.timeout = milliseconds(5000);
  std::string text;
  bool alone = false;
  call.on_data = [&](const char* data, size_t size) {
    text.append(data, size);
    alone = alone || text == "one";
    first_seen = true;
    return true;
  };
  CHECK(client.Call(call).kind == EndpointAnswer::kAnswered);
  CHECK(text == "onetwo");
  CHECK(alone);
}

TEST_CASE("a call for another life at the address is refused") {
  RpcServer rpc("life-2");
  rpc.Add<Empty, Ack>("Ping", [](const Empty&, Ack* reply) {
    reply->set_accepted(true);
    return true;
  });
  rpc.Add<Empty, Ack>("No", [](const Empty&, Ack*) { return false; });
  Server server([&rpc](const HttpRequest& request, HttpResponder* responder) {
    responder->Send(200, {}, rpc.Handle(request.body));
  });
  RpcClient client(kAddress);
  Ack ack;
  auto call = [&](const std::string& life, const std::string& method) {
    return ToResult(
        client.Call(life, method, Empty(), &ack, milliseconds(1000)));
  };
  CHECK(call("life-2", "Ping") == Result::kOk);
  CHECK(ack.accepted());
  CHECK(call("", "Ping") == Result::kOk);
  CHECK(call("life-1", "Ping") == Result::kRefused);
  CHECK(call("life-2", "No") == Result::kRefused);
  CHECK(call("life-2", "Missing") != Result::kOk);
}

TEST_CASE("chat requests that are not acceptable are told why") {
  ChatRequest request;
  std::string why;
  const std::string messages =
      "\"messages\":[{\"role\":\"user\",\"content\":\"hi\"}]";
  CHECK(ReadChatRequest("{\"model\":\"m\"," + messages + "}", &request, &why));
  CHECK(request.model == "m");
  for (const char* bad :
       {"", "[]", "{", "{\"model\":1}", "{\"model\":\"\"}",
        "{\"model\":\"m\",\"messages\":[]}",
        "{\"model\":\"m\",\"messages\":[{\"role\":\"user\"}]}",
        "{\"model\":\"m\",\"model\":\"n\",\"messages\":[]}"}) {
    CHECK(!ReadChatRequest(bad, &request, &why));
  }
  auto with = [&](const std::string& field) {
    return ReadChatRequest("{\"model\":\"m\"," + messages + "," + field + "}",
                           &request, &why);
  };
  CHECK(with("\"max_tokens\":5"));
  CHECK(!with("\"max_tokens\":0"));
  CHECK(!with("\"max_tokens\":\"5\""));
  CHECK(!with("\"stream\":\"yes\""));
  CHECK(!with("\"n\":2"));
  CHECK(!with("\"no_such_field\":1"));
  CHECK(why == "unknown field 'no_such_field'");
  CHECK(!ReadChatRequest(std::string(100000, '['), &request, &why));
}

TEST_CASE("events are read however they are cut") {
  const std::string stream =
      ": comment\n\n"
      "data: {\"id\":\"r.1\",\"choices\":[{\"delta\":{\"content\":\"a b\"},"
      "\"finish_reason\":null}]}\n\n"
      "data: {\"id\":\"r.1\",\"choices\":[{\"delta\":{},\"finish_reason\":"
      "\"stop\"}],\"usage\":{\"prompt_tokens\":3,\"completion_tokens\":4}}\n\n"
      "data: [DONE]\n\n";
  for (size_t cut = 0; cut <= stream.size(); ++cut) {
    SseReader reader;
    std::vector<ChatChunk> chunks;
    REQUIRE(reader.Add(stream.data(), cut, &chunks));
    REQUIRE(reader.Add(stream.data() + cut, stream.size() - cut, &chunks));
    REQUIRE(chunks.size() == 3);
    CHECK(chunks[0].content == "a b");
    CHECK(!chunks[0].finished);
    CHECK(chunks[1].finished);
    CHECK(chunks[1].completion_tokens == 4);
    CHECK(chunks[2].done);
  }
  SseReader reader;
  std::vector<ChatChunk> chunks;
  CHECK(!reader.Add("data: {oops\n\n", 13, &chunks));
}

TEST_CASE("chunks read in short are those read in full") {
  const std::vector<std::string> texts = {
      "a ",        "b",       "\\n", "\\u00e9", "caf\u00e9",
      "\\\"q\\\"", "},{\\\"", "c ",  "content", "x"};
  SseReader reader;
  for (int round = 0; round < 20; ++round) {
    for (size_t i = 0; i < texts.size(); ++i) {
      bool last = i == 7;
      std::string data =
          "{\"choices\":[{\"delta\":{\"content\":\"" +
          texts[(i + static_cast<size_t>(round)) % texts.size()] +
          "\"},\"finish_reason\":" + (last ? "\"stop\"" : "null") +
          "}],\"id\":\"r." + std::to_string(round / 5) + "\"}";
      std::string event = "data: " + data + "\n\n";
      std::vector<ChatChunk> chunks;
      REQUIRE(reader.Add(event.data(), event.size(), &chunks));
      ChatChunk full;
      REQUIRE(ParseChunk(data, &full));
      REQUIRE(chunks.size() == 1);
      CHECK(chunks[0].id == full.id);
      CHECK(chunks[0].content == full.content);
      CHECK(chunks[0].finished == full.finished);
      CHECK(chunks[0].data == full.data);
    }
  }
}

}  // namespace
}  // namespace leverwick
