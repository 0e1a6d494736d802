// KeyedLog is the interface to a log of keyed records, which boxes read either
// from the store or from each other.
//
// Offsets number the records of a topic from zero. Each page states the offset
// up to which it brings the reader, and a time at which the log had not grown
// beyond its end. Freshness proofs are built from these two values.
//
// A store that comes back from an older copy has lost its newest records and
// gives their offsets out again. Each page names the era of the store, which is
// higher after each such return; offsets of different eras are not comparable.
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

// 0: the source does not tell it.
using StoreEra = uint64_t;

// Whether `era` is known to be before `other`.
inline bool IsEarlierEra(StoreEra era, StoreEra other) {
  return era != 0 && era < other;
}

// A record without a value is a tombstone: it deletes the key.
struct KeyedRecord {
  std::string key;
  std::optional<std::string> value;
};

struct LogPage {
  std::vector<KeyedRecord> records;  // in log order, from the requested offset
  uint64_t next = 0;                 // offset at which the next read continues
  uint64_t end = 0;                  // offset of the next record to be written
  // Time by this box's clock at which the log had not grown beyond `end`.
  TimePoint as_of{};
  StoreEra era = 0;
  // The source replied as soon as it had new records, so the reader need not
  // pause before the next read.
  bool is_long_polled = false;
};

// The newest record of each key.
struct NewestPage {
  std::vector<KeyedRecord> records;
  bool has_more = false;  // request the next page, after the last record's key
  uint64_t end = 0;
  TimePoint as_of{};
  StoreEra era = 0;
};

struct LogQuery {
  std::string topic;
  uint64_t from = 0;
  // Maximum time for which the store may hold the read until a record arrives.
  milliseconds max_wait{0};
  // Requests an immediate reply: neither the store nor another box may hold the
  // read.
  bool no_long_poll = false;
  // Maximum age of a reply that another box passes on.
  milliseconds max_age{0};
  // The newest era that the reader knows. What a box has read in an earlier one
  // is too old.
  StoreEra era = 0;
};

// Errors: kNoConnection (the call never left this box), kUnreachable (no
// reply), kRefused, kExpired (the requested records no longer exist),
// kStaleRevision (the log did not end at the offset that the append required),
// kBadResponse (the reply can't be decoded), kStaleTable (no box that can be
// asked has current records). Callbacks run on the event loop.
class KeyedLog {
 public:
  using ReadCallback = std::function<void(std::error_code, LogPage)>;
  using NewestCallback = std::function<void(std::error_code, NewestPage)>;
  using AppendCallback = std::function<void(std::error_code)>;

  virtual ~KeyedLog() = default;

  // Reads the records of a topic from an offset on.
  virtual void Read(const LogQuery& query, ReadCallback callback) = 0;
  // Reads the newest record of each key. The first page has an empty
  // `after_key`, each further one the last key of the page before.
  virtual void ReadNewest(const LogQuery& query, const std::string& after_key,
                          NewestCallback callback) = 0;
  // Appends a record. With `at`, appends only if the topic's log ends at that
  // offset. An append whose reply is lost may still take effect seconds later.
  virtual void Append(const std::string& topic, const KeyedRecord& record,
                      std::optional<uint64_t> at, AppendCallback callback) = 0;
};

}  // namespace leverwick

#endif  // LEVERWICK_KEYED_LOG_H_
