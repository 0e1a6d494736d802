// Small frequent calls between boxes: one binary WebSocket frame a request, one
// a reply, over a connection that is kept. A frame costs 2 to 14 bytes beside
// its message, where JSON-RPC over HTTP costs some 250; calls that are seldom
// or large go by rpc.h.
//
//   FrameServer server("a1-0123");
//   server.Add<Heartbeat, HeartbeatReply>(FRAME_HEARTBEAT, method);
//   http_server.ServeFrames(&server);
//
//   FrameClient client("10.0.0.1:7000", "a1-0123");
//   std::error_code error = client.Call(FRAME_HEARTBEAT, request, &reply,
//   time);
//
// A request is the method's number and a message of schema/peer.proto; a reply
// is one byte, taken or refused, and a message.

#ifndef NET_FRAMES_H_
#define NET_FRAMES_H_

#include <atomic>
#include <chrono>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <system_error>

#include "google/protobuf/message.h"
#include "leverwick/time.h"
#include "net/method.h"
#include "schema/peer.pb.h"

namespace leverwick {

// The path of the control server that takes frames.
extern const char* const kFramePath;

// Thread-safe; one call at a time, others wait.
class FrameClient {
 public:
  // `address` is ip:port, `life` the box life that is meant.
  FrameClient(std::string address, std::string life);
  ~FrameClient();

  // kUnreachable when no answer came in time, kRefused when the other side
  // refused. A kept connection that turns out closed is replaced once, so a
  // call may be served twice.
  std::error_code Call(FrameMethod method,
                       const google::protobuf::Message& request,
                       google::protobuf::Message* reply,
                       std::chrono::milliseconds timeout);

  // Bytes of frames and handshakes, both ways.
  uint64_t bytes() const { return bytes_; }

 private:
  class Connection;

  bool Exchange(const std::string& request, std::string* reply,
                TimePoint deadline);

  const std::string address_;
  const std::string life_;
  std::mutex mutex_;
  std::unique_ptr<Connection> connection_;
  std::atomic<uint64_t> bytes_{0};
};

class FrameServer {
 public:
  explicit FrameServer(std::string life) : life_(std::move(life)) {}

  // All methods are added before the server starts.
  template <typename Request, typename Reply>
  void Add(FrameMethod number,
           std::function<bool(const Request&, Reply*)> method) {
    methods_[static_cast<char>(number)] = MakeMethod(std::move(method));
  }

  // Whether a connection that asks for `life` may be kept.
  bool Accepts(const std::string& life) const { return life == life_; }

  // The reply to one frame; thread-safe.
  std::string Handle(const std::string& frame) const;

 private:
  const std::string life_;
  std::map<char, Method> methods_;
};

// What a frame of `size` bytes weighs with its header, masked or not.
uint64_t FrameBytes(size_t size, bool masked);

}  // namespace leverwick

#endif  // NET_FRAMES_H_
