#include "leverwick/duty_lease.h"

#include <doctest/doctest.h>

#include <cstdlib>

#include "leverwick/testing/duty_lease_simulation.h"

namespace leverwick {
namespace {

constexpr TimePoint kStart = TimePoint{} + std::chrono::hours(1);
const LeaseOptions kOptions{milliseconds(4500), milliseconds(1000),
                            milliseconds(3000), true};
const WallTime kWall{};

// The first box of a fleet that holds the lease since kStart.
DutyLease Holder() {
  DutyLease lease({"a", "a/1", ""}, kOptions, kStart);
  lease.RecordRead({}, kStart, kStart);
  REQUIRE(lease.NextAppend(milliseconds(0), kStart, kWall));
  lease.RecordAppend({}, kStart + milliseconds(5));
  return lease;
}

TEST_CASE("the first box to append holds the lease for a term") {
  DutyLease lease = Holder();
  CHECK(lease.TokenAt(kStart + milliseconds(10)) == 1);
  CHECK(lease.newest()->box == "a");
  // A call that starts now would end after the term.
  CHECK_FALSE(lease.TokenAt(kStart + milliseconds(3500)));
  CHECK(lease.TokenAt(kStart + milliseconds(3499)));
}

// Guards against duties that begin a term late on a fleet's first start, when
// boxes read the list of boxes before the lease.
TEST_CASE("the lease is free at once when its log is read late at first") {
  DutyLease lease({"a", "a/1", ""}, kOptions, kStart);
  TimePoint reading = kStart + milliseconds(1700);
  lease.BeginReading(reading);
  TimePoint read = reading + milliseconds(200);
  lease.RecordRead({}, read, read);
  CHECK(lease.NextAppend(milliseconds(0), read, kWall));
}

TEST_CASE("a renewal keeps the token and follows the record before it") {
  DutyLease lease = Holder();
  CHECK_FALSE(
      lease.NextAppend(milliseconds(0), kStart + milliseconds(1400), kWall));
  auto append =
      lease.NextAppend(milliseconds(0), kStart + milliseconds(1500), kWall);
  REQUIRE(append);
  CHECK(append->at == 1);
  CHECK(append->record.token == 1);
  // One append at a time.
  CHECK_FALSE(
      lease.NextAppend(milliseconds(0), kStart + milliseconds(1600), kWall));
  lease.RecordAppend({}, kStart + milliseconds(1700));
  CHECK(lease.TokenAt(kStart + milliseconds(4999)));
  CHECK_FALSE(lease.TokenAt(kStart + milliseconds(5000)));
}

TEST_CASE("another box takes over after a term without a record") {
  DutyLease other({"b", "b/1", ""}, kOptions,
                  kStart - std::chrono::seconds(10));
  LeaseRecord record{"a", "a/1", "", 7, 1, false};
  auto read = [&](milliseconds after) {
    TimePoint at = kStart + after;
    other.RecordRead({record, 4}, at, at);
    return other.NextAppend(milliseconds(250), at, kWall);
  };
  CHECK_FALSE(read(milliseconds(0)));
  CHECK_FALSE(read(milliseconds(4700)));
  auto append = read(milliseconds(4750));
  REQUIRE(append);
  CHECK(append->at == 4);
  CHECK(append->record.token == 8);
}

TEST_CASE("a term counts only while the log can be read") {
  DutyLease other({"b", "b/1", ""}, kOptions,
                  kStart - std::chrono::seconds(10));
  LeaseRecord record{"a", "a/1", "", 7, 1, false};
  other.RecordRead({record, 4}, kStart, kStart);
  other.RecordReadFailure();
  TimePoint back = kStart + std::chrono::seconds(6);
  other.RecordRead({record, 4}, back, back);
  CHECK_FALSE(other.NextAppend(milliseconds(0), back, kWall));
}

TEST_CASE("a renewal whose answer is lost counts from when it was sent") {
  DutyLease lease = Holder();
  TimePoint sent = kStart + milliseconds(1500);
  auto append = lease.NextAppend(milliseconds(0), sent, kWall);
  REQUIRE(append);
  lease.RecordAppend(Result::kUnreachable, sent + milliseconds(900));
  CHECK_FALSE(lease.TokenAt(kStart + milliseconds(3500)));
  lease.RecordRead({append->record, 2}, kStart + milliseconds(3600),
                   kStart + milliseconds(3600));
  CHECK(lease.TokenAt(kStart + milliseconds(4999)));
  CHECK_FALSE(lease.TokenAt(kStart + milliseconds(5000)));
}

TEST_CASE("a box that starts again takes its own lease with a new token") {
  DutyLease again({"a", "a/2", ""}, kOptions, kStart);
  LeaseRecord record{"a", "a/1", "", 7, 3, false};
  again.RecordRead({record, 4}, kStart, kStart);
  // A call of the process before may be on its way.
  CHECK_FALSE(again.NextAppend(milliseconds(0), kStart, kWall));
  auto append =
      again.NextAppend(milliseconds(900), kStart + milliseconds(1000), kWall);
  REQUIRE(append);
  CHECK(append->record.token == 8);
}

TEST_CASE("a released lease passes on, and not back at once") {
  DutyLease lease = Holder();
  TimePoint at = kStart + milliseconds(100);
  lease.Release(kOptions.absence, at);
  CHECK_FALSE(lease.TokenAt(at));
  // A call that began before may be on its way.
  CHECK_FALSE(lease.NextAppend(milliseconds(0), at, kWall));
  at += kOptions.call_time;
  auto append = lease.NextAppend(milliseconds(0), at, kWall);
  REQUIRE(append);
  CHECK(append->record.released);
  lease.RecordAppend({}, at);
  CHECK_FALSE(lease.NextAppend(milliseconds(0), at, kWall));
  DutyLease other({"b", "b/1", ""}, kOptions,
                  kStart - std::chrono::seconds(10));
  other.RecordRead({append->record, 2}, at, at);
  CHECK_FALSE(other.NextAppend(milliseconds(250), at, kWall));
  CHECK(other.NextAppend(milliseconds(250), at + milliseconds(250), kWall));
  // The first box may come back after its absence.
  CHECK(lease.NextAppend(milliseconds(0), at + milliseconds(3000), kWall));
}

// Guards against a box that acts again after it has released the lease, since
// another box passes on what the log held before.
TEST_CASE("an older answer does not confirm a lease that was released") {
  DutyLease lease = Holder();
  LeaseRecord held = *lease.newest();
  TimePoint at = kStart + milliseconds(100);
  lease.Release(kOptions.absence, at);
  at += kOptions.call_time;
  REQUIRE(lease.NextAppend(milliseconds(0), at, kWall));
  lease.RecordAppend({}, at);
  lease.RecordRead({held, 1}, at - milliseconds(50), at);
  CHECK_FALSE(lease.TokenAt(at));
  CHECK_FALSE(lease.NextAppend(milliseconds(0), at, kWall));
}

TEST_CASE("tokens keep rising when the log is lost") {
  DutyLease lease({"a", "a/1", ""}, kOptions, kStart);
  lease.RecordRead({}, kStart, kStart);
  auto append = lease.NextAppend(milliseconds(0), kStart,
                                 WallTime(std::chrono::seconds(5000)));
  REQUIRE(append);
  CHECK(append->record.token == 5000000);
}

// The checks of a played fleet: no token of two boxes, no lower token after a
// higher one, no A, B, A within the bound, and a holder again soon.
void CheckRun(const DutyLeaseScenario& scenario, uint64_t seed,
              nanoseconds longest_fault = {}) {
  CAPTURE(seed);
  DutyLeaseResult result = DutyLeaseSimulation(scenario, seed).Run();
  CHECK(result.violations.empty());
  if (!result.violations.empty()) MESSAGE(result.violations[0]);
  CHECK(result.acted_in_calm);
  // A term, the turns, and a restart of the watch after a lost answer.
  nanoseconds restart = 2 * scenario.lease.term + std::chrono::seconds(4);
  CHECK(result.longest_gap < longest_fault + restart);
}

uint64_t FirstSeed() {
  const char* seed = std::getenv("DUTY_LEASE_SEED");
  return seed == nullptr ? 1 : std::strtoull(seed, nullptr, 10);
}

TEST_CASE("no two boxes act at a time, under faults") {
  uint64_t first = FirstSeed();
  for (uint64_t seed = first; seed < first + 300; ++seed) {
    CheckRun(DutyLeaseScenario(), seed);
  }
}

TEST_CASE("no two of many boxes act at a time, under faults") {
  DutyLeaseScenario scenario;
  scenario.boxes = 70;
  uint64_t first = FirstSeed();
  for (uint64_t seed = first; seed < first + 10; ++seed) {
    CheckRun(scenario, seed);
  }
}

// Guards against a box that takes a lost lease for its own again, with its old
// fencing token, when the store comes back from an older copy.
TEST_CASE("a lease that was lost is not taken up from an older copy") {
  DutyLease lease = Holder();
  TimePoint seen = kStart + milliseconds(1000);
  LeaseRecord own = *lease.newest();
  LeaseRecord other{"b", "b/1", "", 8, 1, false};
  lease.RecordRead({other, 2, 0}, seen, seen);
  CHECK_FALSE(lease.TokenAt(seen));
  TimePoint back = seen + milliseconds(500);
  lease.RecordRead({own, 1, 1}, back, back);
  CHECK_FALSE(lease.TokenAt(back));
  CHECK_FALSE(lease.NextAppend(milliseconds(0), back, kWall));
  // The other box may hold the lease for a term after the return.
  TimePoint over = back + kOptions.term;
  lease.RecordRead({own, 1, 1}, over, over);
  auto append = lease.NextAppend(milliseconds(0), over, kWall);
  REQUIRE(append);
  CHECK(append->record.token > other.token);
}

// Guards against the same where the box was cut off while another one held it.
TEST_CASE("a lease whose term is over is taken with a new token") {
  DutyLease lease = Holder();
  LeaseRecord own = *lease.newest();
  TimePoint back = kStart + kOptions.term + milliseconds(100);
  SUBCASE("the store went back: a whole term later") {
    lease.RecordRead({own, 1, 1}, back, back);
    CHECK_FALSE(lease.NextAppend(milliseconds(0), back, kWall));
    back += kOptions.term;
  }
  SUBCASE("the same store: at once") {}
  StoreEra era = back > kStart + 2 * kOptions.term ? 1 : 0;
  lease.RecordRead({own, 1, era}, back, back);
  CHECK_FALSE(lease.TokenAt(back));
  auto append = lease.NextAppend(milliseconds(0), back, kWall);
  REQUIRE(append);
  CHECK(append->record.token > own.token);
}

TEST_CASE(
    "a holder whose term lasts keeps the lease when the store goes back") {
  DutyLease lease = Holder();
  LeaseRecord own = *lease.newest();
  TimePoint back = kStart + milliseconds(2000);
  lease.RecordRead({own, 1, 1}, back, back);
  CHECK(lease.TokenAt(back) == own.token);
  auto renewal = lease.NextAppend(milliseconds(0), back, kWall);
  REQUIRE(renewal);
  CHECK(renewal->record.token == own.token);
  CHECK(renewal->record.era == 1);
}

TEST_CASE("a release of an earlier era does not free the lease at once") {
  DutyLease other({"b", "b/1", ""}, kOptions,
                  kStart - std::chrono::seconds(10));
  LeaseRecord released{"a", "a/1", "", 7, 2, true};
  other.RecordRead({released, 4, 1}, kStart, kStart);
  CHECK_FALSE(other.NextAppend(milliseconds(0), kStart, kWall));
  TimePoint over = kStart + kOptions.term;
  other.RecordRead({released, 4, 1}, over, over);
  CHECK(other.NextAppend(milliseconds(0), over, kWall));
}

TEST_CASE("an append that was acknowledged and lost holds nothing") {
  DutyLease lease({"a", "a/1", ""}, kOptions, kStart);
  lease.RecordRead({}, kStart, kStart);
  REQUIRE(lease.NextAppend(milliseconds(0), kStart, kWall));
  lease.RecordRead({std::nullopt, 0, 1}, kStart, kStart);
  lease.RecordAppend({}, kStart);
  CHECK_FALSE(lease.TokenAt(kStart));
}

// Guards against two holders, and against tokens that fall, when the store
// comes back from older copies.
TEST_CASE("no two boxes act at a time while the store goes back") {
  uint64_t first = FirstSeed();
  struct Fleet {
    size_t boxes;
    uint64_t seeds;
  };
  for (const Fleet& fleet : {Fleet{2, 300}, Fleet{7, 300}, Fleet{70, 10}}) {
    DutyLeaseScenario scenario;
    scenario.boxes = fleet.boxes;
    scenario.returns = 3;
    // Faults that begin late last into the calm, and may strike all boxes.
    const std::chrono::seconds longest_fault{9};
    scenario.duration = Seconds(75);
    scenario.calm = Seconds(30);
    for (uint64_t seed = first; seed < first + fleet.seeds; ++seed) {
      CAPTURE(fleet.boxes);
      CheckRun(scenario, seed, longest_fault);
    }
  }
}

TEST_CASE("the holder doesn't change without a fault") {
  for (size_t boxes : {1, 7, 70}) {
    DutyLeaseScenario scenario;
    scenario.boxes = boxes;
    scenario.suspensions = scenario.partitions = scenario.restarts = 0;
    scenario.planned_stops = scenario.outages = scenario.answer_loss = 0;
    DutyLeaseResult result = DutyLeaseSimulation(scenario, 1).Run();
    CHECK(result.holders == 0);
    // Renewals, and the appends of boxes that tried at the start.
    CHECK(result.appends < 60 / 1.5 + 4);
  }
}

}  // namespace
}  // namespace leverwick
