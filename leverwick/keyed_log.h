// A log of keyed records, as a box reads it: what a store keeps, and what boxes
// pass on to each other.
//
// Offsets number the records of a topic from zero. A page says up to where it
// brings its reader and since when that is known to have been the end, which is
// what a proof of freshness is made of.
//
//   log->Read({"boxes", 840, 1500ms}, [](std::error_code, LogPage) {...});

#ifndef LEVERWICK_KEYED_LOG_H_
#define LEVERWICK_KEYED_LOG_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <system_error>
#include <vector>

#include "leverwick/time.h"

namespace leverwick {

// Without a value the key is dropped.
struct KeyedRecord {
  std::string key;
  std::optional<std::string> value;
};

struct LogPage {
  std::vector<KeyedRecord> records;  // from the offset asked for on, in order
  uint64_t next = 0;                 // behind the last record: read on here
  uint64_t end = 0;                  // offset of the next record to be written
  // The log had not grown beyond `end` at this moment, by this box's clock.
  TimePoint as_of{};
  // The source answered when there was news: no pause before the next read.
  bool is_long_polled = false;
};

// The newest record of each key.
struct NewestPage {
  std::vector<KeyedRecord> records;
  bool has_more = false;  // ask again, after the last record's key
  uint64_t end = 0;
  TimePoint as_of{};
};

struct LogQuery {
  std::string topic;
  uint64_t from = 0;
  // How long the store may hold the read until there is a record.
  milliseconds max_wait{0};
  // Nobody may hold it: what counts is to know soon.
  bool no_long_poll = false;
  // An answer that another box passes on is taken if it is no older.
  milliseconds max_age{0};
};

// Errors: kNoConnection (the call never left this box), kUnreachable (no
// answer), kRefused, kExpired (the records asked for
// are gone), kStaleRevision (the log did not end where the append wanted it),
// kBadResponse (can't be decoded). Callbacks come from the event loop.
class KeyedLog {
 public:
  using ReadCallback = std::function<void(std::error_code, LogPage)>;
  using NewestCallback = std::function<void(std::error_code, NewestPage)>;
  using AppendCallback = std::function<void(std::error_code)>;

  virtual ~KeyedLog() = default;

  virtual void Read(const LogQuery& query, ReadCallback callback) = 0;
  virtual void ReadNewest(const LogQuery& query, const std::string& after_key,
                          NewestCallback callback) = 0;
  // With `at`, appends only if the topic's log ends there. An append whose
  // answer is lost may still take effect, up to seconds later.
  virtual void Append(const std::string& topic, const KeyedRecord& record,
                      std::optional<uint64_t> at, AppendCallback callback) = 0;
};

}  // namespace leverwick

#endif  // LEVERWICK_KEYED_LOG_H_
