// An attempt that did not reach an endpoint does not count: the limit is on the
// number of endpoints that a request is sent to.

#include "leverwick/attempt_history.h"

namespace leverwick {

const char* NameOf(AttemptOutcome outcome) {
  static const char* const kNames[] = {"not_sent", "refused", "failed",
                                       "broken"};
  return kNames[static_cast<int>(outcome)];
}

const char* NameOf(NextStep step) {
  static const char* const kNames[] = {"try_again", "answer_not_run",
                                       "answer_failure", "answer_unknown"};
  return kNames[static_cast<int>(step)];
}

NextStep AttemptHistory::DecideNextStep(AttemptOutcome outcome,
                                        bool may_retry) {
  if (outcome == AttemptOutcome::kNotSent) attempts_ -= last_endpoints_;
  if (outcome == AttemptOutcome::kFailed ||
      outcome == AttemptOutcome::kBroken) {
    may_have_run_ = true;
  }
  bool allowed = !may_have_run_ || repeatable_;
  if (allowed && may_retry && has_attempts_left()) return NextStep::kRetry;
  if (!may_have_run_) return NextStep::kRespondNotRun;
  return outcome == AttemptOutcome::kFailed ? NextStep::kForwardFailure
                                            : NextStep::kRespondUnknown;
}

}  // namespace leverwick
