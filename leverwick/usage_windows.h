// Counts each organisation's requests by windows of the time of day, first on
// every box and then, on the box that reports them, for the fleet.
//
// A box counts into UsageCounter and sends its sums to the reporting box,
// which adds them up in UsageLedger. A message carries the sums of one window
// so far, so one that is lost or repeated does no harm. A box keeps its sums
// until they can't be reported in time any more: another box may become the
// reporting one, and is sent them again.
//
//   UsageCounter counter(length);
//   counter.Record("acme", wall_now);
//   for (const BoxUsage& usage : counter.UsageFor(recipient, wall_now)) ...
//
//   UsageLedger ledger(options);
//   ledger.Record("box-1", usage, wall_now);
//   if (auto window = ledger.NextDue(boxes, wall_now))
//   ledger.CountsOf(*window);

#ifndef LEVERWICK_USAGE_WINDOWS_H_
#define LEVERWICK_USAGE_WINDOWS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "leverwick/time.h"

namespace leverwick {

// Window k begins k times the length after the start of 1970.
using UsageWindow = int64_t;
using UsageCounts = std::map<std::string, uint64_t>;  // by organisation

UsageWindow UsageWindowAt(WallTime time, milliseconds length);
WallTime UsageWindowEnd(UsageWindow window, milliseconds length);

// What one box has counted in one window.
struct BoxUsage {
  UsageWindow window = 0;
  UsageCounts counts;
  bool is_final = false;  // the window is over
};

struct UsageOptions {
  milliseconds length{0};  // of a window
  // After the end of a window, within which it has to be reported.
  milliseconds report_within{0};
};

// One per box.
class UsageCounter {
 public:
  explicit UsageCounter(const UsageOptions& options) : options_(options) {}

  void Record(const std::string& organisation, WallTime now);

  // Returns what `recipient` has not confirmed yet, the oldest window first.
  // Of the current window only if `with_current`.
  std::vector<BoxUsage> UsageFor(const std::string& recipient,
                                 bool with_current, WallTime now);
  // `recipient` has received `usage`.
  void RecordReceipt(const std::string& recipient, const BoxUsage& usage);

 private:
  struct Window {
    UsageCounts counts;
    std::string received_by;  // in its final form; "": nobody
  };

  void Expire(WallTime now);

  const UsageOptions options_;
  std::map<UsageWindow, Window> windows_;
};

// On the reporting box.
class UsageLedger {
 public:
  explicit UsageLedger(const UsageOptions& options) : options_(options) {}

  void Record(const std::string& box, const BoxUsage& usage, WallTime now);

  // Returns the oldest window that is over, can still be reported in time, is
  // not reported yet, and has been completed by all of `boxes` or has been
  // waited for long enough.
  std::optional<UsageWindow> NextDue(const std::vector<std::string>& boxes,
                                     WallTime now) const;
  UsageCounts CountsOf(UsageWindow window) const;
  void RecordReported(UsageWindow window) { reported_.insert(window); }
  bool IsReported(UsageWindow window) const {
    return reported_.count(window) > 0;
  }

  // Returns how many windows could no longer be reported in time since the
  // last call. Called now and then, also to release memory.
  size_t TakeMissed(WallTime now);

  // Forgets everything: this box doesn't report any more.
  void Clear();

 private:
  using ByBox = std::map<std::string, BoxUsage>;

  bool IsLate(UsageWindow window, WallTime now) const;
  void DiscardLate(WallTime now);
  bool IsComplete(UsageWindow window,
                  const std::vector<std::string>& boxes) const;

  const UsageOptions options_;
  std::map<UsageWindow, ByBox> windows_;
  std::set<UsageWindow> reported_;
  std::optional<UsageWindow> counted_from_;  // windows from here may be missed
};

}  // namespace leverwick

#endif  // LEVERWICK_USAGE_WINDOWS_H_
