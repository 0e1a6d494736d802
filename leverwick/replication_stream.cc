// The queue preserves order: requests are sent before their bill lines, and
// removals of appended lines only after all lines queued before them. The
// receiver therefore never adds a record again after its removal. Target
// indexes are valid for one generation.

#include "leverwick/replication_stream.h"

#include <algorithm>

namespace leverwick {
namespace {

uint64_t BaseSequence(const IntentBatch& batch) {
  if (batch.opened_size() > 0) return batch.opened(0).sequence();
  if (batch.billed_size() > 0) return batch.billed(0).sequence();
  return batch.appended_size() > 0 ? batch.appended(0) : 0;
}

}  // namespace

void ReplicationSender::BeginGeneration(uint64_t generation) {
  has_begun_ = true;
  has_snapshot_ = false;
  snapshot_sent_ = false;
  generation_ = generation;
  last_number_ = 0;
  snapshot_opened_left_ = 0;
  snapshot_billed_left_ = 0;
  queue_.Clear();
  targets_ = TargetDictionary();
}

void ReplicationSender::AddSnapshot(const IntentBatch& snapshot) {
  has_snapshot_ = true;
  snapshot_opened_left_ = static_cast<size_t>(snapshot.opened_size());
  snapshot_billed_left_ = static_cast<size_t>(snapshot.billed_size());
  IntentBatch delta;
  delta.Swap(&queue_);
  queue_ = snapshot;
  queue_.MergeFrom(delta);
}

void ReplicationSender::AddDelta(const IntentBatch& delta) {
  if (has_begun_) queue_.MergeFrom(delta);
}

size_t ReplicationSender::queued() const {
  return static_cast<size_t>(queue_.opened_size()) +
         static_cast<size_t>(queue_.billed_size());
}

bool ReplicationSender::is_idle() const {
  bool empty = queued() == 0 && queue_.appended_size() == 0;
  return has_begun_ && has_snapshot_ && snapshot_sent_ && empty;
}

void ReplicationSender::AddOpened(const Intent& intent, CopyBatch* batch) {
  batch->add_opened(ToRelativeSequence(intent.sequence(), batch->base()));
  batch->add_opened_targets(
      targets_.IndexFor(MakeTarget(intent.organisation(), intent.endpoint(),
                                   intent.model(), intent.version()),
                        batch->mutable_targets()));
  batch->add_opened_attempts(intent.attempt());
}

CopyBatch ReplicationSender::NextMessage(size_t max_entries) {
  CopyBatch batch;
  batch.set_life(incarnation_);
  batch.set_generation(generation_);
  batch.set_number(++last_number_);
  batch.set_base(BaseSequence(queue_));
  size_t opened =
      std::min(max_entries, static_cast<size_t>(queue_.opened_size()));
  size_t billed =
      std::min(max_entries - opened, static_cast<size_t>(queue_.billed_size()));
  for (size_t i = 0; i < opened; ++i) {
    AddOpened(queue_.opened(static_cast<int>(i)), &batch);
  }
  for (size_t i = 0; i < billed; ++i) {
    PackLine(queue_.billed(static_cast<int>(i)), batch.base(), &targets_,
             batch.mutable_targets(), batch.add_billed());
  }
  queue_.mutable_opened()->DeleteSubrange(0, static_cast<int>(opened));
  queue_.mutable_billed()->DeleteSubrange(0, static_cast<int>(billed));
  snapshot_opened_left_ -= std::min(snapshot_opened_left_, opened);
  snapshot_billed_left_ -= std::min(snapshot_billed_left_, billed);
  bool snapshot_done =
      has_snapshot_ && snapshot_opened_left_ == 0 && snapshot_billed_left_ == 0;
  batch.set_complete(snapshot_done && !snapshot_sent_);
  snapshot_sent_ = snapshot_sent_ || snapshot_done;
  if (queued() > 0) return batch;
  for (uint64_t sequence : queue_.appended()) {
    batch.add_appended(ToRelativeSequence(sequence, batch.base()));
  }
  queue_.clear_appended();
  return batch;
}

bool ReplicationReceiver::DecodeTargets(const CopyBatch& message) {
  bool is_first = message.generation() > generation_ && message.number() == 1;
  if (is_first) is_broken_ = false;
  bool is_next = message.generation() == generation_ &&
                 message.number() == last_number_ + 1;
  if (is_broken_ || (!is_first && !is_next)) return false;
  if (is_first) targets_.clear();
  targets_.insert(targets_.end(), message.targets().begin(),
                  message.targets().end());
  generation_ = message.generation();
  last_number_ = message.number();
  return true;
}

bool ReplicationReceiver::DecodeOpened(const CopyBatch& message,
                                       IntentBatch* batch) const {
  if (message.opened_targets_size() != message.opened_size()) return false;
  if (message.opened_attempts_size() != message.opened_size()) return false;
  for (int i = 0; i < message.opened_size(); ++i) {
    if (message.opened_targets(i) >= targets_.size()) return false;
    const CompactTarget& target = targets_[message.opened_targets(i)];
    Intent* intent = batch->add_opened();
    intent->set_sequence(ToAbsoluteSequence(message.opened(i), message.base()));
    intent->set_organisation(target.organisation());
    intent->set_endpoint(target.endpoint());
    intent->set_model(target.model());
    intent->set_version(target.version());
    intent->set_attempt(message.opened_attempts(i));
  }
  return true;
}

bool ReplicationReceiver::DecodeBilled(const CopyBatch& message,
                                       IntentBatch* batch) const {
  for (const CompactLine& line : message.billed()) {
    if (!UnpackLine(line, message.base(), targets_, batch->add_billed())) {
      return false;
    }
  }
  return true;
}

bool ReplicationReceiver::Decode(const CopyBatch& message, IntentBatch* batch) {
  batch->Clear();
  batch->set_life(message.life());
  bool repeated =
      message.generation() == generation_ && message.number() <= last_number_;
  if (repeated) return !is_broken_;
  if (!DecodeTargets(message)) return false;
  if (!DecodeOpened(message, batch) || !DecodeBilled(message, batch)) {
    batch->Clear();
    is_broken_ = true;
    return false;
  }
  for (int64_t relative : message.appended()) {
    batch->add_appended(ToAbsoluteSequence(relative, message.base()));
  }
  batch->set_begins(message.number() == 1);
  batch->set_complete(message.complete());
  return true;
}

}  // namespace leverwick
