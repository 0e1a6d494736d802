// Measures how long events of streams take, against what is usual.
//
// StreamPace follows one stream and yields the interval of its events for each
// window of about a second. The interval is a low quantile of those in the
// window: an endpoint that reads the prompt of another request delays all its
// streams for a moment, which says little about its speed.
//
// UsualPaces keeps the usual interval of each kind of stream (route and model)
// at an average endpoint, by which an observed one is divided.
//
//   StreamPace pace;
//   std::optional<Seconds> interval = pace.RecordEvents(2, now);
//   if (interval) double ratio = usual.Record(kind, *interval, slowness);

#ifndef LEVERWICK_STREAM_PACE_H_
#define LEVERWICK_STREAM_PACE_H_

#include <cstddef>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "leverwick/time.h"

namespace leverwick {

class StreamPace {
 public:
  // Records events, and returns the interval of a window that ends with them.
  std::optional<Seconds> RecordEvents(size_t events, TimePoint now);
  // Returns the interval of the events since the last window; none if they are
  // too few.
  std::optional<Seconds> Finish();

 private:
  // Adds the intervals of the group that is complete.
  void CloseGroup();
  // Returns the interval of the window, and begins a new one.
  std::optional<Seconds> TakeInterval();

  TimePoint window_start_{};
  TimePoint previous_arrival_{};  // of the group before
  TimePoint arrival_{};           // of the current group's first event
  size_t group_events_ = 0;
  std::vector<float> intervals_;  // in seconds, of the window
};

// Not thread-safe.
class UsualPaces {
 public:
  // Records an interval that was observed at an endpoint of the given slowness.
  // Returns it divided by the usual one at an average endpoint; nothing while
  // that is not known well enough.
  std::optional<double> Record(const std::string& kind, Seconds interval,
                               double slowness);

 private:
  struct Usual {
    bool is_known = false;
    double mean_log = 0;  // natural logarithm of the interval in seconds
    std::vector<double> first_logs;  // until it is known
  };
  std::unordered_map<std::string, Usual> usual_;
};

}  // namespace leverwick

#endif  // LEVERWICK_STREAM_PACE_H_
