// Pick looks at the endpoint that rendezvous hashing prefers for the prefix
// and at the least loaded one, and takes the preferred while its load is at
// most kAffinitySlack above the least. An endpoint that failed kFailures times
// in a row is ejected for a time that doubles; when more than half of a target
// is ejected the fault is more likely on our side, and ejection is ignored.

#include "leverwick/endpoints.h"

#include <algorithm>
#include <cmath>

#include "leverwick/digest.h"

namespace leverwick {
namespace {

constexpr double kAffinitySlack = 0.25;
constexpr size_t kFailures = 3;
constexpr Seconds kFirstEjection(1.0);
constexpr Seconds kLongestEjection(30.0);
constexpr double kPanicShare = 0.5;
// A report loses half of its weight in this time.
constexpr Seconds kReportHalfLife(2.0);
// An endpoint that said it leaves is not believed to be back before this.
constexpr Seconds kLeavingMemory(60.0);
// Older reports are not passed on.
constexpr Seconds kNoteAge(1.5);

TimePoint EjectedUntil(size_t failures, TimePoint now) {
  double doubled = kFirstEjection.count() *
                   std::exp2(static_cast<double>(failures - kFailures));
  return now + FromSeconds(std::min(doubled, kLongestEjection.count()));
}

uint64_t Preference(const std::string& address, uint64_t affinity) {
  return StableHash(address, affinity);
}

}  // namespace

EndpointPool::Shard& EndpointPool::ShardOf(const std::string& target) const {
  return shards_[StableHash(target) % kShards];
}

template <typename Function>
void EndpointPool::With(const std::string& address, Function function) const {
  std::string target = TargetOf(address);
  Shard& shard = ShardOf(target);
  std::lock_guard<std::mutex> lock(shard.mutex);
  auto endpoints = shard.targets.find(target);
  if (endpoints == shard.targets.end()) return;
  auto endpoint = endpoints->second.find(address);
  if (endpoint != endpoints->second.end()) function(&endpoint->second);
}

void EndpointPool::Merge(const ListedEndpoint& listed, TimePoint now,
                         Endpoint* endpoint) {
  endpoint->listed = listed;
  endpoint->in_list = true;
  // The list lags: it may still say live after the endpoint said it leaves.
  bool forget = now - endpoint->leaving_since > kLeavingMemory;
  if (endpoint->leaving && forget) endpoint->leaving = false;
}

void EndpointPool::SetListed(const std::vector<ListedEndpoint>& endpoints,
                             TimePoint now) {
  std::map<std::string, std::string> by_address;
  for (Shard& shard : shards_) {
    // A shard changes under one lock: a request must never see it half listed.
    std::lock_guard<std::mutex> lock(shard.mutex);
    for (auto& target : shard.targets) {
      for (auto& entry : target.second) entry.second.in_list = false;
    }
    for (const ListedEndpoint& listed : endpoints) {
      if (&ShardOf(listed.target) != &shard) continue;
      Merge(listed, now, &shard.targets[listed.target][listed.address]);
    }
    Prune(&shard, &by_address);
  }
  std::lock_guard<std::mutex> lock(address_mutex_);
  target_by_address_ = std::move(by_address);
}

void EndpointPool::Put(const ListedEndpoint& endpoint, TimePoint now) {
  std::string before = TargetOf(endpoint.address);
  // Requests that still run there count for the target that it has now.
  if (!before.empty() && before != endpoint.target) {
    Shard& old = ShardOf(before);
    std::lock_guard<std::mutex> lock(old.mutex);
    old.targets[before].erase(endpoint.address);
  }
  {
    Shard& shard = ShardOf(endpoint.target);
    std::lock_guard<std::mutex> lock(shard.mutex);
    Merge(endpoint, now, &shard.targets[endpoint.target][endpoint.address]);
  }
  std::lock_guard<std::mutex> lock(address_mutex_);
  target_by_address_[endpoint.address] = endpoint.target;
}

void EndpointPool::Remove(const std::string& address) {
  With(address, [](Endpoint* endpoint) { endpoint->in_list = false; });
  DropUnused(address);
}

void EndpointPool::DropUnused(const std::string& address) {
  std::string target = TargetOf(address);
  {
    Shard& shard = ShardOf(target);
    std::lock_guard<std::mutex> lock(shard.mutex);
    auto endpoints = shard.targets.find(target);
    if (endpoints == shard.targets.end()) return;
    auto endpoint = endpoints->second.find(address);
    bool is_known = endpoint != endpoints->second.end();
    if (!is_known) return;
    if (endpoint->second.in_list || endpoint->second.own > 0) return;
    endpoints->second.erase(endpoint);
  }
  std::lock_guard<std::mutex> lock(address_mutex_);
  target_by_address_.erase(address);
}

void EndpointPool::Prune(Shard* shard,
                         std::map<std::string, std::string>* by_address) {
  for (auto& target : shard->targets) {
    for (auto entry = target.second.begin(); entry != target.second.end();) {
      bool keep = entry->second.in_list || entry->second.own > 0;
      if (keep) (*by_address)[entry->first] = target.first;
      entry = keep ? std::next(entry) : target.second.erase(entry);
    }
  }
}

void EndpointPool::Reported(const std::string& address,
                            const LoadReport& report, TimePoint now) {
  With(address, [&report, now](Endpoint* endpoint) {
    double all = static_cast<double>(report.running + report.queued);
    endpoint->others = std::max(0.0, all - static_cast<double>(endpoint->own));
    endpoint->reported = now;
    if (!report.leaving || endpoint->leaving) return;
    endpoint->leaving = true;
    endpoint->leaving_since = now;
  });
}

void EndpointPool::ReadReport(const std::string& address,
                              const LoadReport& report, TimePoint now) {
  Reported(address, report, now);
  With(address, [&report, now](Endpoint* endpoint) {
    endpoint->read = report;
    endpoint->read_at = now;
  });
}

bool EndpointPool::NoteOf(const std::string& address, TimePoint now,
                          EndpointNote* note) const {
  bool recent = false;
  With(address, [&](Endpoint* endpoint) {
    recent = now - endpoint->read_at < kNoteAge;
    note->set_address(address);
    note->set_running(static_cast<uint32_t>(endpoint->read.running));
    note->set_queued(static_cast<uint32_t>(endpoint->read.queued));
    note->set_leaving(endpoint->leaving);
  });
  return recent;
}

bool EndpointPool::Usable(const Endpoint& endpoint) {
  return endpoint.in_list && !endpoint.leaving && !endpoint.listed.leaving;
}

double EndpointPool::LoadOf(const Endpoint& endpoint, TimePoint now) {
  double age = ToSeconds(now - endpoint.reported);
  double weight = std::exp2(-age / kReportHalfLife.count());
  double requests =
      static_cast<double>(endpoint.own) + weight * endpoint.others;
  double places =
      static_cast<double>(std::max<size_t>(1, endpoint.listed.places));
  return requests / places;
}

std::vector<const EndpointPool::Endpoint*> EndpointPool::Candidates(
    const Endpoints& endpoints, const std::set<std::string>& excluded,
    TimePoint now, const Filter& allowed) {
  std::vector<const Endpoint*> usable;
  std::vector<const Endpoint*> healthy;
  for (const auto& entry : endpoints) {
    const Endpoint& endpoint = entry.second;
    if (!Usable(endpoint) || excluded.count(entry.first) > 0) continue;
    if (allowed && !allowed(endpoint.listed)) continue;
    usable.push_back(&endpoint);
    if (endpoint.ejected_until <= now) healthy.push_back(&endpoint);
  }
  double share =
      1 - static_cast<double>(healthy.size()) /
              static_cast<double>(std::max<size_t>(1, usable.size()));
  return share > kPanicShare ? usable : healthy;
}

EndpointPool::Choice EndpointPool::Pick(const std::string& target,
                                        uint64_t affinity,
                                        const std::set<std::string>& excluded,
                                        TimePoint now) const {
  Shard& shard = ShardOf(target);
  std::lock_guard<std::mutex> lock(shard.mutex);
  auto endpoints = shard.targets.find(target);
  if (endpoints == shard.targets.end()) return Choice();
  const Endpoint* preferred = nullptr;
  const Endpoint* least = nullptr;
  uint64_t highest = 0;
  double least_load = 0;
  for (const Endpoint* endpoint :
       Candidates(endpoints->second, excluded, now)) {
    double load = LoadOf(*endpoint, now);
    if (least == nullptr || load < least_load) {
      least = endpoint;
      least_load = load;
    }
    uint64_t preference = Preference(endpoint->listed.address, affinity);
    if (preferred != nullptr && preference <= highest) continue;
    preferred = endpoint;
    highest = preference;
  }
  if (least == nullptr) return Choice();
  double preferred_load = LoadOf(*preferred, now);
  if (preferred_load <= least_load + kAffinitySlack) {
    return Choice{preferred->listed.address, preferred_load};
  }
  return Choice{least->listed.address, least_load};
}

EndpointPool::Choice EndpointPool::PickLeastLoaded(
    const std::string& target, const std::set<std::string>& excluded,
    TimePoint now) const {
  Shard& shard = ShardOf(target);
  std::lock_guard<std::mutex> lock(shard.mutex);
  Choice choice;
  auto endpoints = shard.targets.find(target);
  if (endpoints == shard.targets.end()) return choice;
  for (const Endpoint* endpoint :
       Candidates(endpoints->second, excluded, now)) {
    double load = LoadOf(*endpoint, now);
    if (!choice.address.empty() && load >= choice.load) continue;
    choice = Choice{endpoint->listed.address, load};
  }
  return choice;
}

EndpointPool::Choice EndpointPool::PickCheapest(
    const std::string& target, uint64_t affinity,
    const std::set<std::string>& excluded, TimePoint now, const Filter& allowed,
    const Cost& cost) const {
  Shard& shard = ShardOf(target);
  std::lock_guard<std::mutex> lock(shard.mutex);
  auto endpoints = shard.targets.find(target);
  if (endpoints == shard.targets.end()) return Choice();
  auto candidates = Candidates(endpoints->second, excluded, now, allowed);
  std::vector<uint64_t> preferences;
  preferences.reserve(candidates.size());
  for (const Endpoint* endpoint : candidates) {
    preferences.push_back(Preference(endpoint->listed.address, affinity));
  }
  uint64_t highest = 0;
  for (uint64_t preference : preferences) {
    highest = std::max(highest, preference);
  }
  const Endpoint* chosen = nullptr;
  double least = 0;
  uint64_t chosen_preference = 0;
  for (size_t i = 0; i < candidates.size(); ++i) {
    double its_cost = cost(candidates[i]->listed, preferences[i] == highest);
    bool better = chosen == nullptr || its_cost < least ||
                  (its_cost == least && preferences[i] > chosen_preference);
    if (!better) continue;
    chosen = candidates[i];
    least = its_cost;
    chosen_preference = preferences[i];
  }
  if (chosen == nullptr) return Choice();
  return Choice{chosen->listed.address, LoadOf(*chosen, now)};
}

void EndpointPool::Started(const std::string& address) {
  With(address, [](Endpoint* endpoint) { ++endpoint->own; });
}

void EndpointPool::Ended(const std::string& address, bool good, TimePoint now) {
  bool is_over = false;
  With(address, [good, now, &is_over](Endpoint* endpoint) {
    if (endpoint->own > 0) --endpoint->own;
    is_over = !endpoint->in_list && endpoint->own == 0;
    if (good) {
      endpoint->failures = 0;
      endpoint->ejected_until = TimePoint{};
      return;
    }
    ++endpoint->failures;
    if (endpoint->failures < kFailures) return;
    endpoint->ejected_until = EjectedUntil(endpoint->failures, now);
  });
  if (is_over) DropUnused(address);
}

void EndpointPool::Leaving(const std::string& address, TimePoint now) {
  With(address, [now](Endpoint* endpoint) {
    if (!endpoint->leaving) endpoint->leaving_since = now;
    endpoint->leaving = true;
  });
}

bool EndpointPool::AnyListed(const std::string& target,
                             const Filter& filter) const {
  Shard& shard = ShardOf(target);
  std::lock_guard<std::mutex> lock(shard.mutex);
  auto endpoints = shard.targets.find(target);
  if (endpoints == shard.targets.end()) return false;
  for (const auto& entry : endpoints->second) {
    const Endpoint& endpoint = entry.second;
    bool stays =
        endpoint.in_list && !endpoint.listed.leaving && !endpoint.leaving;
    if (stays && filter(endpoint.listed)) return true;
  }
  return false;
}

bool EndpointPool::Serves(const std::string& target, TimePoint now) const {
  return !PickLeastLoaded(target, {}, now).address.empty();
}

size_t EndpointPool::Places(const std::string& target, TimePoint now) const {
  Shard& shard = ShardOf(target);
  std::lock_guard<std::mutex> lock(shard.mutex);
  auto endpoints = shard.targets.find(target);
  if (endpoints == shard.targets.end()) return 0;
  size_t places = 0;
  for (const Endpoint* endpoint : Candidates(endpoints->second, {}, now)) {
    places += endpoint->listed.places;
  }
  return places;
}

std::vector<std::string> EndpointPool::addresses() const {
  std::lock_guard<std::mutex> lock(address_mutex_);
  std::vector<std::string> all;
  for (const auto& entry : target_by_address_) all.push_back(entry.first);
  return all;
}

std::string EndpointPool::TargetOf(const std::string& address) const {
  std::lock_guard<std::mutex> lock(address_mutex_);
  auto found = target_by_address_.find(address);
  return found == target_by_address_.end() ? "" : found->second;
}

size_t EndpointPool::OwnRequests(const std::string& address) const {
  size_t own = 0;
  With(address, [&own](Endpoint* endpoint) { own = endpoint->own; });
  return own;
}

}  // namespace leverwick
