#include "leverwick/fair_queue.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <random>

namespace leverwick {
namespace {

std::vector<uint64_t> shed;

TEST_CASE("free places are taken at once, then requests wait in order") {
  FairQueue queue(1, 10);
  auto first = queue.Enter("a", 1, 5, 10, &shed);
  auto second = queue.Enter("a", 1, 5, 10, &shed);
  CHECK(first.state == FairQueue::kRunning);
  CHECK(second.state == FairQueue::kWaiting);
  CHECK(queue.Leave(first.id) == std::vector<uint64_t>{second.id});
}

TEST_CASE("long requests of one do not hold up short ones of another") {
  FairQueue queue(1, 1000);
  auto running = queue.Enter("long", 1, 5, 5000, &shed);
  for (int i = 0; i < 50; ++i) queue.Enter("long", 1, 5, 5000, &shed);
  auto quick = queue.Enter("short", 1, 5, 50, &shed);
  CHECK(queue.Leave(running.id) == std::vector<uint64_t>{quick.id});
}

TEST_CASE("cost is shared by weight") {
  FairQueue queue(1, 10000);
  uint64_t running = queue.Enter("x", 1, 5, 1, &shed).id;
  std::map<uint64_t, std::string> owner;
  for (int i = 0; i < 400; ++i) {
    owner[queue.Enter("heavy", 3, 5, 100, &shed).id] = "heavy";
    owner[queue.Enter("light", 1, 5, 100, &shed).id] = "light";
  }
  std::map<std::string, int> served;
  for (int i = 0; i < 200; ++i) {
    running = queue.Leave(running).front();
    ++served[owner[running]];
  }
  CHECK(served["heavy"] >= 145);
  CHECK(served["heavy"] <= 155);
}

TEST_CASE("the least important waiter is shed when the queue is full") {
  FairQueue queue(1, 2);
  queue.Enter("a", 1, 5, 1, &shed);
  auto low = queue.Enter("a", 1, 1, 1, &shed);
  queue.Enter("a", 1, 5, 1, &shed);
  shed.clear();
  auto high = queue.Enter("b", 1, 9, 1, &shed);
  CHECK(high.state == FairQueue::kWaiting);
  CHECK(shed == std::vector<uint64_t>{low.id});
  shed.clear();
  CHECK(queue.Enter("b", 1, 1, 1, &shed).state == FairQueue::kShed);
  CHECK(shed.empty());
}

// The same rule with a list that is searched from end to end.
class NaiveQueue {
 public:
  explicit NaiveQueue(size_t places) : places_(places) {}

  uint64_t Enter(const std::string& organisation, double weight, double cost) {
    uint64_t id = ++last_id_;
    double& last = last_finish_[organisation];
    last = std::max(time_, last) + cost / weight;
    if (running_ < places_ && waiting_.empty()) {
      ++running_;
    } else {
      waiting_.push_back({last, id});
    }
    return id;
  }

  std::vector<uint64_t> Leave() {
    --running_;
    std::vector<uint64_t> started;
    while (running_ < places_ && !waiting_.empty()) {
      auto least = std::min_element(waiting_.begin(), waiting_.end());
      time_ = std::max(time_, least->first);
      started.push_back(least->second);
      waiting_.erase(least);
      ++running_;
    }
    if (running_ == 0 && waiting_.empty()) last_finish_.clear();
    return started;
  }

  size_t running() const { return running_; }

 private:
  size_t places_;
  size_t running_ = 0;
  uint64_t last_id_ = 0;
  double time_ = 0;
  std::map<std::string, double> last_finish_;
  std::vector<std::pair<double, uint64_t>> waiting_;
};

TEST_CASE("the queue serves in the order of the naive one") {
  for (unsigned seed = 1; seed <= 50; ++seed) {
    std::mt19937 random(seed);
    FairQueue queue(3, 100000);
    NaiveQueue naive(3);
    std::vector<uint64_t> running;
    for (int i = 0; i < 500; ++i) {
      if (random() % 2 == 0 || running.empty()) {
        std::string name = "o" + std::to_string(random() % 4);
        double cost = 1 + static_cast<double>(random() % 100);
        double weight = 1 + static_cast<double>(random() % 3);
        auto ticket = queue.Enter(name, weight, 5, cost, &shed);
        REQUIRE(naive.Enter(name, weight, cost) == ticket.id);
        if (ticket.state == FairQueue::kRunning) running.push_back(ticket.id);
      } else {
        uint64_t id = running.back();
        running.pop_back();
        std::vector<uint64_t> started = queue.Leave(id);
        REQUIRE(started == naive.Leave());
        running.insert(running.end(), started.begin(), started.end());
      }
      REQUIRE(queue.running() == naive.running());
    }
  }
}

TEST_CASE("a waiter that gives up leaves no debt") {
  FairQueue queue(1, 10);
  auto running = queue.Enter("a", 1, 5, 1, &shed);
  auto gone = queue.Enter("b", 1, 5, 1000, &shed);
  CHECK(queue.Cancel(gone.id));
  CHECK(!queue.Cancel(gone.id));
  auto quick = queue.Enter("b", 1, 5, 1, &shed);
  queue.Enter("c", 1, 5, 10, &shed);
  CHECK(queue.Leave(running.id) == std::vector<uint64_t>{quick.id});
}

}  // namespace
}  // namespace leverwick
