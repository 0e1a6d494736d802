#include "leverwick/recent_refusals.h"

#include <doctest/doctest.h>

namespace leverwick {
namespace {

const TimePoint kStart = TimePoint() + std::chrono::hours(1);

TEST_CASE("the penalty of consecutive refusals doubles up to its maximum") {
  RecentRefusals refusals;
  CHECK_FALSE(refusals.IsLastResort("a", kStart));
  TimePoint now = kStart;
  milliseconds penalty = RecentRefusals::kInitialPenalty;
  for (int refusal = 0; refusal < 10; ++refusal) {
    refusals.RecordRefusal("a", now);
    // Refusals of requests that were in flight together count as one.
    refusals.RecordRefusal("a", now + milliseconds(1));
    CHECK(refusals.IsLastResort("a", now + penalty - milliseconds(1)));
    now += penalty;
    CHECK_FALSE(refusals.IsLastResort("a", now));
    penalty = std::min(2 * penalty, RecentRefusals::kMaxPenalty);
  }
  CHECK(penalty == RecentRefusals::kMaxPenalty);
  CHECK_FALSE(refusals.IsLastResort("b", kStart));
}

TEST_CASE("an accepted request clears the penalty") {
  RecentRefusals refusals;
  for (int refusal = 0; refusal < 5; ++refusal) {
    refusals.RecordRefusal("a", kStart + refusal * std::chrono::seconds(2));
  }
  refusals.RecordAcceptance("a");
  TimePoint later = kStart + std::chrono::seconds(9);
  CHECK_FALSE(refusals.IsLastResort("a", later));
  refusals.RecordRefusal("a", later);
  CHECK_FALSE(
      refusals.IsLastResort("a", later + RecentRefusals::kInitialPenalty));
  refusals.Expire(later + std::chrono::seconds(11));
  CHECK(refusals.size() == 0);
}

}  // namespace
}  // namespace leverwick
