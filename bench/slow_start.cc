// How many requests a cold endpoint gets when a data centre comes back, by the
// way in which boxes limit themselves
// (leverwick/testing/slow_start_simulation.h).
//
//   bench-slow-start [seeds]

#include <cstdio>
#include <cstdlib>
#include <functional>
#include <memory>
#include <vector>

#include "leverwick/testing/slow_start_simulation.h"

namespace leverwick {
namespace {

constexpr double kRate = 13;  // a second, that a cold endpoint bears
constexpr int kSeeds = 10;

struct Way {
  const char* name;
  std::function<std::unique_ptr<ColdSendPolicy>(const SimulatedFleet&,
                                                uint64_t)>
      make;
};

void Report(const char* fleet_name, const SimulatedFleet& fleet, int seeds) {
  const Way ways[] = {
      {"no limit", [](const SimulatedFleet&,
                      uint64_t) { return std::make_unique<UnlimitedSends>(); }},
      {"equal shares",
       [](const SimulatedFleet& played, uint64_t) {
         return std::make_unique<EqualShares>(
             kRate, played.boxes,
             played.warm_endpoints + played.cold_endpoints);
       }},
      {"told counts",
       [](const SimulatedFleet&, uint64_t) {
         return std::make_unique<PeerReportedCounts>(kRate);
       }},
      {"chosen senders",
       [](const SimulatedFleet& played, uint64_t seed) {
         return std::make_unique<RendezvousSenders>(kRate, played, seed);
       }},
  };
  for (const Way& way : ways) {
    size_t most = 0;
    double mean = 0;
    size_t refused = 0;
    for (int seed = 1; seed <= seeds; ++seed) {
      auto policy = way.make(fleet, static_cast<uint64_t>(seed));
      RestoreResult played =
          SlowStartSimulation(fleet, static_cast<uint64_t>(seed))
              .Run(policy.get());
      most = std::max(most, played.max_requests_per_second);
      mean += played.mean_requests_per_second / seeds;
      refused += played.refused;
    }
    std::printf("%-28s %-16s most %3zu a second, mean %5.1f, refused %zu\n",
                fleet_name, way.name, most, mean, refused);
  }
}

int Main(int argc, char** argv) {
  int seeds = argc > 1 ? std::atoi(argv[1]) : kSeeds;
  for (size_t boxes : {6, 65, 200}) {
    SimulatedFleet fleet;
    fleet.boxes = boxes;
    std::string name = std::to_string(boxes) + " boxes, 37 of 112 cold";
    Report(name.c_str(), fleet, seeds);
  }
  SimulatedFleet few;
  few.boxes = 200;
  few.cold_endpoints = 2;
  Report("200 boxes, 2 of 77 cold", few, seeds);
  SimulatedFleet all;
  all.warm_endpoints = 0;
  all.cold_endpoints = 112;
  Report("65 boxes, all 112 cold", all, seeds);
  return 0;
}

}  // namespace
}  // namespace leverwick

int main(int argc, char** argv) { return leverwick::Main(argc, argv); }
