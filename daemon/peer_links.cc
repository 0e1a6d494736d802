// Clients are never removed: a data centre's addresses are few and recur.

#include "daemon/peer_links.h"

namespace leverwick {

RpcClient& PeerLinks::ClientOf(const std::string& address) {
  std::lock_guard<std::mutex> lock(mutex_);
  std::unique_ptr<RpcClient>& client = clients_[address];
  if (client == nullptr) client = std::make_unique<RpcClient>(address);
  return *client;
}

std::error_code PeerLinks::Call(const Member& member, const std::string& method,
                                const google::protobuf::Message& request,
                                google::protobuf::Message* reply,
                                milliseconds extra) {
  return ClientOf(member.address())
      .Call(member.life(), method, request, reply, timeout_ + extra);
}

uint64_t PeerLinks::bytes() const {
  std::lock_guard<std::mutex> lock(mutex_);
  uint64_t bytes = 0;
  for (const auto& client : clients_) bytes += client.second->bytes();
  return bytes;
}

}  // namespace leverwick
