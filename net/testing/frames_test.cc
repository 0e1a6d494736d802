#include "net/frames.h"

#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>

#include "leverwick/result.h"
#include "net/http_server.h"

namespace leverwick {
namespace {

constexpr char kAddress[] = "127.0.0.1:19872";
constexpr int kPort = 19872;
constexpr milliseconds kLong(5000);

// A control server that counts the copies it takes and refuses the others.
class PeerServer {
 public:
  explicit PeerServer(const std::string& life) : frames_(life) {
    frames_.Add<CopyBatch, Ack>(FRAME_COPIES,
                                [this](const CopyBatch& request, Ack* reply) {
                                  if (request.number() == 0) return false;
                                  ++taken_;
                                  reply->set_accepted(true);
                                  return true;
                                });
    HttpServerOptions options;
    options.address = kAddress;
    options.threads = 4;
    auto handler = [](const HttpRequest&, HttpResponder*) {};
    REQUIRE(!server_.Start(options, handler));
    server_.ServeFrames(&frames_);
  }

  int taken() const { return taken_; }

 private:
  std::atomic<int> taken_{0};
  FrameServer frames_;
  HttpServer server_;
};

CopyBatch Numbered(uint32_t number, size_t targets) {
  CopyBatch batch;
  batch.set_number(number);
  for (size_t i = 0; i < targets; ++i) {
    batch.add_targets()->set_endpoint("127.0.0.1:" + std::to_string(i));
  }
  return batch;
}

TEST_CASE("frames of all sizes are answered over one connection") {
  PeerServer server("a1");
  FrameClient client(kAddress, "a1");
  Ack ack;
  for (size_t targets : {0, 1, 10, 5000, 100000}) {
    CHECK(!client.Call(FRAME_COPIES, Numbered(1, targets), &ack, kLong));
    CHECK(ack.accepted());
  }
  CHECK(server.taken() == 5);
  CHECK(client.Call(FRAME_COPIES, Numbered(0, 0), &ack, kLong) ==
        Result::kRefused);
  CHECK(client.Call(FRAME_HEARTBEAT, Heartbeat(), &ack, kLong) ==
        Result::kRefused);
  uint64_t before = client.bytes();
  CHECK(!client.Call(FRAME_COPIES, Numbered(1, 0), &ack, kLong));
  CHECK(client.bytes() - before < 20);  // no handshake, small frames
}

TEST_CASE("a frame for another life is not taken") {
  PeerServer server("a1");
  FrameClient client(kAddress, "a2");
  Ack ack;
  CHECK(client.Call(FRAME_COPIES, Numbered(1, 0), &ack, kLong) ==
        Result::kUnreachable);
  CHECK(server.taken() == 0);
}

TEST_CASE("a peer that was restarted is reached again in the same call") {
  auto server = std::make_unique<PeerServer>("a1");
  FrameClient client(kAddress, "a1");
  Ack ack;
  CHECK(!client.Call(FRAME_COPIES, Numbered(1, 0), &ack, kLong));
  server.reset();
  CHECK(client.Call(FRAME_COPIES, Numbered(2, 0), &ack, kLong) ==
        Result::kUnreachable);
  server = std::make_unique<PeerServer>("a1");
  CHECK(!client.Call(FRAME_COPIES, Numbered(2, 0), &ack, kLong));
  CHECK(server->taken() == 1);
}

TEST_CASE("a peer that accepts and then says nothing is given up on") {
  int listener = socket(AF_INET, SOCK_STREAM, 0);
  int yes = 1;
  setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(kPort);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  REQUIRE(bind(listener, reinterpret_cast<sockaddr*>(&address),
               sizeof address) == 0);
  REQUIRE(listen(listener, 4) == 0);
  FrameClient client(kAddress, "a1");
  Ack ack;
  // That the call ends is the point; a client without a bound hangs here.
  CHECK(client.Call(FRAME_COPIES, Numbered(1, 0), &ack, milliseconds(50)) ==
        Result::kUnreachable);
  close(listener);
}

TEST_CASE("what a frame weighs") {
  CHECK(FrameBytes(10, false) == 12);
  CHECK(FrameBytes(10, true) == 16);
  CHECK(FrameBytes(200, false) == 204);
  CHECK(FrameBytes(70000, true) == 70014);
}

}  // namespace
}  // namespace leverwick
