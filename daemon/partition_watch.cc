#include "daemon/partition_watch.h"

#include <memory>
#include <optional>
#include <set>
#include <utility>

#include "net/log.h"
#include "net/timer.h"

namespace leverwick {
namespace {

const Log kLog("partition");

constexpr milliseconds kProbeTime{400};
// Time for which an accepted test connection must stay open if accepted ones
// were closed before: a round trip between distant data centres, so that a
// close has arrived by then.
constexpr milliseconds kStayTime{200};
// A connection that timed out shortly before the partition was noticed failed
// because of it.
constexpr milliseconds kNoticeTime{2000};

// Returns what the error tells of the path to an endpoint, if anything.
std::optional<PartitionDetector::Failure> FailureOf(std::error_code error) {
  using Failure = PartitionDetector::Failure;
  if (error == std::errc::connection_refused) return Failure::kRefused;
  bool is_timeout = error == std::errc::timed_out ||
                    error == std::errc::host_unreachable ||
                    error == std::errc::network_unreachable;
  if (is_timeout) return Failure::kTimedOut;
  return std::nullopt;
}

// Tells whether an accepted connection stays open for kStayTime.
class StayTest : public TcpConnection::Observer,
                 public std::enable_shared_from_this<StayTest> {
 public:
  using Callback = std::function<void(bool stayed)>;

  StayTest(boost::asio::io_context* loop, std::shared_ptr<TcpConnection> tcp,
           Callback callback)
      : timer_(*loop), tcp_(std::move(tcp)), callback_(std::move(callback)) {}

  void Start() {
    timer_.expires_after(kStayTime);
    timer_.async_wait([self = shared_from_this()](auto error) {
      if (!error) self->End(true);
    });
    tcp_->Start(this);
  }

 private:
  void OnBytes(std::string_view) override { End(true); }
  void OnClosed(std::error_code) override { End(false); }

  void End(bool stayed) {
    if (tcp_ == nullptr) return;
    auto self = shared_from_this();
    timer_.cancel();
    auto tcp = std::move(tcp_);
    tcp->Close();
    callback_(stayed);
  }

  Timer timer_;
  std::shared_ptr<TcpConnection> tcp_;
  const Callback callback_;
};

}  // namespace

PartitionWatch::PartitionWatch(boost::asio::io_context* loop,
                               EndpointPool* pool,
                               const EndpointDirectory* directory,
                               Reachability* reach,
                               HttpConnections* connections, Metrics* metrics)
    : loop_(loop),
      pool_(pool),
      directory_(directory),
      reach_(reach),
      connections_(connections),
      metrics_(metrics),
      random_(std::random_device{}()) {
  detector_.SetChangeCallback(
      [this](const std::string& service, bool is_partitioned, TimePoint since) {
        Changed(service, is_partitioned, since);
      });
}

void PartitionWatch::ConnectFailed(const std::string& service,
                                   const std::string& endpoint,
                                   std::error_code error) {
  auto failure = FailureOf(error);
  if (failure) Record(service, endpoint, *failure);
}

void PartitionWatch::ClosedUnanswered(const std::string& service,
                                      const std::string& endpoint) {
  Record(service, endpoint, PartitionDetector::Failure::kClosed);
}

void PartitionWatch::Record(const std::string& service,
                            const std::string& endpoint,
                            PartitionDetector::Failure failure) {
  TimePoint now = Clock::now();
  detector_.RecordConnectFailure(service, endpoint, failure,
                                 pool_->CountUsable(service), now);
  OpenDueProbes(now);
}

void PartitionWatch::Accepted(const std::string& service) {
  detector_.RecordAccept(service, Clock::now());
}

void PartitionWatch::Contacted(const std::string& service) {
  detector_.RecordContact(service, Clock::now());
}

bool PartitionWatch::TakeTrial(const std::string& service) {
  return detector_.TakeTrial(service, Clock::now());
}

void PartitionWatch::Changed(const std::string& service, bool is_partitioned,
                             TimePoint since) {
  metrics_->Set("leverwick_partitioned_services", "",
                static_cast<double>(detector_.partitioned_count()));
  if (is_partitioned) {
    metrics_->Add("leverwick_partitions_total", "", 1);
    return kLog.Warning(
        "No endpoint of a service is reachable; requests are forwarded.",
        {{"service", service},
         {"endpoints", std::to_string(pool_->CountUsable(service))}});
  }
  // Failures during the partition were caused by it, not by the endpoints.
  pool_->ForgetFailures(service);
  reach_->ForgetSince(since - kNoticeTime);
  auto lasted = std::chrono::duration_cast<milliseconds>(Clock::now() - since);
  kLog.Info(
      "The endpoints of a service are reachable again.",
      {{"service", service}, {"after_ms", std::to_string(lasted.count())}});
}

void PartitionWatch::Tick(TimePoint now) {
  OpenDueProbes(now);
  detector_.Expire(now);
}

void PartitionWatch::OpenDueProbes(TimePoint now) {
  for (PartitionProbe& probe : detector_.TakeDueProbes(now)) {
    Open(std::move(probe), now);
  }
}

void PartitionWatch::Open(PartitionProbe probe, TimePoint now) {
  auto allow_all = [](const ListedEndpoint&) { return true; };
  auto no_cost = [](const ListedEndpoint&, bool) { return 0.0; };
  auto choose = [&](const std::set<std::string>& excluded) {
    return pool_
        ->PickCheapest(probe.service, random_(), excluded, now, allow_all,
                       no_cost)
        .address;
  };
  std::set<std::string> opened;
  for (size_t i = 0; i < probe.count; ++i) {
    std::string chosen = choose(probe.excluded);
    if (chosen.empty()) chosen = choose(opened);
    const DirectoryEntry* endpoint = directory_->Find(chosen);
    if (endpoint == nullptr) break;
    opened.insert(chosen);
    probe.excluded.insert(chosen);
    OpenTo(probe.service, *endpoint);
  }
  if (opened.empty()) detector_.Discard(probe.service);
}

void PartitionWatch::OpenTo(const std::string& service,
                            const DirectoryEntry& endpoint) {
  metrics_->Add("leverwick_partition_probes_total", "", 1);
  detector_.RecordProbeBegin(service, endpoint.id);
  auto tested = [this, service, id = endpoint.id](bool stayed) {
    detector_.RecordProbeEnd(service, id);
    if (stayed) return Contacted(service);
    ClosedUnanswered(service, id);
  };
  auto opened = [this, service, id = endpoint.id, tested](
                    std::error_code error,
                    const std::shared_ptr<TcpConnection>& tcp) {
    if (error) {
      detector_.RecordProbeEnd(service, id);
      return ConnectFailed(service, id, error);
    }
    if (detector_.RecordAccept(service, Clock::now())) {
      detector_.RecordProbeEnd(service, id);
      return tcp->Close();
    }
    std::make_shared<StayTest>(loop_, tcp, tested)->Start();
  };
  connections_->Connect(endpoint.address, kProbeTime, opened);
}

}  // namespace leverwick
