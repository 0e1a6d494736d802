#include "net/http_call.h"

#include "leverwick/result.h"

namespace leverwick {

void HttpCall::Start(boost::asio::io_context* loop,
                     HttpConnections* connections, const std::string& address,
                     std::string request, milliseconds limit,
                     Callback callback) {
  std::shared_ptr<HttpCall> call(new HttpCall(loop, std::move(callback)));
  call->self_ = call;
  call->timer_.expires_after(limit);
  call->timer_.async_wait([call](auto error) {
    if (error || call->self_ == nullptr) return;
    call->call_->Abort();
    call->End(Result::kUnreachable);
  });
  call->call_ = connections->Send(address, std::move(request), call.get());
}

bool HttpCall::OnAnswerHead(const HttpHead& head) {
  status_ = head.status;
  return true;
}

void HttpCall::OnCallFailed(const ClientCall::Failure& failure) {
  bool silent = !failure.sent && failure.error == std::errc::timed_out;
  End(silent ? Result::kNoConnection : Result::kUnreachable);
}

void HttpCall::End(std::error_code error) {
  auto self = std::move(self_);
  self_ = nullptr;
  timer_.cancel();
  callback_(error, status_, std::move(body_));
}

}  // namespace leverwick
