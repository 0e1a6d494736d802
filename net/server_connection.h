// One connection of an AsyncHttpServer; used by it and by its exchanges only.
//
// A connection is idle, reading or answering. While it answers, bytes of a
// next request are held, up to a bound, and read afterwards; the read loop
// stays armed only to notice that the caller left. Bytes that come before the
// held ones have been read wait behind them.

#ifndef NET_SERVER_CONNECTION_H_
#define NET_SERVER_CONNECTION_H_

#include <memory>
#include <string>
#include <string_view>
#include <system_error>

#include "leverwick/request_memory.h"
#include "leverwick/time.h"
#include "net/async_http_server.h"
#include "net/http_codec.h"
#include "net/server_exchange.h"
#include "net/tcp_connection.h"
#include "net/timer.h"

namespace leverwick {

class ServerConnection : public std::enable_shared_from_this<ServerConnection>,
                         private TcpConnection::Observer,
                         private HttpReader::Observer {
 public:
  ServerConnection(AsyncHttpServer* server, TcpConnection::Socket socket);
  ~ServerConnection() override;
  ServerConnection(const ServerConnection&) = delete;
  ServerConnection& operator=(const ServerConnection&) = delete;

  void Start();

  // For the exchange.
  void Write(std::string bytes);
  size_t pending_bytes() const { return tcp_->pending_bytes(); }
  bool will_close() const;
  bool old_caller() const { return old_caller_; }
  // Called when the answer is whole.
  void Finish();
  void BreakOff();

  // For the server.
  void Drain();
  bool IsAtRest() const;
  // Whether a request is being read.
  bool IsReading() const;
  // Whether an answer that is not whole yet waits for its caller.
  bool is_streaming() const {
    return exchange_ != nullptr && pending_bytes() > 0;
  }
  // Whether a request of this connection was handed on.
  bool was_used() const { return was_used_; }
  // Since when the connection rests, or the request is being read.
  TimePoint waits_since() const { return waits_since_; }
  // Closes a connection that no request of is worked on.
  void CloseForRoom() { Drop(); }
  // Frees the memory of a request that is not read yet.
  void Evict();
  // Gives up an answer whose caller is too slow.
  void GiveUpDelivery(const char* why);
  // The same for a stream that is not whole yet, from the event loop.
  void GiveUpStreamLater();
  bool is_given_up() const { return is_given_up_; }

 private:
  void Rest();
  void AwaitDelivery();
  void CheckDelivery();
  void EndDelivery();
  void SetTimer(milliseconds limit);
  void OnTimer();

  // TcpConnection::Observer.
  void OnBytes(std::string_view bytes) override;
  void OnClosed(std::error_code why) override;
  void OnDrained() override;

  // HttpReader::Observer.
  void OnHead(HttpHead head) override;
  void OnBody(std::string_view bytes) override;
  void OnEnd() override {}

  void HoldPipelined(std::string_view bytes);
  void DropPipelined();
  void TakePipelined();
  void BeginRead(std::string_view bytes);
  void Read(std::string_view bytes);
  // Reserves memory for the request that is read next or now.
  bool Reserve(size_t bytes);
  void ReleaseHold();
  void FreeRequest();
  // Hands the request on; `pipelined` came behind it.
  void Handle(std::string_view pipelined);
  // Answers a request that can't be read: nothing behind it can be either.
  void Refuse(int status);
  void RefuseForMemory();
  // In seconds.
  std::string RetryAfter() const;
  void Release();
  void LeaveExchange();
  void CloseAfterAnswer();
  void CloseNow();
  void Drop();

  AsyncHttpServer* const server_;
  std::shared_ptr<TcpConnection> tcp_;
  HttpReader reader_;
  Timer timer_;
  HttpHead head_;
  std::string body_;
  std::string pipelined_;  // bytes behind the request that is worked on
  // Of the request that is read next or now; null: none of its bytes came.
  std::shared_ptr<RequestHold> hold_;
  size_t head_memory_ = 0;
  uint64_t body_length_ = 0;  // as announced; 0: not known
  TimePoint waits_since_{};
  std::shared_ptr<ServerExchange> exchange_;
  bool close_after_ = false;
  bool old_caller_ = false;
  bool was_used_ = false;
  bool lacks_memory_ = false;  // for the request that is being read
  bool too_much_pipelined_ = false;
  bool is_closing_ = false;  // once the answer has left
  bool is_given_up_ = false;
  bool is_delivering_ = false;
  size_t undelivered_before_ = 0;  // at the last look
};

}  // namespace leverwick

#endif  // NET_SERVER_CONNECTION_H_
