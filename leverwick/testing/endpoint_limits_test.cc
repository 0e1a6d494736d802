#include "leverwick/endpoint_limits.h"

#include <doctest/doctest.h>

namespace leverwick {
namespace {

using Change = EndpointLimits::Change;
const TimePoint kStart = TimePoint() + std::chrono::hours(1);
TimePoint At(int ms) { return kStart + milliseconds(ms); }

TEST_CASE("a limit is in force from the response that reports it") {
  EndpointLimits limits;
  CHECK(limits.Find("a") == nullptr);
  CHECK(limits.RecordLimit("a", 2, At(0)) == Change::kAdded);
  CHECK(limits.RecordLimit("a", 2, At(10)) == Change::kNone);
  CHECK(limits.RecordLimit("a", 1.5, At(20)) == Change::kUpdated);
  REQUIRE(limits.Find("a") != nullptr);
  CHECK(limits.Find("a")->requests_per_second == 1.5);
  CHECK(limits.Find("b") == nullptr);
}

TEST_CASE(
    "a response removes a limit only if it must have been written later") {
  EndpointLimits limits;
  limits.RecordLimit("a", 2, At(100));
  // Sent before the limit arrived: the response may be older than the limit.
  CHECK(limits.RecordNoLimit("a", At(50)) == Change::kNone);
  CHECK(limits.Find("a") != nullptr);
  CHECK(limits.RecordNoLimit("a", At(101)) == Change::kNone);
  CHECK(limits.RecordNoLimit("a", At(601)) == Change::kRemoved);
  CHECK(limits.Find("a") == nullptr);
}

TEST_CASE("a restart removes a limit and outdates late reports of it") {
  EndpointLimits limits;
  limits.RecordLimit("a", 2, At(100));
  CHECK(limits.RecordRestart("a", At(200)) == Change::kRemoved);
  CHECK(limits.Find("a") == nullptr);
  CHECK(limits.RecordLimit("a", 2, At(150)) == Change::kNone);
  CHECK(limits.RecordLimit("a", 3, At(201)) == Change::kAdded);
  CHECK(limits.RecordRestart("b", At(200)) == Change::kNone);
}

TEST_CASE("a limit that only some responses report stays in force") {
  EndpointLimits limits;
  for (int ms = 0; ms < 10000; ms += 200) {
    limits.RecordLimit("a", 2, At(ms));
    CHECK(limits.RecordNoLimit("a", At(ms + 100)) == Change::kNone);
  }
  CHECK(limits.Find("a") != nullptr);
}

TEST_CASE("a report of another box from before the removal changes nothing") {
  EndpointLimits limits;
  limits.RecordLimit("a", 2, At(100));
  REQUIRE(limits.RecordNoLimit("a", At(800)) == Change::kRemoved);
  CHECK(limits.RecordLimit("a", 2, At(750)) == Change::kNone);
  CHECK(limits.RecordLimit("a", 3, At(900)) == Change::kAdded);
  CHECK(limits.RecordLimit("a", 2, At(850)) == Change::kNone);
  CHECK(limits.Find("a")->requests_per_second == 3);
}

TEST_CASE("a limit does not expire but is discarded with its endpoint") {
  EndpointLimits limits;
  limits.RecordLimit("a", 2, At(0));
  limits.Expire(At(3600 * 1000));
  CHECK(limits.Find("a") != nullptr);
  limits.Forget("a");
  CHECK_FALSE(limits.any());
}

}  // namespace
}  // namespace leverwick
