// The story stands in platform/testing/front_poison_test.cc; here whole fleets
// are played over seeds.

#include "leverwick/testing/poison_simulation.h"

#include <doctest/doctest.h>

namespace leverwick {
namespace {

// The users' bound.
constexpr size_t kMostLate = 3;

PoisonSimulationResult Sum(const PoisonSimulationConfig& fleet,
                           unsigned seeds) {
  PoisonSimulationResult sum;
  for (unsigned seed = 1; seed <= seeds; ++seed) {
    PoisonSimulationResult one = PoisonSimulation(fleet, seed).Run();
    sum.poison_late = std::max(sum.poison_late, one.poison_late);
    sum.poison_ends = std::max(sum.poison_ends, one.poison_ends);
    sum.popular += one.popular;
    sum.popular_served += one.popular_served;
    sum.popular_held += one.popular_held;
    sum.others += one.others;
    sum.others_served += one.others_served;
    sum.others_held += one.others_held;
  }
  return sum;
}

double Share(size_t part, size_t whole) {
  return static_cast<double>(part) / static_cast<double>(whole);
}

TEST_CASE("fleets of 7 to 195 boxes send a poison request on no more") {
  struct {
    size_t boxes, endpoints;
    double others;
    unsigned seeds;
  } const fleets[] = {
      {2, 4, 20, 10}, {7, 12, 90, 10}, {65, 75, 600, 3}, {195, 450, 1500, 2}};
  for (const auto& one : fleets) {
    for (double a_second : {0.1, 0.5, 2.0, 8.0}) {
      PoisonSimulationConfig fleet;
      fleet.boxes = one.boxes;
      fleet.endpoints = one.endpoints;
      fleet.others = one.others;
      fleet.poison = a_second;
      PoisonSimulationResult played = Sum(fleet, one.seeds);
      INFO(one.boxes << " boxes, " << a_second << " a second: late "
                     << played.poison_late << ", ends " << played.poison_ends
                     << ", others served "
                     << Share(played.others_served, played.others) << " held "
                     << Share(played.others_held, played.others)
                     << ", popular served "
                     << Share(played.popular_served, played.popular) << " held "
                     << Share(played.popular_held, played.popular));
      CHECK(played.poison_late <= kMostLate);
    }
  }
}

// All four endpoints end within half a second, so that their ends count as
// fewer; once they are back three are sent at once, and one trial later.
TEST_CASE("few endpoints that end at one moment get a poison request no more") {
  PoisonSimulationConfig fleet;
  fleet.boxes = 2;
  fleet.endpoints = 4;
  fleet.others = 20;
  fleet.poison = 8;
  for (unsigned seed : {25U, 164U}) {
    CAPTURE(seed);
    CHECK(PoisonSimulation(fleet, seed).Run().poison_late <= kMostLate);
  }
}

TEST_CASE("ends by chance keep nobody from the pool") {
  // Four endpoints that are down for 1.5 s, 15 ends in 16 s.
  PoisonSimulationConfig fleet;
  fleet.boxes = 2;
  fleet.endpoints = 4;
  fleet.others = 20;
  fleet.poison = 0;
  fleet.chance_ends = 1.5;
  fleet.down = milliseconds(1500);
  PoisonSimulationResult with = Sum(fleet, 20);
  fleet.holds = false;
  PoisonSimulationResult without = Sum(fleet, 20);
  INFO("popular served " << Share(with.popular_served, with.popular) << " held "
                         << Share(with.popular_held, with.popular)
                         << ", without "
                         << Share(without.popular_served, without.popular));
  INFO("others served " << Share(with.others_served, with.others) << " held "
                        << Share(with.others_held, with.others) << ", without "
                        << Share(without.others_served, without.others));
  // One in a hundred, which seeds alone differ by.
  CHECK(Share(with.popular_held, with.popular) < 0.01);
  CHECK(Share(with.others_held, with.others) < 0.01);
}

}  // namespace
}  // namespace leverwick
