// A follower's listener holds what the log holds, however reads cut the log
// into pages.

#include <doctest/doctest.h>

#include <algorithm>
#include <boost/asio/post.hpp>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "daemon/topic_follower.h"
#include "leverwick/result.h"
#include "net/testing/test_loop.h"

namespace leverwick {
namespace {

using State = std::map<std::string, std::string>;

// Values have the form content/number; a record with the same content renews.
std::string ContentOf(const std::string& value) {
  return value.substr(0, value.find('/'));
}
bool IsRenewal(const std::string& before, const std::string& after) {
  return ContentOf(before) == ContentOf(after);
}

// A log that gives `page_size()` records at a time.
class PagedLog : public KeyedLog {
 public:
  PagedLog(boost::asio::io_context* loop, std::function<size_t()> page_size)
      : loop_(loop), page_size_(std::move(page_size)) {}

  void Add(const std::string& key, std::optional<std::string> value) {
    records_.push_back({key, value});
    if (value) {
      state_[key] = ContentOf(*value);
    } else {
      state_.erase(key);
    }
  }
  // The store comes back from a copy that lacks the newest `lost` records.
  void GoBack(size_t lost) {
    std::vector<KeyedRecord> kept = std::move(records_);
    kept.resize(kept.size() - std::min(lost, kept.size()));
    records_.clear();
    state_.clear();
    for (const KeyedRecord& record : kept) Add(record.key, record.value);
    ++era_;
  }
  void GoBackAtEachRead() { goes_back_ = true; }
  // Pages of newest records that were read.
  size_t snapshots() const { return snapshots_; }
  const State& state() const { return state_; }
  StoreEra era() const { return era_; }
  uint64_t end() const { return records_.size(); }

  void Read(const LogQuery& query, ReadCallback callback) override {
    LogPage page;
    if (goes_back_) ++era_;
    if (query.from > records_.size()) {
      boost::asio::post(*loop_, [callback] { callback(Result::kExpired, {}); });
      return;
    }
    auto first = records_.begin() + static_cast<std::ptrdiff_t>(query.from);
    auto left = static_cast<size_t>(records_.end() - first);
    size_t size = std::min(left, page_size_());
    page.records.assign(first, first + static_cast<std::ptrdiff_t>(size));
    page.next = query.from + size;
    page.end = records_.size();
    page.as_of = Clock::now();
    page.era = era_;
    boost::asio::post(*loop_, [callback, page] { callback({}, page); });
  }
  void ReadNewest(const LogQuery&, const std::string&,
                  NewestCallback callback) override {
    ++snapshots_;
    NewestPage page;
    State newest;
    for (const KeyedRecord& record : records_) {
      if (record.value) newest[record.key] = *record.value;
      if (!record.value) newest.erase(record.key);
    }
    for (const auto& [key, value] : newest) {
      page.records.push_back({key, value});
    }
    page.end = records_.size();
    page.as_of = Clock::now();
    page.era = era_;
    boost::asio::post(*loop_, [callback, page] { callback({}, page); });
  }
  void Append(const std::string&, const KeyedRecord&, std::optional<uint64_t>,
              AppendCallback) override {}

 private:
  boost::asio::io_context* const loop_;
  const std::function<size_t()> page_size_;
  std::vector<KeyedRecord> records_;
  State state_;
  StoreEra era_ = 1;
  bool goes_back_ = false;
  size_t snapshots_ = 0;
};

class Listener : public TopicFollower::Listener {
 public:
  void OnSnapshot(const std::vector<KeyedRecord>& records) override {
    state.clear();
    for (const KeyedRecord& record : records) OnRecord(record);
  }
  void OnRecord(const KeyedRecord& record) override {
    ++records;
    if (record.value) state[record.key] = ContentOf(*record.value);
    if (!record.value) state.erase(record.key);
  }
  void OnRead(TimePoint) override {}
  void OnReadFailed(std::error_code) override {}
  std::optional<milliseconds> PauseAfterFailure() override { return pause; }

  std::optional<milliseconds> pause;
  State state;
  size_t records = 0;
};

// What the cache passes on to boxes that read all of it.
State StateOf(const LogCache& cache) {
  LogPage page;
  State state;
  if (!cache.ReadFrom(0, &page)) return state;
  for (const KeyedRecord& record : page.records) {
    state[record.key] = ContentOf(*record.value);
  }
  return state;
}

FollowerOptions Options() {
  FollowerOptions options;
  options.topic = "t";
  return options;
}

// Guards against a record that is compared with what was known before its
// page: an entry that lapsed and came back within a page was lost for good.
TEST_CASE("a record that comes back within a page is no renewal") {
  boost::asio::io_context loop;
  PagedLog log(&loop, [] { return 100; });
  log.Add("a", "ready/1");
  Listener listener;
  TopicFollower follower(&loop, &log, Options(), &listener);
  follower.cache()->SetRenewalTest(IsRenewal);
  follower.Start();
  REQUIRE(RunUntil(&loop, [&] { return follower.has_snapshot(); }));
  log.Add("a", std::nullopt);
  log.Add("a", "ready/2");
  REQUIRE(RunUntil(&loop, [&] { return follower.end() == log.end(); }));
  CHECK(listener.state == log.state());
  // What only renews is withheld still.
  size_t before = listener.records;
  log.Add("a", "ready/3");
  REQUIRE(RunUntil(&loop, [&] { return follower.end() == log.end(); }));
  CHECK(listener.records == before);
}

// Plays random writes, deletions and, if the store goes back at times, returns
// in pages of one to six records.
void PlayRandomWrites(unsigned seed, bool store_goes_back) {
  CAPTURE(seed);
  std::mt19937 random(seed);
  boost::asio::io_context loop;
  PagedLog log(&loop, [&] { return 1 + random() % 6; });
  Listener listener;
  listener.pause = milliseconds(0);
  TopicFollower follower(&loop, &log, Options(), &listener);
  follower.cache()->SetRenewalTest(IsRenewal);
  follower.Start();
  REQUIRE(RunUntil(&loop, [&] { return follower.has_snapshot(); }));
  for (int step = 0; step < 60; ++step) {
    bool goes_back = store_goes_back && random() % 12 == 0;
    if (goes_back) log.GoBack(1 + random() % 4);
    std::string key(1, static_cast<char>('a' + random() % 4));
    std::string content = random() % 4 == 0 ? "leaving" : "ready";
    if (random() % 3 == 0) {
      log.Add(key, std::nullopt);
    } else {
      log.Add(key, content + "/" + std::to_string(step));
    }
    for (size_t turns = random() % 3; turns > 0; --turns) {
      loop.restart();
      loop.poll_one();
    }
  }
  REQUIRE(RunUntil(&loop, [&] {
    return follower.has_snapshot() && follower.era() == log.era() &&
           follower.end() == log.end();
  }));
  CHECK(listener.state == log.state());
  CHECK(StateOf(*follower.cache()) == log.state());
}

TEST_CASE("any writes in any pages end in the state of the log") {
  for (unsigned seed = 1; seed <= 300; ++seed) PlayRandomWrites(seed, false);
}

// Guards against records that are given the offsets of others, which the box
// has read, after the store came back from an older copy.
TEST_CASE("records at offsets that a store gives out again are read") {
  boost::asio::io_context loop;
  PagedLog log(&loop, [] { return 100; });
  log.Add("a", "ready/1");
  log.Add("b", "ready/2");
  Listener listener;
  TopicFollower follower(&loop, &log, Options(), &listener);
  follower.Start();
  REQUIRE(RunUntil(&loop, [&] { return follower.has_snapshot(); }));
  log.GoBack(1);
  SUBCASE("as many records as were lost") { log.Add("a", std::nullopt); }
  SUBCASE("more") {
    log.Add("c", "ready/3");
    log.Add("d", "ready/4");
  }
  SUBCASE("fewer") {}
  REQUIRE(RunUntil(&loop, [&] { return follower.era() == log.era(); }));
  REQUIRE(RunUntil(&loop, [&] { return follower.has_snapshot(); }));
  CHECK(listener.state == log.state());
  CHECK(StateOf(*follower.cache()) == log.state());
  CHECK(follower.cache()->era() == log.era());
}

TEST_CASE("any writes and returns of the store end in the state of the log") {
  for (unsigned seed = 1; seed <= 300; ++seed) PlayRandomWrites(seed, true);
}

// Guards against a store that is read without a pause, by the readers of all
// data centres at once, when it comes back.
TEST_CASE("a store that goes back again and again is read with pauses") {
  boost::asio::io_context loop;
  PagedLog log(&loop, [] { return 100; });
  log.Add("a", "ready/1");
  Listener listener;
  TopicFollower follower(&loop, &log, Options(), &listener);
  follower.Start();
  REQUIRE(RunUntil(&loop, [&] { return follower.has_snapshot(); }));
  log.GoBackAtEachRead();
  size_t before = log.snapshots();
  RunUntil(
      &loop, [] { return false; }, milliseconds(2000));
  // One in 150 ms at most.
  CHECK(log.snapshots() - before <= 14);
  CHECK(log.snapshots() - before >= 3);
}

}  // namespace
}  // namespace leverwick
