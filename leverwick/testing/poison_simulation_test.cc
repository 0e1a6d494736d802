// Simulates whole fleets over several seeds.
// platform/testing/front_poison_test.cc tests the same behaviour with real
// connections.

#include "leverwick/testing/poison_simulation.h"

#include <doctest/doctest.h>

namespace leverwick {
namespace {

// The maximum acceptable number of late attempts.
constexpr size_t kMaxLateAttempts = 3;

PoisonSimulationResult Sum(const PoisonSimulationConfig& config,
                           unsigned seeds) {
  PoisonSimulationResult sum;
  for (unsigned seed = 1; seed <= seeds; ++seed) {
    PoisonSimulationResult result = PoisonSimulation(config, seed).Run();
    sum.late_attempts = std::max(sum.late_attempts, result.late_attempts);
    sum.poison_crashes = std::max(sum.poison_crashes, result.poison_crashes);
    sum.popular += result.popular;
    sum.popular_served += result.popular_served;
    sum.popular_quarantined += result.popular_quarantined;
    sum.others += result.others;
    sum.others_served += result.others_served;
    sum.others_quarantined += result.others_quarantined;
  }
  return sum;
}

double Share(size_t part, size_t whole) {
  return static_cast<double>(part) / static_cast<double>(whole);
}

TEST_CASE("fleets of 2 to 195 boxes stop sending a poison request") {
  struct {
    size_t boxes, endpoints;
    double other_rate;
    unsigned seeds;
  } const fleets[] = {
      {2, 4, 20, 10}, {7, 12, 90, 10}, {65, 75, 600, 3}, {195, 450, 1500, 2}};
  for (const auto& fleet : fleets) {
    for (double rate : {0.1, 0.5, 2.0, 8.0}) {
      PoisonSimulationConfig config;
      config.boxes = fleet.boxes;
      config.endpoints = fleet.endpoints;
      config.other_rate = fleet.other_rate;
      config.poison_rate = rate;
      PoisonSimulationResult result = Sum(config, fleet.seeds);
      INFO(fleet.boxes << " boxes, " << rate << " per second: late "
                       << result.late_attempts << ", crashes "
                       << result.poison_crashes << ", others served "
                       << Share(result.others_served, result.others)
                       << " quarantined "
                       << Share(result.others_quarantined, result.others)
                       << ", popular served "
                       << Share(result.popular_served, result.popular)
                       << " quarantined "
                       << Share(result.popular_quarantined, result.popular));
      CHECK(result.late_attempts <= kMaxLateAttempts);
    }
  }
}

// All four endpoints crash within half a second, so that their crashes count as
// fewer. After the restart three attempts are sent at once, and one trial
// later.
TEST_CASE(
    "four endpoints that crash together soon get no more poison requests") {
  PoisonSimulationConfig config;
  config.boxes = 2;
  config.endpoints = 4;
  config.other_rate = 20;
  config.poison_rate = 8;
  for (unsigned seed : {25U, 164U}) {
    CAPTURE(seed);
    CHECK(PoisonSimulation(config, seed).Run().late_attempts <=
          kMaxLateAttempts);
  }
}

TEST_CASE("random crashes quarantine next to no requests") {
  // Four endpoints that restart within 1.5 s, with 15 crashes in 16 s.
  PoisonSimulationConfig config;
  config.boxes = 2;
  config.endpoints = 4;
  config.other_rate = 20;
  config.poison_rate = 0;
  config.random_crash_rate = 1.5;
  config.restart_time = milliseconds(1500);
  PoisonSimulationResult with = Sum(config, 20);
  config.quarantines = false;
  PoisonSimulationResult without = Sum(config, 20);
  INFO("popular served " << Share(with.popular_served, with.popular)
                         << " quarantined "
                         << Share(with.popular_quarantined, with.popular)
                         << ", without "
                         << Share(without.popular_served, without.popular));
  INFO("others served " << Share(with.others_served, with.others)
                        << " quarantined "
                        << Share(with.others_quarantined, with.others)
                        << ", without "
                        << Share(without.others_served, without.others));
  // One percent: the results of single seeds differ by as much.
  CHECK(Share(with.popular_quarantined, with.popular) < 0.01);
  CHECK(Share(with.others_quarantined, with.others) < 0.01);
}

}  // namespace
}  // namespace leverwick
