// The newest record of each key of one topic, kept so that other boxes can read
// the topic from this one instead of from the store.
//
// A page from an offset on holds each key once, as it is now: a reader that
// applies the page stands where it would after reading every record between.
//
//   LogCache cache;
//   cache.Replace(records, end);
//   cache.Apply(page);
//   if (cache.PageFrom(840, &page)) ...   // false: that is too long ago

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
  // The newest record of every key, in a log that ends at `end`.
  void LoadSnapshot(const std::vector<KeyedRecord>& records, uint64_t end,
                    TimePoint as_of);
  // What is here is too old to be passed on: no snapshot until the next one.
  void Invalidate() { has_snapshot_ = false; }
  // A page that begins where this cache ends, or before.
  void ApplyPage(const LogPage& page);

  // Called after each change of the records or of what they are proved to be.
  void SetChangeCallback(std::function<void()> callback) {
    change_callback_ = std::move(callback);
  }

  bool has_snapshot() const { return has_snapshot_; }
  uint64_t end() const { return end_; }
  // The log had not grown beyond `end` at this moment.
  TimePoint as_of() const { return as_of_; }

  // What changed since `from`; from 0, everything that is not dropped. False
  // when records between have been forgotten.
  bool ReadFrom(uint64_t from, LogPage* page) const;

 private:
  void StoreRecord(uint64_t offset, const KeyedRecord& record);
  void EvictOldTombstones();

  // Each key's newest record. An offset may be later than the record's own,
  // never earlier, so that no reader misses it.
  std::map<uint64_t, KeyedRecord> records_;
  std::map<std::string, uint64_t> offsets_;     // by key
  std::map<uint64_t, std::string> tombstones_;  // dropped keys
  uint64_t complete_from_ = 0;  // no record from here on has been forgotten
  uint64_t end_ = 0;
  TimePoint as_of_{};
  bool has_snapshot_ = false;
  std::function<void()> change_callback_ = [] {};
};

}  // namespace leverwick

#endif  // LEVERWICK_LOG_CACHE_H_
