// The queue keeps order: requests are sent before their lines, and "appended"
// only once all lines before it have gone, so the receiver never takes back
// what it was told to forget. Numbers of targets hold for one generation.
//

#include "leverwick/replication_stream.h"

#include <algorithm>

namespace leverwick {
namespace {

uint64_t BaseOf(const IntentBatch& batch) {
  if (batch.opened_size() > 0) return batch.opened(0).sequence();
  if (batch.billed_size() > 0) return batch.billed(0).sequence();
  return batch.appended_size() > 0 ? batch.appended(0) : 0;
}

}  // namespace

void CopySender::Begin(uint64_t generation) {
  begun_ = true;
  has_state_ = false;
  completed_ = false;
  generation_ = generation;
  number_ = 0;
  state_opened_ = 0;
  state_billed_ = 0;
  queue_.Clear();
  targets_ = TargetNumbers();
}

void CopySender::AddState(const IntentBatch& state) {
  has_state_ = true;
  state_opened_ = static_cast<size_t>(state.opened_size());
  state_billed_ = static_cast<size_t>(state.billed_size());
  IntentBatch news;
  news.Swap(&queue_);
  queue_ = state;
  queue_.MergeFrom(news);
}

void CopySender::Add(const IntentBatch& news) {
  if (begun_) queue_.MergeFrom(news);
}

size_t CopySender::queued() const {
  return static_cast<size_t>(queue_.opened_size()) +
         static_cast<size_t>(queue_.billed_size());
}

bool CopySender::idle() const {
  bool empty = queued() == 0 && queue_.appended_size() == 0;
  return begun_ && has_state_ && completed_ && empty;
}

void CopySender::AddOpened(const Intent& intent, CopyBatch* batch) {
  batch->add_opened(Relative(intent.sequence(), batch->base()));
  batch->add_opened_targets(
      targets_.NumberOf(MakeTarget(intent.organisation(), intent.endpoint(),
                                   intent.model(), intent.version()),
                        batch->mutable_targets()));
  batch->add_opened_attempts(intent.attempt());
}

CopyBatch CopySender::Next(size_t most) {
  CopyBatch batch;
  batch.set_life(life_);
  batch.set_generation(generation_);
  batch.set_number(++number_);
  batch.set_base(BaseOf(queue_));
  size_t opened = std::min(most, static_cast<size_t>(queue_.opened_size()));
  size_t billed =
      std::min(most - opened, static_cast<size_t>(queue_.billed_size()));
  for (size_t i = 0; i < opened; ++i) {
    AddOpened(queue_.opened(static_cast<int>(i)), &batch);
  }
  for (size_t i = 0; i < billed; ++i) {
    PackLine(queue_.billed(static_cast<int>(i)), batch.base(), &targets_,
             batch.mutable_targets(), batch.add_billed());
  }
  queue_.mutable_opened()->DeleteSubrange(0, static_cast<int>(opened));
  queue_.mutable_billed()->DeleteSubrange(0, static_cast<int>(billed));
  state_opened_ -= std::min(state_opened_, opened);
  state_billed_ -= std::min(state_billed_, billed);
  bool ended = has_state_ && state_opened_ == 0 && state_billed_ == 0;
  batch.set_complete(ended && !completed_);
  completed_ = completed_ || ended;
  if (queued() > 0) return batch;
  for (uint64_t sequence : queue_.appended()) {
    batch.add_appended(Relative(sequence, batch.base()));
  }
  queue_.clear_appended();
  return batch;
}

bool CopyReceiver::ReadTargets(const CopyBatch& message) {
  bool begins = message.generation() > generation_ && message.number() == 1;
  if (begins) broken_ = false;
  bool follows =
      message.generation() == generation_ && message.number() == number_ + 1;
  if (broken_ || (!begins && !follows)) return false;
  if (begins) targets_.clear();
  targets_.insert(targets_.end(), message.targets().begin(),
                  message.targets().end());
  generation_ = message.generation();
  number_ = message.number();
  return true;
}

bool CopyReceiver::ReadOpened(const CopyBatch& message,
                              IntentBatch* batch) const {
  if (message.opened_targets_size() != message.opened_size()) return false;
  if (message.opened_attempts_size() != message.opened_size()) return false;
  for (int i = 0; i < message.opened_size(); ++i) {
    if (message.opened_targets(i) >= targets_.size()) return false;
    const CompactTarget& target = targets_[message.opened_targets(i)];
    Intent* intent = batch->add_opened();
    intent->set_sequence(Absolute(message.opened(i), message.base()));
    intent->set_organisation(target.organisation());
    intent->set_endpoint(target.endpoint());
    intent->set_model(target.model());
    intent->set_version(target.version());
    intent->set_attempt(message.opened_attempts(i));
  }
  return true;
}

bool CopyReceiver::ReadBilled(const CopyBatch& message,
                              IntentBatch* batch) const {
  for (const CompactLine& line : message.billed()) {
    if (!UnpackLine(line, message.base(), targets_, batch->add_billed())) {
      return false;
    }
  }
  return true;
}

bool CopyReceiver::Read(const CopyBatch& message, IntentBatch* batch) {
  batch->Clear();
  batch->set_life(message.life());
  bool repeated =
      message.generation() == generation_ && message.number() <= number_;
  if (repeated) return !broken_;
  if (!ReadTargets(message)) return false;
  if (!ReadOpened(message, batch) || !ReadBilled(message, batch)) {
    batch->Clear();
    broken_ = true;
    return false;
  }
  for (int64_t relative : message.appended()) {
    batch->add_appended(Absolute(relative, message.base()));
  }
  batch->set_begins(message.number() == 1);
  batch->set_complete(message.complete());
  return true;
}

}  // namespace leverwick
