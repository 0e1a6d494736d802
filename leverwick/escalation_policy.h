// Decides whether a larger model can complete its response before the deadline
// of the request.
//
// In an overloaded pool, the stream of a larger model starts within the latency
// objective but is then cut off at the caller's deadline, because its events
// arrive slowly. The caller would have been better served by the weak response
// that was discarded for it, and the work on the stream is wasted. The decision
// is therefore based on the expected time of the complete response: the time to
// its first event, plus its events at their current intervals.
//
// The interval between two events is the time that the model takes to generate
// an event, plus a contention delay: while an engine reads the prompt of
// another request, all its streams are delayed alike. The interval of each kind
// of stream (route and model) is estimated separately and adapts slowly. The
// contention delay is shared by all kinds, adapts quickly and decays, because a
// box of a large fleet observes few streams of a large model but many in total.
//
//   EscalationPolicy escalation;
//   escalation.RecordStream(stream, now);
//   StreamKind kind{"chat", "large", max_tokens};
//   bool fits = escalation.FitsDeadline(kind, time_to_first_event, slowness,
//                                       time_left, now);

#ifndef LEVERWICK_ESCALATION_POLICY_H_
#define LEVERWICK_ESCALATION_POLICY_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>

#include "leverwick/time.h"

namespace leverwick {

// An expected time in two parts: `base` is what the request itself takes, and
// `contention` is the delay caused by other requests, which varies more.
struct TimeEstimate {
  Seconds base{0};
  Seconds contention{0};
};

// The kind of a stream, with the limit on its length.
struct StreamKind {
  std::string route;
  std::string model;
  int64_t max_tokens = 0;  // set by the caller for the response; 0: no limit
};

// A stream that has ended, either complete or cut off.
struct ObservedStream {
  StreamKind kind;
  size_t events = 0;
  Seconds duration{0};  // from the first event to the last, or to the cut-off
  bool is_complete = false;
  double slowness = 1;  // of its endpoint (leverwick/endpoint_speeds.h)
};

// Not thread-safe.
class EscalationPolicy {
 public:
  void RecordStream(const ObservedStream& stream, TimePoint now);

  // Returns whether a response that starts after `time_to_first_event` is
  // expected to be complete within `time_left` at an endpoint of the given
  // slowness.
  bool FitsDeadline(const StreamKind& kind,
                    const TimeEstimate& time_to_first_event, double slowness,
                    Seconds time_left, TimePoint now) const;

  // Returns the expected time from the first event of a response to its last,
  // at an endpoint of average speed.
  TimeEstimate EstimateDuration(const StreamKind& kind, TimePoint now) const;

  // Returns the current delay between two events that is caused by the prompts
  // of other requests.
  Seconds ContentionDelay(TimePoint now) const;

 private:
  // The mean length of a route's complete responses.
  struct ResponseLength {
    double events = 0;            // 0: unknown
    double events_per_token = 0;  // 0: unknown
  };
  // The interval between two events of a kind without contention.
  struct EventInterval {
    double seconds = 0;  // 0: unknown
    TimePoint updated_at{};
  };

  void UpdateLength(const ObservedStream& stream);
  static void UpdateInterval(EventInterval* interval, double observed,
                             TimePoint now);

  std::unordered_map<std::string, ResponseLength> lengths_;  // by route
  // By route and model.
  std::unordered_map<std::string, EventInterval> event_intervals_;
  double contention_delay_s_ = 0;
  TimePoint contention_updated_at_{};
};

}  // namespace leverwick

#endif  // LEVERWICK_ESCALATION_POLICY_H_
