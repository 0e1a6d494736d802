#include "leverwick/poison_verdict.h"

#include <algorithm>
#include <utility>

namespace leverwick {

PoisonVerdict StricterVerdict(PoisonVerdict a, PoisonVerdict b) {
  if (a.kind < b.kind) std::swap(a, b);
  a.parts.insert(a.parts.end(), b.parts.begin(), b.parts.end());
  a.crashes = std::max(a.crashes, b.crashes);
  a.may_claim_trial = a.may_claim_trial || b.may_claim_trial;
  // The request has to wait for the later of two trials.
  bool both_wait = a.kind == b.kind && a.time_until_trial && b.time_until_trial;
  if (both_wait) {
    a.time_until_trial = std::max(*a.time_until_trial, *b.time_until_trial);
  } else if (a.kind == b.kind && !b.time_until_trial) {
    a.time_until_trial.reset();
  }
  return a;
}

}  // namespace leverwick
