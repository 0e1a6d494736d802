// A CUSUM test on sums that several boxes add to. Errors are Bernoulli
// variables; ratings and the logarithm of latency are taken as normal with the
// baseline's variance. The score of one observation is capped, so that no
// outlier trips a version by itself, and a baseline of too few responses scores
// nothing.

#include "leverwick/regression_detector.h"

#include <algorithm>
#include <cmath>
#include <random>
#include <set>

namespace leverwick {
namespace {

constexpr double kMaxScore = 3;
constexpr double kMinBaselineResponses = 30;
constexpr double kMinRatingVariance = 0.01;
constexpr double kMinLogLatencyVariance = 0.04;
constexpr double kMinLatencySeconds = 1e-4;

// A test of two shares of negative observations, such as slow responses: that
// of a healthy version and that of a version to be stopped.
struct BernoulliTest {
  double healthy_share;
  double unhealthy_share;
  // Returns the log likelihood ratio of one observation.
  double Score(bool is_negative) const {
    return is_negative ? std::log(unhealthy_share / healthy_share)
                       : std::log((1 - unhealthy_share) / (1 - healthy_share));
  }
};

// By the bounds of daemon/version_watch, 0 % to 7 % of a healthy version's
// responses have slow inter-event times and 0 % to 3 % a slow first byte. Of
// engines twice as slow it is 44 % to 69 % and 4 % to 11 %, of engines 3.5
// times as slow at least 94 % and 11 % to 27 %.
constexpr BernoulliTest kInterEventTimeTest{0.05, 0.5};
constexpr BernoulliTest kTimeToFirstByteTest{0.05, 0.35};

// Used only for the streams that boxes don't report; reported ones are compared
// with the share of the previous version's streams that broke off.
constexpr BernoulliTest kStreamBreakTest{0.1, 0.4};

// Indices into the totals.
constexpr size_t kLatencyIndex = 1;
constexpr size_t kTimeToFirstByteIndex = 3;
constexpr size_t kBrokenIndex = 4;
const char* const kReasons[] = {"more errors", "slower", "poorer answers",
                                "slower to begin", "streams break off"};

// A version may be unhealthy for some kinds of requests only. Of the assumed
// responses, this share is taken to belong to those kinds. A larger share hides
// such a regression: with 0.3, a version with 12 % slow responses may go
// undetected. With 0.2 it is detected, while one with 3 % is not stopped.
constexpr double kAffectedShare = 0.2;

// Distinguishes the incarnations of a box, which keeps its name.
uint64_t DrawIncarnation() {
  std::random_device device;
  return std::uniform_int_distribution<uint64_t>()(device);
}

// The metrics of a sum, in the order of the totals.
constexpr double (GuardSum::*kMetricGetters[])() const = {
    &GuardSum::errors, &GuardSum::latency, &GuardSum::rating, &GuardSum::begin,
    &GuardSum::broken};

double ClampScore(double score) {
  return std::clamp(score, -kMaxScore, kMaxScore);
}

double ErrorScore(const RegressionLimits& limits, const VersionStats& baseline,
                  bool error) {
  double errors =
      baseline.errors + limits.prior_responses * limits.prior_error_share;
  double responses = baseline.answers + limits.prior_responses;
  double baseline_share = std::max(limits.min_error_share, errors / responses);
  double unhealthy_share =
      std::min(0.99, baseline_share + limits.max_error_increase);
  return ClampScore(
      error ? std::log(unhealthy_share / baseline_share)
            : std::log((1 - unhealthy_share) / (1 - baseline_share)));
}

// Returns the log likelihood ratio of `value` for a mean that moved by `shift`.
double NormalScore(double value, double mean, double shift, double variance) {
  return ClampScore(shift * (value - mean - shift / 2) / variance);
}

double LatencyScore(const RegressionLimits& limits,
                    const VersionStats& baseline, Seconds latency) {
  double value = std::log(std::max(kMinLatencySeconds, latency.count()));
  double variance =
      std::max(kMinLogLatencyVariance, baseline.log_latency_variance);
  return NormalScore(value, baseline.log_latency_mean,
                     std::log(limits.max_latency_ratio), variance);
}

double RatingScore(const RegressionLimits& limits, const VersionStats& baseline,
                   double rating) {
  double variance = std::max(kMinRatingVariance, baseline.rating_variance);
  return NormalScore(rating, baseline.rating_mean, -limits.max_rating_drop,
                     variance);
}

}  // namespace

RegressionDetector::RegressionDetector(std::string box, double threshold)
    : box_(std::move(box)),
      incarnation_(DrawIncarnation()),
      threshold_(threshold) {}

RegressionLimits ToRegressionLimits(const Rollout& rollout) {
  return RegressionLimits{rollout.max_error_increase(),
                          rollout.max_rating_drop(),
                          rollout.max_latency_ratio()};
}

void RegressionDetector::RecordResponse(const std::string& subject,
                                        const RegressionLimits& limits,
                                        const VersionStats& baseline,
                                        const Observation& observation) {
  std::lock_guard<std::mutex> lock(mutex_);
  Subject& state = subjects_[subject];
  GuardSum& own = state.own;
  own.set_answers(own.answers() + 1);
  bool is_comparable =
      baseline.answers >= kMinBaselineResponses || limits.prior_responses > 0;
  if (!is_comparable) return;
  own.set_errors(own.errors() +
                 ErrorScore(limits, baseline, observation.error));
  bool is_timed =
      baseline.answers >= kMinBaselineResponses && limits.max_latency_ratio > 1;
  if (!observation.error && is_timed) {
    own.set_latency(own.latency() +
                    LatencyScore(limits, baseline, observation.latency));
  }
  UpdateTrip(&state);
}

void RegressionDetector::RecordTiming(const std::string& subject, bool slow,
                                      TimingMetric metric) {
  std::lock_guard<std::mutex> lock(mutex_);
  Subject& state = subjects_[subject];
  GuardSum& own = state.own;
  if (metric == TimingMetric::kInterEventTime) {
    own.set_latency(own.latency() + kInterEventTimeTest.Score(slow));
  } else {
    own.set_begin(own.begin() + kTimeToFirstByteTest.Score(slow));
  }
  UpdateTrip(&state);
}

void RegressionDetector::RecordStreamEnd(const std::string& subject,
                                         const RegressionLimits& limits,
                                         const VersionStats& baseline,
                                         bool broken) {
  std::lock_guard<std::mutex> lock(mutex_);
  Subject& state = subjects_[subject];
  state.own.set_broken(state.own.broken() +
                       ErrorScore(limits, baseline, broken));
  UpdateTrip(&state);
}

void RegressionDetector::AssumeResponses(const std::string& subject,
                                         size_t boxes, double responses) {
  std::lock_guard<std::mutex> lock(mutex_);
  Subject& state = subjects_[subject];
  state.boxes = std::max(state.boxes, boxes);
  RaiseAssumedResponses(&state, responses);
  UpdateTrip(&state);
}

void RegressionDetector::RecordRating(const std::string& subject,
                                      const RegressionLimits& limits,
                                      const VersionStats& baseline,
                                      double rating) {
  std::lock_guard<std::mutex> lock(mutex_);
  if (baseline.ratings < kMinBaselineResponses) return;
  Subject& state = subjects_[subject];
  state.own.set_rating(state.own.rating() +
                       RatingScore(limits, baseline, rating));
  UpdateTrip(&state);
}

// The sum of each incarnation is kept. A later incarnation of the same box
// begins at zero; replacing the earlier sum by it would drop the positive or
// negative score that the earlier incarnation has contributed to the total.
void RegressionDetector::Merge(const std::vector<GuardSum>& sums) {
  std::lock_guard<std::mutex> lock(mutex_);
  std::set<std::string> changed;
  for (const GuardSum& sum : sums) {
    if (sum.life() == box_ && sum.start() == incarnation_) continue;
    GuardSum& stored =
        subjects_[sum.subject()].others[{sum.life(), sum.start()}];
    if (stored.answers() > sum.answers()) continue;
    stored = sum;
    changed.insert(sum.subject());
  }
  for (const std::string& name : changed) {
    Subject& subject = subjects_[name];
    RaiseAssumedResponses(&subject, 0);
    UpdateTrip(&subject);
  }
}

std::map<std::string, double> RegressionDetector::ReportedResponses(
    const Subject& subject) const {
  std::map<std::string, double> responses;
  for (const auto& entry : subject.others) {
    const GuardSum& sum = entry.second;
    if (sum.life() == box_) continue;
    responses[sum.life()] += static_cast<double>(sum.answers());
  }
  return responses;
}

void RegressionDetector::RaiseAssumedResponses(Subject* subject,
                                               double responses) const {
  double mean_reported = 0;
  std::map<std::string, double> reported = ReportedResponses(*subject);
  for (const auto& box : reported) mean_reported += box.second;
  if (!reported.empty()) mean_reported /= static_cast<double>(reported.size());
  // Never decreases: the total would otherwise rise without any report.
  subject->assumed_responses =
      std::max({subject->assumed_responses, responses, mean_reported});
}

double RegressionDetector::UnreportedResponses(const Subject& subject) const {
  std::map<std::string, double> reported = ReportedResponses(subject);
  size_t others = std::max(subject.boxes, reported.size() + 1) - 1;
  double unreported =
      subject.assumed_responses * static_cast<double>(others - reported.size());
  for (const auto& box : reported) {
    unreported += std::max(0.0, subject.assumed_responses - box.second);
  }
  return unreported;
}

RegressionDetector::Totals RegressionDetector::ComputeTotals(
    const Subject& subject) const {
  Totals totals{};
  auto add = [&](const GuardSum& sum) {
    for (size_t i = 0; i < kMetricCount; ++i) {
      totals[i] += (sum.*kMetricGetters[i])();
    }
  };
  add(subject.own);
  for (const auto& entry : subject.others) add(entry.second);
  double unreported = UnreportedResponses(subject) * kAffectedShare;
  totals[kLatencyIndex] += unreported * kInterEventTimeTest.Score(false);
  totals[kTimeToFirstByteIndex] +=
      unreported * kTimeToFirstByteTest.Score(false);
  totals[kBrokenIndex] += unreported * kStreamBreakTest.Score(false);
  return totals;
}

double RegressionDetector::NormalizedScore(const std::string& subject) const {
  std::lock_guard<std::mutex> lock(mutex_);
  auto found = subjects_.find(subject);
  if (found == subjects_.end()) return 0;
  if (found->second.is_tripped) return 1;
  Totals totals = ComputeTotals(found->second);
  double highest = 0;
  for (size_t i = 0; i < totals.size(); ++i) {
    highest = std::max(highest, totals[i] - found->second.minimum[i]);
  }
  return highest / threshold_;
}

void RegressionDetector::UpdateTrip(Subject* subject) {
  Totals totals = ComputeTotals(*subject);
  for (size_t i = 0; i < kMetricCount; ++i) {
    subject->minimum[i] = std::min(subject->minimum[i], totals[i]);
    if (subject->is_tripped || totals[i] - subject->minimum[i] < threshold_) {
      continue;
    }
    subject->is_tripped = true;
    subject->reason = kReasons[i];
  }
}

void RegressionDetector::Trip(const std::string& subject,
                              const std::string& reason) {
  std::lock_guard<std::mutex> lock(mutex_);
  Subject& state = subjects_[subject];
  if (state.is_tripped) return;
  state.is_tripped = true;
  state.reason = reason;
}

bool RegressionDetector::IsTripped(const std::string& subject,
                                   std::string* reason) const {
  std::lock_guard<std::mutex> lock(mutex_);
  auto found = subjects_.find(subject);
  if (found == subjects_.end() || !found->second.is_tripped) return false;
  if (reason != nullptr) *reason = found->second.reason;
  return true;
}

uint64_t RegressionDetector::ResponseCount(const std::string& subject) const {
  std::lock_guard<std::mutex> lock(mutex_);
  auto found = subjects_.find(subject);
  if (found == subjects_.end()) return 0;
  uint64_t count = found->second.own.answers();
  for (const auto& entry : found->second.others) {
    count += entry.second.answers();
  }
  return count;
}

std::vector<GuardSum> RegressionDetector::own_sums() const {
  std::lock_guard<std::mutex> lock(mutex_);
  std::vector<GuardSum> sums;
  for (const auto& entry : subjects_) {
    sums.push_back(entry.second.own);
    sums.back().set_life(box_);
    sums.back().set_start(incarnation_);
    sums.back().set_subject(entry.first);
  }
  return sums;
}

std::vector<RolloutTrip> RegressionDetector::trips() const {
  std::lock_guard<std::mutex> lock(mutex_);
  std::vector<RolloutTrip> trips;
  for (const auto& entry : subjects_) {
    if (!entry.second.is_tripped) continue;
    trips.emplace_back();
    trips.back().set_rollout(entry.first);
    trips.back().set_reason(entry.second.reason);
  }
  return trips;
}

void RegressionDetector::RetainOnly(const std::vector<std::string>& subjects) {
  std::lock_guard<std::mutex> lock(mutex_);
  std::set<std::string> retained(subjects.begin(), subjects.end());
  for (auto subject = subjects_.begin(); subject != subjects_.end();) {
    subject = retained.count(subject->first) > 0 ? std::next(subject)
                                                 : subjects_.erase(subject);
  }
}

}  // namespace leverwick
