#include "net/server_connection.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <cstdlib>
#include <utility>

#include "net/log.h"

namespace leverwick {
namespace {

const Log kLog("http-server");

// Bytes of the next requests that a caller may send ahead of its answers.
constexpr size_t kMaxPipelined = 64UL * 1024;
// While the box stops, a connection at rest is kept for a request that is on
// its way: more than a round trip to a caller.
constexpr milliseconds kRestWhileDraining{300};
// Callers whose requests found no memory come back in turns of a second, up to
// this, so that they do not come back together.
constexpr uint64_t kMaxRetryAfterSeconds = 3;
constexpr int kTimedOut = 408;
constexpr int kUnavailable = 503;

int StatusOf(HttpReader::Error error) {
  if (error == HttpReader::kHeadTooLarge) return 431;
  if (error == HttpReader::kBodyTooLarge) return 413;
  return 400;
}

HttpReader::Limits ReaderLimits(const HttpServerLimits& limits) {
  HttpReader::Limits reader;
  reader.head_bytes = limits.head_bytes;
  reader.body_bytes = limits.body_bytes;
  return reader;
}

}  // namespace

ServerConnection::ServerConnection(AsyncHttpServer* server,
                                   TcpConnection::Socket socket)
    : server_(server),
      tcp_(std::make_shared<TcpConnection>(std::move(socket))),
      reader_(HttpReader::kRequests, ReaderLimits(server->limits_), this),
      timer_(*server->loop_) {
  tcp_->CountPendingIn(server->pending_bytes_);
  bool are_boxes = server->limits_.unacknowledged_time == kUnacknowledged;
  if (are_boxes) tcp_->AllowClosedWindow();
}

ServerConnection::~ServerConnection() { ReleaseHold(); }

void ServerConnection::Start() {
  tcp_->Start(this);
  Rest();
}

void ServerConnection::Write(std::string bytes) {
  tcp_->Write(std::move(bytes));
  server_->BoundPending();
}

bool ServerConnection::will_close() const {
  return close_after_ || too_much_pipelined_ || server_->draining_;
}

void ServerConnection::Finish() {
  if (exchange_ == nullptr) return;
  Release();
  if (will_close()) return CloseAfterAnswer();
  reader_.SetLimits(ReaderLimits(server_->limits_));
  reader_.Reset();
  Rest();
  // Not from inside the handler: a caller's held requests are taken one
  // turn of the loop after another.
  boost::asio::post(*server_->loop_,
                    [self = shared_from_this()] { self->TakePipelined(); });
}

void ServerConnection::BreakOff() {
  Release();
  Drop();
}

void ServerConnection::Drain() {
  if (IsAtRest()) Rest();
}

bool ServerConnection::IsAtRest() const {
  return exchange_ == nullptr && !reader_.any_read() && pipelined_.empty() &&
         pending_bytes() == 0;
}

bool ServerConnection::IsReading() const {
  return exchange_ == nullptr && !is_closing_ && reader_.any_read();
}

void ServerConnection::Evict() {
  if (exchange_ != nullptr) return DropPipelined();
  RefuseForMemory();
}

void ServerConnection::GiveUpDelivery(const char* why) {
  server_->TellSlowCaller(why, pending_bytes());
  Drop();
}

void ServerConnection::GiveUpStreamLater() {
  is_given_up_ = true;
  boost::asio::post(*server_->loop_, [self = shared_from_this()] {
    if (!self->tcp_->is_open()) return;
    self->server_->TellSlowCaller("streams wait too", self->pending_bytes());
    self->LeaveExchange();
  });
}

void ServerConnection::Rest() {
  if (pending_bytes() > 0) return AwaitDelivery();
  waits_since_ = Clock::now();
  milliseconds rest = server_->limits_.idle_time;
  if (server_->draining_) rest = std::min(rest, kRestWhileDraining);
  SetTimer(rest);
}

// The answer is whole, and a part of it is still in the process.
void ServerConnection::AwaitDelivery() {
  if (!is_delivering_) server_->delivering_.push_back(this);
  is_delivering_ = true;
  undelivered_before_ = pending_bytes();
  SetTimer(server_->limits_.idle_time);
  server_->BoundPending();
}

void ServerConnection::CheckDelivery() {
  bool is_stalled = pending_bytes() >= undelivered_before_;
  if (is_stalled) return GiveUpDelivery("it takes nothing");
  AwaitDelivery();
}

void ServerConnection::EndDelivery() {
  if (is_delivering_) server_->RecordDelivered(this);
  is_delivering_ = false;
}

void ServerConnection::SetTimer(milliseconds limit) {
  timer_.expires_after(limit);
  timer_.async_wait([self = shared_from_this()](auto error) {
    // Set anew after it ran out and before it was told: not due any more.
    bool is_due = !error && self->timer_.expiry() <= Clock::now();
    if (is_due) self->OnTimer();
  });
}

void ServerConnection::OnTimer() {
  if (exchange_ != nullptr) return;
  bool awaits_delivery = is_closing_ || !reader_.any_read();
  if (awaits_delivery && pending_bytes() > 0) return CheckDelivery();
  if (awaits_delivery) return Drop();
  Refuse(kTimedOut);
}

void ServerConnection::OnBytes(std::string_view bytes) {
  if (is_closing_) return;
  bool must_wait = exchange_ != nullptr || !pipelined_.empty();
  if (must_wait) return HoldPipelined(bytes);
  BeginRead(bytes);
}

void ServerConnection::HoldPipelined(std::string_view bytes) {
  if (too_much_pipelined_) return;
  size_t size = pipelined_.size() + bytes.size();
  // Without an answer under way, what is held is about to be read.
  bool is_too_much = exchange_ != nullptr && size > kMaxPipelined;
  if (is_too_much || !Reserve(size)) return DropPipelined();
  pipelined_.reserve(size);
  pipelined_.append(bytes);
}

// What is dropped would tear a request apart, so the connection ends behind
// this answer.
void ServerConnection::DropPipelined() {
  too_much_pipelined_ = true;
  pipelined_ = std::string();
  ReleaseHold();
}

void ServerConnection::TakePipelined() {
  bool is_over = is_closing_ || !tcp_->is_open();
  if (exchange_ != nullptr || is_over) return;
  if (too_much_pipelined_) return CloseAfterAnswer();
  if (pipelined_.empty()) return;
  std::string pipelined;
  pipelined.swap(pipelined_);
  BeginRead(pipelined);
}

// The first byte of a request starts the time for the whole of it.
void ServerConnection::BeginRead(std::string_view bytes) {
  if (!reader_.any_read()) {
    waits_since_ = Clock::now();
    SetTimer(server_->limits_.head_time);
  }
  Read(bytes);
}

void ServerConnection::Read(std::string_view bytes) {
  auto self = shared_from_this();
  size_t used = 0;
  if (!reader_.Feed(bytes, &used)) return Refuse(StatusOf(reader_.error()));
  if (lacks_memory_) return RefuseForMemory();
  bytes.remove_prefix(std::min(used, bytes.size()));
  if (reader_.done()) return Handle(bytes);
  size_t body = std::max<size_t>(body_.capacity(), body_length_);
  bool has_room = Reserve(head_memory_ + body + reader_.held_bytes());
  if (!has_room) RefuseForMemory();
}

void ServerConnection::OnHead(HttpHead head) {
  head_ = std::move(head);
  head_memory_ = head_.memory_bytes();
  body_ = std::string();
  const std::string& length = head_.Field("content-length");
  body_length_ =
      length.empty() ? 0 : std::strtoull(length.c_str(), nullptr, 10);
  lacks_memory_ = !Reserve(head_memory_ + body_length_);
  if (lacks_memory_) return;
  if (SameName(head_.Field("expect"), "100-continue")) {
    Write("HTTP/1.1 100 Continue\r\n\r\n");
  }
}

// A body of unknown length grows by doubling, one of known length at once.
void ServerConnection::OnBody(std::string_view bytes) {
  if (lacks_memory_) return;
  size_t size = body_.size() + bytes.size();
  if (size > body_.capacity()) {
    size_t capacity = std::max<size_t>(size, body_length_);
    if (body_length_ == 0) capacity = std::max(size, 2 * body_.size());
    lacks_memory_ = !Reserve(head_memory_ + capacity);
    if (lacks_memory_) return;
    body_.reserve(capacity);
  }
  body_.append(bytes);
}

bool ServerConnection::Reserve(size_t bytes) {
  if (hold_ == nullptr) {
    hold_ = std::make_shared<RequestHold>(server_->memory_, Clock::now());
    server_->reading_[hold_->ticket()] = this;
  }
  return server_->Reserve(hold_->ticket(), bytes);
}

void ServerConnection::ReleaseHold() {
  if (hold_ == nullptr) return;
  server_->reading_.erase(hold_->ticket());
  hold_ = nullptr;
}

void ServerConnection::FreeRequest() {
  head_ = HttpHead();
  head_memory_ = 0;
  body_ = std::string();
  body_length_ = 0;
  pipelined_ = std::string();
  ReleaseHold();
}

void ServerConnection::Handle(std::string_view pipelined) {
  timer_.cancel();
  EndDelivery();
  close_after_ = !head_.keep_alive;
  old_caller_ = head_.minor_version == 0;
  was_used_ = true;
  std::shared_ptr<RequestHold> hold = hold_;
  if (hold != nullptr) server_->memory_->RecordWhole(hold->ticket());
  ReleaseHold();
  exchange_ = std::make_shared<ServerExchange>(
      weak_from_this(), std::move(head_), std::move(body_), std::move(hold),
      Clock::now());
  FreeRequest();
  if (!pipelined.empty()) HoldPipelined(pipelined);
  ++server_->open_requests_;
  server_->handler_(exchange_);
}

void ServerConnection::Refuse(int status) {
  FreeRequest();
  HttpHead head;
  head.status = status;
  head.Set("Content-Length", "0");
  head.Set("Connection", "close");
  if (status == kUnavailable) head.Set("Retry-After", RetryAfter());
  Write(ResponseText(head));
  CloseAfterAnswer();
}

std::string ServerConnection::RetryAfter() const {
  uint64_t turn = server_->counts_.refused_requests % kMaxRetryAfterSeconds;
  return std::to_string(1 + turn);
}

void ServerConnection::RefuseForMemory() {
  if (is_closing_) return;
  server_->TellNoMemory();
  Refuse(kUnavailable);
}

void ServerConnection::OnClosed(std::error_code) { LeaveExchange(); }

// The caller is gone, or is given up while its request is worked on.
void ServerConnection::LeaveExchange() {
  auto self = shared_from_this();
  auto exchange = exchange_;
  Release();
  Drop();
  if (exchange != nullptr && exchange->left_) exchange->left_();
}

void ServerConnection::OnDrained() {
  if (exchange_ != nullptr) {
    if (exchange_->drained_) exchange_->drained_();
    return;
  }
  EndDelivery();
  if (is_closing_) return CloseNow();
  if (!reader_.any_read()) Rest();
}

void ServerConnection::Release() {
  if (exchange_ == nullptr) return;
  exchange_->drained_ = nullptr;
  exchange_ = nullptr;
  --server_->open_requests_;
}

void ServerConnection::CloseAfterAnswer() {
  is_closing_ = true;
  if (pending_bytes() > 0) return AwaitDelivery();
  CloseNow();
}

void ServerConnection::CloseNow() {
  auto self = shared_from_this();
  timer_.cancel();
  EndDelivery();
  FreeRequest();
  tcp_->CloseWhenDrained();
  server_->RecordClosing(self, tcp_);
}

void ServerConnection::Drop() {
  auto self = shared_from_this();
  timer_.cancel();
  EndDelivery();
  FreeRequest();
  tcp_->Close();
  server_->connections_.erase(self);
}

}  // namespace leverwick
