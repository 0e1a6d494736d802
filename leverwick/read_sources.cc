// Among the readers a box prefers one by a hash of its own name, so that the
// readers share the others without talking.

#include "leverwick/read_sources.h"

#include <algorithm>
#include <set>

#include "leverwick/digest.h"

namespace leverwick {
namespace {

// A box that restarts is back within seconds; one that stays away costs an
// attempt in every longest pause.
constexpr nanoseconds kShortestPause = std::chrono::seconds(1);
constexpr nanoseconds kLongestPause = std::chrono::seconds(16);

bool ComesBefore(const LogBox& a, const LogBox& b) {
  if (a.capacity != b.capacity) return a.capacity > b.capacity;
  return a.name < b.name;
}

}  // namespace

void ReadSources::SetBoxes(std::vector<LogBox> boxes) {
  before_.clear();
  std::set<std::string> names;
  for (LogBox& box : boxes) {
    names.insert(box.name);
    if (box.name == self_.name || !ComesBefore(box, self_)) continue;
    before_.push_back(std::move(box));
  }
  std::sort(before_.begin(), before_.end(), ComesBefore);
  for (auto it = troubles_.begin(); it != troubles_.end();) {
    it = names.count(it->first) > 0 ? std::next(it) : troubles_.erase(it);
  }
}

std::optional<LogBox> ReadSources::Choose(TimePoint now) const {
  std::vector<const LogBox*> readers;
  for (const LogBox& box : before_) {
    if (static_cast<int>(readers.size()) >= readers_) break;
    if (!IsAvoided(box.name, now)) readers.push_back(&box);
  }
  bool is_reader = static_cast<int>(readers.size()) < readers_;
  if (is_reader) return std::nullopt;
  return *readers[StableHash(self_.name) % readers.size()];
}

void ReadSources::Unreachable(const std::string& name, TimePoint now) {
  Trouble& trouble = troubles_[name];
  if (!trouble.lost_since) trouble.lost_since = now;
  Avoid(&trouble, now);
}

void ReadSources::Stale(const std::string& name, TimePoint now) {
  Trouble& trouble = troubles_[name];
  trouble.lost_since.reset();
  Avoid(&trouble, now);
}

void ReadSources::ForgiveStale() {
  for (auto it = troubles_.begin(); it != troubles_.end();) {
    it = it->second.lost_since ? std::next(it) : troubles_.erase(it);
  }
}

void ReadSources::Avoid(Trouble* trouble, TimePoint now) {
  trouble->pause =
      std::clamp(trouble->pause * 2, kShortestPause, kLongestPause);
  trouble->avoid_until = now + trouble->pause;
}

bool ReadSources::IsAvoided(const std::string& name, TimePoint now) const {
  auto it = troubles_.find(name);
  return it != troubles_.end() && now < it->second.avoid_until;
}

std::vector<std::string> ReadSources::LostFor(nanoseconds span,
                                              TimePoint now) const {
  std::vector<std::string> names;
  for (const auto& [name, trouble] : troubles_) {
    bool lost = trouble.lost_since && now - *trouble.lost_since >= span;
    if (lost) names.push_back(name);
  }
  return names;
}

}  // namespace leverwick
