// Simulates fleets of 2 to 195 boxes with endpoints that report a rate limit.
// The service objective allows, in any 4 s window from 3 s after the first
// report of the limit on, 1.5 times as many requests as the limit plus 5.

#include "leverwick/testing/limit_simulation.h"

#include <doctest/doctest.h>

namespace leverwick {
namespace {

using Traffic = LimitScenario::Traffic;

constexpr uint64_t kSeeds = 5;

size_t MaxSendsAllowed(double per_second) {
  return static_cast<size_t>(1.5 * per_second * 4 + 5);
}

// Returns the maximum over all seeds, and the mean of `used_fraction`.
LimitSimulationResult RunSeeds(const LimitScenario& scenario) {
  LimitSimulationResult worst;
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    LimitSimulation simulation(scenario, seed);
    PermitPolicy policy(&simulation);
    LimitSimulationResult result = simulation.Run(&policy);
    worst.max_sends_in_window =
        std::max(worst.max_sends_in_window, result.max_sends_in_window);
    worst.used_fraction += result.used_fraction / static_cast<double>(kSeeds);
    worst.max_wait = std::max(worst.max_wait, result.max_wait);
    worst.refused_fraction =
        std::max(worst.refused_fraction, result.refused_fraction);
  }
  return worst;
}

TEST_CASE("fleets of all sizes enforce a limit under all traffic patterns") {
  for (size_t boxes : {size_t{2}, size_t{7}, size_t{65}, size_t{195}}) {
    for (double per_second : {0.0, 0.2, 1.8, 3.0}) {
      for (Traffic traffic :
           {Traffic::kEven, Traffic::kOneBox, Traffic::kRotating}) {
        CAPTURE(boxes);
        CAPTURE(per_second);
        LimitScenario scenario;
        scenario.boxes = boxes;
        scenario.limit_per_second = per_second;
        scenario.traffic = traffic;
        LimitSimulationResult worst = RunSeeds(scenario);
        CHECK(worst.max_sends_in_window <= MaxSendsAllowed(per_second));
        // Other endpoints have capacity, so no request waits or is refused.
        CHECK(worst.refused_fraction == 0);
        CHECK(worst.max_wait == milliseconds(0));
      }
    }
  }
}

TEST_CASE("a limit holds while messages are lost and boxes are unresponsive") {
  for (size_t boxes : {size_t{2}, size_t{7}, size_t{65}}) {
    LimitScenario scenario;
    scenario.boxes = boxes;
    scenario.limited_endpoints = 4;
    scenario.message_loss = 0.1;
    scenario.unresponsive_boxes = boxes / 2;
    CAPTURE(boxes);
    CHECK(RunSeeds(scenario).max_sends_in_window <=
          MaxSendsAllowed(scenario.limit_per_second));
  }
}

TEST_CASE("a limit holds when boxes start or data centres are partitioned") {
  for (size_t boxes : {size_t{7}, size_t{65}, size_t{195}}) {
    for (size_t unknown_boxes : {size_t{1}, boxes / 3}) {
      LimitScenario scenario;
      scenario.boxes = boxes;
      scenario.limited_endpoints = 4;
      scenario.unknown_boxes = unknown_boxes;
      CAPTURE(boxes);
      CAPTURE(unknown_boxes);
      LimitSimulationResult with_new_boxes = RunSeeds(scenario);
      CHECK(with_new_boxes.max_sends_in_window <=
            MaxSendsAllowed(scenario.limit_per_second));
      CHECK(with_new_boxes.used_fraction >= 0.3);
      scenario.unknown_boxes = 0;
      scenario.partitioned_data_centres = unknown_boxes == 1 ? 1 : 3;
      LimitSimulationResult with_partition = RunSeeds(scenario);
      CHECK(with_partition.max_sends_in_window <=
            MaxSendsAllowed(scenario.limit_per_second));
      // Each data centre still gets permits from the granters in it.
      CHECK(with_partition.used_fraction >= 0.25);
    }
  }
}

TEST_CASE("where all endpoints report a limit most of it is used") {
  for (size_t boxes : {size_t{2}, size_t{7}, size_t{65}, size_t{195}}) {
    LimitScenario scenario;
    scenario.boxes = boxes;
    scenario.limited_endpoints = 4;
    scenario.limit_per_second = 3;
    CAPTURE(boxes);
    LimitSimulationResult worst = RunSeeds(scenario);
    CHECK(worst.max_sends_in_window <=
          MaxSendsAllowed(scenario.limit_per_second));
    CHECK(worst.used_fraction >= 0.75);
    // A request for which there is no permit does not wait long for one.
    CHECK(worst.max_wait <= milliseconds(400));
  }
}

TEST_CASE("boxes that enforce the limit without coordination exceed it") {
  LimitScenario scenario;
  scenario.limit_per_second = 1.8;
  LimitSimulation simulation(scenario, 1);
  UncoordinatedPolicy policy(scenario.limit_per_second, scenario.boxes);
  CHECK(simulation.Run(&policy).max_sends_in_window >
        MaxSendsAllowed(scenario.limit_per_second));
}

}  // namespace
}  // namespace leverwick
