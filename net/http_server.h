// The HTTP server of every binary: a thin layer over CivetWeb.
//
// One thread a connection; a handler may block. The whole body is read before
// the handler runs, within a size and a time, so that no slow sender holds a
// worker for ever.
//
//   HttpServer server;
//   std::error_code error = server.Start(options, handler);
//   server.Stop();   // waits for handlers to return

#ifndef NET_HTTP_SERVER_H_
#define NET_HTTP_SERVER_H_

#include <atomic>
#include <functional>
#include <map>
#include <string>
#include <system_error>

#include "leverwick/time.h"

struct mg_connection;
struct mg_context;

namespace leverwick {

class FrameServer;

struct HttpRequest {
  std::string method;
  std::string path;  // decoded, without the query
  std::string query;
  std::map<std::string, std::string> headers;  // names in lower case
  std::string body;

  // The value of a header given in lower case, or "".
  std::string Header(const std::string& name) const;

  // The value of a query parameter, or "".
  std::string Parameter(const std::string& name) const;
};

using HttpHeaders = std::map<std::string, std::string>;

// Writes one response. Send, or StartStream with Write and EndStream.
class HttpResponder {
 public:
  explicit HttpResponder(mg_connection* connection) : connection_(connection) {}

  // False when the client is gone.
  bool Send(int status, const HttpHeaders& headers, const std::string& body);

  bool StartStream(int status, const HttpHeaders& headers);
  bool Write(const std::string& part);
  bool EndStream();

  // Ends the connection without a whole answer: what stand-ins do that fail.
  void BreakOff();

  bool started() const { return started_; }
  uint64_t bytes() const { return bytes_; }

 private:
  bool WriteAll(const std::string& bytes);

  mg_connection* const connection_;
  bool started_ = false;
  uint64_t bytes_ = 0;
};

struct HttpServerOptions {
  std::string address;  // ip:port
  int threads = 16;
  milliseconds read_timeout{10000};  // for the whole body, too
  milliseconds idle_timeout{30000};  // of kept connections
  size_t max_body_bytes = 4 << 20;
};

class HttpServer {
 public:
  using Handler = std::function<void(const HttpRequest&, HttpResponder*)>;

  ~HttpServer() { Stop(); }

  std::error_code Start(const HttpServerOptions& options, Handler handler);
  void Stop();

  // Also serves WebSocket frames (frames.h) at kFramePath; called after Start.
  void ServeFrames(const FrameServer* frames);

  // Bytes of bodies and headers received and sent.
  uint64_t bytes() const { return bytes_; }

 private:
  static int OnRequest(mg_connection* connection, void* self);
  static int OnConnect(const mg_connection* connection, void* self);
  static int OnFrame(mg_connection* connection, int bits, char* data,
                     size_t size, void* self);
  bool ReadBody(mg_connection* connection, HttpRequest* request,
                HttpResponder* responder);

  HttpServerOptions options_;
  Handler handler_;
  const FrameServer* frames_ = nullptr;
  mg_context* context_ = nullptr;
  std::atomic<uint64_t> bytes_{0};
};

// The body of every error answer of ours.
std::string ErrorBody(int code, const std::string& name,
                      const std::string& message, const std::string& run_state,
                      const std::string& request_id, milliseconds retry_after);

}  // namespace leverwick

#endif  // NET_HTTP_SERVER_H_
