// Each box selects among the readers by a hash of its own name, which spreads
// the boxes over the readers without coordination.

#include "leverwick/read_sources.h"

#include <algorithm>
#include <set>

#include "leverwick/digest.h"

namespace leverwick {
namespace {

// Back-off after failures, doubled each time. A box that restarts is back
// within seconds; one that stays away costs one attempt per maximum back-off.
constexpr nanoseconds kMinBackoff = std::chrono::seconds(1);
constexpr nanoseconds kMaxBackoff = std::chrono::seconds(16);

}  // namespace

bool RanksBefore(const LogBox& a, const LogBox& b) {
  if (a.capacity != b.capacity) return a.capacity > b.capacity;
  return a.name < b.name;
}

void ReadSources::SetBoxes(std::vector<LogBox> boxes) {
  preferred_boxes_.clear();
  std::set<std::string> names;
  for (LogBox& box : boxes) {
    names.insert(box.name);
    if (box.name == self_.name || !RanksBefore(box, self_)) continue;
    preferred_boxes_.push_back(std::move(box));
  }
  std::sort(preferred_boxes_.begin(), preferred_boxes_.end(), RanksBefore);
  for (auto it = failures_.begin(); it != failures_.end();) {
    it = names.count(it->first) > 0 ? std::next(it) : failures_.erase(it);
  }
}

std::optional<LogBox> ReadSources::ChooseSource(TimePoint now) const {
  std::vector<const LogBox*> readers;
  for (const LogBox& box : preferred_boxes_) {
    if (static_cast<int>(readers.size()) >= max_readers_) break;
    if (!IsBackingOff(box.name, now)) readers.push_back(&box);
  }
  bool is_reader = static_cast<int>(readers.size()) < max_readers_;
  if (is_reader) return std::nullopt;
  return *readers[StableHash(self_.name) % readers.size()];
}

bool ReadSources::IsReaderAt(TimePoint now) const {
  int reachable = 0;
  for (const LogBox& box : preferred_boxes_) {
    auto it = failures_.find(box.name);
    bool is_unreachable = it != failures_.end() && now < it->second.retry_at &&
                          it->second.unreachable_since;
    if (!is_unreachable) ++reachable;
    if (reachable >= max_readers_) return false;
  }
  return true;
}

void ReadSources::RecordUnreachable(const std::string& name, TimePoint now) {
  Failure& failure = failures_[name];
  if (!failure.unreachable_since) failure.unreachable_since = now;
  BackOff(&failure, now);
}

void ReadSources::RecordStale(const std::string& name, TimePoint now) {
  Failure& failure = failures_[name];
  failure.unreachable_since.reset();
  BackOff(&failure, now);
}

void ReadSources::ClearStale() {
  for (auto it = failures_.begin(); it != failures_.end();) {
    it = it->second.unreachable_since ? std::next(it) : failures_.erase(it);
  }
}

void ReadSources::BackOff(Failure* failure, TimePoint now) {
  failure->backoff = std::clamp(failure->backoff * 2, kMinBackoff, kMaxBackoff);
  failure->retry_at = now + failure->backoff;
}

bool ReadSources::IsBackingOff(const std::string& name, TimePoint now) const {
  auto it = failures_.find(name);
  return it != failures_.end() && now < it->second.retry_at;
}

std::vector<std::string> ReadSources::BoxesUnreachableFor(nanoseconds span,
                                                          TimePoint now) const {
  std::vector<std::string> names;
  for (const auto& [name, failure] : failures_) {
    bool is_unreachable =
        failure.unreachable_since && now - *failure.unreachable_since >= span;
    if (is_unreachable) names.push_back(name);
  }
  return names;
}

}  // namespace leverwick
