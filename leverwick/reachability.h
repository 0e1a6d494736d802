// Which endpoints can't be reached, as far as this box has found.
//
// An endpoint behind a cut answers no connection attempt. Once two in a row
// have run out of time, requests leave the endpoint alone, but for one now and
// then that finds out whether it is back. So a request whose endpoints are all
// beyond reach is told at once and not held until its time is up.
//
//   Reachability reach;
//   if (reach.MayTry(endpoint, now)) { reach.Trying(endpoint, now); ... }
//   reach.TimedOut(endpoint, now);  // or reach.Answered(endpoint)
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

  bool MayTry(const std::string& endpoint, TimePoint now) const {
    auto found = silent_.find(endpoint);
    return found == silent_.end() || !found->second.beyond_reach() ||
           now - found->second.last >= kProbeInterval;
  }

  // A request goes there; if it is a probe, others wait for what it finds.
  void Trying(const std::string& endpoint, TimePoint now) {
    auto found = silent_.find(endpoint);
    if (found == silent_.end()) return;
    if (found->second.beyond_reach()) found->second.last = now;
  }

  // The endpoint did not answer a connection attempt in time.
  void TimedOut(const std::string& endpoint, TimePoint now) {
    Silence& silence = silent_[endpoint];
    ++silence.attempts;
    silence.last = now;
  }

  void Answered(const std::string& endpoint) { silent_.erase(endpoint); }

  // Forgets endpoints that nobody has tried for long.
  void Expire(TimePoint now) {
    for (auto entry = silent_.begin(); entry != silent_.end();) {
      bool old = now - entry->second.last > kForgotten;
      entry = old ? silent_.erase(entry) : std::next(entry);
    }
  }

  size_t size() const { return silent_.size(); }

 private:
  // Longer than any pause in which a listed endpoint gets no request.
  static constexpr std::chrono::seconds kForgotten{60};

  // Attempts in a row that got no answer: a single opening packet may be lost
  // on a link that is otherwise sound.
  static constexpr int kSilentAttempts = 2;

  struct Silence {
    int attempts = 0;  // in a row
    TimePoint last{};  // when it was last tried or found silent
    bool beyond_reach() const { return attempts >= kSilentAttempts; }
  };

  std::unordered_map<std::string, Silence> silent_;
};

}  // namespace leverwick

#endif  // LEVERWICK_REACHABILITY_H_
