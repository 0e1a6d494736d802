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
    kAnswer,   // the request has no answer yet
    kImprove,  // it has one, which a larger model may better
  };

  // `share` retries are allowed per request; a quiet box begins with `start`
  // and saves up to `most`.
  explicit RetryBudget(double share, double start = kStart, double most = kMost)
      : share_(share), most_(most), level_(start) {}

  void Count() {
    std::lock_guard<std::mutex> lock(mutex_);
    level_ = std::min(most_, level_ + share_);
  }

  // Retries that are allowed now.
  double level() const {
    std::lock_guard<std::mutex> lock(mutex_);
    return level_;
  }

  bool Take(Purpose purpose = Purpose::kAnswer) {
    std::lock_guard<std::mutex> lock(mutex_);
    double left = purpose == Purpose::kImprove ? kLeftToAnswer : 0;
    if (level_ < 1 + left) return false;
    level_ -= 1;
    return true;
  }

 private:
  // Lets a quiet box retry its first failures, and a burst be bounded.
  static constexpr double kStart = 10;
  static constexpr double kMost = 100;
  // Retries that sends to improve an answer leave.
  static constexpr double kLeftToAnswer = 1;

  const double share_;
  const double most_;
  mutable std::mutex mutex_;
  double level_;
};

}  // namespace leverwick

#endif  // LEVERWICK_RETRY_BUDGET_H_
