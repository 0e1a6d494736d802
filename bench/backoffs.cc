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
  BackoffPlay::MakeWay make;
};

const Way kWays[] = {
    {"ignored", [] { return std::make_unique<IgnoresBackoffs>(); }},
    {"own, back at once", [] { return std::make_unique<ReturnsAtOnce>(); }},
    {"own, in steps", [] { return std::make_unique<ReturnsInSteps>(false); }},
    {"told, in steps", [] { return std::make_unique<ReturnsInSteps>(true); }},
};

void Print(const BackoffFleet& fleet, int seeds) {
  std::printf("%zu boxes, %zu of %zu refuse %.2f\n", fleet.boxes,
              fleet.refusing, fleet.endpoints, fleet.refused_share);
  for (const Way& way : kWays) {
    PlayedBackoff worst;
    double refused = 0;
    double used = 0;
    double refusals = 0;
    for (int seed = 1; seed <= seeds; ++seed) {
      PlayedBackoff its =
          BackoffPlay(fleet, way.make, static_cast<uint64_t>(seed)).Run();
      worst.most = std::max(worst.most, its.most);
      worst.usual = std::max(worst.usual, its.usual);
      worst.at_return = std::max(worst.at_return, its.at_return);
      worst.longest = std::max(worst.longest, its.longest);
      refused += its.refused / seeds;
      used += its.used / seeds;
      refusals += static_cast<double>(its.refusals) / seeds;
    }
    std::printf(
        "  %-18s most %3zu  refusals %6.0f  refused %.3f  used %.2f  "
        "usual %3zu  at return %3zu  longest wait %4ld ms\n",
        way.name, worst.most, refusals, refused, used, worst.usual,
        worst.at_return, static_cast<long>(worst.longest.count()));
  }
}

}  // namespace
}  // namespace leverwick

int main(int argc, char** argv) {
  using leverwick::BackoffFleet;
  int seeds = argc > 1 ? std::atoi(argv[1]) : leverwick::kSeeds;
  for (size_t boxes : {2, 7, 65, 195}) {
    for (double share : {1.0, 0.45}) {
      for (size_t refusing : {4, 12}) {
        BackoffFleet fleet;
        fleet.boxes = boxes;
        fleet.refused_share = share;
        fleet.refusing = refusing;
        leverwick::Print(fleet, seeds);
      }
    }
  }
  return 0;
}
