#include "leverwick/fair_queue.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <random>
#include <set>

namespace leverwick {
namespace {

std::vector<uint64_t> shed;

TEST_CASE("requests start while there is capacity, then wait in order") {
  FairQueue queue(1, 10);
  auto first = queue.Submit("a", 1, 5, 10, &shed);
  auto second = queue.Submit("a", 1, 5, 10, &shed);
  CHECK(first.state == FairQueue::kRunning);
  CHECK(second.state == FairQueue::kWaiting);
  CHECK(queue.Finish(first.id) == std::vector<uint64_t>{second.id});
}

TEST_CASE(
    "long requests of one organisation do not delay short ones of another") {
  FairQueue queue(1, 1000);
  auto running = queue.Submit("long", 1, 5, 5000, &shed);
  for (int i = 0; i < 50; ++i) queue.Submit("long", 1, 5, 5000, &shed);
  auto quick = queue.Submit("short", 1, 5, 50, &shed);
  CHECK(queue.Finish(running.id) == std::vector<uint64_t>{quick.id});
}

TEST_CASE("cost is shared by weight") {
  FairQueue queue(1, 10000);
  uint64_t running = queue.Submit("x", 1, 5, 1, &shed).id;
  std::map<uint64_t, std::string> owner;
  for (int i = 0; i < 400; ++i) {
    owner[queue.Submit("heavy", 3, 5, 100, &shed).id] = "heavy";
    owner[queue.Submit("light", 1, 5, 100, &shed).id] = "light";
  }
  std::map<std::string, int> served;
  for (int i = 0; i < 200; ++i) {
    running = queue.Finish(running).front();
    ++served[owner[running]];
  }
  CHECK(served["heavy"] >= 145);
  CHECK(served["heavy"] <= 155);
}

TEST_CASE("the waiter of lowest priority is shed when the queue is full") {
  FairQueue queue(1, 2);
  queue.Submit("a", 1, 5, 1, &shed);
  auto low = queue.Submit("a", 1, 1, 1, &shed);
  queue.Submit("a", 1, 5, 1, &shed);
  shed.clear();
  auto high = queue.Submit("b", 1, 9, 1, &shed);
  CHECK(high.state == FairQueue::kWaiting);
  CHECK(shed == std::vector<uint64_t>{low.id});
  shed.clear();
  CHECK(queue.Submit("b", 1, 1, 1, &shed).state == FairQueue::kShed);
  CHECK(shed.empty());
}

// The same rule, implemented with a list that is searched linearly.
class ReferenceFairQueue {
 public:
  ReferenceFairQueue(size_t capacity, const FairQueueOptions& options)
      : capacity_(capacity), options_(options) {}

  uint64_t Submit(const std::string& organisation, double weight, double cost) {
    uint64_t id = ++last_id_;
    owner_[id] = organisation;
    weights_[organisation] = weight;
    double& last_virtual_finish = last_virtual_finish_[organisation];
    last_virtual_finish =
        std::max(virtual_time_, last_virtual_finish) + cost / weight;
    waiting_.push_back({last_virtual_finish, id});
    // No other waiter may start now, since it would already have started.
    if (MayStart(organisation)) {
      waiting_.pop_back();
      running_.insert(id);
    }
    return id;
  }

  std::vector<uint64_t> Finish(uint64_t id) {
    running_.erase(id);
    std::vector<uint64_t> started;
    std::sort(waiting_.begin(), waiting_.end());
    for (size_t i = 0; i < waiting_.size();) {
      if (!MayStart(owner_[waiting_[i].second])) {
        ++i;
        continue;
      }
      virtual_time_ = std::max(virtual_time_, waiting_[i].first);
      started.push_back(waiting_[i].second);
      running_.insert(waiting_[i].second);
      waiting_.erase(waiting_.begin() + static_cast<long>(i));
    }
    if (running_.empty() && waiting_.empty()) last_virtual_finish_.clear();
    return started;
  }

  size_t running() const { return running_.size(); }

 private:
  bool MayStart(const std::string& organisation) {
    auto capacity = static_cast<double>(capacity_);
    auto running = static_cast<double>(running_.size());
    if (weights_.size() == 1) return running < capacity;
    double running_of_organisation = 0;
    for (uint64_t id : running_)
      running_of_organisation += owner_[id] == organisation ? 1 : 0;
    double total = 0;
    for (const auto& entry : weights_) total += entry.second;
    double fair_share = capacity * weights_[organisation] / total;
    // The limit decreases linearly between the fair share and four times it.
    double max_limit = capacity * (1 + options_.overcommit);
    double min_limit = capacity * (1 - options_.reserve);
    double limit = max_limit;
    if (running_of_organisation > 0 &&
        running_of_organisation + 1 > fair_share) {
      double fraction = (running_of_organisation + 1 - fair_share) /
                        (4 * fair_share - fair_share);
      limit =
          std::max(min_limit, max_limit - (max_limit - min_limit) * fraction);
    }
    return running + 1 <= std::max(1.0, std::round(limit));
  }

  size_t capacity_;
  FairQueueOptions options_;
  std::set<uint64_t> running_;
  std::map<uint64_t, std::string> owner_;
  std::map<std::string, double> weights_;
  uint64_t last_id_ = 0;
  double virtual_time_ = 0;
  std::map<std::string, double> last_virtual_finish_;
  std::vector<std::pair<double, uint64_t>> waiting_;
};

TEST_CASE("the queue serves in the order of the reference implementation") {
  for (unsigned seed = 1; seed <= 50; ++seed) {
    std::mt19937 random(seed);
    FairQueueOptions options;
    options.reserve = seed % 2 == 0 ? 0 : 0.25;
    options.overcommit = seed % 3 == 0 ? 0 : 0.3;
    size_t capacity = 3 + seed % 10;
    FairQueue queue(capacity, 100000, options);
    ReferenceFairQueue reference(capacity, options);
    std::vector<uint64_t> running;
    for (int i = 0; i < 500; ++i) {
      if (random() % 2 == 0 || running.empty()) {
        std::string name = "o" + std::to_string(random() % 4);
        double cost = 1 + static_cast<double>(random() % 100);
        double weight = 1 + static_cast<double>(random() % 3);
        auto ticket = queue.Submit(name, weight, 5, cost, &shed);
        REQUIRE(reference.Submit(name, weight, cost) == ticket.id);
        if (ticket.state == FairQueue::kRunning) running.push_back(ticket.id);
      } else {
        uint64_t id = running.back();
        running.pop_back();
        std::vector<uint64_t> started = queue.Finish(id);
        REQUIRE(started == reference.Finish(id));
        running.insert(running.end(), started.begin(), started.end());
      }
      REQUIRE(queue.running() == reference.running());
    }
  }
}

TEST_CASE("a flood leaves capacity and queue space to other organisations") {
  FairQueueOptions options;
  options.reserve = 0.2;
  options.overcommit = 0.25;
  FairQueue queue(20, 30, options);
  // Ten organisations of equal weight: the fair share is two requests. An
  // organisation counts from its first request on.
  for (int i = 0; i < 9; ++i) {
    auto ticket = queue.Submit("small" + std::to_string(i), 1, 5, 1, &shed);
    queue.Finish(ticket.id);
  }
  for (int i = 0; i < 100; ++i) queue.Submit("flood", 1, 5, 100, &shed);
  CHECK(queue.running() == 16);
  CHECK(queue.waiting() == 30);
  // All other organisations use their fair shares at once: none waits, up to
  // the overcommit.
  for (int i = 0; i < 9; ++i) {
    auto ticket = queue.Submit("small" + std::to_string(i), 1, 5, 1, &shed);
    CHECK(ticket.state == FairQueue::kRunning);
  }
  CHECK(queue.running() == 25);
  // The queue is full, so the flooding organisation's last waiter is shed.
  shed.clear();
  CHECK(queue.Submit("small0", 1, 5, 1, &shed).state == FairQueue::kWaiting);
  CHECK(shed.size() == 1);
}

TEST_CASE("a single organisation uses the full capacity but no overcommit") {
  FairQueueOptions options;
  options.reserve = 0.2;
  options.overcommit = 0.25;
  FairQueue queue(20, 30, options);
  for (int i = 0; i < 40; ++i) queue.Submit("alone", 1, 5, 1, &shed);
  CHECK(queue.running() == 20);
}

TEST_CASE("a cancelled waiter is not charged to its organisation") {
  FairQueue queue(1, 10);
  auto running = queue.Submit("a", 1, 5, 1, &shed);
  auto gone = queue.Submit("b", 1, 5, 1000, &shed);
  CHECK(queue.Cancel(gone.id));
  CHECK(!queue.Cancel(gone.id));
  auto quick = queue.Submit("b", 1, 5, 1, &shed);
  queue.Submit("c", 1, 5, 10, &shed);
  CHECK(queue.Finish(running.id) == std::vector<uint64_t>{quick.id});
}

}  // namespace
}  // namespace leverwick
