// Copies open requests to peers, appends bills to the log, and settles what
// boxes that are gone left open.

#ifndef DAEMON_BILL_KEEPER_H_
#define DAEMON_BILL_KEEPER_H_

#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "daemon/node.h"
#include "daemon/worker.h"

namespace leverwick {

// Sends one peer everything in order, one message at a time: what gathers
// while a message is under way goes with the next (group commit).
class CopyStream {
 public:
  CopyStream(Node* node, Member peer);
  ~CopyStream();

  // Adds to the next message and returns its number.
  uint64_t Add(const IntentBatch& batch);

  // Waits until the message with this number was answered; false when it
  // failed.
  bool Wait(uint64_t number);

  const Member& peer() const { return peer_; }

 private:
  void Run();

  Node* const node_;
  const Member peer_;
  std::mutex mutex_;
  std::condition_variable changed_;
  IntentBatch next_;
  uint64_t next_number_ = 1;  // of the message being gathered
  uint64_t answered_ = 0;
  uint64_t last_failed_ = 0;
  bool stopped_ = false;
  std::thread thread_;
};

class BillKeeper {
 public:
  explicit BillKeeper(Node* node) : node_(node) {}

  void Start();
  void Stop();

  // Copies an open request before its dispatch and waits for the copies.
  // Returns how many peers hold it.
  int Open(const Intent& intent);

  // Takes a finished request's line; returns at once.
  void Close(const BillLine& line);

  // Appends all queued lines, or makes sure that peers hold them; false when
  // neither was possible yet.
  bool Flush();

 private:
  std::vector<std::shared_ptr<CopyStream>> Streams();
  void AppendStep();
  void SettleStep();
  bool IsOver(const std::string& life);
  bool Settle(const std::string& life, bool give_up);
  DispatchState Ask(const std::string& life, const Intent& intent,
                    size_t attempt);
  std::error_code Append(const std::string& life,
                         const std::vector<BillLine>& lines);

  Node* const node_;
  Worker appender_;
  Worker settler_;
  std::mutex append_mutex_;  // one append at a time
  std::mutex mutex_;         // guards the streams
  std::map<std::string, std::shared_ptr<CopyStream>> streams_;  // by life
  std::map<std::string, TimePoint> over_since_;                 // settler only
};

}  // namespace leverwick

#endif  // DAEMON_BILL_KEEPER_H_
