// HTTP/1.1 requests on kept connections, on the event loop.
//
// A connection carries one request at a time and is kept for the next one
// unless the answer, its framing or the time the other side named forbids it.
// Bytes that come when none are due belong to no request: they end the
// connection. The caller of Send learns how far the request got, which is what
// decides whether it may be sent again.
//
//   HttpConnections connections(&loop, options);
//   auto call = connections.Send(address, std::move(request), &observer);
//   call->Abort();  // gives it up

#ifndef NET_ASYNC_HTTP_CLIENT_H_
#define NET_ASYNC_HTTP_CLIENT_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <system_error>
#include <utility>

#include "leverwick/time.h"
#include "net/http_codec.h"
#include "net/tcp_connection.h"

namespace leverwick {

class ClientConnection;

// A whole message: its head with the blank line, and its body, which may be in
// use elsewhere too. Null: none, or it stands behind the head.
struct ClientRequest {
  std::string head;
  std::shared_ptr<const std::string> body = nullptr;
  // Names the request in answers, so that a late answer to an earlier send
  // can't be told from the one that is awaited: sends of one id, the caller's
  // own retries among them, use different connections. Empty: any connection.
  std::string id = "";
};

// One request on its way to a server and the answer to it.
class ClientCall {
 public:
  // How an answer ended before it was whole.
  struct Failure {
    std::error_code error;
    bool sent = false;     // a byte of the request may have arrived
    bool garbled = false;  // the bytes were no answer in the protocol
    // The connection was opened for the call, and closed before any byte of the
    // answer came.
    bool closed_unanswered = false;
    // The connection had served a call before: a new one may work.
    bool on_kept_connection = false;
  };

  class Observer {
   public:
    virtual ~Observer() = default;
    // A connection was opened for the call.
    virtual void OnConnected() {}
    // False when the answer is not this request's: it is read and dropped,
    // and the next one is awaited.
    virtual bool OnAnswerHead(const HttpHead& head) = 0;
    virtual void OnAnswerBody(std::string_view bytes) = 0;
    virtual void OnAnswerEnd() = 0;
    virtual void OnCallFailed(const Failure& failure) = 0;
  };

  // Ends the call; the observer hears no more. Closes the connection.
  void Abort();
  // The same; what has not reached the server yet never does.
  void AbortWithReset();
  void PauseReading();
  void ResumeReading();
  // Whether a byte of the request may have reached the server.
  bool sent() const;
  // Whether it was sent on a connection that had served a call before.
  bool on_kept_connection() const;

 private:
  friend class HttpConnections;
  friend class ClientConnection;

  ClientRequest request_;
  Observer* observer_ = nullptr;
  std::shared_ptr<ClientConnection> connection_;
  bool aborted_ = false;
};

struct HttpConnectionsOptions {
  milliseconds connect_timeout{400};
  // Longest rest of a kept connection when the server names no time.
  milliseconds idle_time{10000};
  size_t max_idle_each = 64;  // kept connections to one address
  // While more connections are open, none is kept when its call has ended.
  size_t max_open = 4096;
  HttpReader::Limits answer_limits{64UL * 1024, 256UL << 20};
  ConnectFunction connect = ConnectTcp;
};

// For servers whose answers are short; larger ones are broken off.
inline HttpConnectionsOptions ShortAnswerOptions() {
  HttpConnectionsOptions options;
  options.answer_limits.body_bytes = 64UL * 1024;
  return options;
}

class HttpConnections {
 public:
  HttpConnections(boost::asio::io_context* loop,
                  const HttpConnectionsOptions& options)
      : loop_(loop), options_(options) {}

  // The observer is called from the loop, never from inside Send.
  std::shared_ptr<ClientCall> Send(const std::string& address,
                                   ClientRequest request,
                                   ClientCall::Observer* observer);
  // The same; `request` is the whole message.
  std::shared_ptr<ClientCall> Send(const std::string& address,
                                   std::string request,
                                   ClientCall::Observer* observer) {
    return Send(address, ClientRequest{std::move(request)}, observer);
  }

  // Called when the other side closes a connection at rest.
  void OnRestClosed(std::function<void(const std::string& address)> callback) {
    rest_closed_ = std::move(callback);
  }

  // Opens a connection that carries no request. The error is kUnreachable if
  // the address can't be read.
  void Connect(const std::string& address, milliseconds limit,
               const ConnectCallback& callback);

  // Closes the connections to the address that are at rest.
  void CloseIdle(const std::string& address);

  // Expires with this.
  std::weak_ptr<const void> lifetime() const { return lifetime_; }

  uint64_t opened() const { return opened_; }
  // Connections that carry a call or are kept.
  size_t open() const { return *open_; }
  size_t idle() const;
  // Whether a connection to the address is open and at rest.
  bool HasIdle(const std::string& address) const;

 private:
  friend class ClientConnection;

  // A kept connection that has not carried the request of this id, among the
  // latest that it carried; null: none.
  std::shared_ptr<ClientConnection> TakeIdle(const std::string& address,
                                             const std::string& id);
  void Keep(const std::shared_ptr<ClientConnection>& connection);
  void DropIdle(ClientConnection* connection);
  void RestClosed(ClientConnection* connection);
  void SendOnNewConnection(const std::string& address,
                           const std::shared_ptr<ClientCall>& call);

  boost::asio::io_context* const loop_;
  const HttpConnectionsOptions options_;
  std::map<std::string, std::deque<std::shared_ptr<ClientConnection>>> idle_;
  uint64_t opened_ = 0;
  const std::shared_ptr<size_t> open_ = std::make_shared<size_t>(0);
  std::function<void(const std::string& address)> rest_closed_ =
      [](const std::string&) {};
  const std::shared_ptr<const int> lifetime_ = std::make_shared<const int>(0);
};

}  // namespace leverwick

#endif  // NET_ASYNC_HTTP_CLIENT_H_
