#include "leverwick/far_backlog.h"

#include <doctest/doctest.h>

namespace leverwick {
namespace {

const TimePoint kStart = TimePoint() + std::chrono::hours(1);

TEST_CASE("what far boxes tell is read at a steady pace, one after another") {
  FarBacklog backlog(0.5);
  backlog.Add("a", Seconds(1), kStart);
  CHECK(backlog.At("a", kStart).count() == doctest::Approx(1));
  CHECK(backlog.At("b", kStart).count() == doctest::Approx(0));
  TimePoint later = kStart + std::chrono::seconds(1);
  CHECK(backlog.At("a", later).count() == doctest::Approx(0.5));
  backlog.Add("a", Seconds(0.25), later);
  CHECK(backlog.At("a", later).count() == doctest::Approx(0.75));
  // An idle endpoint saves nothing up.
  later += std::chrono::seconds(10);
  CHECK(backlog.At("a", later).count() == doctest::Approx(0));
  backlog.Add("a", Seconds(1), later);
  CHECK(backlog.At("a", later).count() == doctest::Approx(1));
}

TEST_CASE("endpoints with nothing left to read are forgotten") {
  FarBacklog backlog(1);
  backlog.Add("a", Seconds(1), kStart);
  backlog.Add("b", Seconds(3), kStart);
  backlog.Expire(kStart + std::chrono::seconds(2));
  CHECK(backlog.size() == 1);
}

}  // namespace
}  // namespace leverwick
