// Reachability is a circuit breaker for connections to endpoints, from this
// box's point of view.
//
// An endpoint behind a network partition does not respond to connection
// attempts. After two consecutive connect timeouts the endpoint counts as
// unreachable and gets no requests, except for a periodic probe request that
// detects recovery. A request whose endpoints are all unreachable thus fails at
// once instead of waiting until its deadline.
//
//   Reachability reach;
//   if (reach.AllowsAttempt(endpoint, now)) {
//     reach.RecordAttempt(endpoint, now);
//     ...
//   }
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
  // Time between two probes of an unreachable endpoint. A box detects the end
  // of a partition at most this late, at the price of one delayed request per
  // interval.
  static constexpr milliseconds kProbeInterval{500};

  bool AllowsAttempt(const std::string& endpoint, TimePoint now) const {
    auto found = timeouts_.find(endpoint);
    return found == timeouts_.end() || !found->second.is_unreachable() ||
           now - found->second.last_attempt >= kProbeInterval;
  }

  // Records that a request is sent to the endpoint. If it is a probe, it blocks
  // other requests until its outcome is known or the probe interval has passed.
  void RecordAttempt(const std::string& endpoint, TimePoint now) {
    auto found = timeouts_.find(endpoint);
    if (found == timeouts_.end()) return;
    if (found->second.is_unreachable()) found->second.last_attempt = now;
  }

  // Records a connection attempt that timed out.
  void RecordTimeout(const std::string& endpoint, TimePoint now) {
    TimeoutStreak& streak = timeouts_[endpoint];
    ++streak.count;
    streak.last_attempt = now;
  }

  void RecordResponse(const std::string& endpoint) {
    timeouts_.erase(endpoint);
  }

  // Forgets the endpoints that timed out at `since` or later.
  void ForgetSince(TimePoint since) {
    for (auto entry = timeouts_.begin(); entry != timeouts_.end();) {
      bool is_recent = entry->second.last_attempt >= since;
      entry = is_recent ? timeouts_.erase(entry) : std::next(entry);
    }
  }

  // Removes endpoints without an attempt within kIdleExpiry.
  void Expire(TimePoint now) {
    for (auto entry = timeouts_.begin(); entry != timeouts_.end();) {
      bool expired = now - entry->second.last_attempt > kIdleExpiry;
      entry = expired ? timeouts_.erase(entry) : std::next(entry);
    }
  }

  size_t size() const { return timeouts_.size(); }

 private:
  // Longer than any period in which a listed endpoint gets no request.
  static constexpr std::chrono::seconds kIdleExpiry{60};

  // Consecutive timeouts after which an endpoint counts as unreachable. One is
  // not enough: a single SYN packet may be lost on a healthy link.
  static constexpr int kTimeoutsToUnreachable = 2;

  struct TimeoutStreak {
    int count = 0;             // consecutive
    TimePoint last_attempt{};  // the last probe or timeout
    bool is_unreachable() const { return count >= kTimeoutsToUnreachable; }
  };

  std::unordered_map<std::string, TimeoutStreak> timeouts_;
};

}  // namespace leverwick

#endif  // LEVERWICK_REACHABILITY_H_
