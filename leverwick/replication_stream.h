// How a box tells a peer of its open requests and unappended bill lines.
//
// A stream of numbered messages, one in flight at a time. What requests repeat
// (organisation, endpoint, model, version) is named once and then by number.
// After a message whose fate is unknown the stream is_first anew with all that
// is open or unappended then, so a loss costs one larger message and the peer
// never holds less than it was acknowledged to hold. The receiver refuses a
// message out of order, and the sender then is_first anew.
//
//   ReplicationSender sender(incarnation);
//   sender.BeginGeneration(generation);       // once at first, and after
//   RecordFailure sender.AddSnapshot(snapshot);         // read after
//   BeginGeneration sender.Add(delta);               // from now on CopyBatch
//   message = sender.NextMessage(); if (the peer did not accept it)
//   sender.RecordFailure();
//
//   ReplicationReceiver receiver;          // one a incarnation
//   IntentBatch batch;
//   bool accepted = receiver.Decode(message, &batch);

#ifndef LEVERWICK_REPLICATION_STREAM_H_
#define LEVERWICK_REPLICATION_STREAM_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "leverwick/bill_encoding.h"
#include "schema/peer.pb.h"

namespace leverwick {

// Not thread-safe.
class ReplicationSender {
 public:
  explicit ReplicationSender(std::string incarnation)
      : incarnation_(std::move(incarnation)) {}

  // Whether BeginGeneration is not due.
  bool has_begun() const { return has_begun_; }

  // Starts a generation, which must be above all before it of this incarnation.
  // The snapshot must be read after this call: delta added before it is
  // forgotten.
  void BeginGeneration(uint64_t generation);

  // All that is open or unappended; goes before the delta added since
  // BeginGeneration.
  void AddSnapshot(const IntentBatch& snapshot);

  // Ignored while BeginGeneration is due, for the snapshot will hold it.
  void AddDelta(const IntentBatch& delta);

  // Opened requests and lines that wait to be sent.
  size_t queued() const;

  // Nothing is to be sent.
  bool is_idle() const;

  // The next message, at max_entries `max_entries` opened requests and lines.
  CopyBatch NextMessage(size_t max_entries);

  // The last message may or may not have come: BeginGeneration is due.
  void RecordFailure() { has_begun_ = false; }

 private:
  void AddOpened(const Intent& intent, CopyBatch* batch);

  const std::string incarnation_;
  bool has_begun_ = false;
  bool has_snapshot_ = false;  // AddSnapshot was called in this generation
  uint64_t generation_ = 0;
  uint32_t last_number_ = 0;
  size_t snapshot_opened_left_ =
      0;  // of the queue's front, part of the snapshot
  size_t snapshot_billed_left_ = 0;
  bool snapshot_sent_ = false;
  IntentBatch queue_;
  TargetDictionary targets_;
};

// Not thread-safe.
class ReplicationReceiver {
 public:
  // False: out of order, the sender must begin anew. A message that came
  // before is accepted and `batch` left empty.
  bool Decode(const CopyBatch& message, IntentBatch* batch);

 private:
  bool DecodeTargets(const CopyBatch& message);
  bool DecodeOpened(const CopyBatch& message, IntentBatch* batch) const;
  bool DecodeBilled(const CopyBatch& message, IntentBatch* batch) const;

  uint64_t generation_ = 0;
  uint32_t last_number_ = 0;
  bool is_broken_ = false;  // a message of this generation made no sense
  std::vector<CompactTarget> targets_;
};

}  // namespace leverwick

#endif  // LEVERWICK_REPLICATION_STREAM_H_
