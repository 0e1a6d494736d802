// A connection is idle, reading or answering. While it answers, bytes of a
// next request are held, up to a bound, and read afterwards; the read loop
// stays armed only to notice that the caller left. Bytes that come before the
// held ones have been read wait behind them.

#include "net/async_http_server.h"

#include <algorithm>
#include <boost/asio/post.hpp>

#include "net/log.h"

namespace leverwick {
namespace {

using boost::asio::ip::tcp;

const Log kLog("http-server");

// Bytes of the next requests that a caller may send ahead of its answers.
constexpr size_t kHeldBytes = 64UL * 1024;
// Of whole answers that wait for slow callers. A small box has 160 MB in all.
constexpr size_t kMaxUndelivered = 32UL << 20;
// How long accepting rests when descriptors have run out.
constexpr milliseconds kAcceptPause{50};
constexpr int kBacklog = 1024;
// Without descriptors, connections that have rested for this time make room for
// new ones, so many at a time.
constexpr milliseconds kLeastRest{1000};
constexpr size_t kRoomBatch = 64;
// While the box stops, a connection at rest is kept for a request that is on
// its way: more than a round trip to a caller.
constexpr milliseconds kRestWhileDraining{300};

int StatusOf(HttpReader::Error error) {
  if (error == HttpReader::kHeadTooLarge) return 431;
  if (error == HttpReader::kBodyTooLarge) return 413;
  return 400;
}

}  // namespace

class ServerConnection : public std::enable_shared_from_this<ServerConnection>,
                         private TcpConnection::Observer,
                         private HttpReader::Observer {
 public:
  ServerConnection(AsyncHttpServer* server, TcpConnection::Socket socket)
      : server_(server),
        tcp_(std::make_shared<TcpConnection>(std::move(socket))),
        reader_(HttpReader::kRequests, ReaderLimits(server->limits_), this),
        timer_(*server->loop_) {}

  void Start() {
    tcp_->Start(this);
    Rest();
  }

  void Write(std::string bytes) { tcp_->Write(std::move(bytes)); }
  size_t pending_bytes() const { return tcp_->pending_bytes(); }
  bool will_close() const {
    return close_after_ || too_much_held_ || server_->draining_;
  }
  bool old_caller() const { return old_caller_; }

  // Called when the answer is whole.
  void Finish() {
    if (exchange_ == nullptr) return;
    Release();
    if (will_close()) return CloseAfterAnswer();
    reader_.SetLimits(ReaderLimits(server_->limits_));
    reader_.Reset();
    Rest();
    // Not from inside the handler: a caller's held requests are taken one
    // turn of the loop after another.
    boost::asio::post(*server_->loop_,
                      [self = shared_from_this()] { self->TakeHeld(); });
  }

  void BreakOff() {
    Release();
    Drop();
  }

  void Drain() {
    if (IsAtRest()) Rest();
  }

  bool IsAtRest() const {
    return exchange_ == nullptr && !reader_.any_read() && held_.empty() &&
           pending_bytes() == 0;
  }
  TimePoint rests_since() const { return rests_since_; }
  void CloseAtRest() { Drop(); }
  void GiveUpDelivery(const char* why) {
    kLog.Warning(
        "An answer is broken off: its caller is too slow.",
        {{"why", why}, {"undelivered_bytes", std::to_string(pending_bytes())}});
    Drop();
  }

 private:
  static HttpReader::Limits ReaderLimits(const HttpServerLimits& limits) {
    HttpReader::Limits reader;
    reader.head_bytes = limits.head_bytes;
    reader.body_bytes = limits.body_bytes;
    return reader;
  }

  void Rest() {
    if (pending_bytes() > 0) return AwaitDelivery();
    rests_since_ = Clock::now();
    milliseconds rest = server_->limits_.idle_time;
    if (server_->draining_) rest = std::min(rest, kRestWhileDraining);
    SetTimer(rest);
  }

  // The answer is whole, and a part of it is still in the process.
  void AwaitDelivery() {
    if (!is_delivering_) server_->delivering_.push_back(this);
    is_delivering_ = true;
    undelivered_before_ = pending_bytes();
    SetTimer(server_->limits_.idle_time);
    server_->BoundUndelivered();
  }

  void CheckDelivery() {
    bool is_stalled = pending_bytes() >= undelivered_before_;
    if (is_stalled) return GiveUpDelivery("it takes nothing");
    AwaitDelivery();
  }

  void EndDelivery() {
    if (is_delivering_) server_->RecordDelivered(this);
    is_delivering_ = false;
  }

  void SetTimer(milliseconds limit) {
    timer_.expires_after(limit);
    timer_.async_wait([self = shared_from_this()](auto error) {
      // Set anew after it ran out and before it was told: not due any more.
      bool is_due = !error && self->timer_.expiry() <= Clock::now();
      if (is_due) self->OnTimer();
    });
  }

  void OnTimer() {
    if (exchange_ != nullptr) return;
    bool awaits_delivery = is_closing_ || !reader_.any_read();
    if (awaits_delivery && pending_bytes() > 0) return CheckDelivery();
    if (awaits_delivery) return Drop();
    Refuse(408);
  }

  void OnBytes(std::string_view bytes) override {
    if (is_closing_) return;
    bool must_wait = exchange_ != nullptr || !held_.empty();
    if (must_wait) return Hold(bytes);
    BeginRead(bytes);
  }

  void Hold(std::string_view bytes) {
    held_.append(bytes);
    // Without an answer under way, what is held is about to be read.
    if (exchange_ == nullptr || held_.size() <= kHeldBytes) return;
    // What is dropped would tear a request apart, so the connection ends
    // behind this answer.
    too_much_held_ = true;
    held_.clear();
  }

  void TakeHeld() {
    bool is_over = is_closing_ || !tcp_->is_open();
    if (exchange_ != nullptr || held_.empty() || is_over) return;
    std::string held;
    held.swap(held_);
    BeginRead(held);
  }

  // The first byte of a request starts the time for the whole of it.
  void BeginRead(std::string_view bytes) {
    if (!reader_.any_read()) SetTimer(server_->limits_.head_time);
    Read(bytes);
  }

  void Read(std::string_view bytes) {
    size_t used = 0;
    if (!reader_.Feed(bytes, &used)) return Refuse(StatusOf(reader_.error()));
    bytes.remove_prefix(std::min(used, bytes.size()));
    if (!reader_.done()) return;
    held_.assign(bytes);
    timer_.cancel();
    Handle();
  }

  void OnHead(HttpHead head) override {
    head_ = std::move(head);
    body_.clear();
    if (SameName(head_.Field("expect"), "100-continue")) {
      Write("HTTP/1.1 100 Continue\r\n\r\n");
    }
  }
  void OnBody(std::string_view bytes) override { body_.append(bytes); }
  void OnEnd() override {}

  void Handle() {
    EndDelivery();
    close_after_ = !head_.keep_alive;
    old_caller_ = head_.minor_version == 0;
    exchange_ = std::make_shared<ServerExchange>(
        weak_from_this(), std::move(head_), std::move(body_), Clock::now());
    body_ = std::string();
    ++server_->open_requests_;
    server_->handler_(exchange_);
  }

  // The request can't be read: nothing behind it on the connection can be.
  void Refuse(int status) {
    HttpHead head;
    head.status = status;
    head.Set("Content-Length", "0");
    head.Set("Connection", "close");
    Write(ResponseText(head));
    CloseAfterAnswer();
  }

  void OnClosed(std::error_code) override {
    auto self = shared_from_this();
    auto exchange = exchange_;
    Release();
    Drop();
    if (exchange != nullptr && exchange->left_) exchange->left_();
  }

  void OnDrained() override {
    if (exchange_ != nullptr) {
      if (exchange_->drained_) exchange_->drained_();
      return;
    }
    EndDelivery();
    if (is_closing_) return CloseNow();
    if (!reader_.any_read()) Rest();
  }

  void Release() {
    if (exchange_ == nullptr) return;
    exchange_->drained_ = nullptr;
    exchange_ = nullptr;
    --server_->open_requests_;
  }

  void CloseAfterAnswer() {
    is_closing_ = true;
    if (pending_bytes() > 0) return AwaitDelivery();
    CloseNow();
  }

  void CloseNow() {
    auto self = shared_from_this();
    timer_.cancel();
    EndDelivery();
    tcp_->CloseWhenDrained();
    server_->connections_.erase(self);
  }

  void Drop() {
    auto self = shared_from_this();
    timer_.cancel();
    EndDelivery();
    tcp_->Close();
    server_->connections_.erase(self);
  }

  AsyncHttpServer* const server_;
  std::shared_ptr<TcpConnection> tcp_;
  HttpReader reader_;
  boost::asio::steady_timer timer_;
  HttpHead head_;
  std::string body_;
  std::string held_;
  TimePoint rests_since_{};
  std::shared_ptr<ServerExchange> exchange_;
  bool close_after_ = false;
  bool old_caller_ = false;
  bool too_much_held_ = false;
  bool is_closing_ = false;  // once the answer has left
  bool is_delivering_ = false;
  size_t undelivered_before_ = 0;  // at the last look
};

void ServerExchange::Answer(HttpHead head, const std::string& body) {
  auto connection = connection_.lock();
  if (connection == nullptr || started_) return;
  started_ = true;
  head.Set("Content-Length", std::to_string(body.size()));
  if (connection->will_close()) head.Set("Connection", "close");
  connection->Write(ResponseText(head) + body);
  connection->Finish();
}

void ServerExchange::StartStream(HttpHead head) {
  auto connection = connection_.lock();
  if (connection == nullptr || started_) return;
  started_ = true;
  chunked_ = !connection->old_caller();
  if (chunked_) head.Set("Transfer-Encoding", "chunked");
  if (connection->will_close()) head.Set("Connection", "close");
  connection->Write(ResponseText(head));
}

void ServerExchange::Write(std::string_view bytes) {
  auto connection = connection_.lock();
  if (connection == nullptr) return;
  connection->Write(chunked_ ? ChunkText(bytes) : std::string(bytes));
}

void ServerExchange::EndStream() {
  auto connection = connection_.lock();
  if (connection == nullptr) return;
  if (chunked_) connection->Write(kLastChunk);
  connection->Finish();
}

void ServerExchange::BreakOff() {
  started_ = true;
  if (auto connection = connection_.lock()) connection->BreakOff();
}

size_t ServerExchange::pending_bytes() const {
  auto connection = connection_.lock();
  return connection == nullptr ? 0 : connection->pending_bytes();
}

AsyncHttpServer::AsyncHttpServer(boost::asio::io_context* loop, Handler handler)
    : loop_(loop),
      handler_(std::move(handler)),
      acceptor_(*loop),
      accept_pause_(*loop) {}

AsyncHttpServer::~AsyncHttpServer() {
  // The loop may go on: nothing that is read later may reach the handler.
  auto connections = connections_;
  for (const auto& connection : connections) connection->BreakOff();
}

std::error_code AsyncHttpServer::Listen(const tcp::endpoint& address) {
  boost::system::error_code error;
  acceptor_.open(address.protocol(), error);
  if (!error) {
    acceptor_.set_option(tcp::acceptor::reuse_address(true), error);
  }
  if (!error) acceptor_.bind(address, error);
  if (!error) acceptor_.listen(kBacklog, error);
  if (!error) Accept();
  return error;
}

void AsyncHttpServer::Accept() {
  acceptor_.async_accept([this](auto error, tcp::socket socket) {
    if (error == boost::asio::error::operation_aborted) return;
    if (error) {
      bool is_full = error == boost::asio::error::no_descriptors;
      if (is_full && MakeRoom()) return Accept();
      accept_pause_.expires_after(kAcceptPause);
      accept_pause_.async_wait([this](auto cancelled) {
        if (!cancelled) Accept();
      });
      return;
    }
    SetTcpOptions(&socket);
    auto connection =
        std::make_shared<ServerConnection>(this, std::move(socket));
    connections_.insert(connection);
    connection->Start();
    Accept();
  });
}

bool AsyncHttpServer::MakeRoom() {
  TimePoint rested_since = Clock::now() - kLeastRest;
  std::vector<std::shared_ptr<ServerConnection>> at_rest;
  for (const auto& connection : connections_) {
    bool has_rested =
        connection->IsAtRest() && connection->rests_since() <= rested_since;
    if (has_rested) at_rest.push_back(connection);
  }
  size_t closing = std::min(kRoomBatch, at_rest.size());
  std::partial_sort(at_rest.begin(),
                    at_rest.begin() + static_cast<ptrdiff_t>(closing),
                    at_rest.end(), [](const auto& a, const auto& b) {
                      return a->rests_since() < b->rests_since();
                    });
  for (size_t i = 0; i < closing; ++i) at_rest[i]->CloseAtRest();
  return closing > 0;
}

void AsyncHttpServer::BoundUndelivered() {
  size_t bytes = 0;
  for (const ServerConnection* connection : delivering_) {
    bytes += connection->pending_bytes();
  }
  while (bytes > kMaxUndelivered && delivering_.size() > 1) {
    ServerConnection* oldest = delivering_.front();
    bytes -= oldest->pending_bytes();
    oldest->GiveUpDelivery("others wait too");
  }
}

void AsyncHttpServer::RecordDelivered(ServerConnection* connection) {
  delivering_.erase(
      std::remove(delivering_.begin(), delivering_.end(), connection),
      delivering_.end());
}

void AsyncHttpServer::Drain() {
  draining_ = true;
  auto connections = connections_;
  for (const auto& connection : connections) connection->Drain();
}

void AsyncHttpServer::StopListening() {
  boost::system::error_code ignored;  // closing can't be retried
  acceptor_.close(ignored);
}

}  // namespace leverwick
