// Deals out a rate in grants of one request each.
//
// A box that grants knows nothing of what was granted before it started, so the
// first grant comes one interval after the first ask. No more is saved up than
// what an ask may come late by: a pause of the callers is no burst after it.
//
//   RateGrants grants;
//   RateGrants::Answer answer = grants.Ask("endpoint", 1.5, now);
//   if (!answer.granted) ... answer.room_in

#ifndef LEVERWICK_GRANT_PACER_H_
#define LEVERWICK_GRANT_PACER_H_

#include <string>
#include <unordered_map>

#include "leverwick/time.h"

namespace leverwick {

// Not thread-safe.
class RateGrants {
 public:
  struct Answer {
    bool granted = false;
    nanoseconds room_in{0};  // until the next grant, where nothing was granted
  };

  // `per_second`: above zero; may differ from ask to ask.
  Answer Ask(const std::string& endpoint, double per_second, TimePoint now);

  // Forgets endpoints that nobody has asked for in long.
  void Expire(TimePoint now);
  size_t size() const { return paces_.size(); }

 private:
  struct Pace {
    TimePoint paid{};   // one interval before the next grant
    TimePoint asked{};  // last
  };
  std::unordered_map<std::string, Pace> paces_;
};

}  // namespace leverwick

#endif  // LEVERWICK_GRANT_PACER_H_
