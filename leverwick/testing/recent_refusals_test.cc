#include "leverwick/recent_refusals.h"

#include <doctest/doctest.h>

namespace leverwick {
namespace {

const TimePoint kStart = TimePoint() + std::chrono::hours(1);

TEST_CASE("an endpoint that goes on refusing is a last resort for longer") {
  RecentRefusals refusals;
  CHECK_FALSE(refusals.IsLastResort("a", kStart));
  TimePoint now = kStart;
  milliseconds time = RecentRefusals::kFirst;
  for (int refused = 0; refused < 10; ++refused) {
    refusals.Refused("a", now);
    // What was under way with it changes nothing.
    refusals.Refused("a", now + milliseconds(1));
    CHECK(refusals.IsLastResort("a", now + time - milliseconds(1)));
    now += time;
    CHECK_FALSE(refusals.IsLastResort("a", now));
    time = std::min(2 * time, RecentRefusals::kLongest);
  }
  CHECK(time == RecentRefusals::kLongest);
  CHECK_FALSE(refusals.IsLastResort("b", kStart));
}

TEST_CASE("an endpoint that has taken a request is as good as any") {
  RecentRefusals refusals;
  for (int refused = 0; refused < 5; ++refused) {
    refusals.Refused("a", kStart + refused * std::chrono::seconds(2));
  }
  refusals.Took("a");
  TimePoint later = kStart + std::chrono::seconds(9);
  CHECK_FALSE(refusals.IsLastResort("a", later));
  refusals.Refused("a", later);
  CHECK_FALSE(refusals.IsLastResort("a", later + RecentRefusals::kFirst));
  refusals.Expire(later + std::chrono::seconds(11));
  CHECK(refusals.size() == 0);
}

}  // namespace
}  // namespace leverwick
