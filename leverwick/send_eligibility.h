// Decides whether this box may send a request to an endpoint now, and if not,
// how long until it may.
//
// An endpoint is eligible if it passes every check: it is reachable, no
// requested back-off is in force, its slow start admits another request, this
// box has a part of its capacity left if it is brittle, and this box holds a
// permit if the endpoint reports a rate limit. Every send is
// subject to these checks: first attempts, retries, escalations to a larger
// model, and streams resumed on another endpoint.
//
//   SendEligibility eligibility(
//       {&reach, &backoffs, &slow_start, &permits, &brittle});
//   if (eligibility.IsEligible(endpoint, SendEligibility::Scope::kAll, now)) {
//     eligibility.RecordSend(endpoint.address, endpoint.max_in_flight, now);
//   }

#ifndef LEVERWICK_SEND_ELIGIBILITY_H_
#define LEVERWICK_SEND_ELIGIBILITY_H_

#include <string>

#include "leverwick/backoffs.h"
#include "leverwick/brittle_endpoints.h"
#include "leverwick/endpoint_pool.h"
#include "leverwick/reachability.h"
#include "leverwick/send_permits.h"
#include "leverwick/slow_start.h"
#include "leverwick/time.h"

namespace leverwick {

class SendEligibility {
 public:
  // All of them must outlive the SendEligibility.
  struct Dependencies {
    Reachability* reach;
    Backoffs* backoffs;
    SlowStart* slow_start;
    SendPermits* permits;
    BrittleEndpoints* brittle;
  };

  // Selects the checks that apply.
  enum class Scope {
    kAll,
    // A rate limit blocks only if no permit can be requested either.
    kAllowPermitRequest,
    // Rate limits and brittle endpoints' capacity are not checked.
    kIgnoreLimits,
    kIgnoreLimitsAndBackoffs,  // nor are back-offs requested by endpoints
  };

  explicit SendEligibility(const Dependencies& dependencies)
      : dependencies_(dependencies) {}

  // Returns whether the endpoint passes all checks in `scope`.
  bool IsEligible(const ListedEndpoint& endpoint, Scope scope,
                  TimePoint now) const;
  // Returns the estimated time until the endpoint passes all checks, or zero
  // if it passes them now.
  nanoseconds TimeUntilEligible(const ListedEndpoint& endpoint,
                                TimePoint now) const;

  // Returns whether the endpoint reports a rate limit and this box holds no
  // permit for it.
  bool NeedsPermit(const std::string& endpoint, TimePoint now) const {
    return !dependencies_.permits->MaySend(endpoint, now);
  }

  // Records that a request is sent to the endpoint, which serves
  // `max_in_flight` requests at a time.
  void RecordSend(const std::string& endpoint, size_t max_in_flight,
                  TimePoint now) const;

 private:
  // Returns the time until the check passes; zero or less if it passes now.
  using Check = nanoseconds (SendEligibility::*)(const ListedEndpoint&, Scope,
                                                 TimePoint) const;
  static const Check kChecks[];

  nanoseconds TimeUntilReachable(const ListedEndpoint& endpoint, Scope scope,
                                 TimePoint now) const;
  nanoseconds TimeUntilBackoffEnds(const ListedEndpoint& endpoint, Scope scope,
                                   TimePoint now) const;
  nanoseconds TimeUntilSlowStartAdmits(const ListedEndpoint& endpoint,
                                       Scope scope, TimePoint now) const;
  nanoseconds TimeUntilCapacityShare(const ListedEndpoint& endpoint,
                                     Scope scope, TimePoint now) const;
  nanoseconds TimeUntilPermit(const ListedEndpoint& endpoint, Scope scope,
                              TimePoint now) const;

  const Dependencies dependencies_;
};

}  // namespace leverwick

#endif  // LEVERWICK_SEND_ELIGIBILITY_H_
