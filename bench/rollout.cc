// Exposure to a bad version and false trips, in virtual time over the guard.
//
// Seven boxes in three data centres roll a version out to a tenth of the
// traffic. At a moment it turns bad: it fails, or gets slow, or answers
// plausibly but poorly. Counted are the requests it answers from then until
// the last box has stopped. Baselines in the same run: every box by itself
// (nothing shared), and a fixed rule (stop when the error rate of the last 50
// answers, or the mean of the last 50 ratings, is worse by the limit).
//
//   bench-rollout

#include <cmath>
#include <deque>
#include <functional>
#include <memory>
#include <random>

#include "bench/spread.h"
#include "leverwick/regression_detector.h"
#include "leverwick/version_estimates.h"

namespace leverwick {
namespace {

constexpr int kBoxes = 7;
constexpr double kRequestsPerSecond = 100;  // over all boxes
constexpr double kShare = 0.1;
constexpr double kRatedShare = 0.3;
constexpr double kRatingDelay = 10;  // seconds
constexpr double kWithin = 0.5;      // between heartbeats of a data centre
constexpr double kAcross = 1.0;      // between data centres
constexpr double kTurnsBad = 60;     // seconds after the start
constexpr double kLongest = 1800;    // seconds
const char kSubject[] = "rollout";

struct Behaviour {
  double errors = 0.01;
  double slow = 1;
  double quality = 0.85;
};

class Simulation {
 public:
  Simulation(unsigned seed, const Behaviour& bad, bool shared, bool fixed_rule)
      : random_(seed), bad_(bad), shared_(shared), fixed_rule_(fixed_rule) {
    baseline_.answers = 5000;
    baseline_.errors = 50;
    baseline_.log_latency_mean = std::log(0.5);
    baseline_.log_latency_variance = 0.16;
    baseline_.ratings = 1500;
    baseline_.rating_mean = 0.85;
    baseline_.rating_variance = 0.02;
    for (int i = 0; i < kBoxes; ++i) {
      guards_.push_back(
          std::make_unique<RegressionDetector>("box" + std::to_string(i)));
    }
    recent_errors_.resize(kBoxes);
    recent_ratings_.resize(kBoxes);
    stopped_.assign(kBoxes, false);
  }

  // Requests of the version after it turned bad; -1 - answers when it was
  // stopped before. `seconds`: from the turn to the last box's stop.
  int Run(double until, double* seconds) {
    std::exponential_distribution<double> gap(kRequestsPerSecond * kShare);
    std::uniform_int_distribution<int> box(0, kBoxes - 1);
    double next_within = kWithin;
    double next_across = kAcross;
    double now = 0;
    int exposed = 0;
    while (now < until) {
      now += gap(random_);
      while (next_within < now) Share(true, &next_within);
      while (next_across < now) Share(false, &next_across);
      DeliverRatings(now);
      int b = box(random_);
      if (Stopped(b)) {
        if (AllStopped()) break;
        continue;
      }
      if (now >= kTurnsBad) ++exposed;
      Answer(b, now, now >= kTurnsBad ? bad_ : Behaviour());
    }
    *seconds = now - kTurnsBad;
    return exposed;
  }

  bool AllStopped() {
    for (int i = 0; i < kBoxes; ++i) {
      if (!Stopped(i)) return false;
    }
    return true;
  }

  bool AnyStopped() {
    for (int i = 0; i < kBoxes; ++i) {
      if (Stopped(i)) return true;
    }
    return false;
  }

 private:
  struct Rating {
    double due;
    int box;
    double value;
  };

  bool Stopped(int b) {
    auto at = static_cast<size_t>(b);
    return fixed_rule_ ? stopped_[at]
                       : guards_[at]->IsTripped(kSubject, nullptr);
  }

  void Answer(int b, double now, const Behaviour& behaviour) {
    std::uniform_real_distribution<double> uniform(0, 1);
    std::normal_distribution<double> normal(0, 1);
    Observation observation;
    observation.error = uniform(random_) < behaviour.errors;
    observation.latency =
        Seconds(0.5 * behaviour.slow * std::exp(0.4 * normal(random_)));
    auto at = static_cast<size_t>(b);
    guards_[at]->RecordResponse(kSubject, RegressionLimits(), baseline_,
                                observation);
    Recent(&recent_errors_[at], observation.error ? 1 : 0, 0.01 + 0.05, b,
           true);
    if (observation.error || uniform(random_) >= kRatedShare) return;
    double rating = behaviour.quality + 0.14 * normal(random_);
    ratings_.push_back(Rating{now + kRatingDelay, b, rating});
  }

  void Recent(std::deque<double>* values, double value, double limit, int b,
              bool above) {
    constexpr size_t kWindow = 50;
    values->push_back(value);
    if (values->size() > kWindow) values->pop_front();
    double sum = 0;
    for (double each : *values) sum += each;
    double mean = sum / kWindow;
    if (values->size() < kWindow) return;
    bool worse = above ? mean > limit : mean < limit;
    if (worse) stopped_[static_cast<size_t>(b)] = true;
  }

  void DeliverRatings(double now) {
    while (!ratings_.empty() && ratings_.front().due <= now) {
      const Rating& rating = ratings_.front();
      auto at = static_cast<size_t>(rating.box);
      guards_[at]->RecordRating(kSubject, RegressionLimits(), baseline_,
                                rating.value);
      Recent(&recent_ratings_[at], rating.value, 0.85 - 0.1, rating.box, false);
      ratings_.pop_front();
    }
  }

  // Boxes i and j stand in one data centre when i % 3 == j % 3.
  void Share(bool within, double* next) {
    *next += within ? kWithin : kAcross;
    if (!shared_) return;
    for (int i = 0; i < kBoxes; ++i) {
      for (int j = 0; j < kBoxes; ++j) {
        if (i == j || (i % 3 == j % 3) != within) continue;
        Send(*guards_[static_cast<size_t>(i)],
             guards_[static_cast<size_t>(j)].get());
      }
    }
  }

  static void Send(const RegressionDetector& from, RegressionDetector* to) {
    for (const GuardSum& sum : from.own_sums()) to->Merge(sum);
    for (const RolloutTrip& trip : from.trips()) {
      to->Trip(trip.rollout(), trip.reason());
    }
  }

  std::mt19937 random_;
  const Behaviour bad_;
  const bool shared_;
  const bool fixed_rule_;
  VersionStats baseline_;
  std::vector<std::unique_ptr<RegressionDetector>> guards_;
  std::vector<std::deque<double>> recent_errors_;
  std::vector<std::deque<double>> recent_ratings_;
  std::vector<bool> stopped_;
  std::deque<Rating> ratings_;
};

void Exposure(const char* name, const Behaviour& bad) {
  struct Way {
    const char* name;
    bool shared;
    bool fixed_rule;
  };
  std::printf("%s\n", name);
  for (const Way& way : {Way{"guard, evidence shared", true, false},
                         Way{"guard, every box alone", false, false},
                         Way{"fixed rule, every box alone", false, true}}) {
    Spread exposed;
    Spread seconds;
    for (unsigned seed = 101; seed <= 120; ++seed) {
      Simulation simulation(seed, bad, way.shared, way.fixed_rule);
      double time = 0;
      exposed.Add(simulation.Run(kLongest, &time));
      seconds.Add(time);
    }
    exposed.Print(std::string(way.name) + ": requests");
    seconds.Print(std::string(way.name) + ": seconds");
  }
}

void FalseTrips() {
  constexpr int kRollouts = 400;
  int guard = 0;
  int fixed = 0;
  for (int i = 0; i < kRollouts; ++i) {
    auto seed = static_cast<unsigned>(1000 + i);
    double unused = 0;
    Simulation good(seed, Behaviour(), true, false);
    good.Run(1000, &unused);  // 10,000 answers of the new version
    guard += good.AnyStopped() ? 1 : 0;
    Simulation ruled(seed, Behaviour(), false, true);
    ruled.Run(1000, &unused);
    fixed += ruled.AnyStopped() ? 1 : 0;
  }
  std::printf(
      "good roll-outs of 10,000 answers stopped by mistake: guard %d, fixed "
      "rule %d, of %d\n",
      guard, fixed, kRollouts);
}

}  // namespace
}  // namespace leverwick

int main() {
  using leverwick::Behaviour;
  std::printf(
      "median (least to most) of 20 seeds, 7 boxes, a tenth of 100 "
      "requests a second\n");
  Behaviour failing;
  failing.errors = 0.5;
  leverwick::Exposure("half of the answers fail", failing);
  Behaviour some;
  some.errors = 0.1;
  leverwick::Exposure("a tenth of the answers fail", some);
  Behaviour slow;
  slow.slow = 3;
  leverwick::Exposure("three times slower", slow);
  Behaviour poor;
  poor.quality = 0.6;
  leverwick::Exposure("poorer answers, 0.60 instead of 0.85", poor);
  leverwick::FalseTrips();
  return 0;
}
