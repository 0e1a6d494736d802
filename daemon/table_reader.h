// Keeps this box's table up with the configuration log.
//
// One box of a data centre, the reader, tails the platform's log; the others
// tail the reader, and the log itself when the reader is silent. A fresh box
// starts from the log's newest snapshot and the records after it, or from any
// peer's table while the platform is out.

#ifndef DAEMON_TABLE_READER_H_
#define DAEMON_TABLE_READER_H_

#include <condition_variable>
#include <deque>
#include <mutex>
#include <vector>

#include "daemon/node.h"
#include "daemon/worker.h"

namespace leverwick {

class TableReader {
 public:
  explicit TableReader(Node* node) : node_(node) {}

  void Start();
  void Stop() { worker_.Stop(); }

  // Answers a peer's Tail call.
  bool ServeTail(const TailRequest& request, TailReply* reply);

  // Reads the end of the log now.
  void Poke() { worker_.Poke(); }

 private:
  void Step();
  void AttemptFailed();
  std::error_code ReadOnce(TailReply* reply, bool* from_peer);
  std::error_code ReadPeer(const Member& member, uint64_t from,
                           TailReply* reply);
  bool StartFromSnapshot();
  bool StartFromPeers();
  std::vector<Member> KnownPeers() const;
  void TakeSnapshot(const TailReply& reply);
  void Apply(const TailReply& reply);
  void Publish();
  void MaybeWriteSnapshot(uint64_t first_retained);

  Node* const node_;
  Worker worker_;
  std::mutex mutex_;
  std::condition_variable changed_;
  Table table_;                    // written by the worker only
  std::deque<TailRecord> recent_;  // for ServeTail
  uint64_t last_snapshot_ = 0;     // through this offset
  size_t next_peer_ = 0;
};

}  // namespace leverwick

#endif  // DAEMON_TABLE_READER_H_
