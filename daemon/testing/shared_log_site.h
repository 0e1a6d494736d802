// Boxes that read a store's log from each other, over loopback, for tests.
//
//   Pair pair;             // a reader, and a box that reads from it
//   pair.Put("k", "1");    // in the store

#ifndef DAEMON_TESTING_SHARED_LOG_SITE_H_
#define DAEMON_TESTING_SHARED_LOG_SITE_H_

#include <doctest/doctest.h>

#include <boost/asio/post.hpp>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "daemon/log_server.h"
#include "daemon/shared_log.h"
#include "daemon/topic_follower.h"
#include "leverwick/result.h"
#include "net/testing/free_port.h"
#include "net/testing/test_loop.h"
#include "net/timer.h"

namespace leverwick {
namespace shared_log_testing {

constexpr char kTopic[] = "t";
constexpr milliseconds kHeld{100};
constexpr milliseconds kMostAge{300};

// A store in memory that can be away.
class MemoryLog : public KeyedLog {
 public:
  explicit MemoryLog(boost::asio::io_context* loop) : loop_(loop) {}

  void Put(const std::string& key, std::optional<std::string> value) {
    records_.push_back({key, std::move(value)});
    newest_[key] = records_.back();
    std::list<Held> held;
    held.swap(held_);
    for (Held& read : held) AnswerRead(read.query, read.callback);
  }

  void Read(const LogQuery& query, ReadCallback callback) override {
    ++calls;
    if (away) {
      boost::asio::post(*loop_,
                        [callback, why = away_why] { callback(why, {}); });
      return;
    }
    bool hold = query.max_wait.count() > 0 && query.from >= records_.size();
    if (!hold) return AnswerRead(query, callback);
    held_.push_back({query, callback, Clock::now()});
    auto timer = std::make_shared<Timer>(*loop_);
    timer->expires_after(query.max_wait);
    timer->async_wait([this, timer](auto) { AnswerOverdue(); });
  }

  void ReadNewest(const LogQuery&, const std::string&,
                  NewestCallback callback) override {
    ++calls;
    NewestPage page;
    for (const auto& record : newest_) page.records.push_back(record.second);
    page.end = records_.size();
    page.as_of = Clock::now();
    std::error_code error;
    if (away) error = Result::kUnreachable;
    boost::asio::post(*loop_,
                      [callback, error, page] { callback(error, page); });
  }

  void Append(const std::string&, const KeyedRecord& record,
              std::optional<uint64_t>, AppendCallback callback) override {
    ++calls;
    boost::asio::post(*loop_, [this, record, callback] {
      Put(record.key, record.value);
      callback({});
    });
  }

  // Refuses this and later reads, held ones among them.
  void TurnAway() {
    away = true;
    away_why = Result::kRefused;
    std::list<Held> held;
    held.swap(held_);
    for (Held& read : held) {
      boost::asio::post(*loop_, [callback = read.callback] {
        callback(Result::kRefused, {});
      });
    }
  }

  const std::map<std::string, KeyedRecord>& newest() const { return newest_; }

  bool away = false;
  Result away_why = Result::kUnreachable;
  int calls = 0;

 private:
  struct Held {
    LogQuery query;
    ReadCallback callback;
    TimePoint asked_at;
  };

  void AnswerRead(const LogQuery& query, const ReadCallback& callback,
                  TimePoint as_of = Clock::now()) {
    LogPage page;
    auto from = static_cast<std::ptrdiff_t>(query.from);
    page.records.assign(records_.begin() + from, records_.end());
    page.next = page.end = records_.size();
    page.as_of = as_of;
    boost::asio::post(*loop_, [callback, page] { callback({}, page); });
  }

  void AnswerOverdue() {
    while (!held_.empty()) {
      Held read = held_.front();
      if (Clock::now() - read.asked_at < read.query.max_wait) return;
      held_.pop_front();
      AnswerRead(read.query, read.callback, read.asked_at);
    }
  }

  boost::asio::io_context* const loop_;
  std::vector<KeyedRecord> records_;
  std::map<std::string, KeyedRecord> newest_;
  std::list<Held> held_;
};

// What a follower tells, in order.
class Told : public TopicFollower::Listener {
 public:
  void OnSnapshot(const std::vector<KeyedRecord>& records) override {
    for (const KeyedRecord& record : records) OnRecord(record);
  }
  void OnRecord(const KeyedRecord& record) override {
    events.push_back(record.key + "=" + record.value.value_or("-"));
    state[record.key] = record.value.value_or("-");
  }
  void OnRead(TimePoint as_of_in) override { as_of = as_of_in; }
  void OnReadFailed(std::error_code) override { events.push_back("failed"); }

  std::map<std::string, std::string> state;
  std::vector<std::string> events;
  TimePoint as_of{};
};

inline std::string AddressOf(const boost::asio::ip::tcp::endpoint& endpoint) {
  return "127.0.0.1:" + std::to_string(endpoint.port());
}

// One box: a follower of the topic, shared with others.
class Box {
 public:
  Box(boost::asio::io_context* loop, KeyedLog* store, const LogBox& self,
      const FollowerOptions& options = {kTopic, kHeld, milliseconds(0),
                                        kMostAge})
      : log(loop, store, self, 1, &metrics),
        follower(loop, &log, options, &told),
        server(loop) {
    server.Share(kTopic, follower.cache());
    server.SetRelay([this](const LogQuery& query, KeyedLog::ReadCallback done) {
      log.Relay(query, std::move(done));
    });
  }

  void Listen(const boost::asio::ip::tcp::endpoint& endpoint) {
    REQUIRE_FALSE(server.Listen(endpoint));
  }

  Metrics metrics;
  SharedLog log;
  Told told;
  TopicFollower follower;
  LogServer server;
};

// A reader and a box that reads from it, each with its own way to the store.
class Pair {
 public:
  Pair()
      : store(&loop),
        other_way(&loop),
        endpoint(FreePort(&loop)),
        reader_self{"a", AddressOf(endpoint), 2},
        second_self{"b", "127.0.0.1:1", 1},
        reader(std::make_unique<Box>(&loop, &store, reader_self)),
        second(&loop, &other_way, second_self) {
    reader->Listen(endpoint);
    reader->follower.Start();
    REQUIRE(RunUntil(&loop, [&] { return reader->follower.has_snapshot(); }));
    reader->log.SetBoxes({reader_self, second_self});
    second.log.SetBoxes({reader_self, second_self});
    second.follower.Start();
    REQUIRE(RunUntil(&loop, [&] { return second.follower.has_snapshot(); }));
  }

  // Both ways lead to the same records; only the calls are counted apart.
  void Put(const std::string& key, std::optional<std::string> value) {
    store.Put(key, value);
    other_way.Put(key, value);
  }

  boost::asio::io_context loop;
  MemoryLog store;
  MemoryLog other_way;
  boost::asio::ip::tcp::endpoint endpoint;
  LogBox reader_self;
  LogBox second_self;
  std::unique_ptr<Box> reader;
  Box second;
};

}  // namespace shared_log_testing
}  // namespace leverwick

#endif  // DAEMON_TESTING_SHARED_LOG_SITE_H_
