#include "leverwick/backoffs.h"

#include <doctest/doctest.h>

namespace leverwick {
namespace {

using std::chrono::hours;
using std::chrono::seconds;

const TimePoint kStart = TimePoint() + hours(1);

TEST_CASE("a back-off holds for its time, for one endpoint") {
  Backoffs backoffs;
  CHECK(backoffs.OpensIn("a", kStart) <= nanoseconds(0));
  CHECK(backoffs.Asked("a", seconds(3), kStart));
  CHECK(backoffs.OpensIn("a", kStart) == seconds(3));
  CHECK(backoffs.OpensIn("a", kStart + seconds(3)) == nanoseconds(0));
  CHECK(backoffs.OpensIn("b", kStart) <= nanoseconds(0));
}

TEST_CASE("of several answers the one that ends last binds") {
  Backoffs backoffs;
  backoffs.Asked("a", seconds(3), kStart);
  CHECK_FALSE(backoffs.Asked("a", milliseconds(500), kStart + seconds(1)));
  CHECK(backoffs.OpensIn("a", kStart) == seconds(3));
  CHECK_FALSE(backoffs.Asked("a", seconds(5), kStart + seconds(2)));
  CHECK(backoffs.OpensIn("a", kStart) == seconds(7));
  CHECK(backoffs.Find("a")->asked_at == kStart + seconds(2));
}

TEST_CASE("no time at all asks for nothing") {
  Backoffs backoffs;
  CHECK_FALSE(backoffs.Asked("a", milliseconds(0), kStart));
  CHECK_FALSE(backoffs.any());
}

TEST_CASE("an endpoint that asks for a day is tried again in minutes") {
  Backoffs backoffs;
  backoffs.Asked("a", hours(24), kStart);
  CHECK(backoffs.OpensIn("a", kStart) == Backoffs::kLongest);
  CHECK(backoffs.Find("a")->time == hours(24));
}

TEST_CASE("requests return step by step") {
  Backoffs backoffs;
  backoffs.Asked("a", seconds(1), kStart);
  TimePoint end = kStart + backoffs.OpensIn("a", kStart);
  // What may go at once, if callers press without end.
  size_t sent = 0;
  for (size_t allowed : {1, 3, 7, 15}) {
    while (backoffs.OpensIn("a", end) <= nanoseconds(0)) {
      backoffs.Sent("a", end);
      ++sent;
    }
    CHECK(sent == allowed);
    end += backoffs.OpensIn("a", end);
  }
  // Another refusal shuts it at once, whatever steps were left.
  CHECK(backoffs.Asked("a", seconds(1), end));
  CHECK(backoffs.OpensIn("a", end) == seconds(1));
  CHECK(backoffs.Find("a")->sent == 0);
}

TEST_CASE("a back-off is forgotten when all requests are back") {
  Backoffs backoffs;
  backoffs.Asked("a", seconds(1), kStart);
  backoffs.Sent("a", kStart);
  TimePoint end = kStart + backoffs.OpensIn("a", kStart);
  CHECK(backoffs.Expire(end).empty());
  TimePoint back = end + Backoffs::kSteps * Backoffs::kStep;
  auto ended = backoffs.Expire(back);
  REQUIRE(ended.size() == 1);
  CHECK(ended[0].endpoint == "a");
  CHECK(ended[0].backoff.sent == 1);
  CHECK_FALSE(backoffs.any());
}

}  // namespace
}  // namespace leverwick
