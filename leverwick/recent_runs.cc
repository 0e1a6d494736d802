// The runs of an endpoint are ordered by start, not by end, so each lookup
// scans all runs of the endpoint.

#include "leverwick/recent_runs.h"

#include <algorithm>

namespace leverwick {

uint64_t RecentRuns::RecordStart(const RequestDigest& request,
                                 const std::string& endpoint,
                                 const std::string& version, TimePoint now,
                                 PartDigests parts) {
  EndpointRun run;
  run.request = request;
  run.parts = std::move(parts);
  run.endpoint = endpoint;
  run.version = version;
  run.started_at = now;
  uint64_t id = next_run_++;
  runs_by_endpoint_[endpoint].emplace(id, std::move(run));
  return id;
}

void RecentRuns::Discard(const std::string& endpoint, uint64_t run) {
  auto found = runs_by_endpoint_.find(endpoint);
  if (found == runs_by_endpoint_.end()) return;
  found->second.erase(run);
  if (found->second.empty()) runs_by_endpoint_.erase(found);
}

void RecentRuns::RecordEnd(const std::string& endpoint, uint64_t run,
                           RunOutcome outcome, TimePoint now) {
  auto found = runs_by_endpoint_.find(endpoint);
  if (found == runs_by_endpoint_.end()) return;
  Runs& runs = found->second;
  auto ended = runs.find(run);
  if (ended == runs.end()) return;
  ended->second.ended_at = now;
  ended->second.outcome = outcome;
  if (runs.size() <= kMaxRunsPerEndpoint) return;
  auto oldest = std::find_if(runs.begin(), runs.end(), [](const auto& entry) {
    return entry.second.ended_at.has_value();
  });
  runs.erase(oldest);
}

bool RecentRuns::HasRunInFlightAt(const std::string& endpoint,
                                  TimePoint time) const {
  auto found = runs_by_endpoint_.find(endpoint);
  if (found == runs_by_endpoint_.end()) return false;
  return std::any_of(
      found->second.begin(), found->second.end(), [time](const auto& entry) {
        return !entry.second.ended_at && entry.second.started_at < time;
      });
}

std::vector<EndpointRun> RecentRuns::TakeCrashSuspects(
    const std::string& endpoint, TimePoint crashed_at) {
  std::vector<EndpointRun> suspects;
  auto found = runs_by_endpoint_.find(endpoint);
  if (found == runs_by_endpoint_.end()) return suspects;
  for (auto& entry : found->second) {
    EndpointRun& run = entry.second;
    bool had_started = run.started_at <= crashed_at;
    bool is_recent =
        !run.ended_at || *run.ended_at + kCrashAttributionWindow >= crashed_at;
    if (had_started && is_recent) suspects.push_back(std::move(run));
  }
  runs_by_endpoint_.erase(found);
  return suspects;
}

std::vector<EndpointRun> RecentRuns::TakeAbandonedSuspects(
    const std::string& endpoint, TimePoint crashed_at) {
  std::vector<EndpointRun> suspects = TakeCrashSuspects(endpoint, crashed_at);
  suspects.erase(std::remove_if(suspects.begin(), suspects.end(),
                                [](const EndpointRun& run) {
                                  return !run.ended_at ||
                                         run.outcome != RunOutcome::kAbandoned;
                                }),
                 suspects.end());
  return suspects;
}

std::vector<EndpointRun> RecentRuns::TakeSurvivedRuns(
    const std::function<bool(const std::string&)>& is_alive, TimePoint now) {
  std::vector<EndpointRun> survived;
  for (auto endpoint = runs_by_endpoint_.begin();
       endpoint != runs_by_endpoint_.end();) {
    Runs& runs = endpoint->second;
    std::optional<bool> is_alive_now;  // empty: not yet queried
    for (auto entry = runs.begin(); entry != runs.end();) {
      EndpointRun& run = entry->second;
      bool has_response = run.outcome == RunOutcome::kComplete ||
                          run.outcome == RunOutcome::kFailed;
      bool is_due = run.ended_at && has_response &&
                    now - *run.ended_at >= kMinSurvivalTime;
      if (is_due && !is_alive_now) is_alive_now = is_alive(endpoint->first);
      bool has_survived = is_due && *is_alive_now;
      bool expired =
          run.ended_at && now - *run.ended_at > kCrashAttributionWindow;
      if (has_survived) survived.push_back(std::move(run));
      entry = has_survived || expired ? runs.erase(entry) : std::next(entry);
    }
    endpoint =
        runs.empty() ? runs_by_endpoint_.erase(endpoint) : std::next(endpoint);
  }
  return survived;
}

size_t RecentRuns::size() const {
  size_t count = 0;
  for (const auto& endpoint : runs_by_endpoint_)
    count += endpoint.second.size();
  return count;
}

}  // namespace leverwick
