// What an endpoint that names a limit gets from a fleet, by the way in which
// boxes keep the limit (leverwick/testing/limit_simulation.h).
//
//   bench-limits [seeds]
//   bench-limits [seeds] lists    boxes that have read different lists

#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <memory>

#include "leverwick/testing/box_list_permits.h"
#include "leverwick/testing/limit_simulation.h"

namespace leverwick {
namespace {

constexpr int kSeeds = 10;

struct Way {
  const char* name;
  std::function<std::unique_ptr<LimitPolicy>(LimitSimulation*)> make;
};

const Way kWays[] = {
    {"each alone",
     [](LimitSimulation* play) {
       return std::make_unique<UncoordinatedPolicy>(
           play->scenario().limit_per_second, play->scenario().boxes);
     }},
    {"equal parts",
     [](LimitSimulation* play) {
       return std::make_unique<EqualSharesPolicy>(
           play->scenario().limit_per_second, play->scenario().boxes);
     }},
    {"few senders",
     [](LimitSimulation* play) {
       return std::make_unique<SelectedSendersPolicy>(
           play->scenario().limit_per_second, play->scenario().boxes);
     }},
    {"permits",
     [](LimitSimulation* play) {
       return std::make_unique<PermitPolicy>(play);
     }},
};

void Report(const char* name, const LimitScenario& fleet, int seeds) {
  for (const Way& way : kWays) {
    LimitSimulationResult worst;
    double used = 0;
    for (int seed = 1; seed <= seeds; ++seed) {
      LimitSimulation play(fleet, static_cast<uint64_t>(seed));
      auto made = way.make(&play);
      LimitSimulationResult played = play.Run(made.get());
      worst.max_sends_in_window =
          std::max(worst.max_sends_in_window, played.max_sends_in_window);
      worst.max_wait = std::max(worst.max_wait, played.max_wait);
      worst.refused_fraction += played.refused_fraction / seeds;
      worst.messages_per_second += played.messages_per_second / seeds;
      used += played.used_fraction / seeds;
    }
    double allowed = 1.5 * fleet.limit_per_second * 4 + 5;
    std::printf(
        "%-22s %4zu boxes %4.1f/s %-12s most %3zu of %2d, used %.2f, refused "
        "%.2f, %5.1f messages/s, waited %3d ms\n",
        name, fleet.boxes, fleet.limit_per_second, way.name,
        worst.max_sends_in_window, static_cast<int>(allowed), used,
        worst.refused_fraction, worst.messages_per_second,
        static_cast<int>(worst.max_wait.count()));
  }
}

void ReportLists(const char* name, const LimitScenario& fleet,
                 const BoxListScenario& lists, int seeds) {
  size_t most = 0;
  double used = 0;
  double messages = 0;
  for (int seed = 1; seed <= seeds; ++seed) {
    LimitSimulation play(fleet, static_cast<uint64_t>(seed));
    BoxListPermitPolicy permits(&play, lists);
    LimitSimulationResult played = play.Run(&permits);
    most = std::max(most, played.max_sends_in_window);
    used += played.used_fraction / seeds;
    messages += played.messages_per_second / seeds;
  }
  std::printf(
      "%-18s %4zu boxes, lists %2.0f s old, %.1f lost, most %3zu of %2d, "
      "used %.2f, %6.1f messages/s\n",
      name, fleet.boxes, lists.max_list_age.count(), fleet.message_loss, most,
      static_cast<int>(1.5 * fleet.limit_per_second * 4 + 5), used, messages);
}

void ReportAllLists(size_t boxes, int seeds) {
  using Fault = BoxListScenario::Fault;
  for (double age : {10.0, 30.0}) {
    LimitScenario fleet;
    fleet.boxes = boxes;
    fleet.limited_endpoints = 4;
    fleet.limit_per_second = 3;
    fleet.message_loss = 0.1;
    fleet.duration = Seconds(60);
    BoxListScenario lists;
    lists.max_list_age = Seconds(age);
    lists.all_new = true;
    ReportLists("new", fleet, lists, seeds);
    lists.all_new = false;
    lists.replaced_boxes = 7;
    ReportLists("replaced", fleet, lists, seeds);
    lists.fault = Fault::kLost;
    ReportLists("and list lost", fleet, lists, seeds);
    lists.fault = Fault::kRolledBack;
    ReportLists("and list older", fleet, lists, seeds);
    fleet.partitioned_data_centres = 1;
    ReportLists("and a cut", fleet, lists, seeds);
  }
}

int Main(int argc, char** argv) {
  int seeds = argc > 1 ? std::atoi(argv[1]) : kSeeds;
  if (argc > 2 && std::strcmp(argv[2], "lists") == 0) {
    for (size_t boxes : {2, 7, 65, 195}) ReportAllLists(boxes, seeds);
    return 0;
  }
  using Traffic = LimitScenario::Traffic;
  struct Size {
    size_t boxes;
    double per_second;
  };
  for (Size size :
       {Size{2, 1.8}, Size{7, 1.8}, Size{65, 2.3}, Size{195, 0.2}}) {
    LimitScenario fleet;
    fleet.boxes = size.boxes;
    fleet.limit_per_second = size.per_second;
    Report("one of four", fleet, seeds);
    fleet.traffic = Traffic::kOneBox;
    Report("all to one box", fleet, seeds);
    fleet.traffic = Traffic::kRotating;
    Report("moving", fleet, seeds);
    fleet.traffic = Traffic::kEven;
    fleet.message_loss = 0.1;
    fleet.unresponsive_boxes = 1;
    Report("a tenth lost, a dead", fleet, seeds);
    fleet.message_loss = 0;
    fleet.unresponsive_boxes = 0;
    fleet.limited_endpoints = 4;
    fleet.limit_per_second = 3;
    Report("all of four", fleet, seeds);
  }
  return 0;
}

}  // namespace
}  // namespace leverwick

int main(int argc, char** argv) { return leverwick::Main(argc, argv); }
