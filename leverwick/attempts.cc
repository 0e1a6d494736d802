// A try that reached no endpoint gives its attempt back: the bound is on
// endpoints that a request is sent to.

#include "leverwick/attempts.h"

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

NextStep AttemptLog::After(AttemptOutcome outcome, bool may_resend) {
  if (outcome == AttemptOutcome::kNotSent) --attempts_;
  if (outcome == AttemptOutcome::kFailed ||
      outcome == AttemptOutcome::kBroken) {
    may_have_run_ = true;
  }
  bool allowed = !may_have_run_ || repeatable_;
  if (allowed && may_resend && attempts_left()) return NextStep::kTryAgain;
  if (!may_have_run_) return NextStep::kAnswerNotRun;
  return outcome == AttemptOutcome::kFailed ? NextStep::kAnswerFailure
                                            : NextStep::kAnswerUnknown;
}

}  // namespace leverwick
