// Simulates the boxes of one data centre that read a topic, each with a
// LogReader, a follower and a cache as in the process.
//
// Messages take time on their way, and a box handles them one after the other.
// A box may be refused by the store, cut off from everything, frozen or slow.
// Time is simulated and there is no network; the seed determines every run.

#ifndef LEVERWICK_TESTING_LOG_READER_SIMULATION_H_
#define LEVERWICK_TESTING_LOG_READER_SIMULATION_H_

#include <algorithm>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "leverwick/log_cache.h"
#include "leverwick/log_reader.h"
#include "leverwick/result.h"

namespace leverwick {

struct LogReaderScenario {
  size_t boxes = 200;
  // The operators' topic where a change must be in force within 5 s.
  milliseconds wait{1250};
  milliseconds oldest{3125};
  milliseconds interval{0};
  // A small box needs so long for a message.
  nanoseconds handling = std::chrono::microseconds(500);
};

class LogReaderSimulation {
 public:
  LogReaderSimulation(const LogReaderScenario& scenario, unsigned seed)
      : scenario_(scenario), random_(seed) {
    std::vector<LogBox> listed;
    for (size_t i = 0; i < scenario.boxes; ++i) {
      listed.push_back({"box-" + std::to_string(10000 + i), "", 1});
      index_[listed.back().name] = i;
    }
    for (size_t i = 0; i < scenario.boxes; ++i) {
      boxes_.push_back(std::make_unique<Box>(this, i, listed[i]));
      boxes_.back()->reader.SetBoxes(listed);
    }
    for (auto& box : boxes_) box->Begin();
    RunFor(std::chrono::seconds(3));
  }

  // Boxes that the store refuses, that reach nobody, that do not run, and that
  // need kSlowFactor times as long for a message.
  std::set<size_t> refused;
  std::set<size_t> cut;
  std::set<size_t> frozen;
  std::set<size_t> slow;
  // Whether one box reaches another, unless one of them is cut off.
  std::function<bool(size_t, size_t)> reaches = [](size_t, size_t) {
    return true;
  };

  // Breaks what waits at the store or at boxes that now fail.
  void BreakHeldReads() {
    std::list<HeldRead> held;
    held.swap(held_);
    for (HeldRead& read : held) {
      if (refused.count(read.box) > 0) {
        At(now_,
           [callback = read.callback] { callback(Result::kRefused, {}); });
      } else if (cut.count(read.box) == 0) {
        held_.push_back(std::move(read));
      }
    }
  }
  void Put() {
    ++end_;
    written_at_ = now_;
    std::list<HeldRead> held;
    held.swap(held_);
    for (HeldRead& read : held) {
      if (cut.count(read.box) == 0) ReplyFromStore(read, now_);
    }
  }
  void RunFor(nanoseconds span) {
    TimePoint until = now_ + span;
    while (!events_.empty() && events_.top().at <= until) {
      Event event = events_.top();
      events_.pop();
      now_ = event.at;
      event.action();
    }
    now_ = until;
  }
  // Runs until all boxes that work know the newest record, or for `limit`.
  // Returns the time since it was written.
  nanoseconds TimeToKnow(nanoseconds limit) {
    while (!AllKnow() && now_ - written_at_ < limit) RunFor(milliseconds(10));
    return now_ - written_at_;
  }
  bool AllKnow() const {
    return std::all_of(boxes_.begin(), boxes_.end(), [&](const auto& box) {
      return !Works(box->index) || box->next == end_;
    });
  }
  bool Knows(size_t box) const { return boxes_[box]->next == end_; }
  // Returns the age of the oldest proof at a box that works.
  nanoseconds OldestProof() const {
    TimePoint oldest = now_;
    for (const auto& box : boxes_) {
      if (Works(box->index)) oldest = std::min(oldest, box->as_of);
    }
    return now_ - oldest;
  }
  // Counts from now on.
  void ResetCounts() {
    calls_.clear();
    asks_.clear();
  }
  size_t store_calls() const { return calls_.size(); }
  // Returns the most calls of the store within a second.
  size_t MostCallsPerSecond() const { return MostPerSecond(calls_); }
  // Returns the most asks that one box received within a second.
  size_t MostAsksPerSecond() const {
    size_t most = 0;
    for (const auto& [box, times] : asks_) {
      most = std::max(most, MostPerSecond(times));
    }
    return most;
  }

 private:
  static constexpr milliseconds kStoreTime{4};
  static constexpr milliseconds kWayTime{1};
  static constexpr milliseconds kConnectTime{200};
  static constexpr int kSlowFactor = 100;
  static constexpr const char* kTopic = "t";

  struct Event {
    TimePoint at;
    uint64_t number;
    std::function<void()> action;
    bool operator<(const Event& other) const {
      return std::pair(at, number) > std::pair(other.at, other.number);
    }
  };
  struct HeldRead {
    size_t box;
    uint64_t from;
    TimePoint sent_at;
    uint64_t number;
    KeyedLog::ReadCallback callback;
  };
  struct HeldAsk {
    uint64_t from;
    bool is_answered = false;
    std::function<void()> answer;
  };

  // The store as one box reaches it.
  class Store : public KeyedLog {
   public:
    Store(LogReaderSimulation* simulation, size_t box)
        : simulation_(simulation), box_(box) {}
    void Read(const LogQuery& query, ReadCallback callback) override {
      simulation_->ReadStore(box_, query, std::move(callback));
    }
    void ReadNewest(const LogQuery&, const std::string&,
                    NewestCallback) override {}
    void Append(const std::string&, const KeyedRecord&, std::optional<uint64_t>,
                AppendCallback) override {}

   private:
    LogReaderSimulation* const simulation_;
    const size_t box_;
  };

  struct Box : LogTransport {
    Box(LogReaderSimulation* simulation_in, size_t index_in, const LogBox& self)
        : simulation(simulation_in),
          index(index_in),
          store(simulation_in, index_in),
          reader(&store, this, self, 1) {}

    void ReadPeer(const LogBox& box, const PeerRead& read,
                  KeyedLog::ReadCallback callback) override {
      simulation->SendAsk(index, simulation->index_.at(box.name), read,
                          std::move(callback));
    }
    TimePoint Now() const override { return simulation->now_; }
    void RunAfter(nanoseconds delay, std::function<void()> action) override {
      simulation->AtBox(index, simulation->now_ + delay, std::move(action));
    }
    double Draw() override { return simulation->Draw(); }
    void RecordOutcome(const ReadOutcome&) override {}
    void RecordSearch(const SearchStart&) override {}
    void RecordStoreFailure(const StoreFailure&) override {}

    void Begin() {
      as_of = simulation->now_;
      cache.LoadSnapshot({}, next, as_of);
      cache.SetChangeCallback([this] { AnswerHeld(); });
      Follow();
    }
    void Follow() {
      LogQuery query;
      query.topic = kTopic;
      query.from = next;
      query.no_long_poll = failures > 0;
      const LogReaderScenario& scenario = simulation->scenario_;
      query.max_wait = failures > 0 ? milliseconds(0) : scenario.wait;
      query.max_age = scenario.oldest;
      reader.Read(query, [this](std::error_code error, LogPage page) {
        error ? OnError(error) : OnPage(page);
      });
    }
    void OnPage(const LogPage& page) {
      failures = 0;
      next = page.next;
      if (next >= page.end) as_of = std::max(as_of, page.as_of);
      cache.ApplyPage(page);
      RunAfter(
          page.is_long_polled ? nanoseconds(0) : simulation->scenario_.interval,
          [this] { Follow(); });
    }
    void OnError(std::error_code error) {
      ++failures;
      double least = error == Result::kNoConnection ? 0.05 : 0.15;
      double pause = least + least * 4 / 3 * simulation->Draw();
      bool is_store =
          error != Result::kNoConnection && error != Result::kStaleTable;
      if (failures >= 4 && is_store) pause *= 2;
      RunAfter(FromSeconds(pause), [this] { Follow(); });
    }
    void AnswerHeld() {
      std::list<std::shared_ptr<HeldAsk>> due;
      due.swap(held);
      for (const auto& ask : due) {
        if (!ask->is_answered) ask->answer();
      }
    }

    LogReaderSimulation* const simulation;
    const size_t index;
    Store store;
    LogReader reader;
    LogCache cache;
    uint64_t next = 1;
    TimePoint as_of{};
    int failures = 0;
    TimePoint free_at{};
    std::list<std::shared_ptr<HeldAsk>> held;
  };

  double Draw() { return std::uniform_real_distribution<>(0, 1)(random_); }
  void At(TimePoint at, std::function<void()> action) {
    events_.push({at, ++events_pushed_, std::move(action)});
  }
  // A frozen box does nothing.
  void AtBox(size_t box, TimePoint at, std::function<void()> action) {
    At(at, [this, box, action = std::move(action)] {
      if (frozen.count(box) == 0) action();
    });
  }
  // The box handles one message after the other.
  void Deliver(size_t box, TimePoint at, std::function<void()> action) {
    At(at, [this, box, action = std::move(action)] {
      Box& receiver = *boxes_[box];
      nanoseconds time = scenario_.handling;
      if (slow.count(box) > 0) time *= kSlowFactor;
      receiver.free_at = std::max(receiver.free_at, now_) + time;
      AtBox(box, receiver.free_at, action);
    });
  }
  bool Works(size_t box) const {
    return cut.count(box) == 0 && frozen.count(box) == 0 &&
           slow.count(box) == 0;
  }
  static size_t MostPerSecond(const std::vector<TimePoint>& times) {
    size_t most = 0;
    size_t first = 0;
    for (size_t i = 0; i < times.size(); ++i) {
      while (times[i] - times[first] > std::chrono::seconds(1)) ++first;
      most = std::max(most, i - first + 1);
    }
    return most;
  }

  void ReadStore(size_t box, const LogQuery& query,
                 KeyedLog::ReadCallback callback) {
    if (cut.count(box) > 0) {
      return AtBox(box, now_ + kConnectTime,
                   [callback] { callback(Result::kNoConnection, {}); });
    }
    calls_.push_back(now_);
    if (refused.count(box) > 0) {
      return Deliver(box, now_ + kStoreTime,
                     [callback] { callback(Result::kRefused, {}); });
    }
    HeldRead read{box, query.from, now_, ++reads_, std::move(callback)};
    if (query.max_wait.count() == 0 || query.from < end_) {
      return ReplyFromStore(read, now_);
    }
    held_.push_back(read);
    At(now_ + query.max_wait, [this, number = read.number] {
      auto it = std::find_if(
          held_.begin(), held_.end(),
          [number](const HeldRead& held) { return held.number == number; });
      if (it == held_.end()) return;
      HeldRead overdue = *it;
      held_.erase(it);
      ReplyFromStore(overdue, overdue.sent_at);
    });
  }
  void ReplyFromStore(const HeldRead& read, TimePoint as_of) {
    LogPage page;
    for (uint64_t i = read.from; i < end_; ++i)
      page.records.push_back({"k", "v"});
    page.next = page.end = end_;
    page.as_of = as_of;
    Deliver(read.box, now_ + kStoreTime,
            [callback = read.callback, page] { callback({}, page); });
  }

  void SendAsk(size_t from, size_t to, const PeerRead& read,
               KeyedLog::ReadCallback callback) {
    auto is_over = std::make_shared<bool>(false);
    auto end = [this, is_over, read, callback](std::error_code error,
                                               LogPage page) {
      if (std::exchange(*is_over, true)) return;
      bool is_old = now_ - page.as_of > read.query.max_age;
      bool is_behind = page.end < read.query.from;
      if (!error && (is_old || is_behind)) error = Result::kStaleTable;
      page.is_long_polled = true;
      callback(error, std::move(page));
    };
    bool is_reached =
        cut.count(from) == 0 && cut.count(to) == 0 && reaches(from, to);
    if (!is_reached) {
      return AtBox(from, now_ + kConnectTime,
                   [end] { end(Result::kNoConnection, {}); });
    }
    AtBox(from, now_ + read.limit, [end] { end(Result::kUnreachable, {}); });
    auto reply = [this, from, to, end](std::error_code error, LogPage page) {
      if (cut.count(from) > 0 || cut.count(to) > 0) return;
      Deliver(from, now_ + kWayTime, [end, error, page] { end(error, page); });
    };
    Deliver(to, now_ + kWayTime, [this, to, read, reply] {
      asks_[to].push_back(now_);
      Answer(boxes_[to].get(), read, reply);
    });
  }

  void Answer(Box* box, const PeerRead& read,
              const KeyedLog::ReadCallback& reply) {
    if (read.relayed) {
      LogQuery query = read.query;
      query.max_wait = read.hold;
      return box->reader.Relay(query, reply);
    }
    auto ask = std::make_shared<HeldAsk>();
    ask->from = read.query.from;
    ask->answer = [box, ask = ask.get(), reply] {
      ask->is_answered = true;
      LogPage page;
      bool is_kept = box->cache.ReadFrom(ask->from, &page);
      reply(is_kept ? std::error_code() : Result::kExpired, page);
    };
    bool has_news = box->cache.end() > ask->from;
    if (has_news || read.hold.count() == 0) return ask->answer();
    box->held.push_back(ask);
    AtBox(box->index, now_ + read.hold, [box, ask] {
      if (ask->is_answered) return;
      box->held.remove(ask);
      ask->answer();
    });
  }

  const LogReaderScenario scenario_;
  std::mt19937 random_;
  TimePoint now_ = TimePoint{} + std::chrono::hours(1);
  std::priority_queue<Event> events_;
  uint64_t events_pushed_ = 0;
  std::map<std::string, size_t> index_;
  std::vector<std::unique_ptr<Box>> boxes_;
  std::list<HeldRead> held_;  // at the store
  uint64_t reads_ = 0;
  uint64_t end_ = 1;
  TimePoint written_at_{};
  std::vector<TimePoint> calls_;  // of the store
  std::map<size_t, std::vector<TimePoint>> asks_;
};

}  // namespace leverwick

#endif  // LEVERWICK_TESTING_LOG_READER_SIMULATION_H_
