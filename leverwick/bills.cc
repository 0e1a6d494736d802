// A copy stream keeps order, and begins anew after a loss. Between the new
// beginning and its end the book holds what it held before as well, so that a
// box that dies then loses nothing; what the log has meanwhile is settled into
// a second line with the same id, and the ledger drops it.

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

void IntentBook::Add(const IntentBatch& batch, Entries* entries) {
  for (const Intent& intent : batch.opened()) {
    if (entries->billed.count(intent.sequence()) > 0) continue;
    std::vector<Intent>& dispatches = entries->open[intent.sequence()];
    bool known = std::any_of(dispatches.begin(), dispatches.end(),
                             [&intent](const Intent& other) {
                               return other.attempt() == intent.attempt();
                             });
    if (!known) dispatches.push_back(intent);
  }
  for (const BillLine& line : batch.billed()) {
    entries->open.erase(line.sequence());
    entries->billed[line.sequence()] = line;
  }
}

void IntentBook::Forget(uint64_t sequence, Life* life) {
  for (Entries* entries : {&life->current, &life->earlier}) {
    entries->open.erase(sequence);
    entries->billed.erase(sequence);
  }
}

void IntentBook::TakeLocked(const IntentBatch& batch, Life* life) {
  if (batch.begins()) {
    // What is not stated again was appended, but only the whole state tells.
    for (auto& entry : life->current.open) life->earlier.open.insert(entry);
    for (auto& entry : life->current.billed) life->earlier.billed.insert(entry);
    life->current = Entries();
  }
  Add(batch, &life->current);
  for (uint64_t sequence : batch.appended()) Forget(sequence, life);
  if (batch.complete()) life->earlier = Entries();
}

void IntentBook::Take(const IntentBatch& batch) {
  std::lock_guard<std::mutex> lock(mutex_);
  TakeLocked(batch, &lives_[batch.life()]);
}

bool IntentBook::TakeCopies(const CopyBatch& message) {
  std::lock_guard<std::mutex> lock(mutex_);
  Life& life = lives_[message.life()];
  IntentBatch batch;
  if (!life.receiver.Read(message, &batch)) return false;
  TakeLocked(batch, &life);
  return true;
}

IntentBook::Held IntentBook::HeldOf(const std::string& life) const {
  std::lock_guard<std::mutex> lock(mutex_);
  Held held;
  auto found = lives_.find(life);
  if (found == lives_.end()) return held;
  const Entries& current = found->second.current;
  const Entries& earlier = found->second.earlier;
  std::map<uint64_t, BillLine> billed = current.billed;
  billed.insert(earlier.billed.begin(), earlier.billed.end());
  held.open = current.open;
  held.open.insert(earlier.open.begin(), earlier.open.end());
  for (const auto& entry : billed) {
    held.open.erase(entry.first);
    held.billed.push_back(entry.second);
  }
  return held;
}

void IntentBook::Settled(const std::string& life,
                         const std::vector<uint64_t>& sequences) {
  std::lock_guard<std::mutex> lock(mutex_);
  auto found = lives_.find(life);
  if (found == lives_.end()) return;
  for (uint64_t sequence : sequences) Forget(sequence, &found->second);
  const Life& held = found->second;
  bool empty = held.current.open.empty() && held.current.billed.empty() &&
               held.earlier.open.empty() && held.earlier.billed.empty();
  if (empty) lives_.erase(found);
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
    for (const Entries* entries :
         {&entry.second.current, &entry.second.earlier}) {
      size += entries->open.size() + entries->billed.size();
    }
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
