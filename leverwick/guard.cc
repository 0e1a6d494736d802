// A CUSUM over sums that several boxes add to. Errors are Bernoulli; ratings
// and the logarithm of latency are taken as normal with the baseline's
// variance. One observation's weight is capped, so that no outlier trips a
// version by itself, and a baseline of too few answers weighs nothing.

#include "leverwick/guard.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace leverwick {
namespace {

constexpr double kCap = 3;
constexpr double kLeastBaseline = 30;
constexpr double kLeastErrorRate = 0.005;
constexpr double kLeastRatingVariance = 0.01;
constexpr double kLeastLatencyVariance = 0.04;
constexpr double kShortestLatency = 1e-4;  // seconds
// Share of slow answers of a sound version, by a measure of its own speed, and
// of one that is to be stopped.
constexpr double kSoundSlowRate = 0.03;
constexpr double kBadSlowRate = 0.5;

// A version may be bad for a part of its requests only, which three in ten of
// the presumed answers is taken to belong to: more would hide it.
constexpr double kConcerned = 0.3;

// What a timed answer that is not slow speaks for the subject.
double NotSlowWeight() {
  static const double kWeight =
      std::log((1 - kBadSlowRate) / (1 - kSoundSlowRate));
  return kWeight;
}

double Capped(double weight) { return std::clamp(weight, -kCap, kCap); }

double ErrorWeight(const GuardLimits& limits, const VersionView& baseline,
                   bool error) {
  double errors = baseline.errors + limits.prior_answers * limits.prior_errors;
  double answers = baseline.answers + limits.prior_answers;
  double before = std::max(kLeastErrorRate, errors / answers);
  double after = std::min(0.99, before + limits.error_increase);
  return Capped(error ? std::log(after / before)
                      : std::log((1 - after) / (1 - before)));
}

// The weight of `value` for a mean that moved by `shift`.
double NormalWeight(double value, double mean, double shift, double variance) {
  return Capped(shift * (value - mean - shift / 2) / variance);
}

double LatencyWeight(const GuardLimits& limits, const VersionView& baseline,
                     Seconds latency) {
  double value = std::log(std::max(kShortestLatency, latency.count()));
  double variance =
      std::max(kLeastLatencyVariance, baseline.log_latency_variance);
  return NormalWeight(value, baseline.log_latency_mean,
                      std::log(limits.latency_ratio), variance);
}

double RatingWeight(const GuardLimits& limits, const VersionView& baseline,
                    double rating) {
  double variance = std::max(kLeastRatingVariance, baseline.rating_variance);
  return NormalWeight(rating, baseline.rating_mean, -limits.rating_drop,
                      variance);
}

}  // namespace

GuardLimits LimitsOf(const Rollout& rollout) {
  return GuardLimits{rollout.max_error_increase(), rollout.max_rating_drop(),
                     rollout.max_latency_ratio()};
}

void Guard::Answered(const std::string& subject, const GuardLimits& limits,
                     const VersionView& baseline,
                     const Observation& observation) {
  std::lock_guard<std::mutex> lock(mutex_);
  Subject& state = subjects_[subject];
  GuardSum& own = state.own;
  own.set_answers(own.answers() + 1);
  bool enough = baseline.answers >= kLeastBaseline || limits.prior_answers > 0;
  if (!enough) return;
  own.set_errors(own.errors() +
                 ErrorWeight(limits, baseline, observation.error));
  bool timed = baseline.answers >= kLeastBaseline && limits.latency_ratio > 1;
  if (!observation.error && timed) {
    own.set_latency(own.latency() +
                    LatencyWeight(limits, baseline, observation.latency));
  }
  Check(&state);
}

void Guard::Timed(const std::string& subject, bool slow) {
  static const double kSlow = std::log(kBadSlowRate / kSoundSlowRate);
  std::lock_guard<std::mutex> lock(mutex_);
  Subject& state = subjects_[subject];
  state.own.set_latency(state.own.latency() + (slow ? kSlow : NotSlowWeight()));
  Check(&state);
}

void Guard::Presume(const std::string& subject, size_t boxes, double answers) {
  std::lock_guard<std::mutex> lock(mutex_);
  Subject& state = subjects_[subject];
  state.boxes = boxes;
  state.presumed = answers;
  Check(&state);
}

void Guard::Rated(const std::string& subject, const GuardLimits& limits,
                  const VersionView& baseline, double rating) {
  std::lock_guard<std::mutex> lock(mutex_);
  if (baseline.ratings < kLeastBaseline) return;
  Subject& state = subjects_[subject];
  state.own.set_rating(state.own.rating() +
                       RatingWeight(limits, baseline, rating));
  Check(&state);
}

void Guard::Merge(const GuardSum& sum) {
  std::lock_guard<std::mutex> lock(mutex_);
  if (sum.life() == life_) return;
  Subject& state = subjects_[sum.subject()];
  GuardSum& stored = state.others[sum.life()];
  if (stored.answers() > sum.answers()) return;
  stored = sum;
  Check(&state);
}

std::array<double, 3> Guard::Totals(const Subject& subject) {
  std::array<double, 3> totals = {subject.own.errors(), subject.own.latency(),
                                  subject.own.rating()};
  for (const auto& entry : subject.others) {
    totals[0] += entry.second.errors();
    totals[1] += entry.second.latency();
    totals[2] += entry.second.rating();
  }
  size_t told = subject.others.size() + 1;
  if (subject.boxes > told) {
    totals[1] += static_cast<double>(subject.boxes - told) * subject.presumed *
                 kConcerned * NotSlowWeight();
  }
  return totals;
}

double Guard::Suspicion(const std::string& subject) const {
  std::lock_guard<std::mutex> lock(mutex_);
  auto found = subjects_.find(subject);
  if (found == subjects_.end()) return 0;
  if (found->second.tripped) return 1;
  std::array<double, 3> totals = Totals(found->second);
  double highest = 0;
  for (size_t i = 0; i < totals.size(); ++i) {
    highest = std::max(highest, totals[i] - found->second.lowest[i]);
  }
  return highest / threshold_;
}

void Guard::Check(Subject* subject) {
  std::array<double, 3> totals = Totals(*subject);
  static const char* const kReasons[3] = {"more errors", "slower",
                                          "poorer answers"};
  for (int i = 0; i < 3; ++i) {
    subject->lowest[i] = std::min(subject->lowest[i], totals[i]);
    if (subject->tripped || totals[i] - subject->lowest[i] < threshold_) {
      continue;
    }
    subject->tripped = true;
    subject->why = kReasons[i];
  }
}

void Guard::Trip(const std::string& subject, const std::string& why) {
  std::lock_guard<std::mutex> lock(mutex_);
  Subject& state = subjects_[subject];
  if (state.tripped) return;
  state.tripped = true;
  state.why = why;
}

bool Guard::Tripped(const std::string& subject, std::string* why) const {
  std::lock_guard<std::mutex> lock(mutex_);
  auto found = subjects_.find(subject);
  if (found == subjects_.end() || !found->second.tripped) return false;
  if (why != nullptr) *why = found->second.why;
  return true;
}

uint64_t Guard::Answers(const std::string& subject) const {
  std::lock_guard<std::mutex> lock(mutex_);
  auto found = subjects_.find(subject);
  if (found == subjects_.end()) return 0;
  uint64_t answers = found->second.own.answers();
  for (const auto& entry : found->second.others) {
    answers += entry.second.answers();
  }
  return answers;
}

std::vector<GuardSum> Guard::own() const {
  std::lock_guard<std::mutex> lock(mutex_);
  std::vector<GuardSum> sums;
  for (const auto& entry : subjects_) {
    sums.push_back(entry.second.own);
    sums.back().set_life(life_);
    sums.back().set_subject(entry.first);
  }
  return sums;
}

std::vector<RolloutTrip> Guard::trips() const {
  std::lock_guard<std::mutex> lock(mutex_);
  std::vector<RolloutTrip> trips;
  for (const auto& entry : subjects_) {
    if (!entry.second.tripped) continue;
    trips.emplace_back();
    trips.back().set_rollout(entry.first);
    trips.back().set_reason(entry.second.why);
  }
  return trips;
}

void Guard::Keep(const std::vector<std::string>& subjects) {
  std::lock_guard<std::mutex> lock(mutex_);
  std::set<std::string> kept(subjects.begin(), subjects.end());
  for (auto subject = subjects_.begin(); subject != subjects_.end();) {
    subject = kept.count(subject->first) > 0 ? std::next(subject)
                                             : subjects_.erase(subject);
  }
}

}  // namespace leverwick
