// Which endpoints can't be reached, as far as this box has found.
//
// An endpoint behind a cut answers no connection attempt. Once two in a row
// have run out of time, requests leave the endpoint alone, but for one now and
// then that finds out whether it is back. So a request whose endpoints are all
// beyond reach is told at once and not held until its time is up.
//
//   Reachability reach;
//   if (reach.MayTry(endpoint, now)) { reach.Trying(endpoint, now); ... }
//   reach.RecordTimeout(endpoint, now);  // or reach.RecordResponse(endpoint)
//   reach.Expire(now);

#ifndef LEVERWICK_REACHABILITY_H_
#define LEVERWICK_REACHABILITY_H_

#include <string>
#include <unordered_map>

#include "leverwick/time.h"

namespace leverwick {

// Not thread-safe.
class Reachability {
 public:
  // Time between two attempts at an endpoint beyond reach. A box notices the
  // end of a cut this late at most; a request in so long pays for finding out.
  static constexpr milliseconds kProbeInterval{500};

  bool AllowsAttempt(const std::string& endpoint, TimePoint now) const {
    auto found = timeouts_.find(endpoint);
    return found == timeouts_.end() || !found->second.is_unreachable() ||
           now - found->second.last_attempt >= kProbeInterval;
  }

  // A request goes there; if it is a probe, others wait for what it finds.
  void RecordAttempt(const std::string& endpoint, TimePoint now) {
    auto found = timeouts_.find(endpoint);
    if (found == timeouts_.end()) return;
    if (found->second.is_unreachable()) found->second.last_attempt = now;
  }

  // The endpoint did not answer a connection attempt in time.
  void RecordTimeout(const std::string& endpoint, TimePoint now) {
    TimeoutStreak& streak = timeouts_[endpoint];
    ++streak.count;
    streak.last_attempt = now;
  }

  void RecordResponse(const std::string& endpoint) {
    timeouts_.erase(endpoint);
  }

  // Forgets endpoints that nobody has tried for long.
  void Expire(TimePoint now) {
    for (auto entry = timeouts_.begin(); entry != timeouts_.end();) {
      bool expired = now - entry->second.last_attempt > kIdleExpiry;
      entry = expired ? timeouts_.erase(entry) : std::next(entry);
    }
  }

  size_t size() const { return timeouts_.size(); }

 private:
  // Longer than any pause in which a listed endpoint gets no request.
  static constexpr std::chrono::seconds kIdleExpiry{60};

  // Attempts in a row that got no answer: a single opening packet may be lost
  // on a link that is otherwise sound.
  static constexpr int kTimeoutsToUnreachable = 2;

  struct TimeoutStreak {
    int count = 0;             // in a row
    TimePoint last_attempt{};  // when it was last tried or found silent
    bool is_unreachable() const { return count >= kTimeoutsToUnreachable; }
  };

  std::unordered_map<std::string, TimeoutStreak> timeouts_;
};

}  // namespace leverwick

#endif  // LEVERWICK_REACHABILITY_H_
