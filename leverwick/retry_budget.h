// RetryBudget limits retries to a fraction of the traffic, so that retries
// don't overload a pool that is already failing.
//
// Each box keeps its own budget, so the limit holds for the sum over all boxes
// without coordination: in any period the retries of a box are at most `max`
// plus `retry_ratio` times its requests. Attempts that only improve an existing
// response leave the last retry to requests that have no response yet.
//
//   RetryBudget budget(0.1);
//   budget.RecordRequest();            // for each new request
//   if (budget.TryConsume()) retry();  // before each retry

#ifndef LEVERWICK_RETRY_BUDGET_H_
#define LEVERWICK_RETRY_BUDGET_H_

#include <algorithm>
#include <mutex>

namespace leverwick {

// Thread-safe.
class RetryBudget {
 public:
  // Purpose of an attempt after the first one of a request.
  enum class Purpose {
    kFirstResponse,   // the request has no response yet
    kBetterResponse,  // a larger model may improve on the response
  };

  // Allows `retry_ratio` retries per request. The budget starts with `initial`
  // retries and holds at most `max`.
  explicit RetryBudget(double retry_ratio, double initial = kInitialRetries,
                       double max = kMaxRetries)
      : retry_ratio_(retry_ratio), max_(max), available_(initial) {}

  // Adds the retries that a new request allows.
  void RecordRequest() {
    std::lock_guard<std::mutex> lock(mutex_);
    available_ = std::min(max_, available_ + retry_ratio_);
  }

  // Returns the number of retries that are available now.
  double available() const {
    std::lock_guard<std::mutex> lock(mutex_);
    return available_;
  }

  // Takes one retry from the budget. Returns false if none is available.
  bool TryConsume(Purpose purpose = Purpose::kFirstResponse) {
    std::lock_guard<std::mutex> lock(mutex_);
    double reserved =
        purpose == Purpose::kBetterResponse ? kReservedForFirstResponse : 0;
    if (available_ < 1 + reserved) return false;
    available_ -= 1;
    return true;
  }

 private:
  // The initial retries let a box with little traffic retry its first failures;
  // the maximum bounds a burst.
  static constexpr double kInitialRetries = 10;
  static constexpr double kMaxRetries = 100;
  // Retries that attempts to improve a response must leave in the budget.
  static constexpr double kReservedForFirstResponse = 1;

  const double retry_ratio_;
  const double max_;
  mutable std::mutex mutex_;
  double available_;
};

}  // namespace leverwick

#endif  // LEVERWICK_RETRY_BUDGET_H_
