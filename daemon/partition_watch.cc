#include "daemon/partition_watch.h"

#include <optional>
#include <set>
#include <utility>

#include "net/log.h"

namespace leverwick {
namespace {

const Log kLog("partition");

constexpr milliseconds kProbeTime{400};
// A connection that timed out shortly before the partition was noticed failed
// because of it.
constexpr milliseconds kNoticeTime{2000};

// What the error tells of the path to an endpoint; nothing: it tells nothing.
std::optional<PartitionDetector::Failure> FailureOf(std::error_code error) {
  using Failure = PartitionDetector::Failure;
  if (error == std::errc::connection_refused) return Failure::kRefused;
  bool is_timeout = error == std::errc::timed_out ||
                    error == std::errc::host_unreachable ||
                    error == std::errc::network_unreachable;
  if (is_timeout) return Failure::kTimedOut;
  return std::nullopt;
}

}  // namespace

PartitionWatch::PartitionWatch(EndpointPool* pool,
                               const EndpointDirectory* directory,
                               Reachability* reach,
                               HttpConnections* connections, Metrics* metrics)
    : pool_(pool),
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
  if (!failure) return;
  TimePoint now = Clock::now();
  detector_.RecordConnectFailure(service, endpoint, *failure,
                                 pool_->CountUsable(service), now);
  OpenDueProbes(now);
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
  // What failed during the partition says nothing of the endpoints.
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
  auto opened = [this, service, id = endpoint.id](std::error_code error,
                                                  const auto& tcp) {
    if (tcp != nullptr) tcp->Close();
    if (error) return ConnectFailed(service, id, error);
    Contacted(service);
  };
  connections_->Connect(endpoint.address, kProbeTime, opened);
}

}  // namespace leverwick
