// Replication stream of a box's open requests and unappended bill lines to a
// peer.
//
// The stream consists of numbered messages, one in flight at a time. Repeated
// fields (organisation, endpoint, model, version) are sent once as a target and
// then referenced by index. After a message whose delivery is unknown, the
// sender starts a new generation with a snapshot of all open requests and
// unappended lines. A loss thus costs one larger message, and the peer never
// holds less than it has acknowledged. The receiver rejects a message that is
// out of order, and the sender then starts a new generation.
//
//   ReplicationSender sender(incarnation);
//   sender.BeginGeneration(generation);  // first, and after RecordFailure
//   sender.AddSnapshot(snapshot);        // read after BeginGeneration
//   sender.AddDelta(delta);              // for every later change
//   CopyBatch message = sender.NextMessage(max_entries);
//   if (the peer did not accept it) sender.RecordFailure();
//
//   ReplicationReceiver receiver;        // one per incarnation
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

// Sends the stream of one incarnation to one peer. Not thread-safe.
class ReplicationSender {
 public:
  explicit ReplicationSender(std::string incarnation)
      : incarnation_(std::move(incarnation)) {}

  // Returns false if BeginGeneration must be called before the next message.
  bool has_begun() const { return has_begun_; }

  // Starts a generation. `generation` must exceed all earlier ones of this
  // incarnation. The snapshot must be read after this call, because deltas
  // added before it are discarded.
  void BeginGeneration(uint64_t generation);

  // Adds all open requests and unappended lines, ahead of the deltas added
  // since BeginGeneration.
  void AddSnapshot(const IntentBatch& snapshot);

  // Adds a change. Ignored until BeginGeneration is called, since the snapshot
  // will contain it.
  void AddDelta(const IntentBatch& delta);

  // Returns the number of opened requests and bill lines that wait to be sent.
  size_t queued() const;

  // Returns true if there is nothing to send.
  bool is_idle() const;

  // Returns the next message, with at most `max_entries` opened requests and
  // bill lines.
  CopyBatch NextMessage(size_t max_entries);

  // Records that the delivery of the last message failed or is unknown.
  // BeginGeneration must be called next.
  void RecordFailure() { has_begun_ = false; }

 private:
  void AddOpened(const Intent& intent, CopyBatch* batch);

  const std::string incarnation_;
  bool has_begun_ = false;
  bool has_snapshot_ = false;  // AddSnapshot was called in this generation
  uint64_t generation_ = 0;
  uint32_t last_number_ = 0;
  // Entries at the front of the queue that belong to the snapshot.
  size_t snapshot_opened_left_ = 0;
  size_t snapshot_billed_left_ = 0;
  bool snapshot_sent_ = false;
  IntentBatch queue_;
  TargetDictionary targets_;
};

// Receives the stream of one incarnation. Not thread-safe.
class ReplicationReceiver {
 public:
  // Decodes a message. Returns false if it is out of order or malformed; the
  // sender must then start a new generation. A message that was received before
  // is accepted, with `batch` left empty.
  bool Decode(const CopyBatch& message, IntentBatch* batch);

 private:
  bool DecodeTargets(const CopyBatch& message);
  bool DecodeOpened(const CopyBatch& message, IntentBatch* batch) const;
  bool DecodeBilled(const CopyBatch& message, IntentBatch* batch) const;

  uint64_t generation_ = 0;
  uint32_t last_number_ = 0;
  bool is_broken_ = false;  // this generation had a malformed message
  std::vector<CompactTarget> targets_;
};

}  // namespace leverwick

#endif  // LEVERWICK_REPLICATION_STREAM_H_
