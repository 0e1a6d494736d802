// The methods this box answers for other boxes.

#ifndef DAEMON_PEER_SERVICE_H_
#define DAEMON_PEER_SERVICE_H_

#include "daemon/claim_desk.h"
#include "daemon/node.h"
#include "daemon/platform_watcher.h"
#include "daemon/roster_keeper.h"
#include "daemon/table_reader.h"
#include "net/frames.h"
#include "net/rpc.h"

namespace leverwick {

// Adds every method to `server`; the parts must outlive it.
void AddPeerMethods(Node* node, TableReader* tables, RosterKeeper* roster,
                    ClaimDesk* claims, PlatformWatcher* watcher,
                    RpcServer* server);

// Adds what comes as frames.
void AddPeerFrames(Node* node, RosterKeeper* roster, FrameServer* server);

}  // namespace leverwick

#endif  // DAEMON_PEER_SERVICE_H_
