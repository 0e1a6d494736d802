// This box's calls to other boxes; one client an address, made on first use.

#ifndef DAEMON_PEER_LINKS_H_
#define DAEMON_PEER_LINKS_H_

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <system_error>

#include "google/protobuf/message.h"
#include "leverwick/time.h"
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

  // Bytes of all calls, both ways.
  uint64_t bytes() const;

 private:
  RpcClient& ClientOf(const std::string& address);

  const milliseconds timeout_;
  mutable std::mutex mutex_;
  std::map<std::string, std::unique_ptr<RpcClient>> clients_;
};

}  // namespace leverwick

#endif  // DAEMON_PEER_LINKS_H_
