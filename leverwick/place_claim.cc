// A granter that has replied once counts as silent again after kReplyTimeout:
// it replies to each repetition, so several of them have been lost.

#include "leverwick/place_claim.h"

#include <algorithm>
#include <utility>

#include "leverwick/digest.h"

namespace leverwick {

PlaceClaim::PlaceClaim(const std::vector<std::string>& endpoints,
                       TimePoint now) {
  for (const std::string& endpoint : endpoints) heard_at_[endpoint] = now;
}

void PlaceClaim::RecordReply(const PlaceReply& reply, TimePoint now) {
  auto open = heard_at_.find(reply.endpoint);
  if (open == heard_at_.end() || !granted_endpoint_.empty()) return;
  if (reply.kind == PlaceReply::Kind::kWaiting) {
    open->second = now;
    return;
  }
  heard_at_.erase(open);
  if (reply.kind == PlaceReply::Kind::kGranted) {
    granted_endpoint_ = reply.endpoint;
  } else {
    retry_after_ = std::min(retry_after_, reply.retry_after);
  }
}

PlaceClaim::State PlaceClaim::StateAt(TimePoint now) const {
  if (!granted_endpoint_.empty()) return State::kGranted;
  if (heard_at_.empty()) return State::kDenied;
  bool all_silent = SilentEndpoints(now).size() == heard_at_.size();
  return all_silent ? State::kUnanswered : State::kWaiting;
}

std::vector<std::string> PlaceClaim::open_endpoints() const {
  std::vector<std::string> endpoints;
  for (const auto& entry : heard_at_) endpoints.push_back(entry.first);
  return endpoints;
}

std::vector<std::string> PlaceClaim::SilentEndpoints(TimePoint now) const {
  std::vector<std::string> endpoints;
  for (const auto& [endpoint, heard_at] : heard_at_) {
    if (now - heard_at >= kReplyTimeout) endpoints.push_back(endpoint);
  }
  return endpoints;
}

std::string ChooseGranter(const std::string& endpoint,
                          const std::string& data_centre,
                          const std::vector<BoxLocation>& boxes) {
  uint64_t seed = StableHash(endpoint);
  auto rank = [&](const BoxLocation& box) {
    bool is_remote = box.data_centre != data_centre;
    return std::make_pair(is_remote, StableHash(box.name, seed));
  };
  auto first = std::min_element(
      boxes.begin(), boxes.end(),
      [&](const auto& a, const auto& b) { return rank(a) < rank(b); });
  return first == boxes.end() ? std::string() : first->name;
}

void SilentGranters::Expire(TimePoint now) {
  for (auto entry = until_.begin(); entry != until_.end();) {
    entry = now >= entry->second ? until_.erase(entry) : std::next(entry);
  }
}

}  // namespace leverwick
