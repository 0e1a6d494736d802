#include "net/http_call.h"

#include "leverwick/result.h"

namespace leverwick {

void HttpCall::Start(boost::asio::io_context* loop,
                     HttpConnections* connections, const std::string& address,
                     std::string request, milliseconds limit,
                     Callback callback) {
  std::shared_ptr<HttpCall> call(
      new HttpCall(loop, connections, address, std::move(callback)));
  call->self_ = call;
  call->timer_.expires_after(limit);
  call->timer_.async_wait([call](auto error) {
    if (!error && call->self_ != nullptr) call->OnTimeOut();
  });
  call->call_ = connections->Send(address, std::move(request), call.get());
}

bool HttpCall::OnAnswerHead(const HttpHead& head) {
  head_ = head;
  return true;
}

void HttpCall::OnTimeOut() {
  bool is_kept = call_->on_kept_connection();
  // Behind a cut the kernel would send it on once the cut heals.
  call_->AbortWithReset();
  if (is_kept) return EndConnectionLost();
  End(Result::kUnreachable);
}

void HttpCall::OnCallFailed(const ClientCall::Failure& failure) {
  if (failure.on_kept_connection) return EndConnectionLost();
  bool silent = !failure.sent && failure.error == std::errc::timed_out;
  End(silent ? Result::kNoConnection : Result::kUnreachable);
}

// What broke the connection has probably broken those at rest too, which may
// not show before the next call.
void HttpCall::EndConnectionLost() {
  if (!connections_lifetime_.expired()) connections_->CloseIdle(address_);
  End(Result::kConnectionLost);
}

void HttpCall::End(std::error_code error) {
  auto self = std::move(self_);
  self_ = nullptr;
  timer_.cancel();
  callback_(error, error ? HttpHead() : head_, std::move(body_));
}

}  // namespace leverwick
