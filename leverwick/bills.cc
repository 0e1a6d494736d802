// The intent book may see the messages of a life in any order, and twice: a
// batch is sent again when its acknowledgement was lost. A bill line therefore
// wins over an intent that comes after it, and `appended` sequences are
// forgotten only from what is held, which a late repeat may bring back. The
// repeat is then settled into a second line with the same id, and the ledger
// drops it.

#include "leverwick/bills.h"

#include <algorithm>
#include <cstdlib>

namespace leverwick {

std::string RequestId(const std::string& life, uint64_t sequence) {
  return life + "." + std::to_string(sequence);
}

bool ParseRequestId(const std::string& id, std::string* life,
                    uint64_t* sequence) {
  size_t dot = id.rfind('.');
  if (dot == std::string::npos || dot == 0 || dot + 1 == id.size())
    return false;
  char* end = nullptr;
  *sequence = std::strtoull(id.c_str() + dot + 1, &end, 10);
  if (*end != '\0') return false;
  *life = id.substr(0, dot);
  return true;
}

bool BillQueue::full() const {
  std::lock_guard<std::mutex> lock(mutex_);
  return lines_.size() >= max_queued_;
}

void BillQueue::Add(BillLine line) {
  std::lock_guard<std::mutex> lock(mutex_);
  lines_.push_back(std::move(line));
}

std::vector<BillLine> BillQueue::Batch(size_t max_lines) const {
  std::lock_guard<std::mutex> lock(mutex_);
  auto count = static_cast<std::ptrdiff_t>(std::min(max_lines, lines_.size()));
  return std::vector<BillLine>(lines_.begin(), lines_.begin() + count);
}

void BillQueue::Appended(size_t count) {
  std::lock_guard<std::mutex> lock(mutex_);
  auto end = static_cast<std::ptrdiff_t>(std::min(count, lines_.size()));
  lines_.erase(lines_.begin(), lines_.begin() + end);
}

size_t BillQueue::size() const {
  std::lock_guard<std::mutex> lock(mutex_);
  return lines_.size();
}

void IntentBook::Take(const IntentBatch& batch) {
  std::lock_guard<std::mutex> lock(mutex_);
  Life& life = lives_[batch.life()];
  for (const Intent& intent : batch.opened()) {
    if (life.billed.count(intent.sequence()) > 0) continue;
    life.open[intent.sequence()].push_back(intent);
  }
  for (const BillLine& line : batch.billed()) {
    life.open.erase(line.sequence());
    life.billed[line.sequence()] = line;
  }
  for (uint64_t sequence : batch.appended()) {
    life.open.erase(sequence);
    life.billed.erase(sequence);
  }
  if (life.open.empty() && life.billed.empty()) lives_.erase(batch.life());
}

IntentBook::Held IntentBook::HeldOf(const std::string& life) const {
  std::lock_guard<std::mutex> lock(mutex_);
  Held held;
  auto found = lives_.find(life);
  if (found == lives_.end()) return held;
  held.open = found->second.open;
  for (const auto& entry : found->second.billed) {
    held.billed.push_back(entry.second);
  }
  return held;
}

void IntentBook::Settled(const std::string& life,
                         const std::vector<uint64_t>& sequences) {
  IntentBatch batch;
  batch.set_life(life);
  for (uint64_t sequence : sequences) batch.add_appended(sequence);
  Take(batch);
}

std::vector<std::string> IntentBook::lives() const {
  std::lock_guard<std::mutex> lock(mutex_);
  std::vector<std::string> lives;
  for (const auto& entry : lives_) lives.push_back(entry.first);
  return lives;
}

size_t IntentBook::size() const {
  std::lock_guard<std::mutex> lock(mutex_);
  size_t size = 0;
  for (const auto& entry : lives_) {
    size += entry.second.open.size() + entry.second.billed.size();
  }
  return size;
}

bool SettleLine(uint64_t sequence, const std::vector<Intent>& dispatches,
                const std::vector<DispatchState>& states, bool give_up,
                BillLine* line) {
  line->Clear();
  line->set_sequence(sequence);
  line->set_outcome(BillLine::VOID);
  for (size_t i = 0; i < dispatches.size(); ++i) {
    const DispatchState& state = states[i];
    line->set_organisation(dispatches[i].organisation());
    if (state.state == DispatchState::kNeverSeen) continue;
    bool finished = state.state == DispatchState::kFinished;
    if (!finished && !give_up) return false;
    BillLeg* leg = line->add_legs();
    leg->set_endpoint(dispatches[i].endpoint());
    leg->set_model(dispatches[i].model());
    leg->set_version(dispatches[i].version());
    leg->set_prompt_tokens(state.prompt_tokens);
    leg->set_completion_tokens(state.completion_tokens);
    bool unknown = line->outcome() == BillLine::UNKNOWN || !finished;
    line->set_outcome(unknown ? BillLine::UNKNOWN : BillLine::FAILED);
  }
  return true;
}

void Ledger::Read(const BillRecord& record) {
  for (const BillLine& line : record.lines()) {
    auto inserted =
        lines_.emplace(RequestId(record.life(), line.sequence()), line);
    if (inserted.second) continue;
    BillLine& standing = inserted.first->second;
    if (standing.outcome() != BillLine::VOID) {
      ++repeated_;
    } else {
      standing = line;
    }
  }
}

}  // namespace leverwick
