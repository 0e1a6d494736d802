#include "leverwick/endpoint_incarnation.h"

#include <doctest/doctest.h>

namespace leverwick {
namespace {

TEST_CASE("incarnations of an endpoint have distinct names with the same id") {
  WallTime started_at(std::chrono::milliseconds(1700000000123));
  std::string first = IncarnationName("i-1", started_at);
  std::string second =
      IncarnationName("i-1", started_at + std::chrono::milliseconds(1));
  CHECK(first != second);
  CHECK(first == IncarnationName("i-1", started_at));
  CHECK(EndpointIdFromIncarnation(first) == "i-1");
  CHECK(EndpointIdFromIncarnation(second) == "i-1");
  CHECK(IncarnationName("i-1", std::nullopt) == "i-1");
  CHECK(EndpointIdFromIncarnation("i-1") == "i-1");
}

}  // namespace
}  // namespace leverwick
