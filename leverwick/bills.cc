// A replication stream is ordered and starts a new generation with a full
// snapshot after a loss. Until that snapshot is complete, the store also keeps
// the records of the previous generation, so a sender that crashes meanwhile
// loses nothing. If a peer settles a record that has reached the log in the
// meantime, it appends a second line with the same id, which the ledger drops.

#include "leverwick/bills.h"

#include <algorithm>
#include <cstdlib>

namespace leverwick {

std::string RequestId(const std::string& incarnation, uint64_t sequence) {
  return incarnation + "." + std::to_string(sequence);
}

bool ParseRequestId(const std::string& id, std::string* incarnation,
                    uint64_t* sequence) {
  size_t dot = id.rfind('.');
  if (dot == std::string::npos || dot == 0 || dot + 1 == id.size())
    return false;
  char* end = nullptr;
  *sequence = std::strtoull(id.c_str() + dot + 1, &end, 10);
  if (*end != '\0') return false;
  *incarnation = id.substr(0, dot);
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

std::vector<BillLine> BillQueue::PeekOldest(size_t max_lines) const {
  std::lock_guard<std::mutex> lock(mutex_);
  auto count = static_cast<std::ptrdiff_t>(std::min(max_lines, lines_.size()));
  return std::vector<BillLine>(lines_.begin(), lines_.begin() + count);
}

void BillQueue::RemoveAppended(size_t count) {
  std::lock_guard<std::mutex> lock(mutex_);
  auto end = static_cast<std::ptrdiff_t>(std::min(count, lines_.size()));
  lines_.erase(lines_.begin(), lines_.begin() + end);
}

size_t BillQueue::size() const {
  std::lock_guard<std::mutex> lock(mutex_);
  return lines_.size();
}

void IntentStore::AddBatch(const IntentBatch& batch, Entries* entries) {
  for (const Intent& intent : batch.opened()) {
    if (entries->billed.count(intent.sequence()) > 0) continue;
    std::vector<Intent>& dispatches = entries->open[intent.sequence()];
    bool is_duplicate = std::any_of(
        dispatches.begin(), dispatches.end(), [&intent](const Intent& other) {
          return other.attempt() == intent.attempt();
        });
    if (!is_duplicate) dispatches.push_back(intent);
  }
  for (const BillLine& line : batch.billed()) {
    entries->open.erase(line.sequence());
    entries->billed[line.sequence()] = line;
  }
}

void IntentStore::Erase(uint64_t sequence, Incarnation* incarnation) {
  for (Entries* entries : {&incarnation->current, &incarnation->previous}) {
    entries->open.erase(sequence);
    entries->billed.erase(sequence);
  }
}

void IntentStore::ApplyLocked(const IntentBatch& batch,
                              Incarnation* incarnation) {
  if (batch.begins()) {
    // Records missing from the new snapshot were appended to the log, but this
    // is only certain once the snapshot is complete.
    for (auto& entry : incarnation->current.open)
      incarnation->previous.open.insert(entry);
    for (auto& entry : incarnation->current.billed)
      incarnation->previous.billed.insert(entry);
    incarnation->current = Entries();
  }
  AddBatch(batch, &incarnation->current);
  for (uint64_t sequence : batch.appended()) Erase(sequence, incarnation);
  if (batch.complete()) incarnation->previous = Entries();
}

void IntentStore::Apply(const IntentBatch& batch) {
  std::lock_guard<std::mutex> lock(mutex_);
  ApplyLocked(batch, &incarnations_[batch.life()]);
}

bool IntentStore::ApplyMessage(const CopyBatch& message) {
  std::lock_guard<std::mutex> lock(mutex_);
  Incarnation& incarnation = incarnations_[message.life()];
  IntentBatch batch;
  if (!incarnation.receiver.Decode(message, &batch)) return false;
  ApplyLocked(batch, &incarnation);
  return true;
}

IntentStore::Records IntentStore::RecordsFor(
    const std::string& incarnation) const {
  std::lock_guard<std::mutex> lock(mutex_);
  Records records;
  auto found = incarnations_.find(incarnation);
  if (found == incarnations_.end()) return records;
  const Entries& current = found->second.current;
  const Entries& previous = found->second.previous;
  std::map<uint64_t, BillLine> billed = current.billed;
  billed.insert(previous.billed.begin(), previous.billed.end());
  records.open = current.open;
  records.open.insert(previous.open.begin(), previous.open.end());
  for (const auto& entry : billed) {
    records.open.erase(entry.first);
    records.billed.push_back(entry.second);
  }
  return records;
}

void IntentStore::RemoveSettled(const std::string& incarnation,
                                const std::vector<uint64_t>& sequences) {
  std::lock_guard<std::mutex> lock(mutex_);
  auto found = incarnations_.find(incarnation);
  if (found == incarnations_.end()) return;
  for (uint64_t sequence : sequences) Erase(sequence, &found->second);
  const Incarnation& remaining = found->second;
  bool empty =
      remaining.current.open.empty() && remaining.current.billed.empty() &&
      remaining.previous.open.empty() && remaining.previous.billed.empty();
  if (empty) incarnations_.erase(found);
}

std::vector<std::string> IntentStore::incarnations() const {
  std::lock_guard<std::mutex> lock(mutex_);
  std::vector<std::string> incarnations;
  for (const auto& entry : incarnations_) incarnations.push_back(entry.first);
  return incarnations;
}

size_t IntentStore::size() const {
  std::lock_guard<std::mutex> lock(mutex_);
  size_t size = 0;
  for (const auto& entry : incarnations_) {
    for (const Entries* entries :
         {&entry.second.current, &entry.second.previous}) {
      size += entries->open.size() + entries->billed.size();
    }
  }
  return size;
}

bool BuildSettlementLine(uint64_t sequence,
                         const std::vector<Intent>& dispatches,
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

void Ledger::Apply(const BillRecord& record) {
  for (const BillLine& line : record.lines()) {
    auto inserted =
        lines_.emplace(RequestId(record.life(), line.sequence()), line);
    if (inserted.second) continue;
    BillLine& existing = inserted.first->second;
    if (existing.outcome() != BillLine::VOID) {
      ++duplicates_;
    } else {
      existing = line;
    }
  }
}

}  // namespace leverwick
