// The platform asks for readiness once a second and takes a box out after two
// misses, so new connections come for some time after a stop has begun; they
// are served like the others.

#include "daemon/relay_server.h"

#include <algorithm>

#include "net/log.h"

namespace leverwick {
namespace {

const Log kLog("server");

// Two missed questions, a second apart, and the way of a last connection.
constexpr milliseconds kNewConnectionsEnd{2600};
// What is left of the stop's bound for ending the process itself.
constexpr milliseconds kEndMargin{350};
// For the answers to requests that are ended at the bound to leave.
constexpr milliseconds kLastAnswers{150};
// Requests are taken for this part of a short bound.
constexpr int kIntakeShare = 2;
// How often a stopping box looks whether it is quiet.
constexpr milliseconds kQuietInterval{50};

// The addresses for readiness and metrics take short requests only, of the
// platform and a few readers.
HttpServerLimits ShortLimits() {
  HttpServerLimits limits;
  limits.head_bytes = 16UL * 1024;
  limits.body_bytes = 4UL * 1024;
  return limits;
}

HttpServerCapacity ShortCapacity() {
  HttpServerCapacity capacity;
  capacity.request_bytes = 1UL << 20;
  capacity.answer_bytes = 4UL << 20;
  capacity.connections = 32;
  return capacity;
}

}  // namespace

RelayServer::RelayServer(boost::asio::io_context* loop, Relay* relay,
                         const RelayServerOptions& options, ReadyTest ready)
    : relay_(relay),
      options_(options),
      ready_test_(std::move(ready)),
      callers_(loop,
               [relay](const auto& exchange) { relay->Handle(exchange); }),
      ready_(loop,
             [this](const auto& exchange) { AnswerReady(exchange.get()); }),
      metrics_(loop,
               [this](const auto& exchange) { AnswerMetrics(exchange.get()); }),
      stop_timer_(*loop) {
  SetLimits({});
  callers_.SetCapacity(options_.capacity);
  for (AsyncHttpServer* server : {&ready_, &metrics_}) {
    server->SetLimits(ShortLimits());
    server->SetCapacity(ShortCapacity());
  }
}

std::error_code RelayServer::ListenAt(AsyncHttpServer* server,
                                      const std::string& address) {
  if (address.empty()) return {};
  boost::asio::ip::tcp::endpoint endpoint;
  std::error_code error = Result::kInvalidSettings;
  if (ParseAddress(address, &endpoint)) error = server->Listen(endpoint);
  if (error) {
    kLog.Error("Can't listen.",
               {{"address", address}, {"why", error.message()}});
  }
  return error;
}

std::error_code RelayServer::Start() {
  if (auto error = ListenAt(&ready_, options_.ready)) return error;
  if (auto error = ListenAt(&metrics_, options_.metrics)) return error;
  return ListenAt(&callers_, options_.callers);
}

void RelayServer::SetLimits(const CallerLimits& limits) {
  HttpServerLimits server;
  server.head_bytes = limits.max_header_bytes;
  server.body_bytes = limits.max_body_bytes;
  server.head_time = limits.header_timeout;
  server.idle_time = limits.idle_timeout;
  server.unacknowledged_time = limits.idle_timeout;
  callers_.SetLimits(server);
}

void RelayServer::AnswerReady(ServerExchange* exchange) {
  HttpHead head;
  head.status = !stopping_ && ready_test_() ? 200 : 503;
  exchange->Answer(std::move(head), "");
}

void RelayServer::AnswerMetrics(ServerExchange* exchange) {
  HttpHead head;
  head.status = 200;
  head.Set("Content-Type", "text/plain; version=0.0.4");
  exchange->Answer(std::move(head), relay_->MetricsText());
}

void RelayServer::Stop(std::function<void(int)> done) {
  if (stopping_) return;
  kLog.Info("Planned stop begins.",
            {{"open_requests", std::to_string(callers_.open_requests())},
             {"connections", std::to_string(callers_.connections())}});
  stopping_ = true;
  stopped_ = std::move(done);
  stop_began_ = Clock::now();
  relay_->forwarder()->StopIntake();
  callers_.Drain();
  CheckQuiet();
}

void RelayServer::CheckQuiet() {
  auto took = Clock::now() - stop_began_;
  milliseconds intake =
      std::min(options_.intake, options_.stop_bound / kIntakeShare);
  if (took > intake) relay_->StopIntake();
  auto left = options_.stop_bound - kEndMargin - took;
  if (left <= milliseconds(0)) EndRequests();
  bool is_quiet = took > kNewConnectionsEnd && OpenRequests() == 0 &&
                  callers_.connections() == 0;
  bool is_answered = left <= milliseconds(0) && OpenRequests() == 0 &&
                     callers_.undelivered() == 0;
  if (is_quiet || is_answered || left <= -kLastAnswers) return EndStop();
  stop_timer_.expires_after(kQuietInterval);
  stop_timer_.async_wait([this](auto error) {
    if (!error) CheckQuiet();
  });
}

size_t RelayServer::OpenRequests() const {
  return std::max(callers_.open_requests(), relay_->open_requests());
}

void RelayServer::EndRequests() {
  cut_ = std::max(cut_, OpenRequests());
  relay_->EndRequests();
}

void RelayServer::EndStop() {
  auto cut = static_cast<int>(cut_ + callers_.undelivered());
  kLog.Info("Planned stop ends.", {{"cut_requests", std::to_string(cut)}});
  stopped_(cut);
}

}  // namespace leverwick
