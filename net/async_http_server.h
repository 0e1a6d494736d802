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
// up.
//
// What a server holds is bounded (HttpServerCapacity). Requests that find no
// memory are answered 503 before they are handed on; those that have been
// silent for longest are evicted first. Beyond the bound on answers, the whole
// answer that has waited for longest is broken off, and then the stream with
// the most bytes. New connections take the places of those that have sent no
// whole request, then of those that have rested for longest.
//
//   AsyncHttpServer server(&loop, handler);
//   std::error_code error = server.Listen(address);
//   server.Drain();  // a planned stop begins

#ifndef NET_ASYNC_HTTP_SERVER_H_
#define NET_ASYNC_HTTP_SERVER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <system_error>
#include <unordered_map>
#include <vector>

#include "leverwick/request_memory.h"
#include "leverwick/time.h"
#include "net/server_exchange.h"
#include "net/tcp_connection.h"
#include "net/timer.h"

namespace leverwick {

struct HttpServerLimits {
  size_t head_bytes = 64UL * 1024;
  uint64_t body_bytes = 4u << 20;
  milliseconds head_time{3000};   // from the first byte to the whole request
  milliseconds idle_time{15000};  // between requests
  // Without a byte acknowledged, of connections that are accepted later.
  // Callers may read slowly; boxes judge each other's silence sooner.
  milliseconds unacknowledged_time = kUnacknowledged;
};

class ServerConnection;

// What a server may take of its process.
struct HttpServerCapacity {
  // For requests that are read or served (leverwick/request_memory.h).
  size_t request_bytes = 32UL << 20;
  // For answers that wait for callers.
  size_t answer_bytes = 32UL << 20;
  size_t connections = 16384;
};

// What a server has done to stay within its capacity.
struct HttpServerCounts {
  uint64_t refused_requests = 0;     // for want of memory
  uint64_t broken_answers = 0;       // whose callers were too slow
  uint64_t closed_connections = 0;   // for new ones
  uint64_t refused_connections = 0;  // none could be closed for them
};

class AsyncHttpServer {
 public:
  using Handler = std::function<void(std::shared_ptr<ServerExchange>)>;

  AsyncHttpServer(boost::asio::io_context* loop, Handler handler);
  ~AsyncHttpServer();

  std::error_code Listen(const boost::asio::ip::tcp::endpoint& address);

  // May change while connections are open; holds for requests read later.
  void SetLimits(const HttpServerLimits& limits) { limits_ = limits; }
  void SetCapacity(const HttpServerCapacity& capacity);

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
  // Bytes that are reserved for requests, and those of answers that wait.
  size_t request_bytes() const { return memory_->bytes(); }
  size_t pending_bytes() const { return *pending_bytes_; }
  const HttpServerCounts& counts() const { return counts_; }

 private:
  friend class ServerConnection;

  void Accept();
  void Take(TcpConnection::Socket socket);
  // Closes connections for new ones; false if there is none to close.
  bool MakeRoom();
  // Closes the oldest of the connections that only wait for their callers to
  // close; false if there is none.
  bool EndClosing();
  bool IsFull();

  // Reserves memory for a request; the evicted are refused.
  bool Reserve(RequestMemory::Ticket ticket, size_t bytes);
  // Breaks off answers that wait for slow callers, down to the bound on their
  // memory.
  void BoundPending();
  // Gives up the stream with the most bytes.
  void GiveUpStream();

  void RecordDelivered(ServerConnection* connection);
  void RecordClosing(const std::shared_ptr<ServerConnection>& connection,
                     const std::shared_ptr<TcpConnection>& tcp);
  // Logs and counts; the lines come at most once in a while.
  void TellNoMemory();
  void TellSlowCaller(const char* why, size_t bytes);
  void TellFull();
  bool MayLog();

  boost::asio::io_context* const loop_;
  const Handler handler_;
  boost::asio::ip::tcp::acceptor acceptor_;
  Timer accept_pause_;
  HttpServerLimits limits_;
  HttpServerCapacity capacity_;
  const std::shared_ptr<RequestMemory> memory_;
  std::unordered_map<RequestMemory::Ticket, ServerConnection*> reading_;
  const std::shared_ptr<size_t> pending_bytes_;  // of all connections
  std::set<std::shared_ptr<ServerConnection>> connections_;
  std::vector<ServerConnection*> delivering_;  // in the order of their answers
  std::deque<std::weak_ptr<TcpConnection>> closing_;
  size_t open_requests_ = 0;
  HttpServerCounts counts_;
  TimePoint logged_at_{};
  bool draining_ = false;
};

}  // namespace leverwick

#endif  // NET_ASYNC_HTTP_SERVER_H_
