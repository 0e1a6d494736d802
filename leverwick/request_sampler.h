// Bounds how many log lines requests write, and keeps whole stories.
//
// A request either writes all its lines or, unless it fails, none: which ones
// is decided by a hash of their id, the same on every box. The share kept is
// halved when a second brought more lines than the bound and grows again when
// there is room.
//
//   RequestSampler sampler(200);
//   bool kept = sampler.Keeps(id);
//   if (kept) { sampler.CountLine(now); log... }

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
  explicit RequestSampler(double lines_per_second) : most_(lines_per_second) {}

  bool Keeps(const std::string& request_id) const {
    return share_ >= 1 || UnitHash(request_id) < share_;
  }

  void CountLine(TimePoint now) {
    if (now - began_ >= kSpan) {
      if (lines_ < most_ / 2) share_ = std::min(1.0, share_ * 2);
      began_ = now;
      lines_ = 0;
    }
    lines_ += 1;
    if (lines_ <= most_) return;
    share_ = std::max(kLeastShare, share_ / 2);
    lines_ = 0;
    began_ = now;
  }

  double share() const { return share_; }

 private:
  static constexpr std::chrono::seconds kSpan{1};
  static constexpr double kLeastShare = 1.0 / 1024;

  const double most_;
  double share_ = 1;
  double lines_ = 0;
  TimePoint began_{};
};

}  // namespace leverwick

#endif  // LEVERWICK_REQUEST_SAMPLER_H_
