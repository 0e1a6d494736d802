#include "leverwick/held_answers.h"

#include <algorithm>

namespace leverwick {

void HeldAnswers::Record(uint64_t run, size_t bytes) {
  size_t& held = bytes_by_run_[run];
  bytes_ = bytes_ - held + bytes;
  held = bytes;
}

void HeldAnswers::Remove(uint64_t run) {
  auto found = bytes_by_run_.find(run);
  if (found == bytes_by_run_.end()) return;
  bytes_ -= found->second;
  bytes_by_run_.erase(found);
}

std::optional<uint64_t> HeldAnswers::AnswerToDrop() const {
  if (bytes_ <= kMaxBytes) return std::nullopt;
  auto fewer = [](const auto& a, const auto& b) { return a.second < b.second; };
  return std::max_element(bytes_by_run_.begin(), bytes_by_run_.end(), fewer)
      ->first;
}

}  // namespace leverwick
