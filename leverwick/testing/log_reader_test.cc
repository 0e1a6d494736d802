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

enum class Fault { kRefused, kCut, kFrozen, kSlow };

constexpr Fault kFaults[] = {Fault::kRefused, Fault::kCut, Fault::kFrozen,
                             Fault::kSlow};
const std::string kFaultNames[] = {"refused", "cut off", "frozen", "slow"};

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
  if (fault == Fault::kSlow) centre->slow = boxes;
  centre->BreakHeldReads();
}

// Prints the calls of ten seconds, if that is asked for.
void PrintCalls(size_t boxes, const std::string& when,
                const LogReaderSimulation& centre) {
  if (std::getenv("PRINT_FIGURES") == nullptr) return;
  MESSAGE(boxes << " boxes " << when << ": " << centre.store_calls()
                << " calls in 10 s, at most " << centre.MostCallsPerSecond()
                << " in one");
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

TEST_CASE("a reader that the store refuses costs no more calls") {
  for (size_t refused : {1, 2, 70}) {
    LogReaderSimulation centre(LogReaderScenario(), 2);
    SetFault(&centre, Fault::kRefused, FirstBoxes(refused));
    centre.RunFor(seconds(5));
    centre.ResetCounts();
    centre.RunFor(seconds(20));
    // A held read each 1.25 s, and attempts to do without a relay: each of
    // these, and each relay that is refused as well, once in 1.5 s or less.
    CHECK(centre.store_calls() <= 16 + 14 + 14 * 3);
    CHECK(centre.OldestProof() < kProofAge);
  }
}

// The topic of endpoints' entries.
LogReaderScenario EntriesOf(size_t boxes) {
  LogReaderScenario scenario;
  scenario.boxes = boxes;
  scenario.wait = milliseconds(0);
  scenario.oldest = milliseconds(1400);
  scenario.interval = milliseconds(800);
  return scenario;
}

// Guards against reads through other boxes that keep an endpoint in use after
// it has left: an entry's end must be known before the endpoint stops serving.
TEST_CASE("boxes learn of an endpoint's end in time whichever others fail") {
  // The users' bounds, which grow with the deployments, less a request's way.
  struct Centre {
    size_t boxes;
    milliseconds in_time;
  };
  constexpr milliseconds kWay{200};
  const Centre centres[] = {{2, milliseconds(2000) - kWay},
                            {3, milliseconds(2000) - kWay},
                            {7, milliseconds(2000) - kWay},
                            {60, milliseconds(4000) - kWay},
                            {197, milliseconds(5000) - kWay}};
  for (const Centre& size : centres) {
    const size_t boxes = size.boxes;
    const milliseconds in_time = size.in_time;
    for (Fault fault : kFaults) {
      for (size_t failing : {size_t{1}, boxes / 2, boxes - 1}) {
        nanoseconds longest{0};
        for (unsigned seed = 1; seed <= 5; ++seed) {
          LogReaderSimulation centre(EntriesOf(boxes), seed);
          centre.RunFor(milliseconds(seed * 170));
          SetFault(&centre, fault, FirstBoxes(failing));
          centre.RunFor(milliseconds(seed * 230));
          centre.Put();
          longest = std::max(longest, centre.TimeToKnow(2 * in_time));
        }
        CAPTURE(boxes);
        CAPTURE(failing);
        CAPTURE(kFaultNames[static_cast<int>(fault)]);
        CAPTURE(ToSeconds(longest));
        CHECK(longest < in_time);
      }
    }
  }
}

// Guards against a box among few that waits out a pause for many boxes when its
// sources have lost the store and it misses the store for a moment.
TEST_CASE("the one box that the store serves knows soon after a refusal") {
  constexpr milliseconds kInTime{900};
  for (size_t boxes : {2, 3, 7, 15}) {
    for (unsigned seed = 1; seed <= 20; ++seed) {
      LogReaderSimulation centre(EntriesOf(boxes), seed);
      SetFault(&centre, Fault::kRefused, FirstBoxes(boxes - 1));
      centre.RunFor(seconds(3) + milliseconds(seed * 37));
      SetFault(&centre, Fault::kRefused, FirstBoxes(boxes));
      centre.RunFor(milliseconds(1600));
      centre.Put();
      centre.refused = FirstBoxes(boxes - 1);
      centre.RunFor(kInTime);
      CAPTURE(boxes);
      CAPTURE(seed);
      CHECK(centre.Knows(boxes - 1));
    }
  }
}

TEST_CASE("two halves that one box joins both learn of a change in time") {
  LogReaderSimulation centre(LogReaderScenario(), 3);
  // The store serves the first half. Box 99 reaches both halves.
  for (size_t i = 100; i < 200; ++i) centre.refused.insert(i);
  centre.reaches = [](size_t a, size_t b) {
    return a == 99 || b == 99 || (a < 100) == (b < 100);
  };
  centre.BreakHeldReads();
  centre.Put();
  CHECK(centre.TimeToKnow(2 * kInForce) < kInForce);
  for (int i = 0; i < 100; ++i) {
    centre.RunFor(milliseconds(100));
    CHECK(centre.OldestProof() < kProofAge);
  }
}

TEST_CASE("boxes learn at once when a store that refused all is back") {
  for (size_t boxes : {2, 3, 7, 60, 197, 1000}) {
    LogReaderScenario scenario;
    scenario.boxes = boxes;
    LogReaderSimulation centre(scenario, 4);
    SetFault(&centre, Fault::kRefused, FirstBoxes(boxes));
    centre.RunFor(seconds(20));
    centre.ResetCounts();
    centre.RunFor(seconds(10));
    // A store that is away: no more than a call in 1.5 s of each 50 boxes, and
    // of the reader one each pause of its own.
    CHECK(centre.store_calls() <= 10 * (50 / 1.5 + 10));
    PrintCalls(boxes, "in an outage", centre);
    centre.refused.clear();
    centre.Put();
    CHECK(centre.TimeToKnow(kInForce) < seconds(2));
    centre.ResetCounts();
    centre.RunFor(seconds(10));
    CHECK(centre.MostCallsPerSecond() <= 50);
    PrintCalls(boxes, "in calm", centre);
  }
}

TEST_CASE("boxes learn in time when a store that refused all serves some") {
  for (size_t boxes : {200, 1000}) {
    for (size_t refused : {boxes / 3, boxes - boxes / 10}) {
      for (unsigned seed = 1; seed <= 3; ++seed) {
        LogReaderScenario scenario;
        scenario.boxes = boxes;
        LogReaderSimulation centre(scenario, seed);
        SetFault(&centre, Fault::kRefused, FirstBoxes(boxes));
        centre.RunFor(seconds(20));
        centre.refused = FirstBoxes(refused);
        centre.Put();
        CAPTURE(boxes);
        CAPTURE(refused);
        CHECK(centre.TimeToKnow(4 * kInForce) < kInForce);
      }
    }
  }
}

TEST_CASE("boxes that were cut off return to their reader at once") {
  LogReaderSimulation centre(LogReaderScenario(), 5);
  std::set<size_t> cut;
  for (size_t i = 0; i < 200; i += 3) cut.insert(i + 1);
  SetFault(&centre, Fault::kCut, cut);
  centre.RunFor(seconds(8));
  centre.Put();
  centre.cut.clear();
  CHECK(centre.TimeToKnow(kInForce) < seconds(2));
  centre.RunFor(seconds(3));
  centre.ResetCounts();
  centre.RunFor(seconds(10));
  // The reader's held reads, one in 1.25 s.
  CHECK(centre.store_calls() <= 10);
}

}  // namespace
}  // namespace leverwick
