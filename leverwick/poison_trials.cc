#include "leverwick/poison_trials.h"

#include <algorithm>
#include <iterator>

#include "leverwick/digest.h"

namespace leverwick {
namespace {

// Time until the next trial, after the last crash or trial. The first trial is
// early, to release requests that were quarantined by mistake. Each failed
// trial makes a mistake less likely, and a trial may cost everything that runs
// on an endpoint.
constexpr std::chrono::seconds kTrialIntervals[] = {
    std::chrono::seconds(10), std::chrono::minutes(1), std::chrono::minutes(10),
    std::chrono::hours(1)};
// The time until a trial when no version that the request crashed is listed any
// more. It allows for differences between the lists of the boxes.
constexpr std::chrono::seconds kNewVersionTrialDelay{2};

}  // namespace

TimePoint NextTrialTime(const TrialHistory& history) {
  size_t last_interval = std::size(kTrialIntervals) - 1;
  std::chrono::seconds interval =
      kTrialIntervals[std::min(history.trials, last_interval)];
  // A version that the request has not crashed gets one early trial.
  if (!history.crashed_version_listed && history.trials < last_interval)
    interval = kNewVersionTrialDelay;
  double stagger = UnitHash(history.stagger_key);
  return history.last_event_at + interval +
         FromSeconds(ToSeconds(kTrialStagger) * stagger);
}

}  // namespace leverwick
