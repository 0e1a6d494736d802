// Boxes of one data centre, some of which have lost the store or have frozen,
// and the time until all others know a record.

#include <doctest/doctest.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "daemon/testing/shared_log_site.h"

namespace leverwick {
namespace {

using shared_log_testing::AddressOf;
using shared_log_testing::Box;
using shared_log_testing::kTopic;
using shared_log_testing::MemoryLog;

// As for the operators' topic where a change must be in force within 5 s.
constexpr milliseconds kInForce{5000};
constexpr milliseconds kWait{1250};
constexpr milliseconds kOldest{3750};

// The first box reads the store, the others read from it. Each has its own way
// to the store.
class DataCentre {
 public:
  DataCentre(int boxes, int frozen) {
    std::vector<LogBox> listed;
    for (int i = 0; i < boxes; ++i) {
      boost::asio::io_context* loop = i < frozen ? &frozen_loop_ : &loop_;
      auto endpoint = FreePort(loop);
      LogBox self{"box-" + std::to_string(100 + i), AddressOf(endpoint), 1};
      listed.push_back(self);
      stores_.push_back(std::make_unique<MemoryLog>(loop));
      boxes_.push_back(std::make_unique<Box>(
          loop, stores_.back().get(), self,
          FollowerOptions{kTopic, kWait, milliseconds(0), kOldest}));
      boxes_.back()->Listen(endpoint);
    }
    Put("k", "before");
    for (auto& box : boxes_) {
      box->log.SetBoxes(listed);
      box->follower.Start();
    }
    REQUIRE(RunAll([&] { return AllKnow("before", 0); }));
    // Boxes that have just started ask again for a while.
    TimePoint settled = Clock::now() + milliseconds(700);
    RunAll([&] { return Clock::now() > settled; });
  }

  MemoryLog* store(int box) { return stores_[box].get(); }

  void Put(const std::string& key, const std::string& value) {
    for (auto& store : stores_) store->Put(key, value);
  }
  // Whether the boxes from `first` on know the value.
  bool AllKnow(const std::string& value, size_t first) {
    for (size_t i = first; i < boxes_.size(); ++i) {
      if (boxes_[i]->told.state["k"] != value) return false;
    }
    return true;
  }
  // The time until the boxes from `first` on know the value.
  milliseconds TimeToKnow(const std::string& value, size_t first) {
    TimePoint start = Clock::now();
    RunUntil(
        &loop_, [&] { return AllKnow(value, first); }, 2 * kInForce);
    return std::chrono::duration_cast<milliseconds>(Clock::now() - start);
  }

 private:
  bool RunAll(const std::function<bool()>& happened) {
    return RunUntil(&loop_, [&] {
      frozen_loop_.restart();
      frozen_loop_.poll();
      return happened();
    });
  }

  boost::asio::io_context loop_;
  boost::asio::io_context frozen_loop_;
  std::vector<std::unique_ptr<MemoryLog>> stores_;
  std::vector<std::unique_ptr<Box>> boxes_;
};

TEST_CASE("boxes that the store turns away learn of a change in time") {
  DataCentre centre(24, 0);
  for (int i = 0; i < 8; ++i) centre.store(i)->TurnAway();
  centre.Put("k", "after");
  CHECK(centre.TimeToKnow("after", 0) < kInForce);
}

TEST_CASE("boxes whose readers are frozen learn of a change in time") {
  constexpr int kFrozen = 3;
  DataCentre centre(100, kFrozen);
  centre.Put("k", "after");
  CHECK(centre.TimeToKnow("after", kFrozen) < kInForce);
}

}  // namespace
}  // namespace leverwick
