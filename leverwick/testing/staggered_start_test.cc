#include "leverwick/staggered_start.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <random>
#include <set>

namespace leverwick {
namespace {

constexpr milliseconds kMost{240};
// From a box's record until most others have read it (played days).
constexpr milliseconds kNewsTakes{62};

struct Fleet {
  std::vector<StaggeredStart> turns;

  explicit Fleet(size_t boxes) {
    for (size_t box = 0; box < boxes; ++box) {
      std::vector<std::string> others;
      for (size_t other = 0; other < boxes; ++other) {
        if (other != box) others.push_back("box-" + std::to_string(other));
      }
      turns.emplace_back("box-" + std::to_string(box), others);
    }
  }
};

struct Played {
  size_t attempts = 0;
  nanoseconds done{0};  // when the first box that is there has its turn
};

// Each box attempts when its turn comes, unless it has heard of another's.
Played Play(const std::vector<nanoseconds>& turns) {
  Played played;
  played.done = *std::min_element(turns.begin(), turns.end());
  for (nanoseconds turn : turns) {
    if (turn <= played.done + kNewsTakes) ++played.attempts;
  }
  return played;
}

TEST_CASE("turns spare attempts, and a random order does not") {
  std::mt19937 random(3);
  std::uniform_real_distribution<> draw(0, 1);
  for (size_t boxes : {7, 65, 200}) {
    Fleet fleet(boxes);
    size_t attempts = 0;
    size_t random_attempts = 0;
    for (int duty = 0; duty < 40; ++duty) {
      std::vector<nanoseconds> turns;
      std::vector<nanoseconds> random_turns;
      for (const StaggeredStart& box : fleet.turns) {
        turns.push_back(
            box.DelayBefore(std::to_string(duty), kMost, draw(random)));
        random_turns.push_back(FromSeconds(ToSeconds(kMost) * draw(random)));
      }
      attempts += Play(turns).attempts;
      random_attempts += Play(random_turns).attempts;
    }
    CHECK(attempts <= 2 * 40);
    CHECK(random_attempts > attempts);
    if (boxes >= 65) CHECK(random_attempts > 5 * attempts);
  }
}

TEST_CASE("a duty is done in time whichever boxes are gone") {
  std::mt19937 random(4);
  std::uniform_real_distribution<> draw(0, 1);
  Fleet fleet(65);
  for (double gone : {0.35, 0.6, 0.9}) {
    for (int duty = 0; duty < 40; ++duty) {
      std::vector<nanoseconds> turns;
      for (const StaggeredStart& box : fleet.turns) {
        if (draw(random) < gone) continue;
        turns.push_back(
            box.DelayBefore(std::to_string(duty), kMost, draw(random)));
      }
      if (!turns.empty()) CHECK(Play(turns).done <= 2 * kMost);
    }
  }
}

TEST_CASE("each duty has an order of its own, the same on all boxes") {
  Fleet fleet(20);
  std::set<size_t> first_boxes;
  for (int duty = 0; duty < 20; ++duty) {
    size_t at_once = 0;
    for (size_t box = 0; box < fleet.turns.size(); ++box) {
      auto pause =
          fleet.turns[box].DelayBefore(std::to_string(duty), kMost, 0.5);
      if (pause != nanoseconds(0)) continue;
      ++at_once;
      first_boxes.insert(box);
    }
    CHECK(at_once == 1);
  }
  CHECK(first_boxes.size() > 5);
}

}  // namespace
}  // namespace leverwick
