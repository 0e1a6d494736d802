// LogCache holds the newest record of each key of one topic, so that other
// boxes can read the topic from this box instead of from the store.
//
// A page that starts at an offset contains each key at most once, with its
// newest record. A reader that applies the page reaches the same state as one
// that reads every record in between.
//
//   LogCache cache;
//   cache.LoadSnapshot(records, end, as_of);
//   cache.ApplyPage(page);
//   if (cache.ReadFrom(840, &page)) ...  // false: 840 is no longer available

#ifndef LEVERWICK_LOG_CACHE_H_
#define LEVERWICK_LOG_CACHE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "leverwick/keyed_log.h"

namespace leverwick {

class LogCache {
 public:
  // Replaces the contents with the newest record of every key, in a log that
  // ends at `end`.
  void LoadSnapshot(const std::vector<KeyedRecord>& records, uint64_t end,
                    TimePoint as_of, StoreEra era = 0);
  // Marks the contents as too old to be passed on until the next snapshot.
  void Invalidate() { has_snapshot_ = false; }
  // Applies a page that starts at or before the end of this cache and is of the
  // era of its snapshot. Calls
  // `on_news` for each record that does not only renew the newest one of its
  // key, in order.
  using RecordCallback = std::function<void(const KeyedRecord&)>;
  void ApplyPage(
      const LogPage& page,
      const RecordCallback& on_news = [](const KeyedRecord&) {});

  // Sets a callback that runs after each change of the records or of `as_of`.
  void SetChangeCallback(std::function<void()> callback) {
    change_callback_ = std::move(callback);
  }

  // Sets a test for records that only renew what the key's record before says.
  // They are not passed on.
  using RenewalTest =
      std::function<bool(const std::string& before, const std::string& after)>;
  void SetRenewalTest(RenewalTest test) { is_renewal_ = std::move(test); }
  // Returns whether the record only renews the newest one of its key.
  bool IsRenewal(const KeyedRecord& record) const;

  bool has_snapshot() const { return has_snapshot_; }
  uint64_t end() const { return end_; }
  // Of the store, when the snapshot was read.
  StoreEra era() const { return era_; }
  // Counts the changes of the records.
  uint64_t revision() const { return revision_; }
  // Returns a time at which the log had not grown beyond `end`.
  TimePoint as_of() const { return as_of_; }

  // Fills `page` with the changes since offset `from`, or with all live keys if
  // `from` is 0. Returns false if tombstones since `from` are missing here.
  bool ReadFrom(uint64_t from, LogPage* page) const;

 private:
  // Signed, since the records of a snapshot may be more than the offsets before
  // its end: they are read while others are written.
  using Offset = int64_t;

  void StoreRecord(Offset offset, const KeyedRecord& record);
  void EvictOldTombstones();

  // The newest record of each key, by offset. An offset may be later than the
  // record's own but never earlier, so that no reader misses a record.
  std::map<Offset, KeyedRecord> records_;
  std::map<std::string, Offset> offsets_;     // by key
  std::map<Offset, std::string> tombstones_;  // offset to deleted key
  uint64_t complete_from_ = 0;  // no record has been evicted from here on
  uint64_t end_ = 0;
  StoreEra era_ = 0;
  TimePoint as_of_{};
  bool has_snapshot_ = false;
  uint64_t revision_ = 0;
  std::function<void()> change_callback_ = [] {};
  RenewalTest is_renewal_ = [](const auto&, const auto&) { return false; };
};

}  // namespace leverwick

#endif  // LEVERWICK_LOG_CACHE_H_
