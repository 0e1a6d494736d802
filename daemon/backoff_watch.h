// The back-offs that endpoints ask for, as this box hears of them, with the
// lines and metrics that tell operators.
//
//   BackoffWatch watch(seed, &directory, &metrics);
//   watch.Answered(endpoint, answer, request_id, now);
//   watch.backoffs()->Sent(endpoint, now);
//   watch.Expire(now);

#ifndef DAEMON_BACKOFF_WATCH_H_
#define DAEMON_BACKOFF_WATCH_H_

#include <cstdint>
#include <string>

#include "daemon/dialect.h"
#include "daemon/endpoint_directory.h"
#include "leverwick/backoffs.h"
#include "net/metrics.h"

namespace leverwick {

// Not thread-safe.
class BackoffWatch {
 public:
  // The directory and the metrics must outlive this.
  BackoffWatch(uint64_t seed, const EndpointDirectory* directory,
               Metrics* metrics)
      : backoffs_(seed), directory_(directory), metrics_(metrics) {}

  // The head of an answer to a request of that id came.
  void Answered(const std::string& endpoint, const AnswerHead& answer,
                const std::string& request_id, TimePoint now);

  Backoffs* backoffs() { return &backoffs_; }
  const Backoffs* backoffs() const { return &backoffs_; }

  // A line for each back-off that is over.
  void Expire(TimePoint now);

  // An endpoint's back-off, when it was asked for and what this box has sent
  // there since, for lines; "none" without one.
  std::string Describe(const std::string& endpoint, TimePoint now) const;
  // The same of some of a service's endpoints.
  std::string DescribeService(const std::string& service, TimePoint now) const;

 private:
  Backoffs backoffs_;
  const EndpointDirectory* const directory_;
  Metrics* const metrics_;
};

}  // namespace leverwick

#endif  // DAEMON_BACKOFF_WATCH_H_
