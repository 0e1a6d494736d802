#include "leverwick/answer_reads.h"

#include <doctest/doctest.h>

namespace leverwick {
namespace {

using Runs = std::vector<uint64_t>;

TEST_CASE("within the bound all answers are read") {
  AnswerReads reads(100);
  CHECK(reads.Record(1, 50));
  CHECK(reads.Record(2, 50));
  CHECK(reads.bytes() == 100);
  CHECK(reads.Remove(1).empty());
  CHECK(reads.bytes() == 50);
}

TEST_CASE("beyond the bound only the oldest answer is read on") {
  AnswerReads reads(100);
  CHECK(reads.Record(1, 60));
  CHECK_FALSE(reads.Record(2, 60));
  CHECK(reads.Record(1, 300));
  CHECK_FALSE(reads.Record(3, 10));
  // The second is the oldest now, and all are within the bound again.
  CHECK(reads.Remove(1) == Runs{2, 3});
  CHECK(reads.Record(3, 20));
}

TEST_CASE("the next oldest is read on although the others exceed the bound") {
  AnswerReads reads(100);
  CHECK(reads.Record(1, 60));
  CHECK_FALSE(reads.Record(2, 80));
  CHECK_FALSE(reads.Record(3, 80));
  CHECK(reads.Remove(1) == Runs{2});
  CHECK(reads.Record(2, 200));
  CHECK(reads.Remove(2) == Runs{3});
  CHECK(reads.Remove(3).empty());
  CHECK(reads.Remove(3).empty());
  CHECK(reads.bytes() == 0);
}

}  // namespace
}  // namespace leverwick
