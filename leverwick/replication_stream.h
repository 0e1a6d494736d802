// How a box tells a peer of its open requests and unappended bill lines.
//
// A stream of numbered messages, one in flight at a time. What requests repeat
// (organisation, endpoint, model, version) is named once and then by number.
// After a message whose fate is unknown the stream begins anew with all that
// is open or unappended then, so a loss costs one larger message and the peer
// never holds less than it was acknowledged to hold. The receiver refuses a
// message out of order, and the sender then begins anew.
//
//   CopySender sender(life);
//   sender.Begin(generation);       // once at first, and after Failed
//   sender.AddState(state);         // read after Begin
//   sender.Add(news);               // from now on
//   CopyBatch message = sender.Next();
//   if (the peer did not accept it) sender.Failed();
//
//   CopyReceiver receiver;          // one a life
//   IntentBatch batch;
//   bool accepted = receiver.Read(message, &batch);

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
class CopySender {
 public:
  explicit CopySender(std::string life) : life_(std::move(life)) {}

  // Whether Begin is not due.
  bool begun() const { return begun_; }

  // Starts a generation, which must be above all before it of this life. The
  // state must be read after this call: news added before it is forgotten.
  void Begin(uint64_t generation);

  // All that is open or unappended; goes before the news added since Begin.
  void AddState(const IntentBatch& state);

  // Ignored while Begin is due, for the state will hold it.
  void Add(const IntentBatch& news);

  // Opened requests and lines that wait to be sent.
  size_t queued() const;

  // Nothing is to be sent.
  bool idle() const;

  // The next message, at most `most` opened requests and lines.
  CopyBatch Next(size_t most);

  // The last message may or may not have come: Begin is due.
  void Failed() { begun_ = false; }

 private:
  void AddOpened(const Intent& intent, CopyBatch* batch);

  const std::string life_;
  bool begun_ = false;
  bool has_state_ = false;  // AddState was called in this generation
  uint64_t generation_ = 0;
  uint32_t number_ = 0;
  size_t state_opened_ = 0;  // of the queue's front, part of the state
  size_t state_billed_ = 0;
  bool completed_ = false;
  IntentBatch queue_;
  TargetNumbers targets_;
};

// Not thread-safe.
class CopyReceiver {
 public:
  // False: out of order, the sender must begin anew. A message that came
  // before is accepted and `batch` left empty.
  bool Read(const CopyBatch& message, IntentBatch* batch);

 private:
  bool ReadTargets(const CopyBatch& message);
  bool ReadOpened(const CopyBatch& message, IntentBatch* batch) const;
  bool ReadBilled(const CopyBatch& message, IntentBatch* batch) const;

  uint64_t generation_ = 0;
  uint32_t number_ = 0;
  bool broken_ = false;  // a message of this generation made no sense
  std::vector<CompactTarget> targets_;
};

}  // namespace leverwick

#endif  // LEVERWICK_REPLICATION_STREAM_H_
