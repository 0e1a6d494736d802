// Prints how a played fleet serves the requests of boxes that are partitioned
// from all endpoints, for fleets and partitions of several sizes.

#include <cstdio>
#include <string>
#include <vector>

#include "leverwick/testing/forwarding_simulation.h"

namespace leverwick {
namespace {

constexpr milliseconds kTime{4000};
constexpr size_t kSizes[] = {2, 7, 65, 195, 985};
constexpr const char* kPartNames[] = {"one", "a third", "a data centre",
                                      "all but one"};

void Print(size_t boxes, PartitionedPart part) {
  ForwardingResult result =
      ForwardingSimulation(ScenarioOf(boxes, part)).Run(kTime);
  std::printf("| %zu | %s | %zu | %.3f | %.2f | %.2f | %.2f |\n", boxes,
              kPartNames[static_cast<int>(part)], result.requests,
              result.share(), result.hops(), result.far_share(),
              result.imbalance());
}

// Time of one choice while nothing declines.
void PrintPick(size_t boxes) {
  constexpr int kPicks = 20000;
  ForwardTargets targets("dc0");
  std::vector<ForwardPeer> peers;
  for (size_t box = 0; box < boxes; ++box) {
    std::string name = "box-" + std::to_string(box);
    peers.push_back({name, "dc" + std::to_string(box % 39), name});
  }
  targets.SetPeers(peers);
  TimePoint begin = Clock::now();
  size_t found = 0;
  for (int i = 0; i < kPicks; ++i) {
    if (targets.Pick({"box-0"}, {0.3, 0.7}, begin) != nullptr) ++found;
  }
  double microseconds = 1e6 * ToSeconds(Clock::now() - begin) / kPicks;
  std::printf("%zu boxes: %.1f us a choice (%zu)\n", boxes, microseconds,
              found);
}

}  // namespace
}  // namespace leverwick

int main() {
  using leverwick::PartitionedPart;
  std::printf(
      "| boxes | partitioned | requests | served | forwards each | far | "
      "busiest box |\n|---|---|---|---|---|---|---|\n");
  for (size_t boxes : leverwick::kSizes) {
    for (PartitionedPart part :
         {PartitionedPart::kOne, PartitionedPart::kThird,
          PartitionedPart::kDataCentre, PartitionedPart::kAllButOne}) {
      leverwick::Print(boxes, part);
    }
  }
  for (size_t boxes : leverwick::kSizes) leverwick::PrintPick(boxes);
  return 0;
}
