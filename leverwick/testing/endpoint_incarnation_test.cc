#include "leverwick/endpoint_incarnation.h"

#include <doctest/doctest.h>

namespace leverwick {
namespace {

TEST_CASE("lives of one endpoint have names of their own and its id") {
  WallTime born(std::chrono::milliseconds(1700000000123));
  std::string first = IncarnationName("i-1", born);
  std::string second =
      IncarnationName("i-1", born + std::chrono::milliseconds(1));
  CHECK(first != second);
  CHECK(first == IncarnationName("i-1", born));
  CHECK(EndpointIdFromIncarnation(first) == "i-1");
  CHECK(EndpointIdFromIncarnation(second) == "i-1");
  CHECK(IncarnationName("i-1", std::nullopt) == "i-1");
  CHECK(EndpointIdFromIncarnation("i-1") == "i-1");
}

}  // namespace
}  // namespace leverwick
