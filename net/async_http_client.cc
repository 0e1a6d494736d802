// The most recently used connection is taken first, so that surplus ones age
// and are closed. A connection is reused only well within the time the server
// keeps it: a request that crosses the server's close can't be told from one
// that ran.

#include "net/async_http_client.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <cstdlib>
#include <functional>
#include <vector>

#include "leverwick/result.h"

namespace leverwick {
namespace {

// A server's own time for idle connections is used up to this share.
constexpr double kIdleShare = 0.6;

// Requests of one connection whose late answers are told from others.
constexpr size_t kRememberedIds = 64;

// Of answers that belong to no call, one behind another, while one is awaited:
// more than any whole answer that a server may send twice.
constexpr size_t kMaxDroppedBytes = 16UL << 20;
constexpr int kMaxDroppedAnswers = 64;

// The "timeout" of a Keep-Alive field; zero when it names none.
milliseconds KeepAliveTime(const HttpHead& head) {
  const std::string& field = head.Field("keep-alive");
  constexpr std::string_view kName = "timeout=";
  size_t at = field.find(kName);
  if (at == std::string::npos) return milliseconds(0);
  return std::chrono::seconds(std::atol(field.c_str() + at + kName.size()));
}

// Whether the other side, or something on the way to it, closed a connection.
bool IsClose(std::error_code error) {
  return error == Result::kShortAnswer ||
         error == std::errc::connection_reset ||
         error == std::errc::broken_pipe;
}

}  // namespace

class ClientConnection : public std::enable_shared_from_this<ClientConnection>,
                         private TcpConnection::Observer,
                         private HttpReader::Observer {
 public:
  ClientConnection(HttpConnections* owner, std::string address,
                   std::shared_ptr<TcpConnection> tcp)
      : owner_(owner),
        address_(std::move(address)),
        tcp_(std::move(tcp)),
        reader_(HttpReader::kResponses, owner->options_.answer_limits, this),
        open_(owner->open_) {
    ++*open_;
  }
  ~ClientConnection() override { --*open_; }
  ClientConnection(const ClientConnection&) = delete;
  ClientConnection& operator=(const ClientConnection&) = delete;

  const std::string& address() const { return address_; }
  void Start() { tcp_->Start(this); }

  void Begin(const std::shared_ptr<ClientCall>& call) {
    call_ = call;
    call_->connection_ = shared_from_this();
    reader_.Reset();
    reusable_ = true;
    dropped_bytes_ = 0;
    dropped_answers_ = 0;
    ++calls_;
    tcp_->ForgetSent();
    tcp_->ResumeReading();
    ClientRequest request = std::move(call_->request_);
    RecordId(request.id);
    tcp_->Write(std::move(request.head));
    if (request.body) tcp_->Write(std::move(request.body));
  }

  void Close() {
    Detach();
    tcp_->Close();
  }

  void CloseWithReset() {
    Detach();
    tcp_->CloseWithReset();
  }

  void PauseReading() { tcp_->PauseReading(); }
  void ResumeReading() { tcp_->ResumeReading(); }
  bool any_sent() const { return tcp_->any_sent(); }
  bool is_open() const { return tcp_->is_open(); }
  bool is_kept() const { return calls_ > 1; }
  TimePoint usable_until() const { return usable_until_; }
  // Whether a request of this id was among the latest on it.
  bool HasCarried(const std::string& id) const {
    size_t hash = std::hash<std::string>()(id);
    return std::find(id_hashes_.begin(), id_hashes_.end(), hash) !=
           id_hashes_.end();
  }

 private:
  void OnBytes(std::string_view bytes) override {
    auto self = shared_from_this();
    if (call_ == nullptr) return EndIdle();
    while (!bytes.empty() && call_ != nullptr) {
      size_t used = 0;
      if (!reader_.Feed(bytes, &used)) return Fail({}, true);
      used = std::min(used, bytes.size());
      if (dropping_) dropped_bytes_ += used;
      if (dropped_bytes_ > kMaxDroppedBytes) return Fail({}, true);
      bytes.remove_prefix(used);
      if (!reader_.done()) return;
      if (dropping_) {
        if (++dropped_answers_ > kMaxDroppedAnswers) return Fail({}, true);
        reader_.Reset();
        continue;
      }
      // Whatever follows a whole answer belongs to no request.
      if (!bytes.empty()) reusable_ = false;
      return Complete();
    }
  }

  void RecordId(const std::string& id) {
    if (id.empty()) return;
    bool is_full = id_hashes_.size() >= kRememberedIds;
    if (is_full) id_hashes_.erase(id_hashes_.begin());
    id_hashes_.push_back(std::hash<std::string>()(id));
  }

  void OnHead(HttpHead head) override {
    if (call_ == nullptr) return;
    dropping_ = !call_->observer_->OnAnswerHead(head);
    if (dropping_ || call_ == nullptr) return;
    reusable_ = head.keep_alive && head.has_length;
    SetUsableTime(head);
  }

  void SetUsableTime(const HttpHead& head) {
    milliseconds time = owner_->options_.idle_time;
    milliseconds named = KeepAliveTime(head);
    if (named.count() > 0) {
      auto share = static_cast<double>(named.count()) * kIdleShare;
      time = std::min(time, milliseconds(static_cast<int64_t>(share)));
    }
    usable_time_ = time;
  }

  void OnBody(std::string_view bytes) override {
    if (call_ != nullptr && !dropping_) call_->observer_->OnAnswerBody(bytes);
  }
  void OnEnd() override {}

  void Complete() {
    auto call = call_;
    // An answer before the whole request was written: the server may still
    // read the rest, so nothing else may follow on this connection.
    bool keep = reusable_ && tcp_->is_open() && tcp_->pending_bytes() == 0;
    Detach();
    usable_until_ = Clock::now() + usable_time_;
    // The receiver that made the reading pause has all it gets; a connection
    // at rest must see the server close it.
    tcp_->ResumeReading();
    if (keep) {
      owner_->Keep(shared_from_this());
    } else {
      tcp_->CloseWhenDrained();
    }
    call->observer_->OnAnswerEnd();
  }

  void OnClosed(std::error_code why) override {
    auto self = shared_from_this();
    if (call_ == nullptr) return owner_->RestClosed(this);
    if (!why && reader_.any_read() && !dropping_ && reader_.Closed()) {
      reusable_ = false;
      return Complete();
    }
    Fail(why, false);
  }

  void Fail(std::error_code why, bool garbled) {
    auto call = call_;
    ClientCall::Failure failure;
    std::error_code ended =
        garbled ? Result::kBadResponse : Result::kShortAnswer;
    failure.error = why ? why : ended;
    failure.sent = tcp_->any_sent();
    failure.garbled = garbled;
    failure.closed_unanswered =
        !is_kept() && !reader_.any_read() && IsClose(failure.error);
    failure.on_kept_connection = is_kept();
    Close();
    if (call != nullptr) call->observer_->OnCallFailed(failure);
  }

  void EndIdle() {
    tcp_->Close();
    owner_->DropIdle(this);
  }

  void Detach() {
    if (call_ != nullptr) call_->connection_ = nullptr;
    call_ = nullptr;
    dropping_ = false;
  }

  HttpConnections* const owner_;
  const std::string address_;
  std::shared_ptr<TcpConnection> tcp_;
  HttpReader reader_;
  std::shared_ptr<ClientCall> call_;
  size_t calls_ = 0;
  // Of the latest requests that have ids, the oldest first. Two ids with one
  // hash only cost a new connection.
  std::vector<size_t> id_hashes_;
  bool reusable_ = true;
  bool dropping_ = false;     // reading an answer that is not this request's
  size_t dropped_bytes_ = 0;  // during this call
  int dropped_answers_ = 0;
  milliseconds usable_time_{0};
  TimePoint usable_until_{};
  const std::shared_ptr<size_t> open_;  // connections of the owner
};

void ClientCall::Abort() {
  aborted_ = true;
  auto connection = connection_;
  if (connection != nullptr) connection->Close();
}

void ClientCall::AbortWithReset() {
  aborted_ = true;
  auto connection = connection_;
  if (connection != nullptr) connection->CloseWithReset();
}

void ClientCall::PauseReading() {
  if (connection_ != nullptr) connection_->PauseReading();
}

void ClientCall::ResumeReading() {
  if (connection_ != nullptr) connection_->ResumeReading();
}

bool ClientCall::sent() const {
  return connection_ != nullptr && connection_->any_sent();
}

bool ClientCall::on_kept_connection() const {
  return connection_ != nullptr && connection_->is_kept();
}

std::shared_ptr<ClientCall> HttpConnections::Send(
    const std::string& address, ClientRequest request,
    ClientCall::Observer* observer) {
  auto call = std::make_shared<ClientCall>();
  call->request_ = std::move(request);
  call->observer_ = observer;
  auto connection = TakeIdle(address, call->request_.id);
  if (connection == nullptr) {
    SendOnNewConnection(address, call);
  } else {
    connection->Begin(call);
  }
  return call;
}

void HttpConnections::Connect(const std::string& address, milliseconds limit,
                              const ConnectCallback& callback) {
  boost::asio::ip::tcp::endpoint endpoint;
  if (!ParseAddress(address, &endpoint)) {
    boost::asio::post(*loop_,
                      [callback] { callback(Result::kUnreachable, nullptr); });
    return;
  }
  options_.connect(loop_, endpoint, limit, callback);
}

void HttpConnections::SendOnNewConnection(
    const std::string& address, const std::shared_ptr<ClientCall>& call) {
  ++opened_;
  Connect(address, options_.connect_timeout,
          [this, call, address](std::error_code error, auto tcp) {
            if (call->aborted_) {
              if (tcp != nullptr) tcp->Close();
              return;
            }
            if (error) {
              ClientCall::Failure failure;
              failure.error = error;
              return call->observer_->OnCallFailed(failure);
            }
            auto connection =
                std::make_shared<ClientConnection>(this, address, tcp);
            call->observer_->OnConnected();
            if (call->aborted_) return tcp->Close();
            connection->Start();
            connection->Begin(call);
          });
}

std::shared_ptr<ClientConnection> HttpConnections::TakeIdle(
    const std::string& address, const std::string& id) {
  auto found = idle_.find(address);
  if (found == idle_.end()) return nullptr;
  auto& kept = found->second;
  TimePoint now = Clock::now();
  for (size_t left = kept.size(); left > 0; --left) {
    auto connection = kept[left - 1];
    bool is_usable = connection->is_open() && connection->usable_until() > now;
    bool has_carried_it = !id.empty() && connection->HasCarried(id);
    if (is_usable && has_carried_it) continue;
    kept.erase(kept.begin() + static_cast<ptrdiff_t>(left - 1));
    if (is_usable) return connection;
    connection->Close();
  }
  return nullptr;
}

void HttpConnections::CloseIdle(const std::string& address) {
  auto found = idle_.find(address);
  if (found == idle_.end()) return;
  auto kept = std::move(found->second);
  idle_.erase(found);
  for (const auto& connection : kept) connection->Close();
}

void HttpConnections::Keep(
    const std::shared_ptr<ClientConnection>& connection) {
  if (open() > options_.max_open) return connection->Close();
  auto& kept = idle_[connection->address()];
  TimePoint now = Clock::now();
  while (!kept.empty() && (kept.front()->usable_until() <= now ||
                           kept.size() >= options_.max_idle_each)) {
    kept.front()->Close();
    kept.pop_front();
  }
  kept.push_back(connection);
}

void HttpConnections::RestClosed(ClientConnection* connection) {
  std::string address = connection->address();
  DropIdle(connection);
  rest_closed_(address);
}

void HttpConnections::DropIdle(ClientConnection* connection) {
  auto found = idle_.find(connection->address());
  if (found == idle_.end()) return;
  auto& kept = found->second;
  kept.erase(std::remove_if(
                 kept.begin(), kept.end(),
                 [connection](const auto& c) { return c.get() == connection; }),
             kept.end());
}

bool HttpConnections::HasIdle(const std::string& address) const {
  auto found = idle_.find(address);
  if (found == idle_.end()) return false;
  return std::any_of(found->second.begin(), found->second.end(),
                     [](const auto& kept) { return kept->is_open(); });
}

size_t HttpConnections::idle() const {
  size_t count = 0;
  for (const auto& entry : idle_) count += entry.second.size();
  return count;
}

}  // namespace leverwick
