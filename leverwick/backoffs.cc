// The steps after the end need no clock of their own: the number of requests
// that may have returned by a moment follows from the time since the end, and
// the moment at which one more may go is the inverse of it.

#include "leverwick/backoffs.h"

#include <algorithm>

namespace leverwick {
namespace {

// Requests that may have returned by the end of a step.
size_t RoomAfter(int steps) { return (size_t{1} << (steps + 1)) - 1; }

}  // namespace

bool Backoffs::Asked(const std::string& endpoint, milliseconds time,
                     TimePoint now) {
  milliseconds kept = std::min<milliseconds>(time, kLongest);
  if (kept <= milliseconds(0)) return false;
  Backoff& backoff = backoffs_[endpoint];
  bool is_new = backoff.until <= now;
  bool is_covered = backoff.until >= now + kept;
  if (is_covered) return false;
  size_t sent = is_new ? 0 : backoff.sent;
  backoff = {now, time, now + kept, sent, 0};
  return is_new;
}

void Backoffs::Sent(const std::string& endpoint, TimePoint now) {
  auto found = backoffs_.find(endpoint);
  if (found == backoffs_.end()) return;
  ++found->second.sent;
  if (now >= found->second.until) ++found->second.returned;
}

nanoseconds Backoffs::OpensIn(const std::string& endpoint,
                              TimePoint now) const {
  const Backoff* backoff = Find(endpoint);
  if (backoff == nullptr) return nanoseconds(0);
  int steps = 0;
  while (steps < kSteps && backoff->returned >= RoomAfter(steps)) ++steps;
  return backoff->until + steps * kStep - now;
}

const Backoff* Backoffs::Find(const std::string& endpoint) const {
  auto found = backoffs_.find(endpoint);
  return found == backoffs_.end() ? nullptr : &found->second;
}

std::vector<std::string> Backoffs::endpoints() const {
  std::vector<std::string> names;
  for (const auto& entry : backoffs_) names.push_back(entry.first);
  return names;
}

std::vector<EndedBackoff> Backoffs::Expire(TimePoint now) {
  std::vector<EndedBackoff> ended;
  for (auto entry = backoffs_.begin(); entry != backoffs_.end();) {
    bool over = now - entry->second.until >= kSteps * kStep;
    if (over) ended.push_back({entry->first, entry->second});
    entry = over ? backoffs_.erase(entry) : std::next(entry);
  }
  return ended;
}

}  // namespace leverwick
