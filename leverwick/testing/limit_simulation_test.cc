// Fleets of 2 to 195 boxes before endpoints that name a limit, played with
// seeds. What is allowed is the users' bound, in any 4 s from 3 s after the
// first naming on: half as much again as the limit, and five.

#include "leverwick/testing/limit_simulation.h"

#include <doctest/doctest.h>

namespace leverwick {
namespace {

using Traffic = LimitedFleet::Traffic;

constexpr uint64_t kSeeds = 5;

size_t AllowedIn(double per_second) {
  return static_cast<size_t>(1.5 * per_second * 4 + 5);
}

// The worst of some seeds, but for `used`, which is the mean.
PlayedLimit Worst(const LimitedFleet& fleet) {
  PlayedLimit worst;
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    LimitPlay play(fleet, seed);
    Permits permits(&play);
    PlayedLimit played = play.Run(&permits);
    worst.most = std::max(worst.most, played.most);
    worst.used += played.used / static_cast<double>(kSeeds);
    worst.longest = std::max(worst.longest, played.longest);
    worst.refused = std::max(worst.refused, played.refused);
  }
  return worst;
}

TEST_CASE("fleets of all sizes keep a limit however the traffic comes") {
  for (size_t boxes : {size_t{2}, size_t{7}, size_t{65}, size_t{195}}) {
    for (double per_second : {0.0, 0.2, 1.8, 3.0}) {
      for (Traffic traffic :
           {Traffic::kEven, Traffic::kOneBox, Traffic::kMoving}) {
        CAPTURE(boxes);
        CAPTURE(per_second);
        LimitedFleet fleet;
        fleet.boxes = boxes;
        fleet.per_second = per_second;
        fleet.traffic = traffic;
        PlayedLimit worst = Worst(fleet);
        CHECK(worst.most <= AllowedIn(per_second));
        // Others have room: nobody waits or is refused.
        CHECK(worst.refused == 0);
        CHECK(worst.longest == milliseconds(0));
      }
    }
  }
}

TEST_CASE("a limit is kept while messages get lost and a granter is away") {
  for (size_t boxes : {size_t{2}, size_t{7}, size_t{65}}) {
    LimitedFleet fleet;
    fleet.boxes = boxes;
    fleet.limited = 4;
    fleet.lost = 0.1;
    fleet.dead = boxes / 2;
    CAPTURE(boxes);
    CHECK(Worst(fleet).most <= AllowedIn(fleet.per_second));
  }
}

TEST_CASE("a limit is kept when boxes start or are cut off") {
  for (size_t boxes : {size_t{7}, size_t{65}, size_t{195}}) {
    for (size_t unknown : {size_t{1}, boxes / 3}) {
      LimitedFleet fleet;
      fleet.boxes = boxes;
      fleet.limited = 4;
      fleet.unknown = unknown;
      CAPTURE(boxes);
      CAPTURE(unknown);
      PlayedLimit started = Worst(fleet);
      CHECK(started.most <= AllowedIn(fleet.per_second));
      CHECK(started.used >= 0.3);
      fleet.unknown = 0;
      fleet.cut_off = unknown == 1 ? 1 : 3;
      PlayedLimit cut = Worst(fleet);
      CHECK(cut.most <= AllowedIn(fleet.per_second));
      // Each data centre goes on with what its own boxes deal out.
      CHECK(cut.used >= 0.25);
    }
  }
}

TEST_CASE("where all endpoints name a limit nearly all of it is used") {
  for (size_t boxes : {size_t{2}, size_t{7}, size_t{65}, size_t{195}}) {
    LimitedFleet fleet;
    fleet.boxes = boxes;
    fleet.limited = 4;
    fleet.per_second = 3;
    CAPTURE(boxes);
    PlayedLimit worst = Worst(fleet);
    CHECK(worst.most <= AllowedIn(fleet.per_second));
    CHECK(worst.used >= 0.75);
    // Who gets no room knows it soon.
    CHECK(worst.longest <= milliseconds(400));
  }
}

TEST_CASE("boxes that each keep the limit alone get far beyond it together") {
  LimitedFleet fleet;
  fleet.per_second = 1.8;
  LimitPlay play(fleet, 1);
  EachAlone alone(fleet.per_second, fleet.boxes);
  CHECK(play.Run(&alone).most > AllowedIn(fleet.per_second));
}

}  // namespace
}  // namespace leverwick
