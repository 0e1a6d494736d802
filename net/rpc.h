// Calls between boxes: JSON-RPC (libjsonrpccpp) over kept HTTP connections.
//
// A parameter is {"to": life, "p": base64 of a message of schema/peer.proto}.
// The box refuses a call that was meant for another life at its address.
//
// This header keeps to C++14: libjsonrpccpp's own headers need it.

#ifndef NET_RPC_H_
#define NET_RPC_H_

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <system_error>

#include "google/protobuf/message.h"
#include "net/http_client.h"
#include "net/method.h"

namespace leverwick {

// The path of the control server that takes calls.
extern const char* const kRpcPath;

// Thread-safe.
class RpcClient {
 public:
  explicit RpcClient(const std::string& address) : http_(address) {}

  // kUnreachable when no answer came, kRefused when the other side refused or
  // is another life. `life` may be empty: any life will do.
  std::error_code Call(const std::string& life, const std::string& method,
                       const google::protobuf::Message& request,
                       google::protobuf::Message* reply,
                       std::chrono::milliseconds timeout);

  uint64_t bytes() const { return http_.bytes(); }

 private:
  HttpClient http_;
};

class RpcServer {
 public:
  explicit RpcServer(std::string life);
  ~RpcServer();

  void Add(const std::string& name, Method method);

  // Adds a method with typed messages.
  template <typename Request, typename Reply>
  void Add(const std::string& name,
           std::function<bool(const Request&, Reply*)> method) {
    Add(name, MakeMethod(std::move(method)));
  }

  // Answers the body of one HTTP request.
  std::string Handle(const std::string& body);

 private:
  class Connector;
  class Server;
  std::unique_ptr<Connector> connector_;
  std::unique_ptr<Server> server_;
};

}  // namespace leverwick

#endif  // NET_RPC_H_
