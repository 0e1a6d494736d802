#include "leverwick/staggered_start.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <random>
#include <set>

namespace leverwick {
namespace {

constexpr milliseconds kWindow{240};
// Time from the record of a box until most other boxes have read it.
constexpr milliseconds kPropagationDelay{62};

struct Fleet {
  std::vector<StaggeredStart> boxes;

  explicit Fleet(size_t size) {
    for (size_t box = 0; box < size; ++box) {
      std::vector<std::string> others;
      for (size_t other = 0; other < size; ++other) {
        if (other != box) others.push_back("box-" + std::to_string(other));
      }
      boxes.emplace_back("box-" + std::to_string(box), others);
    }
  }
};

struct Outcome {
  size_t attempts = 0;
  nanoseconds done{0};  // when the first box that is up starts
};

// Each box attempts the task at its start time, unless it has received the
// record of another box by then.
Outcome Simulate(const std::vector<nanoseconds>& starts) {
  Outcome outcome;
  outcome.done = *std::min_element(starts.begin(), starts.end());
  for (nanoseconds start : starts) {
    if (start <= outcome.done + kPropagationDelay) ++outcome.attempts;
  }
  return outcome;
}

TEST_CASE("staggered starts save attempts, random starts do not") {
  std::mt19937 random(3);
  std::uniform_real_distribution<> draw(0, 1);
  for (size_t size : {7, 65, 200}) {
    Fleet fleet(size);
    size_t attempts = 0;
    size_t random_attempts = 0;
    for (int task = 0; task < 40; ++task) {
      std::vector<nanoseconds> starts;
      std::vector<nanoseconds> random_starts;
      for (const StaggeredStart& box : fleet.boxes) {
        starts.push_back(
            box.DelayBefore(std::to_string(task), kWindow, draw(random)));
        random_starts.push_back(FromSeconds(ToSeconds(kWindow) * draw(random)));
      }
      attempts += Simulate(starts).attempts;
      random_attempts += Simulate(random_starts).attempts;
    }
    CHECK(attempts <= 2 * 40);
    CHECK(random_attempts > attempts);
    if (size >= 65) CHECK(random_attempts > 5 * attempts);
  }
}

TEST_CASE("a task is done in time whichever boxes are down") {
  std::mt19937 random(4);
  std::uniform_real_distribution<> draw(0, 1);
  Fleet fleet(65);
  for (double down_share : {0.35, 0.6, 0.9}) {
    for (int task = 0; task < 40; ++task) {
      std::vector<nanoseconds> starts;
      for (const StaggeredStart& box : fleet.boxes) {
        if (draw(random) < down_share) continue;
        starts.push_back(
            box.DelayBefore(std::to_string(task), kWindow, draw(random)));
      }
      if (!starts.empty()) CHECK(Simulate(starts).done <= 2 * kWindow);
    }
  }
}

TEST_CASE("each task has its own order, which is the same on all boxes") {
  Fleet fleet(20);
  std::set<size_t> first_boxes;
  for (int task = 0; task < 20; ++task) {
    size_t immediate = 0;
    for (size_t box = 0; box < fleet.boxes.size(); ++box) {
      auto delay =
          fleet.boxes[box].DelayBefore(std::to_string(task), kWindow, 0.5);
      if (delay != nanoseconds(0)) continue;
      ++immediate;
      first_boxes.insert(box);
    }
    CHECK(immediate == 1);
  }
  CHECK(first_boxes.size() > 5);
}

}  // namespace
}  // namespace leverwick
