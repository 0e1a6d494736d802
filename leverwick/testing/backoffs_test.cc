#include "leverwick/backoffs.h"

#include <doctest/doctest.h>

namespace leverwick {
namespace {

using std::chrono::hours;
using std::chrono::seconds;

const TimePoint kStart = TimePoint() + hours(1);

TEST_CASE("a back-off is in force for its duration, for one endpoint") {
  Backoffs backoffs;
  CHECK(backoffs.TimeUntilSendAllowed("a", kStart) <= nanoseconds(0));
  CHECK(backoffs.RecordBackoff("a", seconds(3), kStart));
  CHECK(backoffs.TimeUntilSendAllowed("a", kStart) == seconds(3));
  CHECK(backoffs.TimeUntilSendAllowed("a", kStart + seconds(3)) ==
        nanoseconds(0));
  CHECK(backoffs.TimeUntilSendAllowed("b", kStart) <= nanoseconds(0));
}

TEST_CASE("of several responses the one with the latest end time wins") {
  Backoffs backoffs;
  backoffs.RecordBackoff("a", seconds(3), kStart);
  CHECK_FALSE(
      backoffs.RecordBackoff("a", milliseconds(500), kStart + seconds(1)));
  CHECK(backoffs.TimeUntilSendAllowed("a", kStart) == seconds(3));
  CHECK_FALSE(backoffs.RecordBackoff("a", seconds(5), kStart + seconds(2)));
  CHECK(backoffs.TimeUntilSendAllowed("a", kStart) == seconds(7));
  CHECK(backoffs.Find("a")->requested_at == kStart + seconds(2));
}

TEST_CASE("a duration of zero requests no back-off") {
  Backoffs backoffs;
  CHECK_FALSE(backoffs.RecordBackoff("a", milliseconds(0), kStart));
  CHECK_FALSE(backoffs.any());
}

TEST_CASE("a back-off of a day is shortened to the maximum duration") {
  Backoffs backoffs;
  backoffs.RecordBackoff("a", hours(24), kStart);
  CHECK(backoffs.TimeUntilSendAllowed("a", kStart) == Backoffs::kMaxDuration);
  CHECK(backoffs.Find("a")->requested_duration == hours(24));
}

TEST_CASE("requests resume in growing steps") {
  Backoffs backoffs;
  backoffs.RecordBackoff("a", seconds(1), kStart);
  TimePoint end = kStart + backoffs.TimeUntilSendAllowed("a", kStart);
  // Sends as many requests as allowed, with unlimited demand.
  size_t total_sent = 0;
  for (size_t allowed : {1, 3, 7, 15}) {
    while (backoffs.TimeUntilSendAllowed("a", end) <= nanoseconds(0)) {
      backoffs.RecordSend("a", end);
      ++total_sent;
    }
    CHECK(total_sent == allowed);
    end += backoffs.TimeUntilSendAllowed("a", end);
  }
  // Another refusal stops requests at once, at any step of the ramp.
  CHECK(backoffs.RecordBackoff("a", seconds(1), end));
  CHECK(backoffs.TimeUntilSendAllowed("a", end) == seconds(1));
  CHECK(backoffs.Find("a")->sends == 0);
}

TEST_CASE("a back-off expires when its ramp is complete") {
  Backoffs backoffs;
  backoffs.RecordBackoff("a", seconds(1), kStart);
  backoffs.RecordSend("a", kStart);
  TimePoint end = kStart + backoffs.TimeUntilSendAllowed("a", kStart);
  CHECK(backoffs.Expire(end).empty());
  TimePoint ramp_end = end + Backoffs::kRampSteps * Backoffs::kRampStep;
  auto ended = backoffs.Expire(ramp_end);
  REQUIRE(ended.size() == 1);
  CHECK(ended[0].endpoint == "a");
  CHECK(ended[0].backoff.sends == 1);
  CHECK_FALSE(backoffs.any());
}

}  // namespace
}  // namespace leverwick
