// Endpoints that have turned requests away without a time to come back.
//
// One that refuses at once has nothing to do, so that it looks best to every
// box and draws more requests than those that work. For a time that doubles
// with each refusal in a row it is a last resort: it is taken only where no
// other endpoint may take the request. One request then finds out.
//
//   RecentRefusals refusals;
//   refusals.Refused(endpoint, now);  // or refusals.Took(endpoint)
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
  static constexpr milliseconds kFirst{50};
  static constexpr milliseconds kLongest{1600};

  void Refused(const std::string& endpoint, TimePoint now) {
    Refusals& refusals = endpoints_[endpoint];
    // Requests that were under way together count as one.
    if (now < refusals.until) return;
    milliseconds doubled = std::min(2 * refusals.time, kLongest);
    refusals.time = std::max(doubled, kFirst);
    refusals.until = now + refusals.time;
  }

  // The endpoint has taken a request.
  void Took(const std::string& endpoint) { endpoints_.erase(endpoint); }

  bool IsLastResort(const std::string& endpoint, TimePoint now) const {
    auto found = endpoints_.find(endpoint);
    return found != endpoints_.end() && now < found->second.until;
  }

  // Forgets endpoints that have long refused nothing.
  void Expire(TimePoint now) {
    for (auto entry = endpoints_.begin(); entry != endpoints_.end();) {
      bool old = now - entry->second.until > kForgotten;
      entry = old ? endpoints_.erase(entry) : std::next(entry);
    }
  }

  size_t size() const { return endpoints_.size(); }

 private:
  static constexpr std::chrono::seconds kForgotten{10};

  struct Refusals {
    milliseconds time{0};
    TimePoint until{};
  };
  std::unordered_map<std::string, Refusals> endpoints_;
};

}  // namespace leverwick

#endif  // LEVERWICK_RECENT_REFUSALS_H_
