// The first break of an endpoint's connections starts one look; the others
// find it under way.

#include "daemon/endpoint_ends.h"

#include "net/log.h"
#include "net/timer.h"

namespace leverwick {
namespace {

const Log kLog("endpoints");

// Time for all connections of an ended endpoint to break: in a recorded
// incident up to 48 of them did within 7 ms, on seven boxes. The rest is for
// endpoints in another region, 8 ms away.
constexpr milliseconds kAllBreakWithin{25};
// A busy box of an eighth of a core gets to some of forty breaks only later.
constexpr int kLooks = 4;
// For the answer to one opening packet, lost once, in another region.
constexpr milliseconds kProbeTime{400};
// Endpoints that are asked for a connection before an end counts. More than one
// may end at the same time.
constexpr size_t kNeighbours = 3;
// Endpoints of which the last accepted connection is kept.
constexpr size_t kMostAccepted = 1000;
// Requests that one line names.
constexpr size_t kMostNamed = 8;

std::string NamesOf(const std::vector<EndpointRun>& runs) {
  std::string names;
  for (size_t i = 0; i < runs.size() && i < kMostNamed; ++i) {
    if (i > 0) names += ",";
    names += runs[i].request.ShortHex();
  }
  return names.empty() ? "none" : names;
}

// Names the parts that most of the runs have in common, with their numbers.
std::string PartsOf(const std::vector<EndpointRun>& runs) {
  std::map<PartDigest, size_t> counts;
  for (const EndpointRun& run : runs) {
    if (run.parts == nullptr) continue;
    for (PartDigest part : *run.parts) ++counts[part];
  }
  std::multimap<size_t, PartDigest, std::greater<>> by_count;
  for (const auto& [part, count] : counts) by_count.emplace(count, part);
  std::string names;
  size_t named = 0;
  for (const auto& [count, part] : by_count) {
    if (named++ == kMostNamed) break;
    if (!names.empty()) names += ",";
    names += ShortHex(part) + ":" + std::to_string(count);
  }
  return names.empty() ? "none" : names;
}

size_t CountOf(const std::vector<EndpointRun>& runs, RunOutcome how) {
  size_t count = 0;
  for (const EndpointRun& run : runs) {
    if (run.ended_at && run.outcome == how) ++count;
  }
  return count;
}

}  // namespace

EndpointEnds::EndpointEnds(boost::asio::io_context* loop,
                           const EndpointDirectory* directory,
                           const ServiceRollouts* rollouts,
                           HttpConnections* connections)
    : loop_(loop),
      directory_(directory),
      rollouts_(rollouts),
      connections_(connections),
      random_(std::random_device{}()) {
  connections_->OnRestClosed(
      [this](const std::string& address) { RestClosed(address); });
}

void EndpointEnds::RestClosed(const std::string& address) {
  const DirectoryEntry* entry = directory_->FindAt(address);
  if (entry == nullptr || !runs_.HasRuns(entry->id)) return;
  Broke(entry->id, Clock::now());
}

bool EndpointEnds::IsUnplanned(const std::string& endpoint) const {
  const DirectoryEntry* entry = directory_->Find(endpoint);
  return entry != nullptr && !entry->leaving &&
         !rollouts_->IsRetired(entry->service, entry->version);
}

bool EndpointEnds::IsAlive(const std::string& endpoint, TimePoint at) const {
  const DirectoryEntry* entry = directory_->Find(endpoint);
  return entry != nullptr && (runs_.HasRunInFlightAt(endpoint, at) ||
                              connections_->HasIdle(entry->address));
}

std::vector<EndpointRun> EndpointEnds::TakeSurvived(TimePoint now) {
  auto is_alive = [this, now](const std::string& endpoint) {
    // A call that was sent just now may find nobody there.
    TimePoint since = now - RecentRuns::kMinSurvivalTime;
    auto accepted = accepted_.find(endpoint);
    bool has_accepted = accepted != accepted_.end() && accepted->second > since;
    return suspected_.count(endpoint) == 0 &&
           (has_accepted || IsAlive(endpoint, since));
  };
  return runs_.TakeSurvivedRuns(is_alive, now);
}

void EndpointEnds::Broke(const std::string& endpoint, TimePoint now) {
  if (!IsUnplanned(endpoint)) return;
  if (!suspected_.emplace(endpoint, now).second) return;
  LookSoon(endpoint, now, kLooks);
}

void EndpointEnds::EndedWithConnection(const std::string& endpoint,
                                       TimePoint now) {
  if (!IsUnplanned(endpoint) || !checked_.insert(endpoint).second) return;
  auto timer = std::make_shared<Timer>(*loop_, RecentRuns::kMinSurvivalTime);
  timer->async_wait([this, timer, endpoint, now](auto error) {
    if (!error) CheckAlive(endpoint, now);
  });
}

void EndpointEnds::CheckAlive(const std::string& endpoint, TimePoint ended_at) {
  checked_.erase(endpoint);
  bool is_known = !IsUnplanned(endpoint) || suspected_.count(endpoint) > 0 ||
                  IsAlive(endpoint, ended_at);
  if (is_known) return;
  auto probed = [this, endpoint, ended_at](std::error_code error, auto tcp) {
    if (!error) {
      tcp->Close();
      if (accepted_.size() > kMostAccepted) accepted_.clear();
      accepted_[endpoint] = Clock::now();
      return;
    }
    if (error != std::errc::connection_refused) return;
    TellIfPathIsOpen(endpoint, ended_at,
                     runs_.TakeCrashSuspects(endpoint, ended_at));
  };
  connections_->Connect(directory_->Find(endpoint)->address, kProbeTime,
                        probed);
}

void EndpointEnds::LookSoon(const std::string& endpoint, TimePoint broke_at,
                            int looks) {
  auto timer = std::make_shared<Timer>(*loop_, kAllBreakWithin);
  timer->async_wait([this, timer, endpoint, broke_at, looks](auto error) {
    if (!error) Look(endpoint, broke_at, looks - 1);
  });
}

void EndpointEnds::Look(const std::string& endpoint, TimePoint broke_at,
                        int looks) {
  bool unplanned = IsUnplanned(endpoint);
  if (unplanned && !IsAlive(endpoint, broke_at)) {
    return Probe(endpoint, broke_at);
  }
  if (unplanned && looks > 0) return LookSoon(endpoint, broke_at, looks);
  suspected_.erase(endpoint);
}

void EndpointEnds::Probe(const std::string& endpoint, TimePoint broke_at) {
  auto probed = [this, endpoint, broke_at](std::error_code error, auto tcp) {
    suspected_.erase(endpoint);
    if (tcp != nullptr) tcp->Close();
    // No answer at all is what a cut or a lost packet looks like.
    if (error != std::errc::connection_refused) return;
    TellIfPathIsOpen(endpoint, broke_at,
                     runs_.TakeCrashSuspects(endpoint, broke_at));
  };
  connections_->Connect(directory_->Find(endpoint)->address, kProbeTime,
                        probed);
}

void EndpointEnds::Refused(const std::string& endpoint, TimePoint now) {
  if (!IsUnplanned(endpoint) || suspected_.count(endpoint) > 0) return;
  if (IsAlive(endpoint, now)) return;
  std::vector<EndpointRun> under = runs_.TakeAbandonedSuspects(endpoint, now);
  if (!under.empty()) TellIfPathIsOpen(endpoint, now, std::move(under));
}

void EndpointEnds::CheckPath(const std::string& endpoint,
                             std::function<void(bool is_open)> callback) {
  double draw = std::uniform_real_distribution<>(0, 1)(random_);
  auto neighbours = directory_->NeighboursOf(endpoint, kNeighbours, draw);
  if (neighbours.empty()) return callback(true);
  struct Check {
    size_t pending;
    std::function<void(bool)> callback;
  };
  auto check =
      std::make_shared<Check>(Check{neighbours.size(), std::move(callback)});
  auto connected = [check](std::error_code error, const auto& tcp) {
    if (tcp != nullptr) tcp->Close();
    bool is_last = --check->pending == 0;
    if (!check->callback || (error && !is_last)) return;
    auto done = std::move(check->callback);
    check->callback = nullptr;
    done(!error);
  };
  for (const DirectoryEntry* neighbour : neighbours) {
    connections_->Connect(neighbour->address, kProbeTime, connected);
  }
}

void EndpointEnds::TellIfPathIsOpen(const std::string& endpoint, TimePoint at,
                                    std::vector<EndpointRun> under) {
  CheckPath(endpoint,
            [this, endpoint, at, under = std::move(under)](bool is_open) {
              if (is_open) return Tell(endpoint, at, under);
              kLog.Info("An end is not reported: no neighbour is reachable.",
                        {{"endpoint", endpoint}});
            });
}

void EndpointEnds::Told(const std::string& endpoint, TimePoint ended_at) {
  if (!IsUnplanned(endpoint) || suspected_.count(endpoint) > 0) return;
  if (IsAlive(endpoint, ended_at)) return;
  std::vector<EndpointRun> under = runs_.TakeCrashSuspects(endpoint, ended_at);
  if (!under.empty()) Tell(endpoint, ended_at, std::move(under));
}

void EndpointEnds::Tell(const std::string& endpoint, TimePoint at,
                        std::vector<EndpointRun> under) {
  kLog.Warning(
      "An endpoint has ended by itself.",
      {{"endpoint", endpoint},
       {"under_way", std::to_string(CountOf(under, RunOutcome::kDisconnected))},
       {"given_up", std::to_string(CountOf(under, RunOutcome::kAbandoned))},
       {"whole", std::to_string(CountOf(under, RunOutcome::kComplete) +
                                CountOf(under, RunOutcome::kFailed))},
       {"digests", NamesOf(under)},
       {"parts", PartsOf(under)}});
  on_ended_({endpoint, at, std::move(under)});
}

}  // namespace leverwick
