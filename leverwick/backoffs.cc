// The ramp after a back-off needs no timer: the number of requests allowed by a
// given moment follows from the time since the back-off's end, and the moment
// at which the next request is allowed is the inverse of that function.

#include "leverwick/backoffs.h"

#include <algorithm>

namespace leverwick {
namespace {

// Returns how many requests may be sent in steps 0 to `step`, inclusive.
size_t MaxSendsThroughStep(int step) { return (size_t{1} << (step + 1)) - 1; }

}  // namespace

bool Backoffs::RecordBackoff(const std::string& endpoint, milliseconds duration,
                             TimePoint now) {
  milliseconds capped = std::min<milliseconds>(duration, kMaxDuration);
  if (capped <= milliseconds(0)) return false;
  Backoff& backoff = backoffs_[endpoint];
  bool is_new = backoff.until <= now;
  bool is_covered = backoff.until >= now + capped;
  if (is_covered) return false;
  size_t sends = is_new ? 0 : backoff.sends;
  backoff = {now, duration, now + capped, sends, 0};
  return is_new;
}

void Backoffs::RecordSend(const std::string& endpoint, TimePoint now) {
  auto found = backoffs_.find(endpoint);
  if (found == backoffs_.end()) return;
  ++found->second.sends;
  if (now >= found->second.until) ++found->second.sends_after_end;
}

nanoseconds Backoffs::TimeUntilSendAllowed(const std::string& endpoint,
                                           TimePoint now) const {
  const Backoff* backoff = Find(endpoint);
  if (backoff == nullptr) return nanoseconds(0);
  int step = 0;
  while (step < kRampSteps &&
         backoff->sends_after_end >= MaxSendsThroughStep(step))
    ++step;
  return backoff->until + step * kRampStep - now;
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
    bool is_over = now - entry->second.until >= kRampSteps * kRampStep;
    if (is_over) ended.push_back({entry->first, entry->second});
    entry = is_over ? backoffs_.erase(entry) : std::next(entry);
  }
  return ended;
}

}  // namespace leverwick
