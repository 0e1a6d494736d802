// Whether this box's table is new enough to take work.
//
// A box that was paused must not act on the table it had before, so new work
// needs a recent attempt to read the log. A box that is cut off has recent
// attempts, all failed: it goes on, and after a while only with versions that
// were stable, since then exposure to a bad version can only shrink. A box
// that a peer tells of a later offset must catch up first.

#ifndef LEVERWICK_TABLE_FRESHNESS_H_
#define LEVERWICK_TABLE_FRESHNESS_H_

#include <cstdint>
#include <mutex>

#include "leverwick/time.h"

namespace leverwick {

struct TableFreshnessOptions {
  nanoseconds max_attempt_age{0};
  nanoseconds cut_off_after{0};
};

// Thread-safe.
class TableFreshness {
 public:
  enum State {
    kFresh,    // take all work
    kCutOff,   // stable versions only
    kStalled,  // no new work: this box did not run for a while
    kBehind,   // no new work: a later table is in force elsewhere
  };

  explicit TableFreshness(TableFreshnessOptions options) : options_(options) {}

  // An attempt to read the log ended, with the end of the log or an error.
  void RecordRead(bool succeeded, uint64_t next_offset, TimePoint now) {
    std::lock_guard<std::mutex> lock(mutex_);
    last_attempt_ = now;
    if (!succeeded) return;
    last_success_ = now;
    applied_offset_ = std::max(applied_offset_, next_offset);
  }

  // A peer has applied the log up to `next_offset`.
  void RecordPeerOffset(uint64_t next_offset, TimePoint now) {
    std::lock_guard<std::mutex> lock(mutex_);
    if (next_offset <= applied_offset_ || next_offset <= peer_offset_) return;
    // The bound runs from the first offset that is still missing.
    if (peer_offset_ <= applied_offset_) behind_since_ = now;
    peer_offset_ = next_offset;
  }

  State StateAt(TimePoint now) const {
    std::lock_guard<std::mutex> lock(mutex_);
    if (now - last_attempt_ > options_.max_attempt_age) return kStalled;
    if (peer_offset_ > applied_offset_ &&
        now - behind_since_ > options_.max_attempt_age) {
      return kBehind;
    }
    return now - last_success_ > options_.cut_off_after ? kCutOff : kFresh;
  }

 private:
  const TableFreshnessOptions options_;
  mutable std::mutex mutex_;
  TimePoint last_attempt_{};
  TimePoint last_success_{};
  TimePoint behind_since_{};
  uint64_t applied_offset_ = 0;
  uint64_t peer_offset_ = 0;
};

}  // namespace leverwick

#endif  // LEVERWICK_TABLE_FRESHNESS_H_
