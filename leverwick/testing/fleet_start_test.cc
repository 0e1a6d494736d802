#include "leverwick/fleet_start.h"

#include <doctest/doctest.h>

#include "leverwick/testing/fleet_start_simulation.h"

namespace leverwick {
namespace {

constexpr TimePoint kStart = TimePoint{} + std::chrono::hours(1);

FleetStartResult Play(const FleetStartScenario& scenario, uint64_t seed = 1) {
  return FleetStartSimulation(scenario, seed,
                              [](TimePoint started, double draw) {
                                return std::make_unique<FleetStartPolicy>(
                                    started, draw);
                              })
      .Run();
}

// Callers come 24 s after the boxes start; the rest is for what the simulation
// leaves out.
void CheckStart(const FleetStartScenario& scenario,
                std::chrono::seconds longest) {
  FleetStartResult result = Play(scenario);
  CAPTURE(scenario.boxes);
  CAPTURE(result.calls);
  CAPTURE(result.bytes);
  CHECK(result.ready == scenario.boxes);
  CHECK(result.last_ready < longest);
  // A box appends and reads a few times, whatever the size of the fleet. A
  // box without another to ask also reads on for the minute that is played.
  CHECK(result.calls < 8 * scenario.boxes + 10);
  // Few boxes read the large topic from the store.
  double lists = scenario.entry_bytes * static_cast<double>(scenario.boxes) *
                 static_cast<double>(scenario.boxes);
  CHECK(result.bytes < lists + 4 * 5 * scenario.topic_bytes);
}

TEST_CASE("a fleet of any size starts before one store") {
  for (size_t boxes : {1, 7, 100, 1000, 2000}) {
    FleetStartScenario scenario;
    scenario.boxes = boxes;
    scenario.data_centres = std::min<size_t>(5, boxes);
    CheckStart(scenario, std::chrono::seconds(15));
  }
}

TEST_CASE("a fleet starts when the store is away for a while") {
  FleetStartScenario scenario;
  scenario.away_from = milliseconds(500);
  scenario.away_for = milliseconds(5000);
  CheckStart(scenario, std::chrono::seconds(20));
}

TEST_CASE("a fleet starts when some of its boxes are killed meanwhile") {
  FleetStartScenario scenario;
  scenario.killed = 300;
  CheckStart(scenario, std::chrono::seconds(15));
}

TEST_CASE("retries without back-off overload the store for good") {
  FleetStartScenario scenario;
  scenario.away_from = milliseconds(500);
  scenario.away_for = milliseconds(5000);
  FleetStartResult result =
      FleetStartSimulation(scenario, 1, [](TimePoint started, double) {
        return std::make_unique<EagerStartPolicy>(started);
      }).Run();
  CAPTURE(result.bytes);
  bool starts = result.ready == scenario.boxes &&
                result.last_ready < std::chrono::seconds(24) &&
                result.calls < 8 * scenario.boxes;
  CHECK_FALSE(starts);
}

TEST_CASE("a box that starts among others goes on at once") {
  FleetStart start(false, kStart, 0.5);
  CHECK(start.MayReadList());
  CHECK_FALSE(start.TakeAppend(kStart));
  start.RecordList(5, false, kStart + milliseconds(10));
  CHECK(start.IsSettled(kStart + milliseconds(10)));
  CHECK(start.TakeAppend(kStart + milliseconds(10)));
  // One append at a time, and another one after a failure.
  CHECK_FALSE(start.TakeAppend(kStart + milliseconds(20)));
  start.RecordAppend(false, 1.0, kStart + milliseconds(30));
  CHECK_FALSE(start.TakeAppend(kStart + milliseconds(40)));
  CHECK_FALSE(start.TakeAppend(kStart + milliseconds(530)));
  start.RecordList(5, false, kStart + milliseconds(100));
  CHECK_FALSE(start.TakeAppend(kStart + milliseconds(599)));
  CHECK(start.TakeAppend(kStart + milliseconds(600)));
  start.RecordAppend(true, 1.0, kStart + milliseconds(610));
  CHECK_FALSE(start.TakeAppend(kStart + std::chrono::seconds(60)));
  // Others have dropped its entry.
  start.RecordList(5, false, kStart + std::chrono::seconds(61));
  CHECK(start.TakeAppend(kStart + std::chrono::seconds(61)));
}

TEST_CASE("on a first start the list is read when the entry was appended") {
  FleetStart start(true, kStart, 0.5);
  CHECK_FALSE(start.TakeAppend(kStart + milliseconds(999)));
  CHECK(start.TakeAppend(kStart + milliseconds(1000)));
  CHECK_FALSE(start.MayReadList());
  start.RecordAppend(false, 0.5, kStart + milliseconds(1004));
  CHECK(start.MayReadList());
}

TEST_CASE("pauses grow to a bound and begin anew after a success") {
  RetryPause pause(milliseconds(500), milliseconds(3000));
  CHECK(pause.Next(1) == milliseconds(500));
  CHECK(pause.Next(0.5) == milliseconds(500));
  CHECK(pause.Next(1) == milliseconds(2000));
  CHECK(pause.Next(1) == milliseconds(3000));
  CHECK(pause.Next(0) > milliseconds(0));
  pause.Reset();
  CHECK(pause.Next(1) == milliseconds(500));
}

}  // namespace
}  // namespace leverwick
