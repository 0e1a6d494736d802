// Detects a version that performs worse than its baseline, with few requests
// and few false alarms.
//
// Every response of a monitored version is compared with the responses of the
// version that it replaces. The score is the log likelihood ratio of "as bad as
// the limits forbid" to "as good as the baseline", summed separately for
// errors, latency, ratings, the time to first byte and streams that break off.
// Each box sums its own scores, and the sums of all boxes add up per metric: a
// metric that can't see a fault would otherwise count in the version's favour
// and outweigh the one that sees it. When a total exceeds its minimum by more
// than a threshold, the version is tripped (a CUSUM test). A trip is permanent:
// only a new subject (an operator's edit) starts over.
//
// A box that restarts begins its sums at zero, under the same name and with a
// new incarnation number; what it reported before the restart still counts.
//
//   RegressionDetector detector("box-a1-7f");
//   detector.RecordResponse("rollout/spring", limits, baseline, observation);
//   if (detector.IsTripped("rollout/spring", &reason)) ...

#ifndef LEVERWICK_REGRESSION_DETECTOR_H_
#define LEVERWICK_REGRESSION_DETECTOR_H_

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

struct RegressionLimits {
  double max_error_increase = 0.05;
  double max_rating_drop = 0.1;
  double max_latency_ratio = 1.5;
  // Number of assumed responses that are added to the baseline's, so that a
  // small baseline can be compared with, and the share of them that is assumed
  // to have failed. With 0 such a baseline scores nothing.
  double prior_responses = 0;
  double prior_error_share = 0.1;
  // Lower bound on the error share that a baseline is taken to have.
  double min_error_share = 0.005;
};

RegressionLimits ToRegressionLimits(const Rollout& rollout);

enum class TimingMetric {
  kInterEventTime,   // from one event of a stream to the next
  kTimeToFirstByte,  // until a response begins
};

// Thread-safe.
class RegressionDetector {
 public:
  // The mean number of responses between false trips grows exponentially with
  // the threshold.
  static constexpr double kThreshold = 14;

  explicit RegressionDetector(std::string box, double threshold = kThreshold);

  // Records a response of the subject, scored against the responses in
  // `baseline`.
  void RecordResponse(const std::string& subject,
                      const RegressionLimits& limits,
                      const VersionStats& baseline,
                      const Observation& observation);
  // Records whether a timed response was slow, by a bound that few responses of
  // a healthy version exceed. For callers that can't compare with the baseline
  // directly, because the subject gets less load than it.
  void RecordTiming(const std::string& subject, bool slow,
                    TimingMetric metric = TimingMetric::kInterEventTime);
  // Records that a stream completed or broke off. The errors of `baseline` are
  // the streams of the previous version that broke off.
  void RecordStreamEnd(const std::string& subject,
                       const RegressionLimits& limits,
                       const VersionStats& baseline, bool broken);
  void RecordRating(const std::string& subject, const RegressionLimits& limits,
                    const VersionStats& baseline, double rating);

  // Accounts for responses that boxes don't report. Boxes report only scores
  // against the subject, so that a healthy one causes no reports. Each of
  // `boxes` boxes is assumed to have timed `responses` responses by now, or the
  // mean of the boxes that have reported if that is more (a box that has just
  // started has seen none); those that a box has timed since its last report
  // are assumed not to have been slow. Without this, the occasional slow
  // responses of any version add up in a large fleet and stop a healthy
  // version.
  void AssumeResponses(const std::string& subject, size_t boxes,
                       double responses);

  // Applies the sums of another incarnation, which may be an earlier one of
  // this box.
  void Merge(const GuardSum& sum) { Merge(std::vector<GuardSum>{sum}); }
  // Applies all sums before any subject is evaluated, since some of them may
  // lower its score.
  void Merge(const std::vector<GuardSum>& sums);

  // Trips the subject because another box has, or because the log says so.
  void Trip(const std::string& subject, const std::string& reason);

  bool IsTripped(const std::string& subject, std::string* reason) const;

  // Returns the subject's highest score as a fraction of the threshold: 0 for
  // no sign of a regression, 1 when tripped.
  double NormalizedScore(const std::string& subject) const;

  // Returns the number of responses of the subject that all boxes counted.
  uint64_t ResponseCount(const std::string& subject) const;

  // This incarnation's sums, and every trip, for exchange.
  std::vector<GuardSum> own_sums() const;
  std::vector<RolloutTrip> trips() const;

  // Removes subjects that are not in `subjects`.
  void RetainOnly(const std::vector<std::string>& subjects);

 private:
  static constexpr size_t kMetricCount = 5;
  using Totals = std::array<double, kMetricCount>;

  struct Subject {
    GuardSum own;
    // By box and incarnation.
    std::map<std::pair<std::string, uint64_t>, GuardSum> others;
    Totals minimum{};  // that each total has reached
    size_t boxes = 1;
    double assumed_responses = 0;  // of each box by now
    bool is_tripped = false;
    std::string reason;
  };

  // Returns the number of responses that each other box has reported.
  std::map<std::string, double> ReportedResponses(const Subject& subject) const;
  void RaiseAssumedResponses(Subject* subject, double responses) const;
  // Returns the number of responses that the other boxes are assumed to have
  // timed since their last reports.
  double UnreportedResponses(const Subject& subject) const;
  Totals ComputeTotals(const Subject& subject) const;
  // Updates the minima and trips the subject if a total exceeds the threshold.
  void UpdateTrip(Subject* subject);

  const std::string box_;
  const uint64_t incarnation_;
  const double threshold_;
  mutable std::mutex mutex_;
  std::map<std::string, Subject> subjects_;
};

}  // namespace leverwick

#endif  // LEVERWICK_REGRESSION_DETECTOR_H_
