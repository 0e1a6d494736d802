// Simulates one service whose endpoints are ordered by a ScalingRule.
//
// Requests come at a rate that follows a daily wave with bursts; each occupies
// a place for a time that grows as the places fill up, and those that find all
// places taken are refused. Ordered endpoints serve after a boot time. Time is
// simulated in steps of kStep; there is no randomness.

#ifndef LEVERWICK_TESTING_SCALING_SIMULATION_H_
#define LEVERWICK_TESTING_SCALING_SIMULATION_H_

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>

#include "leverwick/endpoint_scaler.h"

namespace leverwick {

struct ScalingScenario {
  size_t places = 16;               // of an endpoint
  milliseconds service_time{1500};  // of a request at an idle endpoint
  double mean_per_second = 400;     // requests
  double wave = 0.5;                // amplitude, as a part of the mean
  double burst = 2;                 // factor, for 5 s of each 60 s
  milliseconds boot_time{7000};     // including the time that it is cold
  // A third of the endpoints is reclaimed every 90 s.
  bool reclaims = false;
  std::chrono::seconds duration{600};
};

struct ScalingResult {
  double served = 0;          // of all requests
  double mean_endpoints = 0;  // that are paid for
};

class ScalingSimulation {
 public:
  explicit ScalingSimulation(const ScalingScenario& scenario)
      : scenario_(scenario) {}

  ScalingResult Run(ScalingRule* rule) {
    endpoints_ = 60;
    double in_flight = 0;
    double all = 0;
    double served = 0;
    double paid = 0;
    for (TimePoint now = kStart; now < kStart + scenario_.duration;
         now += kStep) {
      double t = ToSeconds(now - kStart);
      Boot(now);
      if (scenario_.reclaims && Every(t, 90)) endpoints_ -= endpoints_ / 3;
      double capacity = endpoints_ * static_cast<double>(scenario_.places);
      double arrivals = RateAt(t) * ToSeconds(kStep);
      double slowdown = 1 + in_flight / std::max(1.0, capacity);
      double ends = in_flight * ToSeconds(kStep) /
                    (ToSeconds(scenario_.service_time) * slowdown);
      in_flight -= ends;
      double taken = std::min(arrivals, std::max(0.0, capacity - in_flight));
      in_flight += taken;
      all += arrivals;
      served += taken;
      paid += (endpoints_ + Booting()) * ToSeconds(kStep);
      if (!Every(t, 1)) continue;
      rule->Record(in_flight, now);
      Order(rule->Needed(scenario_.places, now), now);
    }
    return {served / all, paid / ToSeconds(scenario_.duration)};
  }

 private:
  static constexpr TimePoint kStart = TimePoint{} + std::chrono::hours(1);
  static constexpr milliseconds kStep{50};

  static bool Every(double t, double seconds) {
    return t > 0 && std::fmod(t + 1e-6, seconds) < ToSeconds(kStep);
  }

  double RateAt(double t) const {
    double wave = 1 + scenario_.wave * std::sin(t * 2 * M_PI / 200);
    bool bursts = std::fmod(t, 60) >= 40 && std::fmod(t, 60) < 45;
    return scenario_.mean_per_second * wave * (bursts ? scenario_.burst : 1);
  }

  double Booting() const {
    double sum = 0;
    for (const auto& [at, count] : booting_) sum += count;
    return sum;
  }

  void Boot(TimePoint now) {
    while (!booting_.empty() && booting_.front().first <= now) {
      endpoints_ += booting_.front().second;
      booting_.pop_front();
    }
  }

  void Order(double needed, TimePoint now) {
    double wanted = std::ceil(std::max(1.0, needed));
    double have = endpoints_ + Booting();
    if (wanted > have) {
      booting_.emplace_back(now + scenario_.boot_time, wanted - have);
    } else if (wanted < endpoints_) {
      endpoints_ = wanted;
    }
  }

  const ScalingScenario scenario_;
  double endpoints_ = 0;  // that serve
  std::deque<std::pair<TimePoint, double>> booting_;
};

// Adds endpoints while requests wait and removes them while few places are
// taken, a tenth at a time.
class QueueLengthRule : public ScalingRule {
 public:
  void Record(double in_flight, TimePoint) override { in_flight_ = in_flight; }
  double Needed(size_t places, TimePoint) const override {
    double taken = in_flight_ / (endpoints_ * static_cast<double>(places));
    if (taken > 0.95) endpoints_ = std::ceil(endpoints_ * 1.1);
    if (taken < 0.5) endpoints_ = std::max(1.0, std::floor(endpoints_ * 0.9));
    return endpoints_;
  }

 private:
  double in_flight_ = 0;
  mutable double endpoints_ = 60;
};

// Extrapolates the trend of the last while over the boot time.
class PredictiveRule : public ScalingRule {
 public:
  PredictiveRule(double target, nanoseconds boot_time)
      : target_(target), boot_time_(boot_time) {}
  void Record(double in_flight, TimePoint now) override {
    recent_.emplace_back(now, in_flight);
    while (now - recent_.front().first > kSpan) recent_.pop_front();
  }
  double Needed(size_t places, TimePoint) const override {
    const auto& [first_at, first] = recent_.front();
    const auto& [last_at, last] = recent_.back();
    double span = ToSeconds(last_at - first_at);
    double slope = span > 0 ? (last - first) / span : 0;
    double expected = last + slope * ToSeconds(boot_time_);
    return std::max(0.0, expected) / (target_ * static_cast<double>(places));
  }

 private:
  static constexpr std::chrono::seconds kSpan{10};
  const double target_;
  const nanoseconds boot_time_;
  std::deque<std::pair<TimePoint, double>> recent_;
};

}  // namespace leverwick

#endif  // LEVERWICK_TESTING_SCALING_SIMULATION_H_
