// Bills: every request is billed exactly once, whatever dies on the way.
//
// A request's id is its box life and a sequence number. Before dispatch the
// open request (an intent) is copied to peers of the data centre; at its end
// a bill line takes its place, and the line goes to the platform's log in
// batches. When a box life is gone, the peers that hold its intents settle
// them: they ask the endpoint what ran and append under the same ids. The
// ledger keeps one line per id, so it does no harm that two peers settle, that
// a life thought dead wakes and appends too, or that an append is repeated
// because its answer was lost.
//
//   BillQueue    a box's own lines on their way to the log
//   IntentBook   what a box holds for other lives
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
std::string RequestId(const std::string& life, uint64_t sequence);

// False when `id` is not of that form.
bool ParseRequestId(const std::string& id, std::string* life,
                    uint64_t* sequence);

// A box's own finished lines, until the log has them. Thread-safe.
class BillQueue {
 public:
  explicit BillQueue(size_t max_queued) : max_queued_(max_queued) {}

  // Whether the bound is reached, so that no new work may be taken.
  bool full() const;

  void Add(BillLine line);

  // The oldest lines, at most `max_lines`; they stay queued until Appended.
  std::vector<BillLine> Batch(size_t max_lines) const;

  // Drops the `count` oldest lines, which the log now has.
  void Appended(size_t count);

  size_t size() const;

 private:
  const size_t max_queued_;
  mutable std::mutex mutex_;
  std::deque<BillLine> lines_;
};

// Open requests and unappended lines of other lives. Thread-safe.
class IntentBook {
 public:
  void Take(const IntentBatch& batch);

  // Takes a message of a life's copy stream; false when the stream must begin
  // anew.
  bool TakeCopies(const CopyBatch& message);

  // All that is held of a life; intents of a sequence already billed are left
  // out.
  struct Held {
    std::map<uint64_t, std::vector<Intent>> open;  // dispatches by sequence
    std::vector<BillLine> billed;
  };
  Held HeldOf(const std::string& life) const;

  // Forgets sequences that have been settled, and the life with its last one.
  void Settled(const std::string& life, const std::vector<uint64_t>& sequences);

  std::vector<std::string> lives() const;

  // Open requests and lines held now.
  size_t size() const;

 private:
  struct Entries {
    std::map<uint64_t, std::vector<Intent>> open;  // by attempt
    std::map<uint64_t, BillLine> billed;
  };
  struct Life {
    Entries current;
    Entries earlier;  // held until the stream's new beginning is complete
    CopyReceiver receiver;
  };

  static void Add(const IntentBatch& batch, Entries* entries);
  static void Forget(uint64_t sequence, Life* life);
  void TakeLocked(const IntentBatch& batch, Life* life);

  mutable std::mutex mutex_;
  std::map<std::string, Life> lives_;
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
bool SettleLine(uint64_t sequence, const std::vector<Intent>& dispatches,
                const std::vector<DispatchState>& states, bool give_up,
                BillLine* line);

// The one line that counts for each request id. Not thread-safe.
class Ledger {
 public:
  void Read(const BillRecord& record);

  // Lines by request id. A void line stands only until another comes.
  const std::map<std::string, BillLine>& lines() const { return lines_; }

  // Lines that were dropped because their id had one already.
  uint64_t repeated() const { return repeated_; }

 private:
  std::map<std::string, BillLine> lines_;
  uint64_t repeated_ = 0;
};

}  // namespace leverwick

#endif  // LEVERWICK_BILLS_H_
