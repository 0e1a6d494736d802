// One line a method: which part answers it.

#include "daemon/peer_service.h"

namespace leverwick {

void AddPeerMethods(Node* node, TableReader* tables, RosterKeeper* roster,
                    ClaimDesk* claims, PlatformWatcher* watcher,
                    RpcServer* server) {
  server->Add<Heartbeat, HeartbeatReply>(
      "Heartbeat", [roster](const Heartbeat& request, HeartbeatReply* reply) {
        return roster->ServeHeartbeat(request, reply);
      });
  server->Add<TailRequest, TailReply>(
      "Tail", [tables](const TailRequest& request, TailReply* reply) {
        return tables->ServeTail(request, reply);
      });
  server->Add<SealRequest, SealReply>(
      "Seal", [node](const SealRequest& request, SealReply* reply) {
        *reply = node->claim_copies.Seal(request);
        return true;
      });
  server->Add<InstallRequest, Ack>(
      "Install", [node](const InstallRequest& request, Ack* reply) {
        reply->set_accepted(node->claim_copies.Install(request));
        return true;
      });
  server->Add<PutRequest, Ack>(
      "Put", [node](const PutRequest& request, Ack* reply) {
        reply->set_accepted(node->claim_copies.Put(request));
        return true;
      });
  server->Add<ClaimRequest, ClaimReply>(
      "Claim", [claims](const ClaimRequest& request, ClaimReply* reply) {
        return claims->ServeClaim(request, reply);
      });
  server->Add<ShareRequest, ShareReply>(
      "MoveShare", [roster](const ShareRequest& request, ShareReply* reply) {
        return roster->ServeShare(request, reply);
      });
  server->Add<ListRequest, ListReply>(
      "List", [watcher](const ListRequest& request, ListReply* reply) {
        return watcher->ServeList(request, reply);
      });
}

void AddPeerFrames(Node* node, RosterKeeper* roster, FrameServer* server) {
  server->Add<Heartbeat, HeartbeatReply>(
      FRAME_HEARTBEAT,
      [roster](const Heartbeat& request, HeartbeatReply* reply) {
        return roster->ServeHeartbeat(request, reply);
      });
  server->Add<CopyBatch, Ack>(
      FRAME_COPIES, [node](const CopyBatch& request, Ack* reply) {
        reply->set_accepted(node->intents.ApplyMessage(request));
        return true;
      });
}

}  // namespace leverwick
