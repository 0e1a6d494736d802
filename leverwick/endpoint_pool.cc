// Pick compares the endpoint that rendezvous hashing prefers for the prefix
// with the least loaded one, and picks the preferred one if its load is at most
// kAffinityLoadSlack above. Outlier ejection: an endpoint with kFailuresToEject
// consecutive failures is ejected for a time that doubles with each further
// failure. If more than kPanicThreshold of a target is ejected, the fault is
// more likely local to this box, and ejection is ignored.

#include "leverwick/endpoint_pool.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <utility>

#include "leverwick/digest.h"
#include "leverwick/rendezvous.h"

namespace leverwick {
namespace {

constexpr double kAffinityLoadSlack = 0.25;  // of max_in_flight
constexpr size_t kFailuresToEject = 3;
constexpr Seconds kBaseEjection(1.0);
constexpr Seconds kMaxEjection(30.0);
constexpr double kPanicThreshold = 0.5;  // share of the usable endpoints
constexpr Seconds kLoadReportHalfLife(2.0);
// How long an endpoint that reported that it is leaving is excluded, even if
// the list contains it.
constexpr Seconds kLeavingRetention(60.0);
// One in so many candidates of a bounded pick may be anywhere.
constexpr size_t kAnywherePart = 4;
// Older reports are not sent to peers.
constexpr Seconds kMaxNoteAge(1.5);
// Endpoints that a request is compared at where capacities differ, by the rank
// for its affinity and by that for the request itself. Enough to find one that
// is idle in a pool of any size.
constexpr size_t kMaxByAffinity = 24;
constexpr size_t kMaxByRequest = 8;

TimePoint EjectionEnd(size_t failures, TimePoint now) {
  double doubled = kBaseEjection.count() *
                   std::exp2(static_cast<double>(failures - kFailuresToEject));
  return now + FromSeconds(std::min(doubled, kMaxEjection.count()));
}

uint64_t RendezvousWeight(const std::string& address, uint64_t affinity) {
  return StableHash(address, affinity);
}

}  // namespace

EndpointPool::Shard& EndpointPool::ShardFor(const std::string& target) const {
  return shards_[StableHash(target) % kShards];
}

template <typename Function>
void EndpointPool::WithEndpoint(const std::string& address,
                                Function function) const {
  std::string target = FindTarget(address);
  Shard& shard = ShardFor(target);
  std::lock_guard<std::mutex> lock(shard.mutex);
  auto endpoints = shard.targets.find(target);
  if (endpoints == shard.targets.end()) return;
  auto endpoint = endpoints->second.find(address);
  if (endpoint != endpoints->second.end()) function(&endpoint->second);
}

void EndpointPool::UpdateListed(const ListedEndpoint& listed, TimePoint now,
                                Endpoint* endpoint) {
  endpoint->listed = listed;
  endpoint->is_listed = true;
  // The list lags: it may contain an endpoint that already reported that it is
  // leaving.
  bool expired = now - endpoint->leaving_since > kLeavingRetention;
  if (endpoint->leaving && expired) endpoint->leaving = false;
}

void EndpointPool::SetListed(const std::vector<ListedEndpoint>& endpoints,
                             TimePoint now) {
  std::map<std::string, std::string> by_address;
  for (Shard& shard : shards_) {
    // A shard is updated under one lock, so that requests never observe a
    // partly updated list.
    std::lock_guard<std::mutex> lock(shard.mutex);
    for (auto& target : shard.targets) {
      for (auto& entry : target.second) entry.second.is_listed = false;
    }
    for (const ListedEndpoint& listed : endpoints) {
      if (&ShardFor(listed.target) != &shard) continue;
      UpdateListed(listed, now, &shard.targets[listed.target][listed.address]);
    }
    Prune(&shard, &by_address);
  }
  std::lock_guard<std::mutex> lock(address_mutex_);
  target_by_address_ = std::move(by_address);
}

void EndpointPool::Put(const ListedEndpoint& endpoint, TimePoint now) {
  std::string before = FindTarget(endpoint.address);
  // The endpoint has changed its target: requests that still run there complete
  // under the new one.
  if (!before.empty() && before != endpoint.target) {
    Shard& old = ShardFor(before);
    std::lock_guard<std::mutex> lock(old.mutex);
    old.targets[before].erase(endpoint.address);
  }
  {
    Shard& shard = ShardFor(endpoint.target);
    std::lock_guard<std::mutex> lock(shard.mutex);
    UpdateListed(endpoint, now,
                 &shard.targets[endpoint.target][endpoint.address]);
  }
  std::lock_guard<std::mutex> lock(address_mutex_);
  target_by_address_[endpoint.address] = endpoint.target;
}

void EndpointPool::Remove(const std::string& address) {
  WithEndpoint(address,
               [](Endpoint* endpoint) { endpoint->is_listed = false; });
  DropUnused(address);
}

void EndpointPool::DropUnused(const std::string& address) {
  std::string target = FindTarget(address);
  {
    Shard& shard = ShardFor(target);
    std::lock_guard<std::mutex> lock(shard.mutex);
    auto endpoints = shard.targets.find(target);
    if (endpoints == shard.targets.end()) return;
    auto endpoint = endpoints->second.find(address);
    bool is_found = endpoint != endpoints->second.end();
    if (!is_found) return;
    if (endpoint->second.is_listed || endpoint->second.own_in_flight > 0)
      return;
    endpoints->second.erase(endpoint);
  }
  std::lock_guard<std::mutex> lock(address_mutex_);
  target_by_address_.erase(address);
}

void EndpointPool::Prune(Shard* shard,
                         std::map<std::string, std::string>* by_address) {
  for (auto& target : shard->targets) {
    for (auto entry = target.second.begin(); entry != target.second.end();) {
      bool keep = entry->second.is_listed || entry->second.own_in_flight > 0;
      if (keep) (*by_address)[entry->first] = target.first;
      entry = keep ? std::next(entry) : target.second.erase(entry);
    }
  }
}

void EndpointPool::RecordReport(const std::string& address,
                                const LoadReport& report, TimePoint now) {
  WithEndpoint(address, [&report, now](Endpoint* endpoint) {
    double all = static_cast<double>(report.running + report.queued);
    endpoint->others_in_flight =
        std::max(0.0, all - static_cast<double>(endpoint->own_in_flight));
    endpoint->reported_at = now;
    if (!report.leaving || endpoint->leaving) return;
    endpoint->leaving = true;
    endpoint->leaving_since = now;
  });
}

void EndpointPool::RecordOwnReport(const std::string& address,
                                   const LoadReport& report, TimePoint now) {
  RecordReport(address, report, now);
  WithEndpoint(address, [&report, now](Endpoint* endpoint) {
    endpoint->own_report = report;
    endpoint->own_report_at = now;
  });
}

bool EndpointPool::FillNote(const std::string& address, TimePoint now,
                            EndpointNote* note) const {
  bool recent = false;
  WithEndpoint(address, [&](Endpoint* endpoint) {
    recent = now - endpoint->own_report_at < kMaxNoteAge;
    note->set_address(address);
    note->set_running(static_cast<uint32_t>(endpoint->own_report.running));
    note->set_queued(static_cast<uint32_t>(endpoint->own_report.queued));
    note->set_leaving(endpoint->leaving);
  });
  return recent;
}

bool EndpointPool::IsUsable(const Endpoint& endpoint) {
  return endpoint.is_listed && !endpoint.leaving && !endpoint.listed.leaving;
}

double EndpointPool::ComputeLoad(const Endpoint& endpoint, TimePoint now) {
  double age = ToSeconds(now - endpoint.reported_at);
  double weight = std::exp2(-age / kLoadReportHalfLife.count());
  double requests = static_cast<double>(endpoint.own_in_flight) +
                    weight * endpoint.others_in_flight;
  double max_in_flight =
      static_cast<double>(std::max<size_t>(1, endpoint.listed.max_in_flight));
  return requests / max_in_flight;
}

std::vector<const EndpointPool::Endpoint*> EndpointPool::FindCandidates(
    const Endpoints& endpoints, const std::set<std::string>& excluded,
    TimePoint now, const Filter& allowed) {
  std::vector<const Endpoint*> all;
  all.reserve(endpoints.size());
  for (const auto& entry : endpoints) all.push_back(&entry.second);
  return FindCandidates(all, excluded, now, allowed);
}

std::vector<const EndpointPool::Endpoint*> EndpointPool::FindCandidates(
    const std::vector<const Endpoint*>& endpoints,
    const std::set<std::string>& excluded, TimePoint now,
    const Filter& allowed) {
  std::vector<const Endpoint*> usable;
  std::vector<const Endpoint*> healthy;
  for (const Endpoint* endpoint : endpoints) {
    bool is_excluded = excluded.count(endpoint->listed.address) > 0;
    if (!IsUsable(*endpoint) || is_excluded) continue;
    if (allowed && !allowed(endpoint->listed)) continue;
    usable.push_back(endpoint);
    if (endpoint->ejected_until <= now) healthy.push_back(endpoint);
  }
  double share =
      1 - static_cast<double>(healthy.size()) /
              static_cast<double>(std::max<size_t>(1, usable.size()));
  return share > kPanicThreshold ? usable : healthy;
}

// A few cheap steps for each endpoint, so that the costly ones are taken for a
// bounded number only.
std::vector<const EndpointPool::Endpoint*> EndpointPool::BoundCandidates(
    const Endpoints& endpoints, uint64_t affinity,
    const CandidateBound& bound) {
  using Weighted = std::pair<uint64_t, const Endpoint*>;
  std::vector<Weighted> local;
  std::vector<Weighted> all;
  all.reserve(endpoints.size());
  for (const auto& [address, endpoint] : endpoints) {
    if (!IsUsable(endpoint)) continue;
    Weighted weighted{RendezvousWeight(address, affinity), &endpoint};
    all.push_back(weighted);
    if (endpoint.listed.data_centre == bound.data_centre) {
      local.push_back(weighted);
    }
  }
  std::set<const Endpoint*> chosen;
  auto choose = [&chosen](std::vector<Weighted>* from, size_t count) {
    count = std::min(count, from->size());
    auto end = from->begin() + static_cast<std::ptrdiff_t>(count);
    std::nth_element(
        from->begin(), end, from->end(),
        [](const Weighted& a, const Weighted& b) { return a.first > b.first; });
    for (auto it = from->begin(); it != end; ++it) chosen.insert(it->second);
  };
  size_t anywhere = bound.max_candidates / kAnywherePart;
  choose(&local, bound.max_candidates - anywhere);
  choose(&all, anywhere);
  return {chosen.begin(), chosen.end()};
}

EndpointPool::Choice EndpointPool::Pick(const std::string& target,
                                        uint64_t affinity,
                                        const std::set<std::string>& excluded,
                                        TimePoint now) const {
  Shard& shard = ShardFor(target);
  std::lock_guard<std::mutex> lock(shard.mutex);
  auto endpoints = shard.targets.find(target);
  if (endpoints == shard.targets.end()) return Choice();
  const Endpoint* preferred = nullptr;
  const Endpoint* least_loaded = nullptr;
  uint64_t highest_weight = 0;
  double least_load = 0;
  for (const Endpoint* endpoint :
       FindCandidates(endpoints->second, excluded, now)) {
    double load = ComputeLoad(*endpoint, now);
    if (least_loaded == nullptr || load < least_load) {
      least_loaded = endpoint;
      least_load = load;
    }
    uint64_t weight = RendezvousWeight(endpoint->listed.address, affinity);
    if (preferred != nullptr && weight <= highest_weight) continue;
    preferred = endpoint;
    highest_weight = weight;
  }
  if (least_loaded == nullptr) return Choice();
  double preferred_load = ComputeLoad(*preferred, now);
  if (preferred_load <= least_load + kAffinityLoadSlack) {
    return Choice{preferred->listed.address, preferred_load};
  }
  return Choice{least_loaded->listed.address, least_load};
}

EndpointPool::Choice EndpointPool::PickLeastLoaded(
    const std::string& target, const std::set<std::string>& excluded,
    TimePoint now) const {
  Shard& shard = ShardFor(target);
  std::lock_guard<std::mutex> lock(shard.mutex);
  Choice choice;
  auto endpoints = shard.targets.find(target);
  if (endpoints == shard.targets.end()) return choice;
  for (const Endpoint* endpoint :
       FindCandidates(endpoints->second, excluded, now)) {
    double load = ComputeLoad(*endpoint, now);
    if (!choice.address.empty() && load >= choice.load) continue;
    choice = Choice{endpoint->listed.address, load};
  }
  return choice;
}

EndpointPool::Candidates EndpointPool::WithCapacities(
    const std::vector<const Endpoint*>& endpoints,
    const CapacitySpread::Capacity& capacity) {
  Candidates candidates;
  candidates.reserve(endpoints.size());
  for (const Endpoint* endpoint : endpoints) {
    candidates.push_back({endpoint, capacity ? capacity(endpoint->listed) : 1});
  }
  return candidates;
}

bool EndpointPool::AreAlike(const Candidates& candidates) {
  return std::all_of(candidates.begin(), candidates.end(),
                     [&](const Candidate& other) {
                       return other.capacity == candidates.front().capacity;
                     });
}

double EndpointPool::ScoreOf(const Candidate& candidate, uint64_t key) {
  uint64_t weight = RendezvousWeight(candidate.endpoint->listed.address, key);
  return WeightedRendezvousScore(weight, candidate.capacity);
}

EndpointPool::Candidates EndpointPool::Highest(Candidates candidates,
                                               uint64_t key, size_t count) {
  if (candidates.size() <= count) return candidates;
  std::vector<std::pair<double, Candidate>> scored;
  scored.reserve(candidates.size());
  for (const Candidate& candidate : candidates) {
    scored.emplace_back(ScoreOf(candidate, key), candidate);
  }
  auto end = scored.begin() + static_cast<std::ptrdiff_t>(count);
  std::nth_element(
      scored.begin(), end, scored.end(),
      [](const auto& a, const auto& b) { return a.first > b.first; });
  candidates.clear();
  for (auto it = scored.begin(); it != end; ++it) {
    candidates.push_back(it->second);
  }
  return candidates;
}

EndpointPool::Candidates EndpointPool::LimitCandidates(
    const Candidates& candidates, uint64_t affinity, uint64_t request_hash,
    const std::string& data_centre) {
  Candidates local;
  Candidates remote;
  for (const Candidate& candidate : candidates) {
    bool is_local = candidate.endpoint->listed.data_centre == data_centre;
    (is_local ? local : remote).push_back(candidate);
  }
  std::map<const Endpoint*, Candidate> kept;
  auto keep = [&](const Candidates& few) {
    for (const Candidate& candidate : few) kept[candidate.endpoint] = candidate;
  };
  for (const Candidates& group : {local, remote}) {
    keep(Highest(group, affinity, kMaxByAffinity));
    keep(Highest(group, request_hash, kMaxByRequest));
  }
  Candidates limited;
  for (const auto& entry : kept) limited.push_back(entry.second);
  return limited;
}

EndpointPool::Choice EndpointPool::PickCheapest(
    const std::string& target, uint64_t affinity,
    const std::set<std::string>& excluded, TimePoint now, const Filter& allowed,
    const Cost& cost, const CandidateBound& bound,
    const CapacitySpread& spread) const {
  Shard& shard = ShardFor(target);
  std::lock_guard<std::mutex> lock(shard.mutex);
  auto endpoints = shard.targets.find(target);
  if (endpoints == shard.targets.end()) return Choice();
  std::vector<const Endpoint*> usable;
  bool is_bounded = bound.max_candidates > 0 &&
                    endpoints->second.size() > bound.max_candidates;
  if (is_bounded) {
    auto bounded = BoundCandidates(endpoints->second, affinity, bound);
    usable = FindCandidates(bounded, excluded, now, allowed);
  }
  if (usable.empty()) {
    usable = FindCandidates(endpoints->second, excluded, now, allowed);
  }
  Candidates candidates = WithCapacities(usable, spread.capacity);
  bool are_alike = AreAlike(candidates);
  if (!are_alike) {
    candidates = LimitCandidates(candidates, affinity, spread.request_hash,
                                 bound.data_centre);
  }
  std::vector<double> scores;
  for (const Candidate& candidate : candidates) {
    const std::string& address = candidate.endpoint->listed.address;
    scores.push_back(
        are_alike ? static_cast<double>(RendezvousWeight(address, affinity))
                  : ScoreOf(candidate, affinity));
  }
  double highest_score = 0;
  for (double score : scores) highest_score = std::max(highest_score, score);
  const Endpoint* chosen = nullptr;
  double lowest_cost = 0;
  double chosen_score = 0;
  for (size_t i = 0; i < candidates.size(); ++i) {
    double candidate_cost =
        cost(candidates[i].endpoint->listed, scores[i] == highest_score);
    bool better = chosen == nullptr || candidate_cost < lowest_cost ||
                  (candidate_cost == lowest_cost && scores[i] > chosen_score);
    if (!better) continue;
    chosen = candidates[i].endpoint;
    lowest_cost = candidate_cost;
    chosen_score = scores[i];
  }
  if (chosen == nullptr) return Choice();
  return Choice{chosen->listed.address, ComputeLoad(*chosen, now)};
}

void EndpointPool::RecordStart(const std::string& address) {
  WithEndpoint(address, [](Endpoint* endpoint) { ++endpoint->own_in_flight; });
}

void EndpointPool::RecordCompletion(const std::string& address, bool succeeded,
                                    TimePoint now) {
  bool is_unused = false;
  WithEndpoint(address, [succeeded, now, &is_unused](Endpoint* endpoint) {
    if (endpoint->own_in_flight > 0) --endpoint->own_in_flight;
    is_unused = !endpoint->is_listed && endpoint->own_in_flight == 0;
    if (succeeded) {
      endpoint->consecutive_failures = 0;
      endpoint->ejected_until = TimePoint{};
      return;
    }
    ++endpoint->consecutive_failures;
    if (endpoint->consecutive_failures < kFailuresToEject) return;
    endpoint->ejected_until = EjectionEnd(endpoint->consecutive_failures, now);
  });
  if (is_unused) DropUnused(address);
}

void EndpointPool::MarkLeaving(const std::string& address, TimePoint now) {
  WithEndpoint(address, [now](Endpoint* endpoint) {
    if (!endpoint->leaving) endpoint->leaving_since = now;
    endpoint->leaving = true;
  });
}

bool EndpointPool::AnyListed(const std::string& target,
                             const Filter& filter) const {
  Shard& shard = ShardFor(target);
  std::lock_guard<std::mutex> lock(shard.mutex);
  auto endpoints = shard.targets.find(target);
  if (endpoints == shard.targets.end()) return false;
  for (const auto& entry : endpoints->second) {
    const Endpoint& endpoint = entry.second;
    bool remains_listed =
        endpoint.is_listed && !endpoint.listed.leaving && !endpoint.leaving;
    if (remains_listed && filter(endpoint.listed)) return true;
  }
  return false;
}

size_t EndpointPool::CountUsable(const std::string& target) const {
  Shard& shard = ShardFor(target);
  std::lock_guard<std::mutex> lock(shard.mutex);
  auto endpoints = shard.targets.find(target);
  if (endpoints == shard.targets.end()) return 0;
  return static_cast<size_t>(
      std::count_if(endpoints->second.begin(), endpoints->second.end(),
                    [](const auto& entry) { return IsUsable(entry.second); }));
}

void EndpointPool::ForgetFailures(const std::string& target) {
  Shard& shard = ShardFor(target);
  std::lock_guard<std::mutex> lock(shard.mutex);
  auto endpoints = shard.targets.find(target);
  if (endpoints == shard.targets.end()) return;
  for (auto& entry : endpoints->second) {
    entry.second.consecutive_failures = 0;
    entry.second.ejected_until = TimePoint{};
  }
}

bool EndpointPool::HasUsable(const std::string& target, TimePoint now) const {
  return !PickLeastLoaded(target, {}, now).address.empty();
}

size_t EndpointPool::TotalMaxInFlight(const std::string& target,
                                      TimePoint now) const {
  Shard& shard = ShardFor(target);
  std::lock_guard<std::mutex> lock(shard.mutex);
  auto endpoints = shard.targets.find(target);
  if (endpoints == shard.targets.end()) return 0;
  size_t max_in_flight = 0;
  for (const Endpoint* endpoint : FindCandidates(endpoints->second, {}, now)) {
    max_in_flight += endpoint->listed.max_in_flight;
  }
  return max_in_flight;
}

std::vector<std::string> EndpointPool::addresses() const {
  std::lock_guard<std::mutex> lock(address_mutex_);
  std::vector<std::string> all;
  for (const auto& entry : target_by_address_) all.push_back(entry.first);
  return all;
}

std::string EndpointPool::FindTarget(const std::string& address) const {
  std::lock_guard<std::mutex> lock(address_mutex_);
  auto found = target_by_address_.find(address);
  return found == target_by_address_.end() ? "" : found->second;
}

size_t EndpointPool::OwnInFlight(const std::string& address) const {
  size_t own = 0;
  WithEndpoint(address,
               [&own](Endpoint* endpoint) { own = endpoint->own_in_flight; });
  return own;
}

}  // namespace leverwick
