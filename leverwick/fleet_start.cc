// A partition of the store takes one append after the other, so n boxes need n
// times the time of one append, however they begin. Back-off spreads what the
// store's queue can't hold. An append that has failed is repeated only after a
// read of the list has shown that the store is there, so that while it is away
// one call stands for both.

#include "leverwick/fleet_start.h"

namespace leverwick {
namespace {

// Over which the boxes of a fleet that starts append their entries. As long as
// a call may wait in the store's queue, which then takes twice as many.
constexpr milliseconds kEntrySpread{2000};
// A store that has just refused a call recovers within seconds. The longest
// pause is what a box waits at most after the store is back.
constexpr milliseconds kFirstPause{500};
constexpr std::chrono::seconds kLongestPause{4};
// The list is complete when it has not grown for so long: the store writes many
// entries in that time, and refused ones come again in it.
constexpr milliseconds kQuietTime{600};
// Beyond it a box goes on with the list that it has.
constexpr std::chrono::seconds kLongestWait{10};
// Between two reads of the list while it grows.
constexpr milliseconds kGrowingInterval{600};

}  // namespace

FleetStart::FleetStart(bool is_first_start, TimePoint started, double draw)
    : is_first_start_(is_first_start),
      started_(started),
      append_pause_(kFirstPause, kLongestPause),
      read_pause_(kFirstPause, kLongestPause),
      append_at_(is_first_start
                     ? started + FromSeconds(ToSeconds(kEntrySpread) * draw)
                     : TimePoint::max()),
      may_read_(!is_first_start) {}

bool FleetStart::TakeAppend(TimePoint now) {
  if (appending_ || now < append_at_) return false;
  appending_ = true;
  append_at_ = TimePoint::max();
  return true;
}

void FleetStart::RecordAppend(bool succeeded, double draw, TimePoint now) {
  appending_ = false;
  may_read_ = true;
  if (succeeded) {
    append_pause_.Reset();
    retry_wait_ = nanoseconds(0);
  } else {
    retry_wait_ = append_pause_.Next(draw);
  }
}

void FleetStart::RecordList(size_t boxes, bool lists_self, TimePoint now) {
  read_pause_.Reset();
  if (!has_list_ || boxes > boxes_) grown_at_ = now;
  has_list_ = true;
  boxes_ = boxes;
  is_listed_ = lists_self;
  if (lists_self) {
    append_at_ = TimePoint::max();
  } else if (append_at_ == TimePoint::max() && !appending_) {
    append_at_ = now + retry_wait_;
  }
}

bool FleetStart::IsSettled(TimePoint now) {
  if (is_settled_) return true;
  if (!has_list_) return false;
  bool is_quiet = is_listed_ && now - grown_at_ >= kQuietTime;
  bool has_waited = now - started_ >= kLongestWait;
  is_settled_ = !is_first_start_ || is_quiet || has_waited;
  return is_settled_;
}

nanoseconds FleetStart::ReadInterval(TimePoint now) {
  if (IsSettled(now)) return kInterval;
  return kGrowingInterval;
}

}  // namespace leverwick
