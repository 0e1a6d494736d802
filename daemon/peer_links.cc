// RPC clients are never removed: a data centre's addresses are few and recur.
// Frame links belong to lives, which don't, and are dropped when long unused.

#include "daemon/peer_links.h"

namespace leverwick {
namespace {

constexpr Seconds kUnused(60.0);

}  // namespace

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

std::shared_ptr<FrameClient> PeerLinks::FrameClientOf(const Member& member,
                                                      FrameMethod method) {
  std::lock_guard<std::mutex> lock(mutex_);
  TimePoint now = Clock::now();
  FrameLink& link = links_[FrameKey(member.life(), method)];
  link.used = now;
  if (link.client != nullptr) return link.client;
  link.client = std::make_shared<FrameClient>(member.address(), member.life());
  std::shared_ptr<FrameClient> client = link.client;
  for (auto entry = links_.begin(); entry != links_.end();) {
    bool unused = ToSeconds(now - entry->second.used) > kUnused.count();
    if (unused) dropped_bytes_ += entry->second.client->bytes();
    entry = unused ? links_.erase(entry) : std::next(entry);
  }
  return client;
}

std::error_code PeerLinks::CallFrame(const Member& member, FrameMethod method,
                                     const google::protobuf::Message& request,
                                     google::protobuf::Message* reply) {
  return FrameClientOf(member, method)->Call(method, request, reply, timeout_);
}

uint64_t PeerLinks::bytes() const {
  std::lock_guard<std::mutex> lock(mutex_);
  uint64_t bytes = dropped_bytes_;
  for (const auto& link : links_) bytes += link.second.client->bytes();
  for (const auto& client : clients_) bytes += client.second->bytes();
  return bytes;
}

}  // namespace leverwick
