#include "leverwick/log_reader.h"

#include <doctest/doctest.h>

#include <cstdlib>
#include <set>
#include <string>
#include <vector>

#include "leverwick/testing/log_reader_simulation.h"

namespace leverwick {
namespace {

using std::chrono::seconds;

// Within which a change must be in force, and a withdrawn key must not work,
// less the margin of a proof (Front).
constexpr milliseconds kInForce{5000};
constexpr milliseconds kProofAge{4700};

enum class Fault { kRefused, kCut, kFrozen };

constexpr Fault kFaults[] = {Fault::kRefused, Fault::kCut, Fault::kFrozen};
const std::string kFaultNames[] = {"refused", "cut off", "frozen"};

std::set<size_t> FirstBoxes(size_t count) {
  std::set<size_t> boxes;
  for (size_t i = 0; i < count; ++i) boxes.insert(i);
  return boxes;
}

// Boxes that fail, of `boxes`.
std::vector<std::set<size_t>> FailingBoxes(size_t boxes) {
  std::mt19937 random(1);
  std::set<size_t> third = FirstBoxes(2);
  for (size_t i = 2; i < boxes; ++i) {
    if (random() % 3 == 0) third.insert(i);
  }
  return {{},    FirstBoxes(1),         FirstBoxes(2),
          third, FirstBoxes(boxes / 2), FirstBoxes(boxes - 1)};
}

void SetFault(LogReaderSimulation* centre, Fault fault,
              const std::set<size_t>& boxes) {
  if (fault == Fault::kRefused) centre->refused = boxes;
  if (fault == Fault::kCut) centre->cut = boxes;
  if (fault == Fault::kFrozen) centre->frozen = boxes;
  centre->BreakHeldReads();
}

TEST_CASE("boxes learn of a change in time whichever others fail") {
  for (size_t boxes : {60, 200, 500, 1000}) {
    for (Fault fault : kFaults) {
      for (const std::set<size_t>& failing : FailingBoxes(boxes)) {
        LogReaderScenario scenario;
        scenario.boxes = boxes;
        LogReaderSimulation centre(scenario, 1);
        centre.ResetCounts();
        SetFault(&centre, fault, failing);
        centre.Put();
        nanoseconds known = centre.TimeToKnow(2 * kInForce);
        nanoseconds oldest{0};
        for (int i = 0; i < 100; ++i) {
          oldest = std::max(oldest, centre.OldestProof());
          centre.RunFor(milliseconds(100));
        }
        CAPTURE(boxes);
        CAPTURE(failing.size());
        CAPTURE(kFaultNames[static_cast<int>(fault)]);
        CAPTURE(ToSeconds(known));
        CAPTURE(ToSeconds(oldest));
        CAPTURE(centre.store_calls());
        CAPTURE(centre.MostCallsPerSecond());
        CAPTURE(centre.MostAsksPerSecond());
        CHECK(known < kInForce);
        CHECK(oldest < kProofAge);
        // 16,000 calls a second are 2.7 for each of 985 boxes and 6 topics.
        CHECK(centre.MostCallsPerSecond() <= boxes);
        if (std::getenv("PRINT_FIGURES") != nullptr) {
          MESSAGE(boxes << " " << kFaultNames[static_cast<int>(fault)] << " "
                        << failing.size() << " known " << ToSeconds(known)
                        << " oldest " << ToSeconds(oldest) << " calls "
                        << centre.store_calls() << " most "
                        << centre.MostCallsPerSecond() << " asks "
                        << centre.MostAsksPerSecond());
        }
      }
    }
  }
}

}  // namespace
}  // namespace leverwick
