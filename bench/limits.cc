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

#include "leverwick/testing/limit_simulation.h"
#include "leverwick/testing/box_list_permits.h"

namespace leverwick {
namespace {

constexpr int kSeeds = 10;

struct Way {
  const char* name;
  std::function<std::unique_ptr<LimitWay>(LimitPlay*)> make;
};

const Way kWays[] = {
    {"each alone",
     [](LimitPlay* play) {
       return std::make_unique<EachAlone>(play->fleet().per_second,
                                          play->fleet().boxes);
     }},
    {"equal parts",
     [](LimitPlay* play) {
       return std::make_unique<EqualParts>(play->fleet().per_second,
                                           play->fleet().boxes);
     }},
    {"few senders",
     [](LimitPlay* play) {
       return std::make_unique<FewSenders>(play->fleet().per_second,
                                           play->fleet().boxes);
     }},
    {"permits",
     [](LimitPlay* play) { return std::make_unique<Permits>(play); }},
};

void Report(const char* name, const LimitedFleet& fleet, int seeds) {
  for (const Way& way : kWays) {
    PlayedLimit worst;
    double used = 0;
    for (int seed = 1; seed <= seeds; ++seed) {
      LimitPlay play(fleet, static_cast<uint64_t>(seed));
      auto made = way.make(&play);
      PlayedLimit played = play.Run(made.get());
      worst.most = std::max(worst.most, played.most);
      worst.longest = std::max(worst.longest, played.longest);
      worst.refused += played.refused / seeds;
      worst.messages += played.messages / seeds;
      used += played.used / seeds;
    }
    double allowed = 1.5 * fleet.per_second * 4 + 5;
    std::printf(
        "%-22s %4zu boxes %4.1f/s %-12s most %3zu of %2d, used %.2f, refused "
        "%.2f, %5.1f messages/s, waited %3d ms\n",
        name, fleet.boxes, fleet.per_second, way.name, worst.most,
        static_cast<int>(allowed), used, worst.refused, worst.messages,
        static_cast<int>(worst.longest.count()));
  }
}

void ReportLists(const char* name, const LimitedFleet& fleet,
                 const FleetLists& lists, int seeds) {
  size_t most = 0;
  double used = 0;
  double messages = 0;
  for (int seed = 1; seed <= seeds; ++seed) {
    LimitPlay play(fleet, static_cast<uint64_t>(seed));
    ListedPermits permits(&play, lists);
    PlayedLimit played = play.Run(&permits);
    most = std::max(most, played.most);
    used += played.used / seeds;
    messages += played.messages / seeds;
  }
  std::printf(
      "%-18s %4zu boxes, lists %2.0f s old, %.1f lost, most %3zu of %2d, "
      "used %.2f, %6.1f messages/s\n",
      name, fleet.boxes, lists.age.count(), fleet.lost, most,
      static_cast<int>(1.5 * fleet.per_second * 4 + 5), used, messages);
}

void ReportAllLists(size_t boxes, int seeds) {
  using Fault = FleetLists::Fault;
  for (double age : {10.0, 30.0}) {
    LimitedFleet fleet;
    fleet.boxes = boxes;
    fleet.limited = 4;
    fleet.per_second = 3;
    fleet.lost = 0.1;
    fleet.lasts = Seconds(60);
    FleetLists lists;
    lists.age = Seconds(age);
    lists.all_new = true;
    ReportLists("new", fleet, lists, seeds);
    lists.all_new = false;
    lists.replaced = 7;
    ReportLists("replaced", fleet, lists, seeds);
    lists.fault = Fault::kEmpty;
    ReportLists("and list lost", fleet, lists, seeds);
    lists.fault = Fault::kOlder;
    ReportLists("and list older", fleet, lists, seeds);
    fleet.cut_off = 1;
    ReportLists("and a cut", fleet, lists, seeds);
  }
}

int Main(int argc, char** argv) {
  int seeds = argc > 1 ? std::atoi(argv[1]) : kSeeds;
  if (argc > 2 && std::strcmp(argv[2], "lists") == 0) {
    for (size_t boxes : {2, 7, 65, 195}) ReportAllLists(boxes, seeds);
    return 0;
  }
  using Traffic = LimitedFleet::Traffic;
  struct Size {
    size_t boxes;
    double per_second;
  };
  for (Size size :
       {Size{2, 1.8}, Size{7, 1.8}, Size{65, 2.3}, Size{195, 0.2}}) {
    LimitedFleet fleet;
    fleet.boxes = size.boxes;
    fleet.per_second = size.per_second;
    Report("one of four", fleet, seeds);
    fleet.traffic = Traffic::kOneBox;
    Report("all to one box", fleet, seeds);
    fleet.traffic = Traffic::kMoving;
    Report("moving", fleet, seeds);
    fleet.traffic = Traffic::kEven;
    fleet.lost = 0.1;
    fleet.dead = 1;
    Report("a tenth lost, a dead", fleet, seeds);
    fleet.lost = 0;
    fleet.dead = 0;
    fleet.limited = 4;
    fleet.per_second = 3;
    Report("all of four", fleet, seeds);
  }
  return 0;
}

}  // namespace
}  // namespace leverwick

int main(int argc, char** argv) { return leverwick::Main(argc, argv); }
