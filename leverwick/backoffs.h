// The back-offs that endpoints ask this box for: how long each wants no request
// of it, in a 503 with a time to come back.
//
// Each answer binds for its own time, so that the latest end holds whatever
// other answers say; a success ends nothing, since it may be that of a request
// sent before. The time is the box's own: an endpoint that turns one box away
// may serve another. Where a back-off ends, requests return step by step.
//
//   Backoffs backoffs;
//   backoffs.Asked(endpoint, milliseconds(3000), now);
//   if (backoffs.OpensIn(endpoint, now) <= nanoseconds(0)) {
//     backoffs.Sent(endpoint, now);
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
  TimePoint asked_at{};  // when the answer came that holds longest
  milliseconds time{0};  // that it asks for
  TimePoint until{};     // when requests may return
  size_t sent = 0;       // requests since its beginning
  size_t returned = 0;   // of these, those after its end
};

struct EndedBackoff {
  std::string endpoint;
  Backoff backoff;
};

// Not thread-safe.
class Backoffs {
 public:
  // An endpoint that asks for longer is tried again after this: it may have
  // mistaken the unit, and only an answer tells that it is back.
  static constexpr std::chrono::minutes kLongest{5};
  // After the end one request may go in the first step, two in the second, four
  // in the third: an endpoint with nothing to do looks best to every box.
  static constexpr milliseconds kStep{50};
  static constexpr int kSteps = 6;

  // An answer that came at `now` asks for it. True if none was under way.
  bool Asked(const std::string& endpoint, milliseconds time, TimePoint now);
  // A request goes to the endpoint.
  void Sent(const std::string& endpoint, TimePoint now);

  // Until the endpoint may get a request of this box; zero or less: now.
  nanoseconds OpensIn(const std::string& endpoint, TimePoint now) const;

  // The endpoint has started again: what it asked for before is over.
  void Forget(const std::string& endpoint) { backoffs_.erase(endpoint); }

  // Null: the endpoint has asked for none, or its end was long ago.
  const Backoff* Find(const std::string& endpoint) const;
  bool any() const { return !backoffs_.empty(); }
  size_t size() const { return backoffs_.size(); }
  std::vector<std::string> endpoints() const;

  // Forgets and returns those after which all requests are back.
  std::vector<EndedBackoff> Expire(TimePoint now);

 private:
  std::unordered_map<std::string, Backoff> backoffs_;  // by endpoint
};

}  // namespace leverwick

#endif  // LEVERWICK_BACKOFFS_H_
