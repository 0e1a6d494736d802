// Heartbeats, roster proposals, slots, shares and roll-out steps: what a box
// does every half second about its peers.

#ifndef DAEMON_ROSTER_KEEPER_H_
#define DAEMON_ROSTER_KEEPER_H_

#include <atomic>
#include <map>
#include <string>

#include "daemon/claim_desk.h"
#include "daemon/node.h"
#include "daemon/worker.h"

namespace leverwick {

class RosterKeeper {
 public:
  RosterKeeper(Node* node, ClaimDesk* claims) : node_(node), claims_(claims) {}

  void Start();
  void Stop();

  // Answers a peer's Heartbeat call.
  bool ServeHeartbeat(const Heartbeat& heartbeat, HeartbeatReply* reply);

  // Answers a peer's MoveShare call.
  bool ServeShare(const ShareRequest& request, ShareReply* reply);

  // Leaves the roster; true once it is known to be without this box.
  bool Leave();

 private:
  struct StepState {
    int step = -1;
    TimePoint since{};
    uint64_t answers_before = 0;
  };

  void Propose();
  Heartbeat MakeHeartbeat(bool with_sums);
  void SendHeartbeats();
  void TakeReply(const HeartbeatReply& reply);
  void SendAcross(const Heartbeat& heartbeat);
  void TakeNews(const Heartbeat& heartbeat);
  void ProposeRoster(bool leaving);
  void UpdateLimiter();
  void MoveShares();
  void ReportTrips();
  void AdvanceRollouts();
  void AppendConfig(const ConfigRecord& record);
  ConfigRecord NewRecord(const std::string& what) const;

  Node* const node_;
  ClaimDesk* const claims_;
  // Calls to boxes or a platform that hang hold up the worker that makes them
  // and none of the others; above all not the ticker, whose lateness is taken
  // for a pause of this box.
  Worker ticker_;
  Worker sender_;
  Worker proposer_;
  Worker slots_;
  TimePoint next_proposal_{};
  TimePoint next_sums_{};
  TimePoint next_trip_{};
  std::atomic<uint64_t> beats_{0};
  std::map<std::string, StepState> steps_;  // by roll-out
};

}  // namespace leverwick

#endif  // DAEMON_ROSTER_KEEPER_H_
