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
    sum.late_part_attempts =
        std::max(sum.late_part_attempts, result.late_part_attempts);
    sum.later += result.later;
    sum.later_served += result.later_served;
    sum.later_shared += result.later_shared;
    sum.later_shared_served += result.later_shared_served;
    sum.most_report_bytes =
        std::max(sum.most_report_bytes, result.most_report_bytes);
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

TEST_CASE("fleets of 2 to 985 boxes stop sending requests with a poison part") {
  using Position = PoisonSimulationConfig::Position;
  struct {
    size_t boxes, endpoints;
    double other_rate, poison_rate;
    unsigned seeds;
  } const fleets[] = {
      // One request in 5, 100 and 1,000 has the part.
      {2, 4, 20, 4, 10},     {2, 4, 20, 0.2, 10},      {7, 12, 90, 18, 10},
      {7, 12, 90, 0.9, 10},  {7, 12, 90, 0.1, 10},     {65, 75, 600, 6, 3},
      {65, 75, 600, 0.6, 3}, {985, 1200, 2000, 20, 1}, {985, 1200, 2000, 2, 1},
  };
  for (Position position :
       {Position::kSecond, Position::kFirst, Position::kThird}) {
    for (const auto& fleet : fleets) {
      PoisonSimulationConfig config;
      config.boxes = fleet.boxes;
      config.endpoints = fleet.endpoints;
      config.other_rate = fleet.other_rate;
      config.popular_rate = 0;
      config.poison_rate = fleet.poison_rate;
      config.first_parts = 8;
      config.poison_position = position;
      config.poison_starts = std::chrono::seconds(5);
      PoisonSimulationResult result = Sum(config, fleet.seeds);
      INFO(fleet.boxes << " boxes, " << fleet.poison_rate
                       << " per second, position " << static_cast<int>(position)
                       << ": late " << result.late_part_attempts << ", crashes "
                       << result.poison_crashes << ", others served "
                       << Share(result.later_served, result.later)
                       << ", with the first part "
                       << Share(result.later_shared_served, result.later_shared)
                       << ", quarantined " << result.others_quarantined
                       << " of " << result.others << ", report "
                       << result.most_report_bytes << " bytes");
      CHECK(result.late_part_attempts <= kMaxLateAttempts);
      if (result.later_shared < 20) continue;
      CHECK(Share(result.later_served, result.later) > 0.9);
      CHECK(Share(result.later_shared_served, result.later_shared) > 0.9);
    }
  }
}

TEST_CASE("random crashes quarantine next to no prompt parts") {
  PoisonSimulationConfig config;
  config.boxes = 2;
  config.endpoints = 4;
  config.other_rate = 20;
  config.popular_rate = 0;
  config.poison_rate = 0;
  config.first_parts = 3;
  config.random_crash_rate = 1.5;
  config.restart_time = milliseconds(1500);
  PoisonSimulationResult with = Sum(config, 20);
  config.quarantines = false;
  PoisonSimulationResult without = Sum(config, 20);
  INFO("served " << Share(with.others_served, with.others) << " quarantined "
                 << Share(with.others_quarantined, with.others) << ", without "
                 << Share(without.others_served, without.others));
  CHECK(Share(with.others_quarantined, with.others) < 0.01);
}

}  // namespace
}  // namespace leverwick
