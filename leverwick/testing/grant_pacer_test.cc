#include "leverwick/grant_pacer.h"

#include <doctest/doctest.h>

namespace leverwick {
namespace {

const TimePoint kStart = TimePoint() + std::chrono::hours(1);
TimePoint At(int ms) { return kStart + milliseconds(ms); }

TEST_CASE("the first grant comes an interval after the first ask") {
  RateGrants grants;
  RateGrants::Answer first = grants.Ask("a", 2, At(0));
  CHECK_FALSE(first.granted);
  CHECK(first.room_in == milliseconds(500));
  CHECK_FALSE(grants.Ask("a", 2, At(499)).granted);
  CHECK(grants.Ask("a", 2, At(500)).granted);
  CHECK_FALSE(grants.Ask("a", 2, At(501)).granted);
}

TEST_CASE("grants keep the rate however often is asked") {
  for (double rate : {0.1, 0.9, 2.0, 7.5}) {
    RateGrants grants;
    double granted = 0;
    constexpr int kSeconds = 60;
    for (int ms = 0; ms < kSeconds * 1000; ms += 7) {
      if (grants.Ask("a", rate, At(ms)).granted) ++granted;
    }
    CAPTURE(rate);
    CHECK(granted <= rate * kSeconds);
    CHECK(granted >= rate * kSeconds - 1 - rate);
  }
}

TEST_CASE("a pause is no burst after it, a late ask no slower pace") {
  RateGrants grants;
  grants.Ask("a", 2, At(0));
  size_t granted = 0;
  for (int i = 0; i < 100; ++i)
    granted += grants.Ask("a", 2, At(30000)).granted;
  CHECK(granted == 1);
  // 100 ms late: the next one is due as if it had not been.
  CHECK(grants.Ask("a", 2, At(30250)).granted);
  CHECK(grants.Ask("a", 2, At(30850)).granted);
  CHECK_FALSE(grants.Ask("a", 2, At(31200)).granted);
  CHECK(grants.Ask("a", 2, At(31250)).granted);
}

TEST_CASE("a rate that rises holds at once") {
  RateGrants grants;
  grants.Ask("a", 0.1, At(0));
  CHECK(grants.Ask("a", 0.1, At(1000)).room_in == milliseconds(9000));
  CHECK(grants.Ask("a", 5, At(1000)).granted);
}

TEST_CASE("endpoints that nobody asks for are forgotten") {
  RateGrants grants;
  grants.Ask("a", 2, At(0));
  grants.Expire(At(10 * 1000));
  CHECK(grants.size() == 1);
  grants.Expire(At(600 * 1000));
  CHECK(grants.size() == 0);
}

}  // namespace
}  // namespace leverwick
