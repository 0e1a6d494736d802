// Stops a version that turns bad, with few requests and few false alarms.
//
// The guard weighs every answer of a version under watch against the answers
// of the version it replaces: the log likelihood ratio of "as bad as the
// limits forbid" to "as good as before", for errors, latency and ratings. Each
// box sums its own; the sums of all boxes add up. When the total has risen by
// more than a threshold above its lowest value, the version is tripped. A trip
// is remembered for good: only a new subject (an operator's edit) starts anew.
//
//   Guard guard("box-a1-7f");
//   guard.Answered("rollout/spring", limits, baseline, observation);
//   if (guard.Tripped("rollout/spring", &why)) ...

#ifndef LEVERWICK_GUARD_H_
#define LEVERWICK_GUARD_H_

#include <array>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "leverwick/estimates.h"
#include "schema/peer.pb.h"
#include "schema/table.pb.h"

namespace leverwick {

struct GuardLimits {
  double error_increase = 0.05;
  double rating_drop = 0.1;
  double latency_ratio = 1.5;
  // Answers that a baseline of few answers is padded with, and the share of
  // them that is taken to have failed; 0: such a baseline weighs nothing.
  double prior_answers = 0;
  double prior_errors = 0.1;
};

GuardLimits LimitsOf(const Rollout& rollout);

// Thread-safe.
class Guard {
 public:
  // The mean number of answers between false trips grows as exp of this.
  static constexpr double kThreshold = 14;

  explicit Guard(std::string life, double threshold = kThreshold)
      : life_(std::move(life)), threshold_(threshold) {}

  // An answer of the subject; `baseline` are the answers it is held against.
  void Answered(const std::string& subject, const GuardLimits& limits,
                const VersionView& baseline, const Observation& observation);
  // An answer was timed and held to be slow, or not, by a measure that few of
  // a sound version's answers exceed. For callers that can't take the baseline
  // as it is, because the subject bears less load than it.
  void Timed(const std::string& subject, bool slow);
  void Rated(const std::string& subject, const GuardLimits& limits,
             const VersionView& baseline, double rating);

  // Boxes tell each other only what speaks against the subject, so that a sound
  // one costs no calls. Of `boxes` in all, those that have told nothing are
  // taken to have timed `answers` each, none of them slow. Without this the
  // slow answers that every version has, one here and one there, add up in a
  // large fleet: on 91 boxes a sound version was stopped in 3 of 7 plays.
  void Presume(const std::string& subject, size_t boxes, double answers);

  // Takes another life's sums.
  void Merge(const GuardSum& sum);

  // Another box tripped the subject, or the log says so.
  void Trip(const std::string& subject, const std::string& why);

  bool Tripped(const std::string& subject, std::string* why) const;

  // How near the subject is to a trip: 0 not at all, 1 tripped.
  double Suspicion(const std::string& subject) const;

  // Answers of the subject counted by all boxes.
  uint64_t Answers(const std::string& subject) const;

  // This life's sums, and every trip, for exchange.
  std::vector<GuardSum> own() const;
  std::vector<RolloutTrip> trips() const;

  // Forgets subjects that are not in `subjects`.
  void Keep(const std::vector<std::string>& subjects);

 private:
  struct Subject {
    GuardSum own;
    std::map<std::string, GuardSum> others;  // by life
    double lowest[3] = {0, 0, 0};            // of the totals
    size_t boxes = 1;
    double presumed = 0;  // answers of each box that has told nothing
    bool tripped = false;
    std::string why;
  };

  static std::array<double, 3> Totals(const Subject& subject);
  void Check(Subject* subject);

  const std::string life_;
  const double threshold_;
  mutable std::mutex mutex_;
  std::map<std::string, Subject> subjects_;
};

}  // namespace leverwick

#endif  // LEVERWICK_GUARD_H_
