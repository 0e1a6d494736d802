// The sockets of a relay and its planned stop.
//
// Callers come in at one address; at a second one the platform asks whether
// this box takes new connections; at a third, metrics are read. A planned stop
// says "not ready" at once, goes on serving what comes on open and on late
// connections, and ends when all is quiet or shortly before its bound. What is
// still open then is answered with a failure.
//
//   RelayServer server(&loop, &relay, options);
//   std::error_code error = server.Start();
//   server.Stop([](int cut) {...});

#ifndef DAEMON_RELAY_SERVER_H_
#define DAEMON_RELAY_SERVER_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>
#include <system_error>

#include "daemon/relay.h"
#include "net/async_http_server.h"
#include "net/timer.h"

namespace leverwick {

struct RelayServerOptions {
  std::string callers;          // ip:port
  std::string ready;            // ip:port, or empty
  std::string metrics;          // ip:port, or empty
  HttpServerCapacity capacity;  // for callers
  milliseconds stop_bound{8000};
  // Of a stop: requests that come later are refused, since a stream that
  // begins after this may not end before the bound.
  milliseconds intake{2800};
};

class RelayServer {
 public:
  // Whether this box should get new connections now, but for a stop.
  using ReadyTest = std::function<bool()>;

  RelayServer(boost::asio::io_context* loop, Relay* relay,
              const RelayServerOptions& options, ReadyTest ready);

  std::error_code Start();

  // Callers' limits follow the configuration in force.
  void SetLimits(const CallerLimits& limits);
  // Of the callers' address.
  const AsyncHttpServer& callers() const { return callers_; }

  // Begins a planned stop; `done` gets the number of requests that were cut.
  void Stop(std::function<void(int cut)> done);

 private:
  std::error_code ListenAt(AsyncHttpServer* server, const std::string& address);
  void AnswerReady(ServerExchange* exchange);
  void AnswerMetrics(ServerExchange* exchange);
  void CheckQuiet();
  // Requests without a whole answer.
  size_t OpenRequests() const;
  // Answers what is still open shortly before the bound.
  void EndRequests();
  void EndStop();

  Relay* const relay_;
  const RelayServerOptions options_;
  const ReadyTest ready_test_;
  AsyncHttpServer callers_;
  AsyncHttpServer ready_;
  AsyncHttpServer metrics_;
  Timer stop_timer_;
  std::function<void(int)> stopped_;
  bool stopping_ = false;
  size_t cut_ = 0;  // requests that the stop ended
  TimePoint stop_began_{};
};

}  // namespace leverwick

#endif  // DAEMON_RELAY_SERVER_H_
