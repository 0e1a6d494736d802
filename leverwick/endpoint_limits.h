// Tracks the rate limits that endpoints report: the number of requests per
// second that an endpoint accepts from all boxes together. A limit is in force
// for as long as the endpoint's responses report it.
//
// A response carries no timestamp. It was written at some moment between the
// sending of its request and its arrival. Where two responses may have been
// written in either order, the limit stays in force. A response without the
// limit therefore removes it only if its request was sent more than
// kMinHoldTime after the arrival of the last response that reported the limit.
// This hold time also preserves a limit that only some responses report, such
// as those of one model or to one caller. A report from another box counts like
// a response. A limit does not time out: only the endpoint knows whether it
// still needs it.
//
//   EndpointLimits limits;
//   limits.RecordLimit(endpoint, 2.5, now);
//   limits.RecordNoLimit(endpoint, sent_at);
//   if (const ReportedLimit* limit = limits.Find(endpoint)) ...

#ifndef LEVERWICK_ENDPOINT_LIMITS_H_
#define LEVERWICK_ENDPOINT_LIMITS_H_

#include <cstddef>
#include <string>
#include <unordered_map>
#include <vector>

#include "leverwick/time.h"

namespace leverwick {

struct ReportedLimit {
  double requests_per_second = 0;  // zero or more
  TimePoint reported_at{};  // arrival of the last response that reported it
};

// Not thread-safe.
class EndpointLimits {
 public:
  // A limit stays in force for this long after each response that reports it,
  // whatever other responses report.
  static constexpr milliseconds kMinHoldTime{500};

  // The effect of a response or report on an endpoint's limit.
  enum class Change { kNone, kAdded, kUpdated, kRemoved };

  // Records that a response with a limit arrived at `reported_at`, at this box
  // or at another one.
  Change RecordLimit(const std::string& endpoint, double requests_per_second,
                     TimePoint reported_at);
  // Records that a response without a limit arrived for a request sent at
  // `sent_at`.
  Change RecordNoLimit(const std::string& endpoint, TimePoint sent_at);

  // Returns null if the endpoint reports no limit.
  const ReportedLimit* Find(const std::string& endpoint) const;
  bool any() const { return !limits_.empty(); }
  size_t size() const { return limits_.size(); }
  std::vector<std::string> endpoints() const;

  // Records that the endpoint restarted at `at`. A limit reported by its
  // earlier incarnation no longer applies, even if another box's report of it
  // arrives later.
  Change RecordRestart(const std::string& endpoint, TimePoint at);

  // Discards all state of an endpoint that is no longer listed.
  void Forget(const std::string& endpoint);
  // Discards old removals.
  void Expire(TimePoint now);

 private:
  std::unordered_map<std::string, ReportedLimit> limits_;  // by endpoint
  // By endpoint: when the last request was sent whose response removed a limit,
  // or when the endpoint restarted. Earlier reports of a limit are outdated.
  std::unordered_map<std::string, TimePoint> removed_at_;
};

}  // namespace leverwick

#endif  // LEVERWICK_ENDPOINT_LIMITS_H_
