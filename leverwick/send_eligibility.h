// Whether this box may send an endpoint a request now, and if not, from when
// on.
//
// Each gate is one reason to keep requests from an endpoint for a time: it is
// beyond reach, has asked for a back-off, is cold and has been given what it
// bears, or names a limit within which there is no room. All kinds of sends ask
// here: first ones, second tries, larger models and streams that go on
// elsewhere.
//
//   SendGates gates({&reach, &backoffs, &slow_start, &permits});
//   if (gates.IsOpen(endpoint, SendGates::Scope::kAll, now)) {
//     gates.Sent(endpoint.address, now);
//   }

#ifndef LEVERWICK_SEND_ELIGIBILITY_H_
#define LEVERWICK_SEND_ELIGIBILITY_H_

#include <string>

#include "leverwick/backoffs.h"
#include "leverwick/endpoints.h"
#include "leverwick/reachability.h"
#include "leverwick/send_permits.h"
#include "leverwick/slow_start.h"
#include "leverwick/time.h"

namespace leverwick {

class SendGates {
 public:
  // All of them must outlive the gates.
  struct Parts {
    Reachability* reach;
    Backoffs* backoffs;
    SlowStart* slow_start;
    SendPermits* permits;
  };

  // Which gates a question is about.
  enum class Scope {
    kAll,
    kAskPermits,       // a limit keeps out only if no permit can be asked for
    kIgnoreLimits,     // limits are left out
    kIgnoreRequested,  // limits and back-offs, which endpoints ask for, are
  };

  explicit SendGates(const Parts& parts) : parts_(parts) {}

  bool IsOpen(const ListedEndpoint& endpoint, Scope scope, TimePoint now) const;
  // Until all gates may be open, as far as is known; zero: now.
  nanoseconds OpensIn(const ListedEndpoint& endpoint, TimePoint now) const;

  // Whether only a permit is lacking that may be asked for.
  bool NeedsPermit(const std::string& endpoint, TimePoint now) const {
    return !parts_.permits->MaySend(endpoint, now);
  }

  // A request goes to the endpoint.
  void Sent(const std::string& endpoint, TimePoint now) const;

 private:
  // Until the gate opens; zero or less: it is open.
  using Gate = nanoseconds (SendGates::*)(const ListedEndpoint&, Scope,
                                          TimePoint) const;
  static const Gate kGates[];

  nanoseconds Reach(const ListedEndpoint& endpoint, Scope scope,
                    TimePoint now) const;
  nanoseconds Backoff(const ListedEndpoint& endpoint, Scope scope,
                      TimePoint now) const;
  nanoseconds SlowStarting(const ListedEndpoint& endpoint, Scope scope,
                           TimePoint now) const;
  nanoseconds Limit(const ListedEndpoint& endpoint, Scope scope,
                    TimePoint now) const;

  const Parts parts_;
};

}  // namespace leverwick

#endif  // LEVERWICK_SEND_ELIGIBILITY_H_
