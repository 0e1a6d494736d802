// Endpoints that have turned requests away without a time to come back.
//
// One that refuses at once has nothing to do, so that it looks best to every
// box and draws more requests than those that work. For a time that doubles
// with each refusal in a row it is a last resort: it is taken only where no
// other endpoint may take the request. One request then finds out.
//
//   RecentRefusals refusals;
//   refusals.RecordRefusal(endpoint, now);  // or refusals.Took(endpoint)
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
  // A full endpoint has room again soon; one that goes on refusing is asked
  // about once a second.
  static constexpr milliseconds kInitialPenalty{50};
  static constexpr milliseconds kMaxPenalty{1600};

  void RecordRefusal(const std::string& endpoint, TimePoint now) {
    Penalty& penalty = endpoints_[endpoint];
    // Requests that were under way together count as one.
    if (now < penalty.until) return;
    milliseconds doubled = std::min(2 * penalty.duration, kMaxPenalty);
    penalty.duration = std::max(doubled, kInitialPenalty);
    penalty.until = now + penalty.duration;
  }

  // The endpoint has taken a request.
  void RecordAcceptance(const std::string& endpoint) {
    endpoints_.erase(endpoint);
  }

  bool IsLastResort(const std::string& endpoint, TimePoint now) const {
    auto found = endpoints_.find(endpoint);
    return found != endpoints_.end() && now < found->second.until;
  }

  // Forgets endpoints that have long refused nothing.
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
