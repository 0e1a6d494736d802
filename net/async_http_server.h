// An HTTP/1.1 server on the event loop.
//
// Requests are read whole, within limits of size and time, and then handed to
// the handler as a ServerExchange. A connection serves one request at a time;
// a caller that leaves while its request is worked on is noticed at once. The
// server can stop in order: it goes on serving open connections, closes them
// between requests, and says so in its answers.
//
// A connection is at rest, and closes, only when the last byte of its answer
// has left the process. A caller that takes no byte for the idle time is given
// up. Answers that wait for slow callers take so much memory in all; beyond
// that, the one that has waited for longest is broken off.
//
//   AsyncHttpServer server(&loop, limits, handler);
//   std::error_code error = server.Listen(address);
//   server.Drain();  // a planned stop begins

#ifndef NET_ASYNC_HTTP_SERVER_H_
#define NET_ASYNC_HTTP_SERVER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

#include "leverwick/time.h"
#include "net/http_codec.h"
#include "net/tcp_connection.h"

namespace leverwick {

struct HttpServerLimits {
  size_t head_bytes = 64UL * 1024;
  uint64_t body_bytes = 4u << 20;
  milliseconds head_time{3000};   // from the first byte to the whole request
  milliseconds idle_time{15000};  // between requests
};

class ServerConnection;

// One request and its answer. Exactly one of Answer, StartStream or BreakOff
// is called first. Outlives the connection safely: calls then do nothing.
class ServerExchange {
 public:
  ServerExchange(std::weak_ptr<ServerConnection> connection, HttpHead head,
                 std::string body, TimePoint received)
      : connection_(std::move(connection)),
        head_(std::move(head)),
        body_(std::move(body)),
        received_(received) {}

  const HttpHead& head() const { return head_; }
  const std::string& body() const { return body_; }
  TimePoint received() const { return received_; }

  // Replaces the request by the one that it encloses.
  void Unwrap(HttpHead head, std::string body) {
    head_ = std::move(head);
    body_ = std::move(body);
    is_unwrapped_ = true;
  }
  bool is_unwrapped() const { return is_unwrapped_; }

  // Called at most once, when the caller closes before the answer's end.
  void OnLeft(std::function<void()> callback) { left_ = std::move(callback); }
  // Called when a stream's written parts have all left this box.
  void OnDrained(std::function<void()> callback) {
    drained_ = std::move(callback);
  }

  // A whole answer; the framing fields are added.
  void Answer(HttpHead head, const std::string& body);

  void StartStream(HttpHead head);
  void Write(std::string_view bytes);
  void EndStream();

  // Ends the connection, so that the answer can't be taken for whole.
  void BreakOff();

  size_t pending_bytes() const;

 private:
  friend class ServerConnection;

  std::weak_ptr<ServerConnection> connection_;
  HttpHead head_;
  std::string body_;
  TimePoint received_;
  std::function<void()> left_;
  std::function<void()> drained_;
  bool started_ = false;
  bool chunked_ = false;
  bool is_unwrapped_ = false;
};

class AsyncHttpServer {
 public:
  using Handler = std::function<void(std::shared_ptr<ServerExchange>)>;

  AsyncHttpServer(boost::asio::io_context* loop, Handler handler);
  ~AsyncHttpServer();

  std::error_code Listen(const boost::asio::ip::tcp::endpoint& address);

  // May change while connections are open; holds for requests read later.
  void SetLimits(const HttpServerLimits& limits) { limits_ = limits; }

  // A planned stop: answers say that the connection closes, and connections
  // are closed as they come to rest. New ones are still served.
  void Drain();
  // Refuses new connections from now on.
  void StopListening();

  size_t connections() const { return connections_.size(); }
  // Connections whose answers are whole but have not left the process.
  size_t undelivered() const { return delivering_.size(); }
  // Requests that were handed to the handler and have no whole answer.
  size_t open_requests() const { return open_requests_; }

 private:
  friend class ServerConnection;

  void Accept();
  // Closes connections that have been at rest longest; false if there are none.
  bool MakeRoom();
  // Breaks off answers that wait for slow callers, down to the bound on their
  // memory.
  void BoundUndelivered();
  void RecordDelivered(ServerConnection* connection);

  boost::asio::io_context* const loop_;
  const Handler handler_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer accept_pause_;
  HttpServerLimits limits_;
  std::set<std::shared_ptr<ServerConnection>> connections_;
  std::vector<ServerConnection*> delivering_;  // in the order of their answers
  size_t open_requests_ = 0;
  bool draining_ = false;
};

}  // namespace leverwick

#endif  // NET_ASYNC_HTTP_SERVER_H_
