// Bills: every request is billed exactly once, whatever dies on the way.
//
// A request's id is its box incarnation and a sequence number. Before dispatch
// the open request (an intent) is copied to peers of the data centre; at its
// end a bill line takes its place, and the line goes to the platform's log in
// batches. When a box incarnation is gone, the peers that hold its intents
// settle them: they ask the endpoint what ran and append under the same ids.
// The ledger keeps one line per id, so it does no harm that two peers settle,
// that a incarnation thought dead wakes and appends too, or that an append is
// duplicates because its answer was lost.
//
//   BillQueue    a box's own lines on their way to the log
//   IntentStore   what a box holds for other incarnations
//   Ledger       reads the log: the one line that counts for each id

#ifndef LEVERWICK_BILLS_H_
#define LEVERWICK_BILLS_H_

#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "leverwick/replication_stream.h"
#include "leverwick/time.h"
#include "schema/bills.pb.h"
#include "schema/peer.pb.h"

namespace leverwick {

// "life.sequence".
std::string RequestId(const std::string& incarnation, uint64_t sequence);

// False when `id` is not of that form.
bool ParseRequestId(const std::string& id, std::string* incarnation,
                    uint64_t* sequence);

// A box's own finished lines, until the log has them. Thread-safe.
class BillQueue {
 public:
  explicit BillQueue(size_t max_queued) : max_queued_(max_queued) {}

  // Whether the bound is reached, so that no new work may be taken.
  bool full() const;

  void Add(BillLine line);

  // The oldest lines, at most `max_lines`; they stay queued until
  // RemoveAppended.
  std::vector<BillLine> PeekOldest(size_t max_lines) const;

  // Drops the `count` oldest lines, which the log now has.
  void RemoveAppended(size_t count);

  size_t size() const;

 private:
  const size_t max_queued_;
  mutable std::mutex mutex_;
  std::deque<BillLine> lines_;
};

// Open requests and unappended lines of other incarnations. Thread-safe.
class IntentStore {
 public:
  void Apply(const IntentBatch& batch);

  // Takes a message of a incarnation's copy stream; false when the stream must
  // begin anew.
  bool ApplyMessage(const CopyBatch& message);

  // All that is held of a incarnation; intents of a sequence already billed are
  // left out.
  struct Records {
    std::map<uint64_t, std::vector<Intent>> open;  // dispatches by sequence
    std::vector<BillLine> billed;
  };
  Records RecordsFor(const std::string& incarnation) const;

  // Forgets sequences that have been settled, and the incarnation with its last
  // one.
  void RemoveSettled(const std::string& incarnation,
                     const std::vector<uint64_t>& sequences);

  std::vector<std::string> incarnations() const;

  // Open requests and lines held now.
  size_t size() const;

 private:
  struct Entries {
    std::map<uint64_t, std::vector<Intent>> open;  // by attempt
    std::map<uint64_t, BillLine> billed;
  };
  struct Incarnation {
    Entries current;
    Entries previous;  // held until the stream's new beginning is complete
    ReplicationReceiver receiver;
  };

  static void AddBatch(const IntentBatch& batch, Entries* entries);
  static void Erase(uint64_t sequence, Incarnation* incarnation);
  void ApplyLocked(const IntentBatch& batch, Incarnation* incarnation);

  mutable std::mutex mutex_;
  std::map<std::string, Incarnation> incarnations_;
};

// What an endpoint says of one dispatch.
struct DispatchState {
  enum State { kUnreachable, kNeverSeen, kRunning, kFinished };
  State state = kUnreachable;
  int64_t prompt_tokens = 0;
  int64_t completion_tokens = 0;
};

// The line that settles a lost request, from what its endpoints said of each
// dispatch; false when it is too early to say. `give_up` ends the waiting for
// endpoints that can't be reached or tell nothing.
bool BuildSettlementLine(uint64_t sequence,
                         const std::vector<Intent>& dispatches,
                         const std::vector<DispatchState>& states, bool give_up,
                         BillLine* line);

// The one line that counts for each request id. Not thread-safe.
class Ledger {
 public:
  void Apply(const BillRecord& record);

  // Lines by request id. A void line stands only until another comes.
  const std::map<std::string, BillLine>& lines() const { return lines_; }

  // Lines that were dropped because their id had one already.
  uint64_t duplicates() const { return duplicates_; }

 private:
  std::map<std::string, BillLine> lines_;
  uint64_t duplicates_ = 0;
};

}  // namespace leverwick

#endif  // LEVERWICK_BILLS_H_
