// A request on its way through another box, and the response to it.
//
//   auto call = std::make_shared<ForwardedCall>(dialect, request_id,
//   &listener); call->Start(&connections, address, request); call->Abort();  //
//   gives it up; the listener hears no more

#ifndef DAEMON_FORWARDED_CALL_H_
#define DAEMON_FORWARDED_CALL_H_

#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "daemon/dialect.h"
#include "daemon/forward_message.h"
#include "net/async_http_client.h"

namespace leverwick {

// Belongs to the thread that runs its event loop.
class ForwardedCall : public std::enable_shared_from_this<ForwardedCall>,
                      private ClientCall::Observer {
 public:
  class Listener {
   public:
    virtual ~Listener() = default;
    // Events of an endpoint's stream, whose head is `head`.
    virtual void OnForwardEvents(const HttpHead& head,
                                 std::string_view bytes) = 0;
    virtual void OnForwardStreamEnd(const HttpHead& head) = 0;
    // An endpoint's whole response.
    virtual void OnForwardResponse(const HttpHead& head,
                                   const std::string& body) = 0;
    // The other box's own result.
    virtual void OnForwardResult(const ForwardResult& result) = 0;
    // `sent`: the other box may have got the request.
    virtual void OnForwardFailed(bool sent) = 0;
  };

  ForwardedCall(const Dialect* dialect, std::string request_id,
                Listener* listener)
      : dialect_(dialect),
        request_id_(std::move(request_id)),
        listener_(listener) {}

  void Start(HttpConnections* connections, const std::string& address,
             ClientRequest request);
  void Abort();
  void PauseReading();
  void ResumeReading();
  bool sent() const { return call_ != nullptr && call_->sent(); }

 private:
  // ClientCall::Observer.
  bool OnAnswerHead(const HttpHead& head) override;
  void OnAnswerBody(std::string_view bytes) override;
  void OnAnswerEnd() override;
  void OnCallFailed(const ClientCall::Failure& failure) override;

  const Dialect* const dialect_;
  const std::string request_id_;
  Listener* const listener_;
  std::shared_ptr<ClientCall> call_;
  std::optional<ForwardResult> result_;
  HttpHead head_;
  std::string body_;
  bool streams_ = false;
};

}  // namespace leverwick

#endif  // DAEMON_FORWARDED_CALL_H_
