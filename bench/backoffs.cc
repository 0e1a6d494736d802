// What endpoints that turn requests away get from a fleet, by the way in which
// boxes keep the back-offs that they ask for
// (leverwick/testing/backoff_simulation.h).
//
//   bench-backoffs [seeds]

#include <cstdio>
#include <cstdlib>
#include <memory>

#include "leverwick/testing/backoff_simulation.h"

namespace leverwick {
namespace {

constexpr int kSeeds = 10;

struct Way {
  const char* name;
  BackoffSimulation::MakePolicy make;
};

const Way kWays[] = {
    {"ignored", [] { return std::make_unique<IgnoreBackoffsPolicy>(); }},
    {"own, back at once",
     [] { return std::make_unique<ResumeAtOncePolicy>(); }},
    {"own, in steps", [] { return std::make_unique<RampPolicy>(false); }},
    {"told, in steps", [] { return std::make_unique<RampPolicy>(true); }},
};

void Print(const BackoffScenario& fleet, int seeds) {
  std::printf("%zu boxes, %zu of %zu refuse %.2f\n", fleet.boxes,
              fleet.refusing_endpoints, fleet.endpoints,
              fleet.refusal_probability);
  for (const Way& way : kWays) {
    BackoffSimulationResult worst;
    double refused = 0;
    double used = 0;
    double refusals = 0;
    for (int seed = 1; seed <= seeds; ++seed) {
      BackoffSimulationResult its =
          BackoffSimulation(fleet, way.make, static_cast<uint64_t>(seed)).Run();
      worst.max_sends_during_backoff = std::max(worst.max_sends_during_backoff,
                                                its.max_sends_during_backoff);
      worst.max_burst_before =
          std::max(worst.max_burst_before, its.max_burst_before);
      worst.max_burst_after =
          std::max(worst.max_burst_after, its.max_burst_after);
      worst.max_wait = std::max(worst.max_wait, its.max_wait);
      refused += its.rejected_fraction / seeds;
      used += its.used_fraction / seeds;
      refusals += static_cast<double>(its.refusals) / seeds;
    }
    std::printf(
        "  %-18s most %3zu  refusals %6.0f  refused %.3f  used %.2f  "
        "usual %3zu  at return %3zu  longest wait %4ld ms\n",
        way.name, worst.max_sends_during_backoff, refusals, refused, used,
        worst.max_burst_before, worst.max_burst_after,
        static_cast<long>(worst.max_wait.count()));
  }
}

}  // namespace
}  // namespace leverwick

int main(int argc, char** argv) {
  using leverwick::BackoffScenario;
  int seeds = argc > 1 ? std::atoi(argv[1]) : leverwick::kSeeds;
  for (size_t boxes : {2, 7, 65, 195}) {
    for (double share : {1.0, 0.45}) {
      for (size_t refusing : {4, 12}) {
        BackoffScenario fleet;
        fleet.boxes = boxes;
        fleet.refusal_probability = share;
        fleet.refusing_endpoints = refusing;
        leverwick::Print(fleet, seeds);
      }
    }
  }
  return 0;
}
