// Fleets whose boxes have read different lists of each other keep a limit: the
// users' bound, in any 4 s from 3 s after the first naming on.

#include "leverwick/testing/box_list_permits.h"

#include <doctest/doctest.h>

namespace leverwick {
namespace {

using Fault = FleetLists::Fault;

constexpr uint64_t kSeeds = 10;
// Large fleets take long to play.
constexpr uint64_t kSeedsOfLarge = 2;

size_t AllowedIn(double per_second) {
  return static_cast<size_t>(1.5 * per_second * 4 + 5);
}

// The worst window of some seeds, and the mean use of the limits.
PlayedLimit Worst(const LimitedFleet& fleet, const FleetLists& lists) {
  uint64_t seeds = fleet.boxes > 10 ? kSeedsOfLarge : kSeeds;
  PlayedLimit worst;
  for (uint64_t seed = 1; seed <= seeds; ++seed) {
    LimitPlay play(fleet, seed);
    ListedPermits permits(&play, lists);
    PlayedLimit played = play.Run(&permits);
    worst.most = std::max(worst.most, played.most);
    worst.used += played.used / static_cast<double>(seeds);
  }
  return worst;
}

LimitedFleet FleetOf(size_t boxes, double per_second, double lost) {
  LimitedFleet fleet;
  fleet.boxes = boxes;
  fleet.limited = 4;
  fleet.per_second = per_second;
  fleet.lost = lost;
  fleet.lasts = Seconds(60);
  return fleet;
}

struct Lists {
  double age;
  double lost;
};
constexpr Lists kLists[] = {{10, 0}, {30, 0}, {30, 0.1}};

TEST_CASE("a fleet of new boxes keeps limits and uses their room") {
  for (size_t boxes : {2, 7, 65}) {
    for (const Lists& its : kLists) {
      CAPTURE(boxes);
      CAPTURE(its.age);
      CAPTURE(its.lost);
      LimitedFleet fleet = FleetOf(boxes, 3, its.lost);
      FleetLists lists;
      lists.age = Seconds(its.age);
      lists.all_new = true;
      PlayedLimit worst = Worst(fleet, lists);
      CHECK(worst.most <= AllowedIn(fleet.per_second));
      // Asks that get lost leave room unused.
      if (its.lost == 0) CHECK(worst.used >= 0.75);
    }
  }
}

TEST_CASE("boxes that are killed and replaced one by one go on with limits") {
  for (size_t boxes : {2, 7, 65}) {
    for (const Lists& its : kLists) {
      CAPTURE(boxes);
      CAPTURE(its.age);
      CAPTURE(its.lost);
      LimitedFleet fleet = FleetOf(boxes, 3, its.lost);
      FleetLists lists;
      lists.age = Seconds(its.age);
      lists.replaced = std::min<size_t>(boxes, 7);
      PlayedLimit worst = Worst(fleet, lists);
      CHECK(worst.most <= AllowedIn(fleet.per_second));
      // Up to half of the listed boxes are gone, and deal out nothing.
      CHECK(worst.used >= 0.4);
    }
  }
}

TEST_CASE("limits hold when the list is lost or goes back") {
  for (size_t boxes : {2, 7}) {
    for (const Lists& its : kLists) {
      for (double per_second : {0.5, 3.0}) {
        for (size_t cut_off : {0, 1}) {
          CAPTURE(boxes);
          CAPTURE(its.age);
          CAPTURE(its.lost);
          CAPTURE(cut_off);
          LimitedFleet fleet = FleetOf(boxes, per_second, its.lost);
          fleet.cut_off = cut_off;
          FleetLists lists;
          lists.age = Seconds(its.age);
          lists.replaced = 7;
          lists.fault = Fault::kEmpty;
          CHECK(Worst(fleet, lists).most <= AllowedIn(per_second));
          lists.fault = Fault::kOlder;
          CHECK(Worst(fleet, lists).most <= AllowedIn(per_second));
        }
      }
    }
  }
}

TEST_CASE("limits hold in a large fleet whose list is lost") {
  LimitedFleet fleet = FleetOf(65, 3, 0.1);
  fleet.cut_off = 1;
  FleetLists lists;
  lists.age = Seconds(30);
  lists.replaced = 7;
  lists.fault = Fault::kEmpty;
  CHECK(Worst(fleet, lists).most <= AllowedIn(fleet.per_second));
}

}  // namespace
}  // namespace leverwick
