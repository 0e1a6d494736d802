// This box's calls to other boxes, by JSON-RPC or as frames; clients are made
// on first use.

#ifndef DAEMON_PEER_LINKS_H_
#define DAEMON_PEER_LINKS_H_

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <system_error>
#include <utility>

#include "google/protobuf/message.h"
#include "leverwick/time.h"
#include "net/frames.h"
#include "net/rpc.h"
#include "schema/table.pb.h"

namespace leverwick {

// Thread-safe.
class PeerLinks {
 public:
  explicit PeerLinks(milliseconds timeout) : timeout_(timeout) {}

  // Calls a method of the member's life; `extra` is added to the time-out.
  std::error_code Call(const Member& member, const std::string& method,
                       const google::protobuf::Message& request,
                       google::protobuf::Message* reply,
                       milliseconds extra = milliseconds(0));

  // The same as a frame, for what is sent often to the same few members.
  std::error_code CallFrame(const Member& member, FrameMethod method,
                            const google::protobuf::Message& request,
                            google::protobuf::Message* reply);

  // Bytes of all calls, both ways.
  uint64_t bytes() const;

 private:
  // Copy streams must not wait behind heartbeats, so each method has its own.
  using FrameKey = std::pair<std::string, FrameMethod>;  // by life
  struct FrameLink {
    std::shared_ptr<FrameClient> client;
    TimePoint used{};
  };

  RpcClient& ClientOf(const std::string& address);
  std::shared_ptr<FrameClient> FrameClientOf(const Member& member,
                                             FrameMethod method);

  const milliseconds timeout_;
  mutable std::mutex mutex_;
  std::map<std::string, std::unique_ptr<RpcClient>> clients_;
  std::map<FrameKey, FrameLink> links_;
  uint64_t dropped_bytes_ = 0;  // of links that are gone
};

}  // namespace leverwick

#endif  // DAEMON_PEER_LINKS_H_
