// Paces the permits that a granter issues for each endpoint: grants of one
// request each, at a given rate, as a token bucket of small capacity.
//
// A granter does not know what was granted before it started, so the first
// grant comes one interval after the first request for one. Unused capacity is
// saved only to make up for requests that come slightly late: a pause is not
// followed by a burst.
//
//   GrantPacer pacer;
//   GrantPacer::Result result = pacer.TryGrant("endpoint", 1.5, now);
//   if (!result.granted) ... result.retry_after

#ifndef LEVERWICK_GRANT_PACER_H_
#define LEVERWICK_GRANT_PACER_H_

#include <string>
#include <unordered_map>

#include "leverwick/time.h"

namespace leverwick {

// Not thread-safe.
class GrantPacer {
 public:
  struct Result {
    bool granted = false;
    nanoseconds retry_after{0};  // time until the next grant, if not granted
  };

  // Grants one request if the rate allows it now. `requests_per_second` must
  // be greater than zero and may differ from call to call.
  Result TryGrant(const std::string& endpoint, double requests_per_second,
                  TimePoint now);

  // Discards the state of endpoints for which no grant was requested recently.
  void Expire(TimePoint now);
  size_t size() const { return paces_.size(); }

 private:
  struct Pace {
    TimePoint last_due{};  // the next grant is due one interval later
    TimePoint last_requested{};
  };
  std::unordered_map<std::string, Pace> paces_;  // by endpoint
};

}  // namespace leverwick

#endif  // LEVERWICK_GRANT_PACER_H_
