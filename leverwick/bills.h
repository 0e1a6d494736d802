// Billing records: every request is billed exactly once, also when the box that
// serves it crashes.
//
// A request id consists of the box's incarnation ("life" in the schema) and a
// sequence number. Before a request is dispatched, an intent (the open request)
// is replicated to peers of the data centre. When the request completes, a bill
// line replaces its intents, and bill lines are appended to the platform's log
// in batches. When an incarnation is gone, the peers that hold its intents
// settle them: they query the endpoints for what was executed and append bill
// lines under the same ids. The ledger keeps one line per id. It is therefore
// harmless if two peers settle the same request, if an incarnation that was
// presumed dead resumes and appends too, or if an append is repeated because
// its reply was lost.
//
//   BillQueue    a box's own lines that are not in the log yet
//   IntentStore  replicas of the records of other incarnations
//   Ledger       reads the log and selects the line that counts for each id

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

// Returns "incarnation.sequence".
std::string RequestId(const std::string& incarnation, uint64_t sequence);

// Parses an id made by RequestId. Returns false if `id` does not have that
// form.
bool ParseRequestId(const std::string& id, std::string* incarnation,
                    uint64_t* sequence);

// Finished bill lines of this box that are not in the log yet. Thread-safe.
class BillQueue {
 public:
  explicit BillQueue(size_t max_queued) : max_queued_(max_queued) {}

  // Returns true if the queue has reached its bound; new requests must then be
  // rejected.
  bool full() const;

  void Add(BillLine line);

  // Returns the oldest lines, at most `max_lines`. They stay queued until
  // RemoveAppended is called.
  std::vector<BillLine> PeekOldest(size_t max_lines) const;

  // Removes the `count` oldest lines after the log has acknowledged them.
  void RemoveAppended(size_t count);

  size_t size() const;

 private:
  const size_t max_queued_;
  mutable std::mutex mutex_;
  std::deque<BillLine> lines_;
};

// Replicas of the open requests and unappended bill lines of other
// incarnations. Thread-safe.
class IntentStore {
 public:
  // Applies a batch of one incarnation.
  void Apply(const IntentBatch& batch);

  // Applies a message of the replication stream of an incarnation. Returns
  // false if the sender must start a new generation.
  bool ApplyMessage(const CopyBatch& message);

  // All records held for one incarnation. Intents whose sequence is already
  // billed are left out.
  struct Records {
    std::map<uint64_t, std::vector<Intent>> open;  // dispatches by sequence
    std::vector<BillLine> billed;
  };
  Records RecordsFor(const std::string& incarnation) const;

  // Removes settled sequences, and the incarnation when it has no records left.
  void RemoveSettled(const std::string& incarnation,
                     const std::vector<uint64_t>& sequences);

  std::vector<std::string> incarnations() const;

  // Returns the number of open requests and bill lines held.
  size_t size() const;

 private:
  struct Entries {
    std::map<uint64_t, std::vector<Intent>> open;  // by sequence
    std::map<uint64_t, BillLine> billed;
  };
  struct Incarnation {
    Entries current;
    Entries previous;  // kept until the new generation's snapshot is complete
    ReplicationReceiver receiver;
  };

  static void AddBatch(const IntentBatch& batch, Entries* entries);
  static void Erase(uint64_t sequence, Incarnation* incarnation);
  void ApplyLocked(const IntentBatch& batch, Incarnation* incarnation);

  mutable std::mutex mutex_;
  std::map<std::string, Incarnation> incarnations_;
};

// What an endpoint reports about one dispatch.
struct DispatchState {
  enum State { kUnreachable, kNeverSeen, kRunning, kFinished };
  State state = kUnreachable;
  int64_t prompt_tokens = 0;
  int64_t completion_tokens = 0;
};

// Builds the bill line that settles a lost request from what its endpoints
// reported about each dispatch. Returns false while the outcome is undecided.
// With `give_up`, unreachable endpoints and unfinished dispatches are no longer
// waited for; each of them makes the outcome UNKNOWN.
bool BuildSettlementLine(uint64_t sequence,
                         const std::vector<Intent>& dispatches,
                         const std::vector<DispatchState>& states, bool give_up,
                         BillLine* line);

// Selects the one bill line that counts for each request id. Not thread-safe.
class Ledger {
 public:
  void Apply(const BillRecord& record);

  // Lines by request id. A VOID line is replaced by any later line of its id.
  const std::map<std::string, BillLine>& lines() const { return lines_; }

  // Number of lines dropped because their id already had one.
  uint64_t duplicates() const { return duplicates_; }

 private:
  std::map<std::string, BillLine> lines_;
  uint64_t duplicates_ = 0;
};

}  // namespace leverwick

#endif  // LEVERWICK_BILLS_H_
