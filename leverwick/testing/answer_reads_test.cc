#include "leverwick/answer_reads.h"

#include <doctest/doctest.h>

namespace leverwick {
namespace {

using Runs = std::vector<uint64_t>;

constexpr size_t kMax = 8UL << 20;
constexpr size_t kLarge = 5UL << 20;
constexpr size_t kSmall = AnswerReads::kSmallAnswer;

TEST_CASE("within the bound all answers are read") {
  AnswerReads reads(kMax);
  CHECK(reads.Record(1, kMax / 2));
  CHECK(reads.Record(2, kMax / 2));
  CHECK(reads.bytes() == kMax);
  CHECK(reads.Remove(1).empty());
  CHECK(reads.bytes() == kMax / 2);
}

TEST_CASE("beyond the bound only the oldest answer is read on") {
  AnswerReads reads(kMax);
  CHECK(reads.Record(1, kLarge));
  CHECK_FALSE(reads.Record(2, kLarge));
  CHECK(reads.Record(1, 3 * kLarge));
  CHECK_FALSE(reads.Record(3, kSmall + 1));
  // The second is the oldest now, and all are within the bound again.
  CHECK(reads.Remove(1) == Runs{2, 3});
  CHECK(reads.Record(3, 2 * kSmall));
}

TEST_CASE("small answers are read on beyond the bound") {
  AnswerReads reads(kMax);
  CHECK(reads.Record(1, kLarge));
  CHECK_FALSE(reads.Record(2, kLarge));
  CHECK(reads.Record(3, kSmall));
  CHECK(reads.Remove(3).empty());
}

TEST_CASE("the next oldest is read on although the others exceed the bound") {
  AnswerReads reads(kMax);
  CHECK(reads.Record(1, kLarge));
  CHECK_FALSE(reads.Record(2, kLarge));
  CHECK_FALSE(reads.Record(3, kLarge));
  CHECK(reads.Remove(1) == Runs{2});
  CHECK(reads.Record(2, 2 * kLarge));
  CHECK(reads.Remove(2) == Runs{3});
  CHECK(reads.Remove(3).empty());
  CHECK(reads.Remove(3).empty());
  CHECK(reads.bytes() == 0);
}

}  // namespace
}  // namespace leverwick
