#include "leverwick/answer_reads.h"

namespace leverwick {

bool AnswerReads::Record(uint64_t run, size_t bytes) {
  Answer& answer = answers_[run];
  bytes_ = bytes_ - answer.bytes + bytes;
  answer.bytes = bytes;
  bool is_oldest = answers_.begin()->first == run;
  bool may_pause = bytes > kSmallAnswer && !is_oldest;
  answer.is_paused = may_pause && bytes_ > max_bytes_;
  return !answer.is_paused;
}

std::vector<uint64_t> AnswerReads::Remove(uint64_t run) {
  std::vector<uint64_t> resumed;
  auto removed = answers_.find(run);
  if (removed == answers_.end()) return resumed;
  bytes_ -= removed->second.bytes;
  answers_.erase(removed);
  for (auto& [other, answer] : answers_) {
    bool is_oldest = other == answers_.begin()->first;
    if (bytes_ > max_bytes_ && !is_oldest) break;
    if (answer.is_paused) resumed.push_back(other);
    answer.is_paused = false;
  }
  return resumed;
}

}  // namespace leverwick
