#include "leverwick/endpoint_limits.h"

namespace leverwick {
namespace {

// Exceeds the time that a report takes from box to box.
constexpr std::chrono::seconds kRemovalRetention{10};

}  // namespace

EndpointLimits::Change EndpointLimits::RecordLimit(const std::string& endpoint,
                                                   double requests_per_second,
                                                   TimePoint reported_at) {
  auto removed = removed_at_.find(endpoint);
  bool is_outdated =
      removed != removed_at_.end() && reported_at <= removed->second;
  if (is_outdated) return Change::kNone;
  auto [found, is_new] = limits_.emplace(
      endpoint, ReportedLimit{requests_per_second, reported_at});
  if (is_new) return Change::kAdded;
  ReportedLimit& limit = found->second;
  if (reported_at < limit.reported_at) return Change::kNone;
  bool is_different = limit.requests_per_second != requests_per_second;
  limit = {requests_per_second, reported_at};
  return is_different ? Change::kUpdated : Change::kNone;
}

EndpointLimits::Change EndpointLimits::RecordNoLimit(
    const std::string& endpoint, TimePoint sent_at) {
  auto found = limits_.find(endpoint);
  // Most endpoints never report a limit; no state is kept for them.
  if (found == limits_.end()) return Change::kNone;
  if (sent_at <= found->second.reported_at + kMinHoldTime) return Change::kNone;
  limits_.erase(found);
  removed_at_[endpoint] = sent_at;
  return Change::kRemoved;
}

EndpointLimits::Change EndpointLimits::RecordRestart(
    const std::string& endpoint, TimePoint at) {
  removed_at_[endpoint] = at;
  return limits_.erase(endpoint) > 0 ? Change::kRemoved : Change::kNone;
}

const ReportedLimit* EndpointLimits::Find(const std::string& endpoint) const {
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
  removed_at_.erase(endpoint);
}

void EndpointLimits::Expire(TimePoint now) {
  for (auto entry = removed_at_.begin(); entry != removed_at_.end();) {
    bool is_old = now - entry->second > kRemovalRetention;
    entry = is_old ? removed_at_.erase(entry) : std::next(entry);
  }
}

}  // namespace leverwick
