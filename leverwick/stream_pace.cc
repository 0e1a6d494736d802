// Events that arrive together are taken to have been made at equal intervals
// since the ones before, so that a box that reads late measures the same. They
// may be passed on one by one, so all that come within a moment are one group.

#include "leverwick/stream_pace.h"

#include <algorithm>
#include <cmath>

namespace leverwick {
namespace {

constexpr Seconds kWindow{1};
// Fewer intervals say too little.
constexpr size_t kMinIntervals = 3;
// Events that come within this time of a group's first one belong to it.
constexpr milliseconds kTogether{1};
// Events that arrive together count up to here.
constexpr size_t kMaxTogether = 64;
// Which of the intervals counts, in order of length.
constexpr double kQuantile = 0.25;
// Observations of a kind whose median is the first usual interval, and the
// weight of later ones. Their logarithms count up to a distance, so that one
// stalled stream does not shift the usual interval.
constexpr std::ptrdiff_t kMinObservations = 5;
constexpr double kUsualWeight = 0.05;
constexpr double kMaxStep = 1.4;

}  // namespace

void StreamPace::CloseGroup() {
  bool has_previous = previous_arrival_ != TimePoint{};
  if (has_previous) {
    double interval = ToSeconds(arrival_ - previous_arrival_) /
                      static_cast<double>(group_events_);
    intervals_.insert(intervals_.end(), std::min(group_events_, kMaxTogether),
                      static_cast<float>(interval));
  }
  previous_arrival_ = arrival_;
  group_events_ = 0;
}

std::optional<Seconds> StreamPace::RecordEvents(size_t events, TimePoint now) {
  if (events == 0) return std::nullopt;
  bool is_together = group_events_ > 0 && now - arrival_ < kTogether;
  if (is_together) {
    group_events_ += events;
    return std::nullopt;
  }
  if (group_events_ > 0) {
    CloseGroup();
  } else {
    window_start_ = now;
  }
  arrival_ = now;
  group_events_ = events;
  if (now - window_start_ < kWindow) return std::nullopt;
  window_start_ = now;
  return TakeInterval();
}

std::optional<Seconds> StreamPace::Finish() {
  if (group_events_ > 0) CloseGroup();
  return TakeInterval();
}

std::optional<Seconds> StreamPace::TakeInterval() {
  if (intervals_.size() < kMinIntervals) return std::nullopt;
  auto index = static_cast<std::ptrdiff_t>(
      kQuantile * static_cast<double>(intervals_.size()));
  std::nth_element(intervals_.begin(), intervals_.begin() + index,
                   intervals_.end());
  double interval = intervals_[static_cast<size_t>(index)];
  intervals_.clear();
  if (interval <= 0) return std::nullopt;
  return Seconds(interval);
}

std::optional<double> UsualPaces::Record(const std::string& kind,
                                         Seconds interval, double slowness) {
  if (interval.count() <= 0) return std::nullopt;
  Usual& usual = usual_[kind];
  double observed = std::log(interval.count());
  double at_average = observed - std::log(slowness);
  if (!usual.is_known) {
    usual.first_logs.push_back(at_average);
    if (usual.first_logs.size() < static_cast<size_t>(kMinObservations))
      return std::nullopt;
    auto middle = usual.first_logs.begin() + kMinObservations / 2;
    std::nth_element(usual.first_logs.begin(), middle, usual.first_logs.end());
    usual.mean_log = *middle;
    usual.is_known = true;
    usual.first_logs.clear();
    return std::nullopt;
  }
  double step = std::clamp(at_average - usual.mean_log, -kMaxStep, kMaxStep);
  usual.mean_log += kUsualWeight * step;
  return std::exp(observed - usual.mean_log);
}

}  // namespace leverwick
