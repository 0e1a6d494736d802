// RecentRefusals tracks endpoints that refused requests without a Retry-After
// time.
//
// An endpoint that refuses at once has no load, so it looks best to every box
// and would attract more requests than the endpoints that work. After a refusal
// it is a last resort for a penalty time that doubles with each consecutive
// refusal: it is selected only if no other endpoint is eligible. When the
// penalty ends, the next request acts as a probe.
//
//   RecentRefusals refusals;
//   refusals.RecordRefusal(endpoint, now);
//   // or refusals.RecordAcceptance(endpoint);
//   if (refusals.IsLastResort(endpoint, now)) ...

#ifndef LEVERWICK_RECENT_REFUSALS_H_
#define LEVERWICK_RECENT_REFUSALS_H_

#include <algorithm>
#include <string>
#include <unordered_map>

#include "leverwick/time.h"

namespace leverwick {

// Not thread-safe.
class RecentRefusals {
 public:
  // A full endpoint usually has capacity again shortly; one that continues to
  // refuse is probed at most every 1.6 s.
  static constexpr milliseconds kInitialPenalty{50};
  static constexpr milliseconds kMaxPenalty{1600};

  void RecordRefusal(const std::string& endpoint, TimePoint now) {
    Penalty& penalty = endpoints_[endpoint];
    // Refusals of requests that were in flight together count as one.
    if (now < penalty.until) return;
    milliseconds doubled = std::min(2 * penalty.duration, kMaxPenalty);
    penalty.duration = std::max(doubled, kInitialPenalty);
    penalty.until = now + penalty.duration;
  }

  // Records that the endpoint accepted a request.
  void RecordAcceptance(const std::string& endpoint) {
    endpoints_.erase(endpoint);
  }

  bool IsLastResort(const std::string& endpoint, TimePoint now) const {
    auto found = endpoints_.find(endpoint);
    return found != endpoints_.end() && now < found->second.until;
  }

  // Removes endpoints whose penalty ended more than kIdleExpiry ago.
  void Expire(TimePoint now) {
    for (auto entry = endpoints_.begin(); entry != endpoints_.end();) {
      bool expired = now - entry->second.until > kIdleExpiry;
      entry = expired ? endpoints_.erase(entry) : std::next(entry);
    }
  }

  size_t size() const { return endpoints_.size(); }

 private:
  static constexpr std::chrono::seconds kIdleExpiry{10};

  struct Penalty {
    milliseconds duration{0};
    TimePoint until{};
  };
  std::unordered_map<std::string, Penalty> endpoints_;
};

}  // namespace leverwick

#endif  // LEVERWICK_RECENT_REFUSALS_H_
