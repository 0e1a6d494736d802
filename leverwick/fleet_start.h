// FleetStart decides how a box that starts makes itself known and learns of the
// other boxes, so that a fleet of any size can start at one moment before one
// store.
//
// Each box appends an entry to the list of boxes, at a random moment of a short
// span, and then reads the list, so that it has one call at a time under way.
// While either call fails it is repeated with RetryPause; nothing else is read
// from the store before the list has been. On the first start of a whole fleet
// the list grows while boxes enter, as fast as the store takes their entries. A
// box reads everything else only when the list has stopped growing, since it
// would otherwise take itself for one of the few that read for the others.
//
//   FleetStart start(is_first_start, started_at, draw);
//   if (start.TakeAppend(now)) ...   // append the own entry
//   start.RecordAppend(succeeded, draw, now);
//   if (start.MayReadList()) ...     // read the list
//   start.RecordList(boxes, lists_self, now);
//   if (start.IsSettled(now)) ...    // read everything else
//   nanoseconds pause = start.PauseAfterFailedRead(draw);

#ifndef LEVERWICK_FLEET_START_H_
#define LEVERWICK_FLEET_START_H_

#include <cstddef>

#include "leverwick/retry_pause.h"
#include "leverwick/time.h"

namespace leverwick {

class FleetStart {
 public:
  // Between two reads of a list that is complete.
  static constexpr std::chrono::seconds kInterval{10};

  // `is_first_start`: all boxes of the fleet start now for the first time.
  // `draw` is uniform from 0 to 1 and spreads their entries.
  FleetStart(bool is_first_start, TimePoint started, double draw);

  // Returns whether the list may be read: on a first start, when the own entry
  // has been appended or that has failed. Once true, it stays so.
  bool MayReadList() const { return may_read_; }
  // Returns whether the box's entry is to be appended now. The caller then
  // reports the result.
  bool TakeAppend(TimePoint now);
  void RecordAppend(bool succeeded, double draw, TimePoint now);

  // Records that the list was read. `boxes`: entries on it.
  void RecordList(size_t boxes, bool lists_self, TimePoint now);
  // Returns how long to wait after the list could not be read.
  nanoseconds PauseAfterFailedRead(double draw) {
    return read_pause_.Next(draw);
  }

  // Returns whether the list is complete as far as can be told. Once true, it
  // stays so.
  bool IsSettled(TimePoint now);
  // Returns how soon to read the list again.
  nanoseconds ReadInterval(TimePoint now);

 private:
  bool is_first_start_;
  TimePoint started_;
  RetryPause append_pause_;
  RetryPause read_pause_;
  TimePoint append_at_;        // max(): none is due
  nanoseconds retry_wait_{0};  // before an append that follows a failed one
  bool appending_ = false;
  bool may_read_;
  bool is_listed_ = false;
  bool has_list_ = false;
  size_t boxes_ = 0;
  TimePoint grown_at_{};  // when the list was last seen to be longer
  bool is_settled_ = false;
};

}  // namespace leverwick

#endif  // LEVERWICK_FLEET_START_H_
