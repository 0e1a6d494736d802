// Runs of one endpoint lie in the order in which they began. Those that ended
// last are not always last in it, so every look goes over all of an endpoint's.

#include "leverwick/recent_runs.h"

#include <algorithm>

namespace leverwick {

uint64_t RecentRuns::Began(const RequestDigest& request,
                           const std::string& endpoint,
                           const std::string& version, TimePoint now) {
  EndpointRun run;
  run.request = request;
  run.endpoint = endpoint;
  run.version = version;
  run.begin = now;
  uint64_t number = next_++;
  runs_[endpoint].emplace(number, std::move(run));
  return number;
}

void RecentRuns::Forget(const std::string& endpoint, uint64_t run) {
  auto found = runs_.find(endpoint);
  if (found == runs_.end()) return;
  found->second.erase(run);
  if (found->second.empty()) runs_.erase(found);
}

void RecentRuns::Ended(const std::string& endpoint, uint64_t run, RunEnd how,
                       TimePoint now) {
  auto found = runs_.find(endpoint);
  if (found == runs_.end()) return;
  Runs& runs = found->second;
  auto ended = runs.find(run);
  if (ended == runs.end()) return;
  ended->second.end = now;
  ended->second.how = how;
  if (runs.size() <= kMostEach) return;
  auto oldest = std::find_if(runs.begin(), runs.end(), [](const auto& entry) {
    return entry.second.end.has_value();
  });
  runs.erase(oldest);
}

bool RecentRuns::AnyOpenSince(const std::string& endpoint,
                              TimePoint broke_at) const {
  auto found = runs_.find(endpoint);
  if (found == runs_.end()) return false;
  return std::any_of(found->second.begin(), found->second.end(),
                     [broke_at](const auto& entry) {
                       return !entry.second.end &&
                              entry.second.begin < broke_at;
                     });
}

std::vector<EndpointRun> RecentRuns::TakeUnder(const std::string& endpoint,
                                               TimePoint ended_at) {
  std::vector<EndpointRun> under;
  auto found = runs_.find(endpoint);
  if (found == runs_.end()) return under;
  for (auto& entry : found->second) {
    EndpointRun& run = entry.second;
    bool before = run.begin <= ended_at;
    bool lately = !run.end || *run.end + kAftermath >= ended_at;
    if (before && lately) under.push_back(std::move(run));
  }
  runs_.erase(found);
  return under;
}

std::vector<EndpointRun> RecentRuns::TakeGivenUp(const std::string& endpoint,
                                                 TimePoint ended_at) {
  std::vector<EndpointRun> under = TakeUnder(endpoint, ended_at);
  under.erase(std::remove_if(under.begin(), under.end(),
                             [](const EndpointRun& run) {
                               return !run.end || run.how != RunEnd::kGivenUp;
                             }),
              under.end());
  return under;
}

std::vector<EndpointRun> RecentRuns::TakeSurvived(
    const std::function<bool(const std::string&)>& is_alive, TimePoint now) {
  std::vector<EndpointRun> survived;
  for (auto endpoint = runs_.begin(); endpoint != runs_.end();) {
    Runs& runs = endpoint->second;
    std::optional<bool> alive;  // not known yet
    for (auto entry = runs.begin(); entry != runs.end();) {
      EndpointRun& run = entry->second;
      bool due =
          run.end && run.how == RunEnd::kWhole && now - *run.end >= kLivesOn;
      if (due && !alive) alive = is_alive(endpoint->first);
      bool sound = due && *alive;
      bool over = run.end && now - *run.end > kAftermath;
      if (sound) survived.push_back(std::move(run));
      entry = sound || over ? runs.erase(entry) : std::next(entry);
    }
    endpoint = runs.empty() ? runs_.erase(endpoint) : std::next(endpoint);
  }
  return survived;
}

size_t RecentRuns::size() const {
  size_t count = 0;
  for (const auto& endpoint : runs_) count += endpoint.second.size();
  return count;
}

}  // namespace leverwick
