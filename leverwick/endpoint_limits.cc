#include "leverwick/endpoint_limits.h"

namespace leverwick {
namespace {

// Longer than news is on its way between boxes.
constexpr std::chrono::seconds kEndsKept{10};

}  // namespace

EndpointLimits::Change EndpointLimits::Named(const std::string& endpoint,
                                             double per_second,
                                             TimePoint named_at) {
  auto ended = ended_.find(endpoint);
  bool outdated = ended != ended_.end() && named_at <= ended->second;
  if (outdated) return Change::kNothing;
  auto [found, is_new] =
      limits_.emplace(endpoint, NamedLimit{per_second, named_at});
  if (is_new) return Change::kBegan;
  NamedLimit& limit = found->second;
  if (named_at < limit.named_at) return Change::kNothing;
  bool other = limit.per_second != per_second;
  limit = {per_second, named_at};
  return other ? Change::kOther : Change::kNothing;
}

EndpointLimits::Change EndpointLimits::NotNamed(const std::string& endpoint,
                                                TimePoint sent_at) {
  auto found = limits_.find(endpoint);
  // Most endpoints never name one: nothing is kept of them.
  if (found == limits_.end()) return Change::kNothing;
  if (sent_at <= found->second.named_at + kHolds) return Change::kNothing;
  limits_.erase(found);
  ended_[endpoint] = sent_at;
  return Change::kEnded;
}

EndpointLimits::Change EndpointLimits::Restarted(const std::string& endpoint,
                                                 TimePoint at) {
  ended_[endpoint] = at;
  return limits_.erase(endpoint) > 0 ? Change::kEnded : Change::kNothing;
}

const NamedLimit* EndpointLimits::Find(const std::string& endpoint) const {
  auto found = limits_.find(endpoint);
  return found == limits_.end() ? nullptr : &found->second;
}

std::vector<std::string> EndpointLimits::endpoints() const {
  std::vector<std::string> names;
  for (const auto& limit : limits_) names.push_back(limit.first);
  return names;
}

void EndpointLimits::Forget(const std::string& endpoint) {
  limits_.erase(endpoint);
  ended_.erase(endpoint);
}

void EndpointLimits::Expire(TimePoint now) {
  for (auto entry = ended_.begin(); entry != ended_.end();) {
    bool old = now - entry->second > kEndsKept;
    entry = old ? ended_.erase(entry) : std::next(entry);
  }
}

}  // namespace leverwick
