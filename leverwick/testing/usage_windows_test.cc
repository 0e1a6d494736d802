#include "leverwick/usage_windows.h"

#include <doctest/doctest.h>

#include "leverwick/stable_wall_clock.h"

namespace leverwick {
namespace {

constexpr milliseconds kLength{5000};
const UsageOptions kOptions{kLength, milliseconds(10000)};
const WallTime kStart{std::chrono::seconds(5000)};  // of window 1000

WallTime After(int ms) { return kStart + milliseconds(ms); }

TEST_CASE("windows are numbered from 1970") {
  CHECK(UsageWindowAt(kStart, kLength) == 1000);
  CHECK(UsageWindowAt(After(4999), kLength) == 1000);
  CHECK(UsageWindowAt(After(5000), kLength) == 1001);
  CHECK(UsageWindowEnd(1000, kLength) == After(5000));
}

TEST_CASE("a box tells its sums until the recipient has the final ones") {
  UsageCounter counter(kOptions);
  counter.Record("acme", After(100));
  counter.Record("acme", After(200));
  auto usage = counter.UsageFor("a", true, After(300));
  // The window before, without requests, and the current one.
  REQUIRE(usage.size() == 2);
  CHECK(usage[0].window == 999);
  CHECK(usage[0].is_final);
  CHECK(usage[1].counts.at("acme") == 2);
  CHECK_FALSE(usage[1].is_final);
  counter.RecordReceipt("a", usage[0]);
  counter.RecordReceipt("a", usage[1]);
  CHECK(counter.UsageFor("a", false, After(400)).empty());
  // The current window was not final yet.
  usage = counter.UsageFor("a", false, After(5001));
  REQUIRE(usage.size() == 1);
  CHECK(usage[0].window == 1000);
  CHECK(usage[0].is_final);
  counter.RecordReceipt("a", usage[0]);
  CHECK(counter.UsageFor("a", false, After(5002)).empty());
  // Another box reports now.
  CHECK(counter.UsageFor("b", false, After(5002)).size() == 2);
  // It's too late to report the first windows.
  CHECK(counter.UsageFor("b", false, After(15001)).size() == 1);
}

TEST_CASE("a window is due when all boxes have closed it") {
  UsageLedger ledger(kOptions);
  ledger.Record("a", {1000, {{"acme", 2}}, true}, After(5010));
  CHECK_FALSE(ledger.NextDue({"a", "b"}, After(5020)));
  ledger.Record("b", {1000, {{"acme", 3}, {"zeta", 1}}, true}, After(5030));
  REQUIRE(ledger.NextDue({"a", "b"}, After(5040)) == 1000);
  CHECK(ledger.CountsOf(1000) == UsageCounts{{"acme", 5}, {"zeta", 1}});
  ledger.RecordReported(1000);
  CHECK_FALSE(ledger.NextDue({"a", "b"}, After(5050)));
}

TEST_CASE("a box that has gone is covered by what it told last") {
  UsageLedger ledger(kOptions);
  ledger.Record("a", {1000, {{"acme", 2}}, true}, After(5010));
  ledger.Record("b", {1000, {{"acme", 3}}, false}, After(4000));
  // An earlier message that was overtaken changes nothing.
  ledger.Record("a", {1000, {{"acme", 1}}, false}, After(5020));
  CHECK_FALSE(ledger.NextDue({"a", "b"}, After(7499)));
  REQUIRE(ledger.NextDue({"a", "b"}, After(7500)) == 1000);
  CHECK(ledger.CountsOf(1000).at("acme") == 5);
}

TEST_CASE("windows that ended before a box reports are still due from it") {
  UsageLedger ledger(kOptions);
  ledger.Record("a", {1000, {{"acme", 2}}, true}, After(5010));
  CHECK(ledger.TakeMissed(After(5020)) == 0);
  REQUIRE(ledger.NextDue({"a"}, After(5030)) == 1000);
  CHECK(ledger.CountsOf(1000) == UsageCounts{{"acme", 2}});
  // Too late is as late as for other windows, but an earlier holder's miss.
  CHECK(ledger.TakeMissed(After(15000)) == 0);
  CHECK_FALSE(ledger.NextDue({"a"}, After(15000)));
}

TEST_CASE("a window that can't be reported in time is missed") {
  UsageLedger ledger(kOptions);
  CHECK(ledger.TakeMissed(After(10)) == 0);
  ledger.Record("a", {1000, {{"acme", 2}}, true}, After(5010));
  ledger.RecordReported(1000);
  ledger.Record("a", {1001, {{"acme", 2}}, true}, After(10010));
  CHECK(ledger.TakeMissed(After(15000)) == 0);
  CHECK(ledger.TakeMissed(After(20000)) == 1);
  CHECK_FALSE(ledger.NextDue({}, After(20000)));
  // It's refused when it comes later still.
  ledger.Record("b", {1001, {{"acme", 2}}, true}, After(20010));
  CHECK_FALSE(ledger.NextDue({}, After(20010)));
}

TEST_CASE("a step of the clock that is taken back has no effect") {
  StableWallClock clock;
  TimePoint now = TimePoint{} + std::chrono::hours(1);
  CHECK(clock.At(now, kStart) == kStart);
  now += milliseconds(1000);
  CHECK(clock.At(now, After(1010)) == After(1010));
  now += milliseconds(1000);
  CHECK(clock.At(now, After(7010)) == After(2010));
  now += milliseconds(1000);
  CHECK(clock.At(now, After(3010)) == After(3010));
  // One that lasts is adopted.
  now += milliseconds(1000);
  CHECK(clock.At(now, After(9010)) == After(4010));
  now += std::chrono::seconds(60);
  CHECK(clock.At(now, After(69010)) == After(69010));
}

}  // namespace
}  // namespace leverwick
