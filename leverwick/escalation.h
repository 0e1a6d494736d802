// Whether a larger model can still finish its answer in the time that is left.
//
// Answers the load of an overloaded pool: there a larger model's stream begins
// within the objective and is then cut at the caller's deadline, since its
// events come slowly. The caller would have been served better by the weak
// answer that was dropped for it, and the work is lost to others. So what
// counts is when the whole answer is expected: the time until it begins, and
// its events at the pace of this moment.
//
// Events come as often as the model makes them, and later by what the engines
// read for others meanwhile: reading holds up every stream of an engine alike.
// So a stream's pace is taken apart into that of its kind (route and model),
// learned slowly, and a hold-up that all kinds share, learned quickly and
// fading: a box of a large fleet sees few streams of a large model, but many.
//
//   Escalation escalation;
//   escalation.Streamed(stream, now);
//   StreamKind kind{"chat", "large", tokens};
//   bool fits = escalation.Fits(kind, begins_in, left, now);

#ifndef LEVERWICK_ESCALATION_H_
#define LEVERWICK_ESCALATION_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>

#include "leverwick/time.h"

namespace leverwick {

// When an answer is expected. What others hold up is uncertain; the rest is the
// request's own.
struct ExpectedTime {
  Seconds own{0};
  Seconds held_up{0};
};

// Whose answer is streamed.
struct StreamKind {
  std::string route;
  std::string model;
  int64_t tokens = 0;  // that the caller allowed the answer; 0: not told
};

// A stream that has ended, whole or cut.
struct ObservedStream {
  StreamKind kind;
  size_t events = 0;
  Seconds span{0};  // from its first event to its last, or to the cut
  bool whole = false;
};

// Not thread-safe.
class Escalation {
 public:
  void Streamed(const ObservedStream& stream, TimePoint now);

  // Whether an answer that begins after `begins_in` is expected to be whole
  // within `left`.
  bool Fits(const StreamKind& kind, const ExpectedTime& begins_in, Seconds left,
            TimePoint now) const;

  // From an answer's first event to its last, as expected now.
  ExpectedTime ExpectedSpan(const StreamKind& kind, TimePoint now) const;

  // What is added to the time between two events by others' prompts now.
  Seconds HoldUp(TimePoint now) const;

 private:
  // Of a route's whole answers, on average.
  struct Length {
    double events = 0;            // 0: not known
    double events_per_token = 0;  // 0: not known
  };
  // Seconds between a kind's events where nothing holds them up; 0: not known.
  struct Pace {
    double seconds = 0;
    TimePoint at{};
  };

  void LearnLength(const ObservedStream& stream);
  static void LearnPace(Pace* pace, double seen, TimePoint now);

  std::unordered_map<std::string, Length> lengths_;  // by route
  std::unordered_map<std::string, Pace> paces_;      // by route and model
  double hold_up_ = 0;                               // seconds
  TimePoint hold_up_at_{};
};

}  // namespace leverwick

#endif  // LEVERWICK_ESCALATION_H_
