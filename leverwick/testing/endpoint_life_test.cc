#include "leverwick/endpoint_life.h"

#include <doctest/doctest.h>

namespace leverwick {
namespace {

TEST_CASE("lives of one endpoint have names of their own and its id") {
  WallTime born(std::chrono::milliseconds(1700000000123));
  std::string first = LifeName("i-1", born);
  std::string second = LifeName("i-1", born + std::chrono::milliseconds(1));
  CHECK(first != second);
  CHECK(first == LifeName("i-1", born));
  CHECK(IdOfLife(first) == "i-1");
  CHECK(IdOfLife(second) == "i-1");
  CHECK(LifeName("i-1", std::nullopt) == "i-1");
  CHECK(IdOfLife("i-1") == "i-1");
}

}  // namespace
}  // namespace leverwick
