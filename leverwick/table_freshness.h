// TableFreshness decides whether this box's copy of the table is recent enough
// to accept new work.
//
// A box that was suspended must not act on an old table, so accepting new work
// requires a recent attempt to read the log. On a box that is cut off from the
// log, recent attempts exist but all of them failed. It continues to accept
// work, and after some time only for versions that were stable, so that the
// exposure to a bad version can only shrink. A box that receives a later log
// offset from a peer must catch up before it accepts new work.
//
//   TableFreshness freshness({max_attempt_age, cut_off_after});
//   freshness.RecordRead(succeeded, next_offset, now);
//   freshness.RecordPeerOffset(reply.next_offset(), now);
//   if (freshness.StateAt(now) == TableFreshness::kStalled) ...  // refuse

#ifndef LEVERWICK_TABLE_FRESHNESS_H_
#define LEVERWICK_TABLE_FRESHNESS_H_

#include <cstdint>
#include <mutex>

#include "leverwick/time.h"

namespace leverwick {

struct TableFreshnessOptions {
  // Maximum age of the last attempt to read the log, and maximum time that this
  // box may lag behind a peer.
  nanoseconds max_attempt_age{0};
  // Time without a successful read after which the box counts as cut off.
  nanoseconds cut_off_after{0};
};

// Thread-safe.
class TableFreshness {
 public:
  enum State {
    kFresh,    // accepts all work
    kCutOff,   // accepts work for stable versions only
    kStalled,  // refuses new work: the box has not run for some time
    kBehind,   // refuses new work: a peer has applied a later table
  };

  explicit TableFreshness(TableFreshnessOptions options) : options_(options) {}

  // Records that an attempt to read the log has completed. `next_offset` is the
  // offset up to which the log is applied, and is ignored if the read failed.
  void RecordRead(bool succeeded, uint64_t next_offset, TimePoint now) {
    std::lock_guard<std::mutex> lock(mutex_);
    last_attempt_ = now;
    if (!succeeded) return;
    last_success_ = now;
    applied_offset_ = std::max(applied_offset_, next_offset);
  }

  // Records that a peer has applied the log up to `next_offset`.
  void RecordPeerOffset(uint64_t next_offset, TimePoint now) {
    std::lock_guard<std::mutex> lock(mutex_);
    if (next_offset <= applied_offset_ || next_offset <= peer_offset_) return;
    // The time limit starts at the first offset that is still missing.
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
