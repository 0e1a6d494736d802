// Tests that a reader that applies pages of a LogCache reaches the same state
// as one that has read every record of the log.

#include "leverwick/log_cache.h"

#include <doctest/doctest.h>

#include <map>
#include <random>
#include <string>
#include <vector>

namespace leverwick {
namespace {

using LogState = std::map<std::string, std::string>;

void ApplyPage(const std::vector<KeyedRecord>& records, LogState* state) {
  for (const KeyedRecord& record : records) {
    if (record.value) {
      (*state)[record.key] = *record.value;
    } else {
      state->erase(record.key);
    }
  }
}

// Reference implementation: keeps every record of a log and replays them.
class ReferenceLog {
 public:
  void Append(const KeyedRecord& record) { records_.push_back(record); }
  uint64_t end() const { return records_.size(); }

  LogPage Page(uint64_t from, uint64_t to) const {
    LogPage page;
    page.records.assign(records_.begin() + static_cast<int64_t>(from),
                        records_.begin() + static_cast<int64_t>(to));
    page.next = to;
    page.end = end();
    return page;
  }

  LogState StateAt(uint64_t end) const {
    LogState state;
    ApplyPage(Page(0, end).records, &state);
    return state;
  }

  std::vector<KeyedRecord> Newest() const {
    std::vector<KeyedRecord> newest;
    for (const auto& [key, value] : StateAt(end())) {
      newest.push_back({key, value});
    }
    return newest;
  }

 private:
  std::vector<KeyedRecord> records_;
};

// Returns a record with one of twelve keys; one in four is a tombstone.
KeyedRecord RandomRecord(std::mt19937* random, int number) {
  std::string key = "k" + std::to_string((*random)() % 12);
  if ((*random)() % 4 == 0) return {key, std::nullopt};
  return {key, std::to_string(number)};
}

TEST_CASE("a reader of cache pages reaches the state of the complete log") {
  std::mt19937 random(1);
  for (int round = 0; round < 200; ++round) {
    ReferenceLog log;
    LogCache cache;
    for (int i = 0; i < 20; ++i) log.Append(RandomRecord(&random, i));
    cache.LoadSnapshot(log.Newest(), log.end(), TimePoint());
    uint64_t reader_next = log.end();
    LogState reader = log.StateAt(reader_next);
    for (int i = 20; i < 120; ++i) {
      log.Append(RandomRecord(&random, i));
      // The cache and the reader each lag by a random number of records.
      if (random() % 3 == 0) cache.ApplyPage(log.Page(cache.end(), log.end()));
      if (random() % 5 != 0) continue;
      LogPage page;
      REQUIRE(cache.ReadFrom(reader_next, &page));
      ApplyPage(page.records, &reader);
      reader_next = page.next;
      CHECK(reader == log.StateAt(reader_next));
    }
    LogPage everything;
    REQUIRE(cache.ReadFrom(0, &everything));
    LogState complete;
    ApplyPage(everything.records, &complete);
    CHECK(complete == log.StateAt(cache.end()));
  }
}

TEST_CASE("a cache that reads from another cache serves the same state") {
  std::mt19937 random(2);
  ReferenceLog log;
  LogCache first;
  LogCache second;
  first.LoadSnapshot({}, 0, TimePoint());
  second.LoadSnapshot({}, 0, TimePoint());
  LogState reader;
  uint64_t next = 0;
  for (int i = 0; i < 500; ++i) {
    log.Append(RandomRecord(&random, i));
    if (random() % 3 == 0) first.ApplyPage(log.Page(first.end(), log.end()));
    LogPage page;
    if (random() % 3 == 0 && first.ReadFrom(second.end(), &page)) {
      second.ApplyPage(page);
    }
    if (random() % 3 == 0 && second.ReadFrom(next, &page)) {
      ApplyPage(page.records, &reader);
      next = page.next;
      CHECK(reader == log.StateAt(next));
    }
  }
}

TEST_CASE(
    "a reader that missed an evicted tombstone must reload the snapshot") {
  LogCache cache;
  cache.LoadSnapshot({{"a", "1"}}, 1, TimePoint());
  LogPage page;
  CHECK(cache.ReadFrom(1, &page));
  LogPage tombstones;
  for (int i = 0; i < 2000; ++i) {
    tombstones.records.push_back({"d" + std::to_string(i), std::nullopt});
  }
  tombstones.next = tombstones.end = 2001;
  cache.ApplyPage(tombstones);
  CHECK_FALSE(cache.ReadFrom(1, &page));
  CHECK_FALSE(cache.ReadFrom(500, &page));
  CHECK(cache.ReadFrom(1500, &page));
  // Tombstones from before the snapshot are unknown.
  LogCache reloaded;
  reloaded.LoadSnapshot({{"a", "1"}}, 10, TimePoint());
  CHECK_FALSE(reloaded.ReadFrom(9, &page));
  REQUIRE(reloaded.ReadFrom(0, &page));
  CHECK(page.records.size() == 1);
}

TEST_CASE(
    "a page that does not reach the end of the log does not advance as_of") {
  LogCache cache;
  TimePoint start;
  cache.LoadSnapshot({}, 0, start);
  LogPage part;
  part.records = {{"a", "1"}};
  part.next = 1;
  part.end = 2;
  part.as_of = start + milliseconds(5);
  cache.ApplyPage(part);
  CHECK(cache.as_of() == start);
  part.next = 2;
  cache.ApplyPage(part);
  CHECK(cache.as_of() == start + milliseconds(5));
}

// The pages of a snapshot are read while others write: the later ones hold
// records beyond the end that the first one told.
TEST_CASE("a snapshot with more records than its end loses none") {
  LogCache cache;
  cache.SetRenewalTest([](const std::string& before, const std::string& after) {
    return before == after;
  });
  cache.LoadSnapshot({{"a", "1"}, {"b", "1"}, {"c", "1"}, {"d", "1"}}, 1,
                     TimePoint());
  LogPage page;
  page.records = {{"b", "1"}, {"c", "2"}, {"d", "1"}};
  page.next = page.end = 4;
  cache.ApplyPage(page);
  LogPage all;
  REQUIRE(cache.ReadFrom(0, &all));
  std::map<std::string, std::string> held;
  for (const KeyedRecord& record : all.records) {
    held[record.key] = record.value.value_or("none");
  }
  std::map<std::string, std::string> wanted = {
      {"a", "1"}, {"b", "1"}, {"c", "2"}, {"d", "1"}};
  CHECK(held == wanted);
  CHECK(cache.IsRenewal({"b", "1"}));
  CHECK_FALSE(cache.IsRenewal({"c", "1"}));
  // What only renews is not passed on, the change is.
  REQUIRE(cache.ReadFrom(1, &all));
  REQUIRE(all.records.size() == 1);
  CHECK(all.records[0].key == "c");
  CHECK(all.next == 4);
}

}  // namespace
}  // namespace leverwick
