// The boxes' clocks differ a little. A box closes a window by its own clock,
// and the reporting box waits until all have closed it, or until a part of the
// time to the deadline has passed without them.

#include "leverwick/usage_windows.h"

#include <algorithm>

namespace leverwick {
namespace {

// Of the time within which a window has to be reported, how long boxes that
// have not closed it are waited for. The rest is for the report, and for
// another box that has to take over meanwhile.
constexpr int kWaitsPerDeadline = 4;

}  // namespace

UsageWindow UsageWindowAt(WallTime time, milliseconds length) {
  return SinceEpoch(time) / length;
}

WallTime UsageWindowEnd(UsageWindow window, milliseconds length) {
  return WallTime(length * (window + 1));
}

void UsageCounter::Record(const std::string& organisation, WallTime now) {
  ++windows_[UsageWindowAt(now, options_.length)].counts[organisation];
}

std::vector<BoxUsage> UsageCounter::UsageFor(const std::string& recipient,
                                             bool with_current, WallTime now) {
  Expire(now);
  UsageWindow current = UsageWindowAt(now, options_.length);
  // A window without requests is told too: the reporting box waits for it.
  windows_[current - 1];
  std::vector<BoxUsage> all;
  for (const auto& [window, known] : windows_) {
    bool is_final = window < current;
    if (is_final && known.received_by == recipient) continue;
    if (!is_final && !with_current) continue;
    all.push_back({window, known.counts, is_final});
  }
  return all;
}

void UsageCounter::RecordReceipt(const std::string& recipient,
                                 const BoxUsage& usage) {
  auto known = windows_.find(usage.window);
  if (known == windows_.end() || !usage.is_final) return;
  known->second.received_by = recipient;
}

void UsageCounter::Expire(WallTime now) {
  while (!windows_.empty()) {
    WallTime end = UsageWindowEnd(windows_.begin()->first, options_.length);
    if (now < end + options_.report_within) return;
    windows_.erase(windows_.begin());
  }
}

void UsageLedger::Record(const std::string& box, const BoxUsage& usage,
                         WallTime now) {
  DiscardLate(now);
  if (IsLate(usage.window, now)) return;
  BoxUsage& known = windows_[usage.window][box];
  // Messages may overtake each other.
  if (known.is_final && !usage.is_final) return;
  known = usage;
}

void UsageLedger::DiscardLate(WallTime now) {
  while (!windows_.empty() && IsLate(windows_.begin()->first, now)) {
    windows_.erase(windows_.begin());
  }
  // Kept until a window can't be counted as missed any more.
  UsageWindow kept_from = counted_from_.value_or(0);
  while (!reported_.empty() && IsLate(*reported_.begin(), now) &&
         *reported_.begin() < kept_from) {
    reported_.erase(reported_.begin());
  }
}

bool UsageLedger::IsLate(UsageWindow window, WallTime now) const {
  return now >=
         UsageWindowEnd(window, options_.length) + options_.report_within;
}

bool UsageLedger::IsComplete(UsageWindow window,
                             const std::vector<std::string>& boxes) const {
  auto known = windows_.find(window);
  if (known == windows_.end()) return boxes.empty();
  // Also those that are not listed yet.
  for (const auto& [box, usage] : known->second) {
    if (!usage.is_final) return false;
  }
  return std::all_of(boxes.begin(), boxes.end(), [&](const std::string& box) {
    auto usage = known->second.find(box);
    return usage != known->second.end() && usage->second.is_final;
  });
}

std::optional<UsageWindow> UsageLedger::NextDue(
    const std::vector<std::string>& boxes, WallTime now) const {
  for (const auto& [window, usage] : windows_) {
    WallTime end = UsageWindowEnd(window, options_.length);
    if (now < end) break;
    if (IsLate(window, now) || reported_.count(window) > 0) continue;
    bool has_waited = now >= end + options_.report_within / kWaitsPerDeadline;
    if (has_waited || IsComplete(window, boxes)) return window;
  }
  return std::nullopt;
}

UsageCounts UsageLedger::CountsOf(UsageWindow window) const {
  UsageCounts sums;
  auto known = windows_.find(window);
  if (known == windows_.end()) return sums;
  for (const auto& [box, usage] : known->second) {
    for (const auto& [organisation, count] : usage.counts) {
      sums[organisation] += count;
    }
  }
  return sums;
}

size_t UsageLedger::TakeMissed(WallTime now) {
  UsageWindow current = UsageWindowAt(now, options_.length);
  if (!counted_from_) counted_from_ = current;
  size_t missed = 0;
  while (*counted_from_ < current && IsLate(*counted_from_, now)) {
    if (reported_.count(*counted_from_) == 0) ++missed;
    ++*counted_from_;
  }
  DiscardLate(now);
  return missed;
}

void UsageLedger::Clear() {
  windows_.clear();
  reported_.clear();
  counted_from_.reset();
}

}  // namespace leverwick
