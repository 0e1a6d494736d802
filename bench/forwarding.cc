// Prints how a played fleet serves the requests of boxes that are partitioned
// from all endpoints, for fleets and partitions of several sizes.

#include <cstdio>

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
  return 0;
}
