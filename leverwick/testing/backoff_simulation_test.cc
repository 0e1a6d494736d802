#include "leverwick/testing/backoff_simulation.h"

#include <doctest/doctest.h>

namespace leverwick {
namespace {

// The users' bound for a box, within a time that it was asked for.
constexpr size_t kMostDuring = 2;

TEST_CASE("in no played fleet does an endpoint get more than it asked for") {
  auto in_steps = [] { return std::make_unique<ReturnsInSteps>(false); };
  for (size_t boxes : {2, 7, 65, 195}) {
    for (double share : {1.0, 0.45}) {
      for (uint64_t seed = 1; seed <= 10; ++seed) {
        BackoffFleet fleet;
        fleet.boxes = boxes;
        fleet.refused_share = share;
        CAPTURE(boxes);
        CAPTURE(share);
        CAPTURE(seed);
        CHECK(BackoffPlay(fleet, in_steps, seed).Run().most <= kMostDuring);
      }
    }
  }
}

TEST_CASE("endpoints that take requests again get no more than usual") {
  auto in_steps = [] { return std::make_unique<ReturnsInSteps>(false); };
  for (size_t boxes : {2, 7, 65, 195}) {
    BackoffFleet fleet;
    fleet.boxes = boxes;
    fleet.refusing = fleet.endpoints;
    size_t usual = 0;
    size_t at_return = 0;
    for (uint64_t seed = 1; seed <= 10; ++seed) {
      PlayedBackoff its = BackoffPlay(fleet, in_steps, seed).Run();
      usual = std::max(usual, its.usual);
      at_return = std::max(at_return, its.at_return);
    }
    CAPTURE(boxes);
    CHECK(at_return <= usual);
  }
}

}  // namespace
}  // namespace leverwick
