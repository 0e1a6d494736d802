// One request whose whole answer is wanted within a time.
//
//   HttpCall::Start(&loop, &connections, address, text, 500ms,
//                   [](std::error_code error, const HttpHead& head,
//                      std::string body) { ... });

#ifndef NET_HTTP_CALL_H_
#define NET_HTTP_CALL_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>
#include <system_error>

#include "leverwick/time.h"
#include "net/async_http_client.h"
#include "net/timer.h"

namespace leverwick {

// Lives until it is answered, has failed or has run out of time. Errors:
// kNoConnection (nothing answered a new connection, so that no byte of the call
// has left), kConnectionLost (a kept connection was closed or stayed silent,
// which tells nothing of the server; a call that may be repeated is sent on a
// new connection next) and kUnreachable; any status is an answer. The head is
// empty after an error.
class HttpCall : public std::enable_shared_from_this<HttpCall>,
                 private ClientCall::Observer {
 public:
  using Callback =
      std::function<void(std::error_code, const HttpHead&, std::string body)>;

  // `request` is the whole message.
  static void Start(boost::asio::io_context* loop, HttpConnections* connections,
                    const std::string& address, std::string request,
                    milliseconds limit, Callback callback);

 private:
  HttpCall(boost::asio::io_context* loop, HttpConnections* connections,
           std::string address, Callback callback)
      : timer_(*loop),
        connections_(connections),
        connections_lifetime_(connections->lifetime()),
        address_(std::move(address)),
        callback_(std::move(callback)) {}

  bool OnAnswerHead(const HttpHead& head) override;
  void OnAnswerBody(std::string_view bytes) override { body_.append(bytes); }
  void OnAnswerEnd() override { End({}); }
  void OnCallFailed(const ClientCall::Failure& failure) override;
  void OnTimeOut();
  void EndConnectionLost();
  void End(std::error_code error);

  Timer timer_;
  HttpConnections* const connections_;
  const std::weak_ptr<const void> connections_lifetime_;
  const std::string address_;
  Callback callback_;
  std::shared_ptr<ClientCall> call_;
  std::shared_ptr<HttpCall> self_;  // until the end
  HttpHead head_;
  std::string body_;
};

}  // namespace leverwick

#endif  // NET_HTTP_CALL_H_
