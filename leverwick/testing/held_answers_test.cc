// Guards against answers without end that fill a box's memory.

#include "leverwick/held_answers.h"

#include <doctest/doctest.h>

namespace leverwick {
namespace {

TEST_CASE("of too many bytes the largest answer is dropped") {
  HeldAnswers answers;
  answers.Record(1, HeldAnswers::kMaxBytes / 2);
  answers.Record(2, HeldAnswers::kMaxBytes / 4);
  CHECK_FALSE(answers.AnswerToDrop());
  answers.Record(2, HeldAnswers::kMaxBytes);
  REQUIRE(answers.AnswerToDrop());
  CHECK(*answers.AnswerToDrop() == 2);
  answers.Remove(2);
  CHECK_FALSE(answers.AnswerToDrop());
  answers.Remove(1);
  answers.Remove(1);
  CHECK(answers.bytes() == 0);
}

}  // namespace
}  // namespace leverwick
