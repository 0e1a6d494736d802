// Bounds retries to a share of the traffic, so that a failing pool is not
// brought down by its own retries.
//
// Each box keeps its own account, so the sum over boxes holds without talk:
// in any span retries are at most `most` a box and `share` of its requests.
// Sends that only improve an answer leave the last retry to requests that
// would otherwise stay without one.
//
//   RetryBudget budget(0.1);
//   budget.Count();              // at each new request
//   if (budget.Take()) retry();  // at each retry

#ifndef LEVERWICK_RETRY_BUDGET_H_
#define LEVERWICK_RETRY_BUDGET_H_

#include <algorithm>
#include <mutex>

namespace leverwick {

// Thread-safe.
class RetryBudget {
 public:
  // What a send beyond a request's first is for.
  enum class Purpose {
    kFirstResponse,   // the request has no answer yet
    kBetterResponse,  // it has one, which a larger model may better
  };

  // `share` retries are allowed per request; a quiet box begins with `start`
  // and saves up to `most`.
  explicit RetryBudget(double retry_ratio, double initial = kInitialRetries,
                       double max = kMaxRetries)
      : retry_ratio_(retry_ratio), max_(max), available_(initial) {}

  void RecordRequest() {
    std::lock_guard<std::mutex> lock(mutex_);
    available_ = std::min(max_, available_ + retry_ratio_);
  }

  // Retries that are allowed now.
  double available() const {
    std::lock_guard<std::mutex> lock(mutex_);
    return available_;
  }

  bool TryConsume(Purpose purpose = Purpose::kFirstResponse) {
    std::lock_guard<std::mutex> lock(mutex_);
    double reserved =
        purpose == Purpose::kBetterResponse ? kReservedForFirstResponse : 0;
    if (available_ < 1 + reserved) return false;
    available_ -= 1;
    return true;
  }

 private:
  // Lets a quiet box retry its first failures, and a burst be bounded.
  static constexpr double kInitialRetries = 10;
  static constexpr double kMaxRetries = 100;
  // Retries that sends to improve an answer leave.
  static constexpr double kReservedForFirstResponse = 1;

  const double retry_ratio_;
  const double max_;
  mutable std::mutex mutex_;
  double available_;
};

}  // namespace leverwick

#endif  // LEVERWICK_RETRY_BUDGET_H_
