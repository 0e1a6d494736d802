// libjsonrpccpp does envelopes, ids and errors. Both connectors are a few
// lines: the client's sends a body with HttpClient, the server's is handed one
// by the control server.

#include "net/rpc.h"

#include <jsonrpccpp/client.h>
#include <jsonrpccpp/server.h>

#include "leverwick/base64.h"
#include "leverwick/result.h"

namespace leverwick {
namespace {

constexpr int kHttpOk = 200;
// JSON-RPC codes from -32000 on are for the application.
constexpr int kRefusedCode = -32000;

class ClientConnector : public jsonrpc::IClientConnector {
 public:
  ClientConnector(HttpClient* http, std::chrono::milliseconds timeout)
      : http_(http), timeout_(timeout) {}

  void SendRPCMessage(const std::string& message, std::string& result) throw(
      jsonrpc::JsonRpcException) override {
    HttpResult answer = http_->Call("POST", kRpcPath, message, timeout_);
    if (answer.error || answer.status != kHttpOk) {
      throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_CLIENT_CONNECTOR,
                                      "no answer");
    }
    result = answer.body;
  }

 private:
  HttpClient* const http_;
  const std::chrono::milliseconds timeout_;
};

}  // namespace

const char* const kRpcPath = "/rpc";

std::error_code RpcClient::Call(const std::string& life,
                                const std::string& method,
                                const google::protobuf::Message& request,
                                google::protobuf::Message* reply,
                                std::chrono::milliseconds timeout) {
  Json::Value parameter;
  parameter["to"] = life;
  parameter["p"] = Base64Encode(request.SerializeAsString());
  ClientConnector connector(&http_, timeout);
  jsonrpc::Client client(connector);
  try {
    Json::Value result = client.CallMethod(method, parameter);
    std::string bytes;
    if (!result.isString() || !Base64Decode(result.asString(), &bytes) ||
        !reply->ParseFromString(bytes)) {
      return Result::kBadResponse;
    }
  } catch (const jsonrpc::JsonRpcException& error) {
    bool refused = error.GetCode() == kRefusedCode;
    return refused ? Result::kRefused : Result::kUnreachable;
  }
  return std::error_code();
}

class RpcServer::Connector : public jsonrpc::AbstractServerConnector {
 public:
  bool StartListening() override { return true; }
  bool StopListening() override { return true; }
  bool SendResponse(const std::string& response, void* out) override {
    *static_cast<std::string*>(out) = response;
    return true;
  }
};

class RpcServer::Server : public jsonrpc::AbstractServer<Server> {
 public:
  Server(Connector& connector, std::string life)
      : jsonrpc::AbstractServer<Server>(connector), life_(std::move(life)) {}

  void Add(const std::string& name, Method method) {
    methods_[name] = std::move(method);
    bindAndAddMethod(
        jsonrpc::Procedure(name, jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_STRING,
                           "to", jsonrpc::JSON_STRING, "p",
                           jsonrpc::JSON_STRING, NULL),
        &Server::Unused);
  }

  void HandleMethodCall(jsonrpc::Procedure& procedure, const Json::Value& input,
                        Json::Value& output) override {
    const std::string to = input["to"].asString();
    std::string request;
    std::string reply;
    bool good = (to.empty() || to == life_) &&
                Base64Decode(input["p"].asString(), &request) &&
                methods_.at(procedure.GetProcedureName())(request, &reply);
    if (!good) throw jsonrpc::JsonRpcException(kRefusedCode, "refused");
    output = Base64Encode(reply);
  }

 private:
  // HandleMethodCall looks methods up by name; the base wants a pointer.
  void Unused(const Json::Value&, Json::Value&) {}

  const std::string life_;
  std::map<std::string, Method> methods_;
};

RpcServer::RpcServer(std::string life)
    : connector_(new Connector), server_(new Server(*connector_, life)) {}

RpcServer::~RpcServer() = default;

void RpcServer::Add(const std::string& name, Method method) {
  server_->Add(name, std::move(method));
}

std::string RpcServer::Handle(const std::string& body) {
  std::string response;
  connector_->OnRequest(body, &response);
  return response;
}

}  // namespace leverwick
