// Stops a version that turns bad, with few requests and few false alarms.
//
// The guard weighs every answer of a version under watch against the answers
// of the version it replaces: the log likelihood ratio of "as bad as the
// limits forbid" to "as good as before", for errors, latency, ratings, the time
// until an answer begins and streams that break off. Each box sums its own; the
// sums of all boxes add up, for each measure by itself: one that can't see a
// fault would else speak for the version and outweigh the one that sees it.
// When a total has risen by more than a threshold above its lowest value, the
// version is tripped. A trip is remembered for good: only a new subject (an
// operator's edit) starts anew.
//
// A box that starts again begins its sums at zero, under the same name and with
// another number; what it told before its start still counts.
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
#include <utility>
#include <vector>

#include "leverwick/version_estimates.h"
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
  // The least share of a baseline's answers that is taken to have failed.
  double least_errors = 0.005;
};

GuardLimits LimitsOf(const Rollout& rollout);

// What a time is that is held against a bound.
enum class TimeMeasure {
  kPace,   // from one event of a stream to the next
  kBegin,  // until an answer begins
};

// Thread-safe.
class Guard {
 public:
  // The mean number of answers between false trips grows as exp of this.
  static constexpr double kThreshold = 14;

  explicit Guard(std::string life, double threshold = kThreshold);

  // An answer of the subject; `baseline` are the answers it is held against.
  void Answered(const std::string& subject, const GuardLimits& limits,
                const VersionStats& baseline, const Observation& observation);
  // An answer was timed and held to be slow, or not, by a measure that few of
  // a sound version's answers exceed. For callers that can't take the baseline
  // as it is, because the subject bears less load than it.
  void Timed(const std::string& subject, bool slow,
             TimeMeasure measure = TimeMeasure::kPace);
  // A stream came whole, or broke off; `baseline`: how often those of the
  // version before broke off, as errors.
  void Ended(const std::string& subject, const GuardLimits& limits,
             const VersionStats& baseline, bool broken);
  void Rated(const std::string& subject, const GuardLimits& limits,
             const VersionStats& baseline, double rating);

  // Boxes tell each other only what speaks against the subject, so that a sound
  // one costs no calls. `boxes` in all are taken to have timed `answers` each
  // by now, or as many as those that told had on average if that is more (a box
  // that has just started has seen none), and those that a box has timed since
  // it last told are taken not to have been slow. Without this the slow answers
  // that every version has, one here and one there, add up in a large fleet,
  // and stop a sound version.
  void Presume(const std::string& subject, size_t boxes, double answers);

  // Takes another life's sums, also those of an earlier one of this box.
  void Merge(const GuardSum& sum) { Merge(std::vector<GuardSum>{sum}); }
  // All of them count before any does: some may speak for a subject.
  void Merge(const std::vector<GuardSum>& sums);

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
  static constexpr size_t kMeasures = 5;
  using Totals = std::array<double, kMeasures>;

  struct Subject {
    GuardSum own;
    // By life and start.
    std::map<std::pair<std::string, uint64_t>, GuardSum> others;
    Totals lowest{};  // of the totals
    size_t boxes = 1;
    double presumed = 0;  // answers of each box by now
    bool tripped = false;
    std::string why;
  };

  // Answers that each other box had counted when it told.
  std::map<std::string, double> ToldBy(const Subject& subject) const;
  void RaisePresumed(Subject* subject, double answers) const;
  // Answers that the other boxes are taken to have timed since they told.
  double Untold(const Subject& subject) const;
  Totals TotalsOf(const Subject& subject) const;
  void Check(Subject* subject);

  const std::string life_;
  const uint64_t start_;
  const double threshold_;
  mutable std::mutex mutex_;
  std::map<std::string, Subject> subjects_;
};

}  // namespace leverwick

#endif  // LEVERWICK_GUARD_H_
