// Keeps one peer told of this box's open requests and unappended lines, one
// message at a time: what gathers while a message is under way goes with the
// next (group commit).
//
// A stream begins with all that is open or unappended, and begins anew after a
// message that failed: the first time at once, while requests wait, and then
// with pauses, while they don't.

#ifndef DAEMON_COPY_STREAM_H_
#define DAEMON_COPY_STREAM_H_

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

#include "daemon/node.h"
#include "leverwick/replication_stream.h"

namespace leverwick {

class CopyStream {
 public:
  // `state` tells all that is open or unappended now; called by the stream's
  // thread, without locks.
  CopyStream(Node* node, Member peer, std::function<IntentBatch()> state);
  ~CopyStream();

  // Adds to the next message and returns its number; 0: not waited for, since
  // the peer does not answer now.
  uint64_t Add(const IntentBatch& news);

  // Waits until the message with this number was answered; false when the peer
  // does not hold it.
  bool Wait(uint64_t number);

  // Whether the peer holds everything that was added so far.
  bool caught_up() const;

 private:
  void Run();
  bool SendGathered(std::unique_lock<std::mutex>* lock);
  void Begin(std::unique_lock<std::mutex>* lock);
  bool SendOne(std::unique_lock<std::mutex>* lock);

  Node* const node_;
  const Member peer_;
  const std::function<IntentBatch()> state_;
  mutable std::mutex mutex_;
  std::condition_variable changed_;
  ReplicationSender sender_;
  uint64_t next_number_ = 1;  // of the message being gathered
  uint64_t awaited_ = 0;      // highest number that Add has returned
  uint64_t answered_ = 0;
  uint64_t held_ = 0;     // highest number that the peer has accepted
  bool failing_ = false;  // the last messages failed
  bool stopped_ = false;
  std::thread thread_;
};

}  // namespace leverwick

#endif  // DAEMON_COPY_STREAM_H_
