// The limits that endpoints name: requests a second that an endpoint takes from
// all boxes together, for as long as its answers say so.
//
// Nothing in an answer says when it was written. It was written between the
// moment at which its request was sent and the one at which it came; where two
// answers may have been written in either order, the limit stays. So one that
// lacks the limit ends it only if its request was sent some time after the last
// answer that named it had come. That time also keeps a limit that only some
// answers name, of one model or to one caller. News of other boxes counts like
// an answer; a limit lasts until an answer ends it, since only the endpoint
// knows its need.
//
//   EndpointLimits limits;
//   limits.Named(endpoint, 2.5, now);
//   limits.NotNamed(endpoint, sent_at);
//   if (const NamedLimit* limit = limits.Find(endpoint)) ...

#ifndef LEVERWICK_ENDPOINT_LIMITS_H_
#define LEVERWICK_ENDPOINT_LIMITS_H_

#include <cstddef>
#include <string>
#include <unordered_map>
#include <vector>

#include "leverwick/time.h"

namespace leverwick {

struct NamedLimit {
  double per_second = 0;  // zero or more
  TimePoint named_at{};   // when the last answer that named it came
};

// Not thread-safe.
class EndpointLimits {
 public:
  // A limit holds this long after each answer that names it, whatever others
  // say.
  static constexpr milliseconds kHolds{500};

  // What a word of an endpoint changed.
  enum class Change { kNothing, kBegan, kOther, kEnded };

  // An answer that named a limit came at `named_at`, here or at another box.
  Change Named(const std::string& endpoint, double per_second,
               TimePoint named_at);
  // An answer that named none came for a request sent at `sent_at`.
  Change NotNamed(const std::string& endpoint, TimePoint sent_at);

  // Null: the endpoint names no limit.
  const NamedLimit* Find(const std::string& endpoint) const;
  bool any() const { return !limits_.empty(); }
  size_t size() const { return limits_.size(); }
  std::vector<std::string> endpoints() const;

  // The endpoint has started again: what its earlier life named is over, also
  // where news of it comes later.
  Change Restarted(const std::string& endpoint, TimePoint at);

  // Forgets endpoints that are no longer listed, and old ends.
  void Forget(const std::string& endpoint);
  void Expire(TimePoint now);

 private:
  std::unordered_map<std::string, NamedLimit> limits_;
  // When the last request was sent whose answer named none, or the endpoint
  // started again: older news of a limit is outdated.
  std::unordered_map<std::string, TimePoint> ended_;
};

}  // namespace leverwick

#endif  // LEVERWICK_ENDPOINT_LIMITS_H_
