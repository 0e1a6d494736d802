// Each response carries either the request's id, as endpoints return it, or a
// result. One without both comes from a box that doesn't know the message, and
// that has sent the request to no endpoint.

#include "daemon/forwarded_call.h"

#include <utility>

namespace leverwick {

void ForwardedCall::Start(HttpConnections* connections,
                          const std::string& address, ClientRequest request) {
  call_ = connections->Send(address, std::move(request), this);
}

void ForwardedCall::Abort() {
  if (call_ != nullptr) call_->Abort();
}

void ForwardedCall::PauseReading() {
  if (call_ != nullptr) call_->PauseReading();
}

void ForwardedCall::ResumeReading() {
  if (call_ != nullptr) call_->ResumeReading();
}

bool ForwardedCall::OnAnswerHead(const HttpHead& head) {
  result_ = ReadForwardResult(head);
  if (result_) return true;
  AnswerHead answer = dialect_->ReadAnswer(head);
  if (answer.request_id != request_id_) {
    result_ = ForwardResult{Result::kNotReady, {}};
    return true;
  }
  head_ = head;
  streams_ = answer.succeeded() && answer.signed_whole && answer.event_stream;
  return true;
}

void ForwardedCall::OnAnswerBody(std::string_view bytes) {
  if (result_) return;
  auto self = shared_from_this();
  if (streams_) return listener_->OnForwardEvents(head_, bytes);
  body_.append(bytes);
}

void ForwardedCall::OnAnswerEnd() {
  auto self = shared_from_this();
  if (result_) return listener_->OnForwardResult(*result_);
  if (streams_) return listener_->OnForwardStreamEnd(head_);
  listener_->OnForwardResponse(head_, body_);
}

void ForwardedCall::OnCallFailed(const ClientCall::Failure& failure) {
  auto self = shared_from_this();
  listener_->OnForwardFailed(failure.sent);
}

}  // namespace leverwick
