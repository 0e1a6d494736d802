// What the parts of one daemon share: its settings, its decisions' state and
// its clients. Built once by NodeBuilder; every member is thread-safe.

#ifndef DAEMON_NODE_H_
#define DAEMON_NODE_H_

#include <atomic>
#include <memory>
#include <string>

#include "daemon/peer_links.h"
#include "leverwick/bills.h"
#include "leverwick/claims.h"
#include "leverwick/endpoint_pool.h"
#include "leverwick/membership.h"
#include "leverwick/planner.h"
#include "leverwick/rate_limiter.h"
#include "leverwick/regression_detector.h"
#include "leverwick/retry_budget.h"
#include "leverwick/table.h"
#include "leverwick/table_freshness.h"
#include "leverwick/version_estimates.h"
#include "net/endpoint_client.h"
#include "net/metrics.h"
#include "net/platform_client.h"
#include "schema/settings.pb.h"

namespace leverwick {

struct Node {
  Node(const DaemonSettings& settings_in, const std::string& life_in);

  // The roster in force of this box's data centre; epoch 0 when there is none.
  Roster CurrentRoster() const;

  // Whether this box reads the log for its data centre.
  bool IsReader() const;

  // The member that reads the log for the data centre, unless it is this box.
  // False when this box reads itself.
  bool Reader(Member* reader) const;

  Member self() const;

  const DaemonSettings settings;
  const std::string life;
  TableHolder tables;
  TableFreshness freshness;
  Membership membership;
  EndpointPool endpoints;
  VersionEstimates estimates;
  RegressionDetector guard;
  RateLimiter limiter;
  Planner planner;
  RetryBudget retries;
  BillQueue bills;
  IntentStore intents;
  ClaimReplicas claim_copies;
  Metrics metrics;
  PlatformClient platform;
  EndpointClient endpoint_client;
  PeerLinks peers;
  std::atomic<bool> table_ready{false};
  std::atomic<bool> list_ready{false};
  // The roster on which all slots that this box owns are active; 0: none.
  std::atomic<uint64_t> slots_epoch{0};
  std::atomic<bool> stopping{false};
  std::atomic<int> in_progress{0};
  std::atomic<uint64_t> next_sequence{1};
  std::atomic<uint64_t> copy_generation{0};  // of all copy streams
};

// Makes a Node with a fresh life.
class NodeBuilder {
 public:
  NodeBuilder& Settings(const DaemonSettings& settings) {
    settings_ = settings;
    return *this;
  }
  // A life's name is the box's name and a random part, unless set here.
  NodeBuilder& Life(const std::string& life) {
    life_ = life;
    return *this;
  }
  std::unique_ptr<Node> Build() const;

 private:
  DaemonSettings settings_;
  std::string life_;
};

// `bytes` random bytes as lower-case hex.
std::string RandomHex(size_t bytes);

}  // namespace leverwick

#endif  // DAEMON_NODE_H_
