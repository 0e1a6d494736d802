// AttemptHistory decides what happens to a request after each attempt at an
// endpoint.
//
// It keeps requests from running twice by accident: a request that may have run
// is retried only if its route is repeatable; the number of endpoints that a
// request is sent to is bounded; and "not run" is returned only if no attempt
// has run or may still run.
//
//   AttemptHistory history(route.repeatable(), route.max_attempts);
//   history.RecordAttempt();
//   NextStep step =
//       history.DecideNextStep(AttemptOutcome::kRefused, may_retry);

#ifndef LEVERWICK_ATTEMPT_HISTORY_H_
#define LEVERWICK_ATTEMPT_HISTORY_H_

namespace leverwick {

// How an attempt ended that returned no response to forward to the caller.
enum class AttemptOutcome {
  kNotSent,  // no byte of the request can have reached the endpoint
  kRefused,  // the endpoint reports that it has not run the request
  kFailed,   // the endpoint ran it and returned a failure
  kBroken,   // it was sent, and its outcome is unknown
};

enum class NextStep {
  kRetry,           // at another endpoint
  kRespondNotRun,   // nothing has run; the caller may retry
  kForwardFailure,  // forward the endpoint's own failure
  kRespondUnknown,  // the outcome is unknown; it may have run
};

// For logs and metrics.
const char* NameOf(AttemptOutcome outcome);
const char* NameOf(NextStep step);

class AttemptHistory {
 public:
  AttemptHistory(bool repeatable, int max_attempts)
      : repeatable_(repeatable), max_attempts_(max_attempts) {}

  // Records the start of an attempt that sends the request to `endpoints`
  // endpoints at most.
  void RecordAttempt(int endpoints = 1) {
    last_endpoints_ = endpoints;
    attempts_ += endpoints;
  }

  // Records that the response of an attempt was discarded in favour of a better
  // one. The request has run.
  void RecordDiscardedResponse() { may_have_run_ = true; }

  // Records the outcome of the latest attempt and returns what to do next.
  // `may_retry` is true if the retry budget and the remaining time allow
  // another attempt.
  NextStep DecideNextStep(AttemptOutcome outcome, bool may_retry);

  // Returns whether some attempt has run or may have run.
  bool may_have_run() const { return may_have_run_; }
  int attempts() const { return attempts_; }
  int attempts_left() const { return max_attempts_ - attempts_; }
  bool has_attempts_left() const { return attempts_left() > 0; }

 private:
  const bool repeatable_;
  const int max_attempts_;
  int attempts_ = 0;
  int last_endpoints_ = 0;  // of the latest attempt
  bool may_have_run_ = false;
};

}  // namespace leverwick

#endif  // LEVERWICK_ATTEMPT_HISTORY_H_
