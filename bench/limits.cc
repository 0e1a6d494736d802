// What an endpoint that names a limit gets from a fleet, by the way in which
// boxes keep the limit (leverwick/testing/limit_play.h).
//
//   bench-limits [seeds]

#include <cstdio>
#include <cstdlib>
#include <functional>
#include <memory>

#include "leverwick/testing/limit_play.h"

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

int Main(int argc, char** argv) {
  int seeds = argc > 1 ? std::atoi(argv[1]) : kSeeds;
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
