// Counts are kept by endpoint, since each choice of an endpoint reads the count
// of every candidate.

#include "leverwick/requests_in_flight.h"

#include <algorithm>

namespace leverwick {

void RequestsInFlight::RecordStart(const Key& key, const std::string& endpoint,
                                   TimePoint until, TimePoint now) {
  if (ended_.count(key) > 0 || until <= now) return;
  until = std::min(until, now + kMaxDuration);
  bool is_new = requests_.emplace(key, Request{endpoint, until}).second;
  if (is_new) ++count_by_endpoint_[endpoint];
}

void RequestsInFlight::RecordEnd(const Key& key, TimePoint now) {
  ended_[key] = now + kReorderWindow;
  auto found = requests_.find(key);
  if (found != requests_.end()) Erase(found);
}

void RequestsInFlight::RecordRestart(const std::string& endpoint) {
  if (CountAt(endpoint) == 0) return;
  for (auto request = requests_.begin(); request != requests_.end();) {
    bool ran_there = request->second.endpoint == endpoint;
    request = ran_there ? Erase(request) : std::next(request);
  }
}

RequestsInFlight::Requests::iterator RequestsInFlight::Erase(
    Requests::iterator request) {
  auto count = count_by_endpoint_.find(request->second.endpoint);
  if (--count->second == 0) count_by_endpoint_.erase(count);
  return requests_.erase(request);
}

size_t RequestsInFlight::CountAt(const std::string& endpoint) const {
  auto found = count_by_endpoint_.find(endpoint);
  return found == count_by_endpoint_.end() ? 0 : found->second;
}

void RequestsInFlight::Expire(TimePoint now) {
  for (auto request = requests_.begin(); request != requests_.end();) {
    bool is_expired = now >= request->second.until;
    request = is_expired ? Erase(request) : std::next(request);
  }
  for (auto end = ended_.begin(); end != ended_.end();) {
    end = now >= end->second ? ended_.erase(end) : std::next(end);
  }
}

}  // namespace leverwick
