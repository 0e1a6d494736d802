// Handlers run on CivetWeb's worker threads. Responses are written with one
// write each, headers and body together, so that a small answer is one packet.

#include "net/http_server.h"

#include <civetweb.h>
#include <json/json.h>

#include <algorithm>
#include <cctype>
#include <cstring>
#include <mutex>
#include <set>

#include "leverwick/result.h"
#include "net/frames.h"
#include "net/json.h"

namespace leverwick {
namespace {

// What a request line and its headers weigh, about; only for accounting.
constexpr uint64_t kHeaderBytes = 120;
constexpr size_t kReadBytes = 16384;

void InitLibrary() {
  static std::once_flag once;
  std::call_once(once, [] { mg_init_library(0); });
}

std::string LowerCase(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) {
    return static_cast<char>(std::tolower(c));
  });
  return text;
}

// Decoded here and not by CivetWeb, whose decoded path ends at a zero.
std::string Decoded(const std::string& path) {
  std::string decoded(path.size() + 1, '\0');
  int size = mg_url_decode(path.data(), static_cast<int>(path.size()),
                           &decoded[0], static_cast<int>(decoded.size()), 0);
  decoded.resize(size < 0 ? 0 : static_cast<size_t>(size));
  return decoded;
}

HttpRequest MakeRequest(const mg_request_info& info) {
  HttpRequest request;
  request.method = info.request_method;
  request.path = Decoded(info.local_uri != nullptr ? info.local_uri : "");
  request.query = info.query_string != nullptr ? info.query_string : "";
  for (int i = 0; i < info.num_headers; ++i) {
    const mg_header& header = info.http_headers[i];
    request.headers[LowerCase(header.name)] = header.value;
  }
  return request;
}

// Headers that say who asks and for what; two of them would let two readers
// understand one request differently.
bool IsDecisive(const std::string& name) {
  static const std::set<std::string> names = {
      "authorization",   "content-length",    "content-type",
      "idempotency-key", "transfer-encoding", "host"};
  return names.count(name) > 0 || name.rfind("x-leverwick-", 0) == 0;
}

// Whether the request can be read in more than one way.
bool IsAmbiguous(const mg_request_info& info, const HttpRequest& request) {
  std::set<std::string> seen;
  for (int i = 0; i < info.num_headers; ++i) {
    std::string name = LowerCase(info.http_headers[i].name);
    if (IsDecisive(name) && !seen.insert(name).second) return true;
  }
  bool two_lengths =
      seen.count("content-length") > 0 && seen.count("transfer-encoding") > 0;
  bool has_zero = request.path.find('\0') != std::string::npos;
  return two_lengths || has_zero;
}

std::string Head(int status, const HttpHeaders& headers) {
  std::string head = "HTTP/1.1 " + std::to_string(status) + " " +
                     mg_get_response_code_text(nullptr, status) + "\r\n";
  for (const auto& header : headers) {
    head += header.first + ": " + header.second + "\r\n";
  }
  return head;
}

void SendError(HttpResponder* responder, Result result) {
  const ResultInfo& info = ResultInfoFor(result);
  responder->Send(
      info.http_status,
      {{"Content-Type", "application/json"}, {"Connection", "close"}},
      ErrorBody(static_cast<int>(result), info.name, info.message,
                RunStateName(info.run_state), "", milliseconds(0)));
}

}  // namespace

std::string ErrorBody(int code, const std::string& name,
                      const std::string& message, const std::string& run_state,
                      const std::string& request_id, milliseconds retry_after) {
  Json::Value body;
  Json::Value& error = body["error"];
  error["code"] = code;
  error["type"] = name;
  error["message"] = message;
  error["run_state"] = run_state;
  if (!request_id.empty()) error["request_id"] = request_id;
  if (retry_after.count() > 0) {
    error["retry_after_ms"] = Json::Int64(retry_after.count());
  }
  return WriteJson(body);
}

std::string HttpRequest::Header(const std::string& name) const {
  auto found = headers.find(name);
  return found == headers.end() ? "" : found->second;
}

std::string HttpRequest::Parameter(const std::string& name) const {
  char value[512];
  int size =
      mg_get_var(query.data(), query.size(), name.c_str(), value, sizeof value);
  return size < 0 ? "" : std::string(value, static_cast<size_t>(size));
}

bool HttpResponder::WriteAll(const std::string& bytes) {
  bytes_ += bytes.size();
  return mg_write(connection_, bytes.data(), bytes.size()) ==
         static_cast<int>(bytes.size());
}

bool HttpResponder::Send(int status, const HttpHeaders& headers,
                         const std::string& body) {
  started_ = true;
  return WriteAll(Head(status, headers) + "Content-Length: " +
                  std::to_string(body.size()) + "\r\n\r\n" + body);
}

bool HttpResponder::StartStream(int status, const HttpHeaders& headers) {
  started_ = true;
  return WriteAll(Head(status, headers) + "Transfer-Encoding: chunked\r\n\r\n");
}

bool HttpResponder::Write(const std::string& part) {
  if (part.empty()) return true;
  char size[20];
  std::snprintf(size, sizeof size, "%zx\r\n", part.size());
  return WriteAll(size + part + "\r\n");
}

bool HttpResponder::EndStream() { return WriteAll("0\r\n\r\n"); }

void HttpResponder::BreakOff() {
  if (!started_) StartStream(200, {});
  mg_disable_connection_keep_alive(connection_);
}

std::error_code HttpServer::Start(const HttpServerOptions& options,
                                  Handler handler) {
  InitLibrary();
  options_ = options;
  handler_ = std::move(handler);
  std::string threads = std::to_string(options.threads);
  std::string read_timeout = std::to_string(options.read_timeout.count());
  std::string idle_timeout = std::to_string(options.idle_timeout.count());
  const char* const settings[] = {"listening_ports",
                                  options.address.c_str(),
                                  "num_threads",
                                  threads.c_str(),
                                  "connection_queue",
                                  "256",
                                  "listen_backlog",
                                  "1024",
                                  "request_timeout_ms",
                                  read_timeout.c_str(),
                                  "decode_url",
                                  "no",
                                  "enable_keep_alive",
                                  "yes",
                                  "keep_alive_timeout_ms",
                                  idle_timeout.c_str(),
                                  "websocket_timeout_ms",
                                  idle_timeout.c_str(),
                                  "tcp_nodelay",
                                  "1",
                                  nullptr};
  mg_callbacks callbacks{};
  callbacks.log_message = [](const mg_connection*, const char*) { return 1; };
  context_ = mg_start(&callbacks, this, const_cast<const char**>(settings));
  if (context_ == nullptr) return Result::kUnreachable;
  mg_set_request_handler(context_, "/", &HttpServer::OnRequest, this);
  return {};
}

void HttpServer::ServeFrames(const FrameServer* frames) {
  frames_ = frames;
  mg_set_websocket_handler(context_, kFramePath, &HttpServer::OnConnect,
                           nullptr, &HttpServer::OnFrame, nullptr, this);
}

int HttpServer::OnConnect(const mg_connection* connection, void* self) {
  const auto* server = static_cast<const HttpServer*>(self);
  HttpRequest request = MakeRequest(*mg_get_request_info(connection));
  constexpr int kProceed = 0;
  constexpr int kClose = 1;
  return server->frames_->Accepts(request.Parameter("to")) ? kProceed : kClose;
}

int HttpServer::OnFrame(mg_connection* connection, int bits, char* data,
                        size_t size, void* self) {
  auto* server = static_cast<HttpServer*>(self);
  constexpr int kOpcode = 0xf;
  constexpr int kKeepOpen = 1;
  constexpr int kClose = 0;
  int opcode = bits & kOpcode;
  if (opcode == MG_WEBSOCKET_OPCODE_CONNECTION_CLOSE) return kClose;
  if (opcode != MG_WEBSOCKET_OPCODE_BINARY) return kKeepOpen;
  std::string reply = server->frames_->Handle(std::string(data, size));
  server->bytes_ += FrameBytes(size, true) + FrameBytes(reply.size(), false);
  int written = mg_websocket_write(connection, MG_WEBSOCKET_OPCODE_BINARY,
                                   reply.data(), reply.size());
  return written > 0 ? kKeepOpen : kClose;
}

void HttpServer::Stop() {
  if (context_ != nullptr) mg_stop(context_);
  context_ = nullptr;
}

bool HttpServer::ReadBody(mg_connection* connection, HttpRequest* request,
                          HttpResponder* responder) {
  const mg_request_info& info = *mg_get_request_info(connection);
  if (info.content_length > static_cast<long long>(options_.max_body_bytes)) {
    SendError(responder, Result::kBodyTooLarge);
    return false;
  }
  bool chunked = !request->Header("transfer-encoding").empty();
  if (info.content_length <= 0 && !chunked) return true;
  TimePoint begin = Clock::now();
  char buffer[kReadBytes];
  for (;;) {
    int size = mg_read(connection, buffer, sizeof buffer);
    if (size <= 0) break;
    request->body.append(buffer, static_cast<size_t>(size));
    if (request->body.size() > options_.max_body_bytes) {
      SendError(responder, Result::kBodyTooLarge);
      return false;
    }
    if (Clock::now() - begin > options_.read_timeout) break;
    if (static_cast<long long>(request->body.size()) == info.content_length) {
      return true;
    }
  }
  if (info.content_length < 0) return true;
  SendError(responder, Result::kBadRequest);
  return false;
}

int HttpServer::OnRequest(mg_connection* connection, void* self) {
  auto* server = static_cast<HttpServer*>(self);
  HttpRequest request = MakeRequest(*mg_get_request_info(connection));
  HttpResponder responder(connection);
  if (IsAmbiguous(*mg_get_request_info(connection), request)) {
    SendError(&responder, Result::kBadRequest);
    mg_disable_connection_keep_alive(connection);
  } else if (server->ReadBody(connection, &request, &responder)) {
    server->handler_(request, &responder);
  }
  server->bytes_ += request.body.size() + kHeaderBytes + responder.bytes();
  constexpr int kHandled = 200;
  return kHandled;
}

}  // namespace leverwick
