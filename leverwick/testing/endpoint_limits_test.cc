#include "leverwick/endpoint_limits.h"

#include <doctest/doctest.h>

namespace leverwick {
namespace {

using Change = EndpointLimits::Change;
const TimePoint kStart = TimePoint() + std::chrono::hours(1);
TimePoint At(int ms) { return kStart + milliseconds(ms); }

TEST_CASE("a limit holds from the answer that names it") {
  EndpointLimits limits;
  CHECK(limits.Find("a") == nullptr);
  CHECK(limits.Named("a", 2, At(0)) == Change::kBegan);
  CHECK(limits.Named("a", 2, At(10)) == Change::kNothing);
  CHECK(limits.Named("a", 1.5, At(20)) == Change::kOther);
  REQUIRE(limits.Find("a") != nullptr);
  CHECK(limits.Find("a")->per_second == 1.5);
  CHECK(limits.Find("b") == nullptr);
}

TEST_CASE("an answer ends a limit only if it was surely written later") {
  EndpointLimits limits;
  limits.Named("a", 2, At(100));
  // Sent before the limit came: the answer may be older than the limit.
  CHECK(limits.NotNamed("a", At(50)) == Change::kNothing);
  CHECK(limits.Find("a") != nullptr);
  CHECK(limits.NotNamed("a", At(101)) == Change::kNothing);
  CHECK(limits.NotNamed("a", At(601)) == Change::kEnded);
  CHECK(limits.Find("a") == nullptr);
}

TEST_CASE("a limit ends with the life that named it, also where news is late") {
  EndpointLimits limits;
  limits.Named("a", 2, At(100));
  CHECK(limits.Restarted("a", At(200)) == Change::kEnded);
  CHECK(limits.Find("a") == nullptr);
  CHECK(limits.Named("a", 2, At(150)) == Change::kNothing);
  CHECK(limits.Named("a", 3, At(201)) == Change::kBegan);
  CHECK(limits.Restarted("b", At(200)) == Change::kNothing);
}

TEST_CASE("a limit that only some answers name holds") {
  EndpointLimits limits;
  for (int ms = 0; ms < 10000; ms += 200) {
    limits.Named("a", 2, At(ms));
    CHECK(limits.NotNamed("a", At(ms + 100)) == Change::kNothing);
  }
  CHECK(limits.Find("a") != nullptr);
}

TEST_CASE("news of other boxes that is older than the end changes nothing") {
  EndpointLimits limits;
  limits.Named("a", 2, At(100));
  REQUIRE(limits.NotNamed("a", At(800)) == Change::kEnded);
  CHECK(limits.Named("a", 2, At(750)) == Change::kNothing);
  CHECK(limits.Named("a", 3, At(900)) == Change::kBegan);
  CHECK(limits.Named("a", 2, At(850)) == Change::kNothing);
  CHECK(limits.Find("a")->per_second == 3);
}

TEST_CASE("a limit lasts until its end, an end until its news is old") {
  EndpointLimits limits;
  limits.Named("a", 2, At(0));
  limits.Expire(At(3600 * 1000));
  CHECK(limits.Find("a") != nullptr);
  limits.Forget("a");
  CHECK_FALSE(limits.any());
}

}  // namespace
}  // namespace leverwick
