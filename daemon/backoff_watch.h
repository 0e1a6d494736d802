// The back-offs that endpoints ask for, as this box hears of them, with the
// lines and metrics that tell operators.
//
//   BackoffWatch watch(&directory, &metrics);
//   watch.Answered(endpoint, answer, now);
//   watch.backoffs()->Sent(endpoint, now);
//   watch.Expire(now);

#ifndef DAEMON_BACKOFF_WATCH_H_
#define DAEMON_BACKOFF_WATCH_H_

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
  BackoffWatch(const EndpointDirectory* directory, Metrics* metrics)
      : directory_(directory), metrics_(metrics) {}

  // The head of an endpoint's answer came.
  void Answered(const std::string& endpoint, const AnswerHead& answer,
                TimePoint now);

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
