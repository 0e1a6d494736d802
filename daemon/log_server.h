// Answers other boxes that read the store's topics from this one.
//
// An ask is answered at once when something has changed since the asker's
// offset. Otherwise it is held until this box has read the topic again, which
// is news too: it proves that nothing has changed up to then.
//
// An ask may also want the store to be read, which does not serve the asker.
//
// Many records, such as a whole topic, are deflated once for all that ask for
// them. Only so many answers with whole topics are on their way at a time that
// they fit into memory.
//
//   LogServer server(&loop);
//   server.Share("boxes", follower.cache());
//   std::error_code error = server.Listen(address);

#ifndef DAEMON_LOG_SERVER_H_
#define DAEMON_LOG_SERVER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <system_error>
#include <utility>

#include "leverwick/log_cache.h"
#include "net/async_http_server.h"
#include "net/timer.h"
#include "schema/peer.pb.h"

namespace leverwick {

class LogServer {
 public:
  explicit LogServer(boost::asio::io_context* loop);

  // `cache` must outlive this.
  void Share(const std::string& topic, LogCache* cache);
  // Sets how the store is read for a box that it does not serve.
  using RelayFunction =
      std::function<void(const LogQuery& query, KeyedLog::ReadCallback done)>;
  void SetRelay(RelayFunction relay) { relay_ = std::move(relay); }
  // Hands what is sent to `path` to `take`, which says whether it was readable.
  void Receive(const std::string& path,
               std::function<bool(const std::string& body)> take) {
    receivers_[path] = std::move(take);
  }
  // Hands the requests at `path` to `handler`, which answers them.
  void Serve(const std::string& path, AsyncHttpServer::Handler handler) {
    handlers_[path] = std::move(handler);
  }
  void SetLimits(const HttpServerLimits& limits) { server_.SetLimits(limits); }
  void SetCapacity(const HttpServerCapacity& capacity) {
    server_.SetCapacity(capacity);
  }
  const AsyncHttpServer& server() const { return server_; }
  std::error_code Listen(const boost::asio::ip::tcp::endpoint& address);

  size_t held_asks() const { return held_.size(); }

 private:
  struct HeldAsk {
    std::shared_ptr<ServerExchange> exchange;
    LogAsk ask;
    Timer timer;
    bool answered = false;
  };

  // Many records of a topic, as they are sent.
  struct Deflated {
    std::string records;
    uint64_t inflated_size = 0;
  };
  struct DeflatedPages {
    uint64_t revision = 0;                   // of the cache
    std::map<uint64_t, Deflated> by_offset;  // that they begin at
  };

  void Handle(const std::shared_ptr<ServerExchange>& exchange);
  void Hold(const std::shared_ptr<ServerExchange>& exchange, const LogAsk& ask);
  void Relay(const std::shared_ptr<ServerExchange>& exchange,
             const LogAsk& ask);
  void Answer(const std::shared_ptr<ServerExchange>& exchange,
              const LogAsk& ask);
  LogAnswer AnswerOf(const LogCache& cache, const LogAsk& ask,
                     TimePoint received);
  const Deflated& DeflatedPage(const LogCache& cache, const LogAsk& ask,
                               LogPage page);
  // Sends what waits, as far as it fits.
  void SendWaiting();
  size_t BytesOnTheWay();
  void AnswerHeld(HeldAsk* held);
  void Changed(const std::string& topic);

  boost::asio::io_context* const loop_;
  AsyncHttpServer server_;
  std::map<std::string, LogCache*> caches_;  // by topic
  std::map<std::string, std::function<bool(const std::string&)>> receivers_;
  std::map<std::string, AsyncHttpServer::Handler> handlers_;
  RelayFunction relay_;  // may be empty
  std::list<std::shared_ptr<HeldAsk>> held_;
  std::map<std::string, DeflatedPages> deflated_;          // by topic
  std::list<std::shared_ptr<ServerExchange>> on_the_way_;  // long answers
  std::deque<std::pair<std::shared_ptr<ServerExchange>, LogAsk>> waiting_;
  Timer send_;
};

}  // namespace leverwick

#endif  // DAEMON_LOG_SERVER_H_
