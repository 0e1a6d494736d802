// Samples requests for logging, so that the number of log lines is bounded.
//
// A sampled request logs all its lines; any other logs none unless it fails.
// Whether a request is sampled depends on a hash of its id, so every box makes
// the same choice. The sample rate is halved when more lines than the bound are
// written within one second, and doubled when fewer than half the bound are.
//
//   RequestSampler sampler(200);
//   if (sampler.IsSampled(id)) { sampler.RecordLine(now); log... }

#ifndef LEVERWICK_REQUEST_SAMPLER_H_
#define LEVERWICK_REQUEST_SAMPLER_H_

#include <algorithm>
#include <string>

#include "leverwick/digest.h"
#include "leverwick/time.h"

namespace leverwick {

// Not thread-safe.
class RequestSampler {
 public:
  explicit RequestSampler(double max_lines_per_second)
      : max_lines_per_second_(max_lines_per_second) {}

  // Returns whether the request's lines are to be logged.
  bool IsSampled(const std::string& request_id) const {
    return sample_rate_ >= 1 || UnitHash(request_id) < sample_rate_;
  }

  // Records one line that was logged and adjusts the sample rate.
  void RecordLine(TimePoint now) {
    if (now - window_start_ >= kWindow) {
      if (window_lines_ < max_lines_per_second_ / 2)
        sample_rate_ = std::min(1.0, sample_rate_ * 2);
      window_start_ = now;
      window_lines_ = 0;
    }
    window_lines_ += 1;
    if (window_lines_ <= max_lines_per_second_) return;
    sample_rate_ = std::max(kMinSampleRate, sample_rate_ / 2);
    window_lines_ = 0;
    window_start_ = now;
  }

  // Returns the share of requests that are sampled, in (0, 1].
  double sample_rate() const { return sample_rate_; }

 private:
  static constexpr std::chrono::seconds kWindow{1};
  static constexpr double kMinSampleRate = 1.0 / 1024;

  const double max_lines_per_second_;
  double sample_rate_ = 1;
  double window_lines_ = 0;
  TimePoint window_start_{};
};

}  // namespace leverwick

#endif  // LEVERWICK_REQUEST_SAMPLER_H_
