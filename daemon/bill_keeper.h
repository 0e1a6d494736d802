// Copies open requests to peers, appends bills to the log, and settles what
// boxes that are gone left open.

#ifndef DAEMON_BILL_KEEPER_H_
#define DAEMON_BILL_KEEPER_H_

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "daemon/copy_stream.h"
#include "daemon/node.h"
#include "daemon/worker.h"

namespace leverwick {

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

  // Peers that hold all that is open or unappended.
  int copied_to() const;

 private:
  std::vector<std::shared_ptr<CopyStream>> Streams();
  IntentBatch CopyState() const;
  void AppendStep();
  void SettleStep();
  bool IsOver(const std::string& life);
  bool Settle(const std::string& life, bool give_up);
  DispatchState Ask(const std::string& life, const Intent& intent);
  std::error_code Append(const std::string& life,
                         const std::vector<BillLine>& lines);

  Node* const node_;
  IntentStore open_;  // this box's own requests, until they are billed
  Worker appender_;
  Worker settler_;
  std::mutex append_mutex_;   // one append at a time
  mutable std::mutex mutex_;  // guards the streams
  std::map<std::string, std::shared_ptr<CopyStream>> streams_;  // by life
  std::map<std::string, TimePoint> over_since_;                 // settler only
};

}  // namespace leverwick

#endif  // DAEMON_BILL_KEEPER_H_
