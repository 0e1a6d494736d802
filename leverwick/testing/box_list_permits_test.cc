// Fleets whose boxes have read different lists of the fleet enforce a limit.
// The service objective applies to any 4 s window from 3 s after the first
// report of the limit on.

#include "leverwick/testing/box_list_permits.h"

#include <doctest/doctest.h>

namespace leverwick {
namespace {

using Fault = BoxListScenario::Fault;

constexpr uint64_t kSeeds = 10;
// Simulations of large fleets are slow.
constexpr uint64_t kSeedsOfLargeFleets = 2;

size_t MaxSendsAllowed(double per_second) {
  return static_cast<size_t>(1.5 * per_second * 4 + 5);
}

// Returns the maximum of max_sends_in_window over all seeds, and the mean of
// used_fraction.
LimitSimulationResult RunSeeds(const LimitScenario& scenario,
                               const BoxListScenario& list_scenario) {
  uint64_t seeds = scenario.boxes > 10 ? kSeedsOfLargeFleets : kSeeds;
  LimitSimulationResult worst;
  for (uint64_t seed = 1; seed <= seeds; ++seed) {
    LimitSimulation simulation(scenario, seed);
    BoxListPermitPolicy policy(&simulation, list_scenario);
    LimitSimulationResult result = simulation.Run(&policy);
    worst.max_sends_in_window =
        std::max(worst.max_sends_in_window, result.max_sends_in_window);
    worst.used_fraction += result.used_fraction / static_cast<double>(seeds);
  }
  return worst;
}

LimitScenario MakeScenario(size_t boxes, double per_second,
                           double message_loss) {
  LimitScenario scenario;
  scenario.boxes = boxes;
  scenario.limited_endpoints = 4;
  scenario.limit_per_second = per_second;
  scenario.message_loss = message_loss;
  scenario.duration = Seconds(60);
  return scenario;
}

struct ListConditions {
  double max_age_seconds;
  double message_loss;
};
constexpr ListConditions kListConditions[] = {{10, 0}, {30, 0}, {30, 0.1}};

TEST_CASE("a fleet of new boxes enforces limits and uses most of them") {
  for (size_t boxes : {2, 7, 65}) {
    for (const ListConditions& conditions : kListConditions) {
      CAPTURE(boxes);
      CAPTURE(conditions.max_age_seconds);
      CAPTURE(conditions.message_loss);
      LimitScenario scenario = MakeScenario(boxes, 3, conditions.message_loss);
      BoxListScenario list_scenario;
      list_scenario.max_list_age = Seconds(conditions.max_age_seconds);
      list_scenario.all_new = true;
      LimitSimulationResult worst = RunSeeds(scenario, list_scenario);
      CHECK(worst.max_sends_in_window <=
            MaxSendsAllowed(scenario.limit_per_second));
      // Lost permit requests leave a part of the limit unused.
      if (conditions.message_loss == 0) CHECK(worst.used_fraction >= 0.75);
    }
  }
}

TEST_CASE("limits hold and are used while boxes are replaced one by one") {
  for (size_t boxes : {2, 7, 65}) {
    for (const ListConditions& conditions : kListConditions) {
      CAPTURE(boxes);
      CAPTURE(conditions.max_age_seconds);
      CAPTURE(conditions.message_loss);
      LimitScenario scenario = MakeScenario(boxes, 3, conditions.message_loss);
      BoxListScenario list_scenario;
      list_scenario.max_list_age = Seconds(conditions.max_age_seconds);
      list_scenario.replaced_boxes = std::min<size_t>(boxes, 7);
      LimitSimulationResult worst = RunSeeds(scenario, list_scenario);
      CHECK(worst.max_sends_in_window <=
            MaxSendsAllowed(scenario.limit_per_second));
      // Up to half of the listed boxes have stopped and grant no permits.
      CHECK(worst.used_fraction >= 0.4);
    }
  }
}

TEST_CASE("limits hold when the box list is lost or rolled back") {
  for (size_t boxes : {2, 7}) {
    for (const ListConditions& conditions : kListConditions) {
      for (double per_second : {0.5, 3.0}) {
        for (size_t partitioned : {0, 1}) {
          CAPTURE(boxes);
          CAPTURE(conditions.max_age_seconds);
          CAPTURE(conditions.message_loss);
          CAPTURE(partitioned);
          LimitScenario scenario =
              MakeScenario(boxes, per_second, conditions.message_loss);
          scenario.partitioned_data_centres = partitioned;
          BoxListScenario list_scenario;
          list_scenario.max_list_age = Seconds(conditions.max_age_seconds);
          list_scenario.replaced_boxes = 7;
          list_scenario.fault = Fault::kLost;
          CHECK(RunSeeds(scenario, list_scenario).max_sends_in_window <=
                MaxSendsAllowed(per_second));
          list_scenario.fault = Fault::kRolledBack;
          CHECK(RunSeeds(scenario, list_scenario).max_sends_in_window <=
                MaxSendsAllowed(per_second));
        }
      }
    }
  }
}

TEST_CASE("limits hold in a large fleet whose box list is lost") {
  LimitScenario scenario = MakeScenario(65, 3, 0.1);
  scenario.partitioned_data_centres = 1;
  BoxListScenario list_scenario;
  list_scenario.max_list_age = Seconds(30);
  list_scenario.replaced_boxes = 7;
  list_scenario.fault = Fault::kLost;
  CHECK(RunSeeds(scenario, list_scenario).max_sends_in_window <=
        MaxSendsAllowed(scenario.limit_per_second));
}

}  // namespace
}  // namespace leverwick
