#include "leverwick/grant_pacer.h"

#include <doctest/doctest.h>

namespace leverwick {
namespace {

const TimePoint kStart = TimePoint() + std::chrono::hours(1);
TimePoint At(int ms) { return kStart + milliseconds(ms); }

TEST_CASE("the first grant comes one interval after the first request") {
  GrantPacer pacer;
  GrantPacer::Result first = pacer.TryGrant("a", 2, At(0));
  CHECK_FALSE(first.granted);
  CHECK(first.retry_after == milliseconds(500));
  CHECK_FALSE(pacer.TryGrant("a", 2, At(499)).granted);
  CHECK(pacer.TryGrant("a", 2, At(500)).granted);
  CHECK_FALSE(pacer.TryGrant("a", 2, At(501)).granted);
}

TEST_CASE("grants observe the rate at any frequency of requests") {
  for (double rate : {0.1, 0.9, 2.0, 7.5}) {
    GrantPacer pacer;
    double granted = 0;
    constexpr int kSeconds = 60;
    for (int ms = 0; ms < kSeconds * 1000; ms += 7) {
      if (pacer.TryGrant("a", rate, At(ms)).granted) ++granted;
    }
    CAPTURE(rate);
    CHECK(granted <= rate * kSeconds);
    CHECK(granted >= rate * kSeconds - 1 - rate);
  }
}

TEST_CASE("a pause causes no burst and a late request no lower rate") {
  GrantPacer pacer;
  pacer.TryGrant("a", 2, At(0));
  size_t granted = 0;
  for (int i = 0; i < 100; ++i)
    granted += pacer.TryGrant("a", 2, At(30000)).granted;
  CHECK(granted == 1);
  // This request is 100 ms late: the next grant is due as if it were not.
  CHECK(pacer.TryGrant("a", 2, At(30250)).granted);
  CHECK(pacer.TryGrant("a", 2, At(30850)).granted);
  CHECK_FALSE(pacer.TryGrant("a", 2, At(31200)).granted);
  CHECK(pacer.TryGrant("a", 2, At(31250)).granted);
}

TEST_CASE("a higher rate applies at once") {
  GrantPacer pacer;
  pacer.TryGrant("a", 0.1, At(0));
  CHECK(pacer.TryGrant("a", 0.1, At(1000)).retry_after == milliseconds(9000));
  CHECK(pacer.TryGrant("a", 5, At(1000)).granted);
}

TEST_CASE("endpoints without requests are discarded") {
  GrantPacer pacer;
  pacer.TryGrant("a", 2, At(0));
  pacer.Expire(At(10 * 1000));
  CHECK(pacer.size() == 1);
  pacer.Expire(At(600 * 1000));
  CHECK(pacer.size() == 0);
}

}  // namespace
}  // namespace leverwick
