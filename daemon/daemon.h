// A whole daemon: builds the parts, runs them, and stops them in order.
//
// A planned stop takes no new requests, lets those in progress end, gets the
// bills appended or held by peers, leaves the roster, and only then ends.

#ifndef DAEMON_DAEMON_H_
#define DAEMON_DAEMON_H_

#include <memory>

#include "daemon/admin.h"
#include "daemon/bill_keeper.h"
#include "daemon/claim_desk.h"
#include "daemon/explain.h"
#include "daemon/gateway.h"
#include "daemon/node.h"
#include "daemon/platform_watcher.h"
#include "daemon/roster_keeper.h"
#include "daemon/table_reader.h"
#include "net/frames.h"
#include "net/http_server.h"
#include "net/rpc.h"

namespace leverwick {

class Daemon {
 public:
  explicit Daemon(const DaemonSettings& settings);

  std::error_code Start();

  // A planned stop; returns the number of requests cut at the bound.
  int Stop();

  const std::string& life() const { return node_->life; }

 private:
  std::error_code StartServers();
  bool WaitForRequests(TimePoint bound);
  void HandOver(TimePoint bound);

  std::unique_ptr<Node> node_;
  TableReader tables_;
  BillKeeper bills_;
  ClaimDesk claims_;
  RosterKeeper roster_;
  PlatformWatcher watcher_;
  Explanations explanations_;
  Gateway gateway_;
  RpcServer rpc_;
  FrameServer frames_;
  HttpServer control_;
  HttpServer callers_;
  Admin admin_;
};

}  // namespace leverwick

#endif  // DAEMON_DAEMON_H_
