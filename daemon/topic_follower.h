// Follows one keyed topic: all newest records first, then each change in order.
//
// When the records between are gone, it begins again with the newest ones. A
// failed call is repeated after a pause that is random, so that boxes which
// lost the store together don't come back together.
//
//   TopicFollower follower(&loop, &log, options, &listener);
//   follower.Start();

#ifndef DAEMON_TOPIC_FOLLOWER_H_
#define DAEMON_TOPIC_FOLLOWER_H_

#include <optional>
#include <random>
#include <string>
#include <vector>

#include "leverwick/keyed_log.h"
#include "leverwick/log_cache.h"
#include "net/timer.h"

namespace leverwick {

struct FollowerOptions {
  std::string topic;
  // How long the store holds a read until there is a record.
  milliseconds wait{0};
  // Pause between two reads of the store.
  milliseconds interval{0};
  // Oldest answer of another box that is taken.
  milliseconds most_age{0};
};

class TopicFollower {
 public:
  class Listener {
   public:
    virtual ~Listener() = default;
    // Every newest record; keys that are not among them are dropped.
    virtual void OnSnapshot(const std::vector<KeyedRecord>& records) = 0;
    virtual void OnRecord(const KeyedRecord& record) = 0;
    // All is applied that was written up to the moment `as_of`.
    virtual void OnRead(TimePoint as_of) = 0;
    virtual void OnReadFailed(std::error_code error) = 0;
    // How long to wait after a failed read; nothing: as usual.
    virtual std::optional<milliseconds> PauseAfterFailure() {
      return std::nullopt;
    }
  };

  TopicFollower(boost::asio::io_context* loop, KeyedLog* log,
                const FollowerOptions& options, Listener* listener);

  void Start();
  void Stop();
  // Changes the pause between two reads of the store.
  void SetInterval(milliseconds interval) { options_.interval = interval; }
  bool running() const { return running_; }

  // Where the log ended at the newest read.
  uint64_t end() const { return next_; }
  // The newest era of the store that was read.
  StoreEra era() const { return era_; }
  bool has_snapshot() const { return has_snapshot_; }
  // What has been read, for other boxes.
  LogCache* cache() { return &cache_; }

 private:
  void ReadNewest(const std::string& after_key);
  void OnNewest(std::error_code error, NewestPage page);
  void ReadLog();
  // Reads everything again, after a pause: what was read after the store's copy
  // was made may be lost, and other records may have its offsets.
  void StartEra(StoreEra era);
  void OnPage(std::error_code error, const LogPage& page);
  LogQuery Query() const;
  void OnError(std::error_code error);
  milliseconds PauseAfterError(std::error_code error);
  // The pause after a read. What another box passed on may be nearly too old
  // when it comes; a whole interval on top would keep a leaving endpoint in use
  // for longer than the two seconds that it still serves.
  milliseconds PauseAfter(TimePoint as_of) const;
  void After(milliseconds pause);

  KeyedLog* const log_;
  FollowerOptions options_;
  Listener* const listener_;
  Timer timer_;
  std::mt19937 random_;
  std::vector<KeyedRecord> snapshot_;  // pages so far
  uint64_t snapshot_end_ = 0;          // of the first page
  TimePoint snapshot_as_of_{};
  StoreEra snapshot_era_ = 0;
  LogCache cache_;
  bool has_snapshot_ = false;
  bool running_ = false;
  int failures_ = 0;     // of the last calls, in a row
  uint64_t starts_ = 0;  // answers to calls of an earlier start are dropped
  uint64_t next_ = 0;
  StoreEra era_ = 0;
};

}  // namespace leverwick

#endif  // DAEMON_TOPIC_FOLLOWER_H_
