#include "net/async_http_server.h"

#include <algorithm>
#include <utility>

#include "net/log.h"
#include "net/server_connection.h"

namespace leverwick {
namespace {

using boost::asio::ip::tcp;

const Log kLog("http-server");

// How long accepting rests when descriptors have run out.
constexpr milliseconds kAcceptPause{50};
constexpr int kBacklog = 1024;
// Connections that have rested for this time make room for new ones.
constexpr milliseconds kLeastRest{1000};
// So do those that have sent no whole request in this time.
constexpr milliseconds kLeastSilence{250};
// The part of the connections that are closed at a time, since all are looked
// at for it.
constexpr size_t kRoomPart = 32;
constexpr milliseconds kLogPause{1000};

// The order in which connections are closed for new ones.
enum class CloseRank { kNeverUsed, kAtRest, kReading, kBusy };

CloseRank CloseRankOf(const ServerConnection& connection, TimePoint now) {
  auto waited = now - connection.waits_since();
  bool is_silent = connection.IsAtRest() || connection.IsReading();
  if (!is_silent) return CloseRank::kBusy;
  if (!connection.was_used())
    return waited >= kLeastSilence ? CloseRank::kNeverUsed : CloseRank::kBusy;
  if (waited < kLeastRest) return CloseRank::kBusy;
  return connection.IsAtRest() ? CloseRank::kAtRest : CloseRank::kReading;
}

}  // namespace

AsyncHttpServer::AsyncHttpServer(boost::asio::io_context* loop, Handler handler)
    : loop_(loop),
      handler_(std::move(handler)),
      acceptor_(*loop),
      accept_pause_(*loop),
      memory_(std::make_shared<RequestMemory>(capacity_.request_bytes)),
      pending_bytes_(std::make_shared<size_t>(0)) {}

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

void AsyncHttpServer::SetCapacity(const HttpServerCapacity& capacity) {
  capacity_ = capacity;
  memory_->SetMaxBytes(capacity.request_bytes);
}

void AsyncHttpServer::Accept() {
  acceptor_.async_accept([this](auto error, tcp::socket socket) {
    if (error == boost::asio::error::operation_aborted) return;
    if (!error) {
      Take(std::move(socket));
      return Accept();
    }
    bool is_full = error == boost::asio::error::no_descriptors;
    if (is_full && (EndClosing() || MakeRoom())) return Accept();
    accept_pause_.expires_after(kAcceptPause);
    accept_pause_.async_wait([this](auto cancelled) {
      if (!cancelled) Accept();
    });
  });
}

void AsyncHttpServer::Take(tcp::socket socket) {
  bool has_room = !IsFull() || EndClosing() || MakeRoom();
  if (!has_room) {
    ++counts_.refused_connections;
    return TellFull();  // the socket closes
  }
  SetTcpOptions(&socket, limits_.unacknowledged_time);
  auto connection = std::make_shared<ServerConnection>(this, std::move(socket));
  connections_.insert(connection);
  connection->Start();
}

bool AsyncHttpServer::IsFull() {
  auto is_over = [](const auto& closing) {
    auto tcp = closing.lock();
    return tcp == nullptr || !tcp->is_open();
  };
  while (!closing_.empty() && is_over(closing_.front())) closing_.pop_front();
  return connections_.size() + closing_.size() >= capacity_.connections;
}

bool AsyncHttpServer::EndClosing() {
  while (!closing_.empty()) {
    auto tcp = closing_.front().lock();
    closing_.pop_front();
    if (tcp == nullptr || !tcp->is_open()) continue;
    tcp->Close();
    return true;
  }
  return false;
}

bool AsyncHttpServer::MakeRoom() {
  using Candidate = std::pair<CloseRank, std::shared_ptr<ServerConnection>>;
  TimePoint now = Clock::now();
  std::vector<Candidate> candidates;
  for (const auto& connection : connections_) {
    CloseRank rank = CloseRankOf(*connection, now);
    if (rank != CloseRank::kBusy) candidates.emplace_back(rank, connection);
  }
  size_t closing =
      std::min(candidates.size(), connections_.size() / kRoomPart + 1);
  std::partial_sort(
      candidates.begin(), candidates.begin() + static_cast<ptrdiff_t>(closing),
      candidates.end(), [](const auto& a, const auto& b) {
        return a.first != b.first
                   ? a.first < b.first
                   : a.second->waits_since() < b.second->waits_since();
      });
  for (size_t i = 0; i < closing; ++i) candidates[i].second->CloseForRoom();
  counts_.closed_connections += closing;
  return closing > 0;
}

bool AsyncHttpServer::Reserve(RequestMemory::Ticket ticket, size_t bytes) {
  TimePoint now = Clock::now();
  std::vector<RequestMemory::Ticket> evicted;
  if (!memory_->Reserve(ticket, bytes, now, &evicted)) return false;
  memory_->RecordProgress(ticket, now);
  for (RequestMemory::Ticket other : evicted) {
    auto found = reading_.find(other);
    if (found != reading_.end()) found->second->Evict();
  }
  return true;
}

void AsyncHttpServer::BoundPending() {
  if (*pending_bytes_ <= capacity_.answer_bytes) return;
  while (*pending_bytes_ > capacity_.answer_bytes && delivering_.size() > 1) {
    delivering_.front()->GiveUpDelivery("others wait too");
  }
  GiveUpStream();
}

void AsyncHttpServer::GiveUpStream() {
  size_t bytes = 0;
  ServerConnection* largest = nullptr;
  for (const auto& connection : connections_) {
    if (connection->is_given_up()) continue;
    size_t pending = connection->pending_bytes();
    bytes += pending;
    bool is_larger = largest == nullptr || pending > largest->pending_bytes();
    if (connection->is_streaming() && is_larger) largest = connection.get();
  }
  if (bytes <= capacity_.answer_bytes || largest == nullptr) return;
  largest->GiveUpStreamLater();
}

void AsyncHttpServer::RecordClosing(
    const std::shared_ptr<ServerConnection>& connection,
    const std::shared_ptr<TcpConnection>& tcp) {
  closing_.push_back(tcp);
  connections_.erase(connection);
}

void AsyncHttpServer::TellNoMemory() {
  ++counts_.refused_requests;
  if (!MayLog()) return;
  kLog.Warning("Requests are refused: their memory is used up.",
               {{"refused", std::to_string(counts_.refused_requests)},
                {"held_bytes", std::to_string(memory_->bytes())}});
}

void AsyncHttpServer::TellSlowCaller(const char* why, size_t bytes) {
  ++counts_.broken_answers;
  if (!MayLog()) return;
  kLog.Warning("An answer is broken off: its caller is too slow.",
               {{"why", why}, {"undelivered_bytes", std::to_string(bytes)}});
}

void AsyncHttpServer::TellFull() {
  if (!MayLog()) return;
  kLog.Warning("New connections are refused: all are in use.",
               {{"refused", std::to_string(counts_.refused_connections)},
                {"connections", std::to_string(connections_.size())}});
}

bool AsyncHttpServer::MayLog() {
  TimePoint now = Clock::now();
  if (now - logged_at_ < kLogPause) return false;
  logged_at_ = now;
  return true;
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
