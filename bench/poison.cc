// Requests that end endpoints in ways that are harder to notice: how many
// endpoints end in five minutes, and what share of the other requests is
// served. Prints a row for each way and fleet, with and without the holding of
// such requests. docs/design/poison-requests.md takes them.

#include <cstdio>

#include "leverwick/testing/poison_simulation.h"

namespace leverwick {
namespace {

constexpr unsigned kSeeds = 3;

struct Way {
  const char* name;
  double a_second;
  size_t bodies;
  size_t ends_one_in;
  bool silent;
};
constexpr Way kWays[] = {
    {"each run ends its endpoint", 2, 1, 1, false},
    {"each run does, in silence", 2, 1, 1, true},
    {"each third run does", 2, 1, 3, false},
    {"it comes each 20 s", 0.05, 1, 1, false},
    {"twenty bodies, three a minute each", 1, 20, 1, false},
};

struct Mean {
  double ends = 0;
  double served = 0;
};

Mean PlaySeeds(const Way& way, size_t boxes, bool holds) {
  PoisonSimulationConfig fleet;
  fleet.boxes = boxes;
  fleet.quarantines = holds;
  fleet.poison_rate = way.a_second;
  fleet.poison_bodies = way.bodies;
  fleet.runs_per_crash = way.ends_one_in;
  fleet.crashes_silently = way.silent;
  fleet.duration = std::chrono::minutes(5);
  Mean mean;
  for (unsigned seed = 1; seed <= kSeeds; ++seed) {
    PoisonSimulationResult played = PoisonSimulation(fleet, seed).Run();
    mean.ends += static_cast<double>(played.poison_crashes) / kSeeds;
    mean.served += static_cast<double>(played.others_served) /
                   static_cast<double>(played.others) / kSeeds;
  }
  return mean;
}

int Main() {
  std::printf("%-36s %5s %24s %24s\n", "", "boxes", "not held: ends, served",
              "held: ends, served");
  for (const Way& way : kWays) {
    for (size_t boxes : {2, 7}) {
      Mean without = PlaySeeds(way, boxes, false);
      Mean with = PlaySeeds(way, boxes, true);
      std::printf("%-36s %5zu %16.1f, %.4f %16.1f, %.4f\n", way.name, boxes,
                  without.ends, without.served, with.ends, with.served);
      std::fflush(stdout);
    }
  }
  return 0;
}

}  // namespace
}  // namespace leverwick

int main() { return leverwick::Main(); }
