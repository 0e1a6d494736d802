// Tracks the back-offs that endpoints request from this box: how long after a
// 503 response an endpoint wants no requests from it.
//
// Each response is in force for its own duration, so the latest end time wins.
// A successful response does not end a back-off, since its request may have
// been sent before the refusal. Back-offs are per box: an endpoint that refuses
// one box may serve another. When a back-off ends, requests resume in
// exponentially growing steps.
//
//   Backoffs backoffs;
//   backoffs.RecordBackoff(endpoint, milliseconds(3000), now);
//   if (backoffs.TimeUntilSendAllowed(endpoint, now) <= nanoseconds(0)) {
//     backoffs.RecordSend(endpoint, now);
//   }
//   for (const EndedBackoff& ended : backoffs.Expire(now)) ...

#ifndef LEVERWICK_BACKOFFS_H_
#define LEVERWICK_BACKOFFS_H_

#include <chrono>
#include <cstddef>
#include <string>
#include <unordered_map>
#include <vector>

#include "leverwick/time.h"

namespace leverwick {

struct Backoff {
  TimePoint requested_at{};  // arrival of the response with the latest end time
  milliseconds requested_duration{0};  // in that response
  TimePoint until{};                   // requests may resume from then on
  size_t sends = 0;                    // requests sent since the back-off began
  size_t sends_after_end = 0;          // those of them sent at `until` or later
};

struct EndedBackoff {
  std::string endpoint;
  Backoff backoff;
};

// Not thread-safe.
class Backoffs {
 public:
  // Longer back-offs are shortened to this: the endpoint may have mistaken the
  // unit, and only a response shows that it has recovered.
  static constexpr std::chrono::minutes kMaxDuration{5};
  // Once a back-off has ended, one request may be sent in the first step, two
  // in the second, four in the third. Without the ramp all boxes would send to
  // the endpoint at once, since an idle endpoint has the lowest load.
  static constexpr milliseconds kRampStep{50};
  static constexpr int kRampSteps = 6;

  // Records a response, received at `now`, that requests a back-off of
  // `duration`. Returns true if the endpoint had no back-off in force.
  bool RecordBackoff(const std::string& endpoint, milliseconds duration,
                     TimePoint now);
  // Records that a request is sent to the endpoint.
  void RecordSend(const std::string& endpoint, TimePoint now);

  // Returns the time until this box may send the endpoint a request; zero or
  // less if it may now.
  nanoseconds TimeUntilSendAllowed(const std::string& endpoint,
                                   TimePoint now) const;

  // Discards the endpoint's back-off. Called when the endpoint has restarted:
  // a back-off requested before the restart no longer applies.
  void Forget(const std::string& endpoint) { backoffs_.erase(endpoint); }

  // Returns null if the endpoint has requested no back-off or the ramp after
  // its end is complete.
  const Backoff* Find(const std::string& endpoint) const;
  bool any() const { return !backoffs_.empty(); }
  size_t size() const { return backoffs_.size(); }
  std::vector<std::string> endpoints() const;

  // Removes and returns the back-offs whose ramp is complete.
  std::vector<EndedBackoff> Expire(TimePoint now);

 private:
  std::unordered_map<std::string, Backoff> backoffs_;  // by endpoint
};

}  // namespace leverwick

#endif  // LEVERWICK_BACKOFFS_H_
