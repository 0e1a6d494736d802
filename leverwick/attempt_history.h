// What happens to a request after one try at an endpoint.
//
// The rules that keep a request from running twice, in one place: a request
// that may have run is sent again only when its route lets it run again; the
// number of endpoints it is sent to is bounded; and "not run" is answered only
// while no try of it can have run or will.
//
//   AttemptLog log(route.repeatable(), route.max_attempts);
//   log.RecordAttempt();
//   NextStep step = log.DecideNextStep(AttemptOutcome::kRefused, may_retry);

#ifndef LEVERWICK_ATTEMPT_HISTORY_H_
#define LEVERWICK_ATTEMPT_HISTORY_H_

namespace leverwick {

// How one try ended when it did not end with an answer to pass on.
enum class AttemptOutcome {
  kNotSent,  // no byte of the request can have reached the endpoint
  kRefused,  // the endpoint says that it has not run the request
  kFailed,   // the endpoint ran it and answered with a failure
  kBroken,   // it was sent, and what became of it is not known
};

enum class NextStep {
  kRetry,           // at another endpoint
  kRespondNotRun,   // nothing has run; the caller may come back
  kForwardFailure,  // pass the endpoint's own failure on
  kRespondUnknown,  // it may have run
};

// For logs and metrics.
const char* NameOf(AttemptOutcome outcome);
const char* NameOf(NextStep step);

class AttemptHistory {
 public:
  AttemptHistory(bool repeatable, int max_attempts)
      : repeatable_(repeatable), max_attempts_(max_attempts) {}

  // A try begins; it counts as one endpoint that the request is sent to.
  void RecordAttempt() { ++attempts_; }

  // The try's answer was given up for a better one: it has run.
  void RecordDiscardedResponse() { may_have_run_ = true; }

  // `may_retry`: the retry budget and the time left allow another try.
  NextStep DecideNextStep(AttemptOutcome outcome, bool may_retry);

  // Whether some try has run or may have run.
  bool may_have_run() const { return may_have_run_; }
  int attempts() const { return attempts_; }
  bool has_attempts_left() const { return attempts_ < max_attempts_; }

 private:
  const bool repeatable_;
  const int max_attempts_;
  int attempts_ = 0;
  bool may_have_run_ = false;
};

}  // namespace leverwick

#endif  // LEVERWICK_ATTEMPT_HISTORY_H_
