#include "leverwick/testing/backoff_simulation.h"

#include <doctest/doctest.h>

namespace leverwick {
namespace {

// Maximum that the service objective allows from one box to an endpoint during
// a back-off that the endpoint requested.
constexpr size_t kMaxSendsDuringBackoff = 2;

TEST_CASE("boxes of fleets of all sizes observe requested back-offs") {
  auto make_policy = [] { return std::make_unique<RampPolicy>(false); };
  for (size_t boxes : {2, 7, 65, 195}) {
    for (double refusal_probability : {1.0, 0.45}) {
      for (uint64_t seed = 1; seed <= 10; ++seed) {
        BackoffScenario scenario;
        scenario.boxes = boxes;
        scenario.refusal_probability = refusal_probability;
        CAPTURE(boxes);
        CAPTURE(refusal_probability);
        CAPTURE(seed);
        CHECK(BackoffSimulation(scenario, make_policy, seed)
                  .Run()
                  .max_sends_during_backoff <= kMaxSendsDuringBackoff);
      }
    }
  }
}

TEST_CASE("endpoints get no burst of requests when a back-off ends") {
  auto make_policy = [] { return std::make_unique<RampPolicy>(false); };
  for (size_t boxes : {2, 7, 65, 195}) {
    BackoffScenario scenario;
    scenario.boxes = boxes;
    scenario.refusing_endpoints = scenario.endpoints;
    size_t max_burst_before = 0;
    size_t max_burst_after = 0;
    for (uint64_t seed = 1; seed <= 10; ++seed) {
      BackoffSimulationResult result =
          BackoffSimulation(scenario, make_policy, seed).Run();
      max_burst_before = std::max(max_burst_before, result.max_burst_before);
      max_burst_after = std::max(max_burst_after, result.max_burst_after);
    }
    CAPTURE(boxes);
    CHECK(max_burst_after <= max_burst_before);
  }
}

}  // namespace
}  // namespace leverwick
