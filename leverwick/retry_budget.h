// Bounds retries to a share of the traffic, so that a failing pool is not
// brought down by its own retries.
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
  // `share` retries are allowed per request.
  explicit RetryBudget(double share) : share_(share) {}

  void Count() {
    std::lock_guard<std::mutex> lock(mutex_);
    level_ = std::min(kMost, level_ + share_);
  }

  bool Take() {
    std::lock_guard<std::mutex> lock(mutex_);
    if (level_ < 1) return false;
    level_ -= 1;
    return true;
  }

 private:
  // Lets a quiet box retry its first failures, and a burst be bounded.
  static constexpr double kStart = 10;
  static constexpr double kMost = 100;

  const double share_;
  std::mutex mutex_;
  double level_ = kStart;
};

}  // namespace leverwick

#endif  // LEVERWICK_RETRY_BUDGET_H_
