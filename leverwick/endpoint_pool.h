// EndpointPool holds the endpoints of each target and picks one for a request.
//
// The number of requests that this box has in flight is exact. Load reports are
// late and include the requests of all boxes, so their weight decays with age.
// The platform's endpoint list lags, so an endpoint's own report that it is
// leaving takes precedence. Requests with the same prompt prefix go to the same
// endpoint (rendezvous hashing) unless that endpoint is much busier than the
// least loaded one.
//
//   EndpointPool pool;
//   pool.SetListed(endpoints, now);
//   EndpointPool::Choice choice = pool.Pick("swift@3", prefix, {}, now);
//   pool.RecordStart(choice.address);
//   ...
//   pool.RecordCompletion(choice.address, ok, now);

#ifndef LEVERWICK_ENDPOINT_POOL_H_
#define LEVERWICK_ENDPOINT_POOL_H_

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "leverwick/time.h"
#include "schema/peer.pb.h"

namespace leverwick {

// One endpoint as the platform lists it.
struct ListedEndpoint {
  std::string address;  // ip:port
  std::string target;   // "model@version", or "service/NAME"
  std::string data_centre;
  std::string version;               // of its software; may be empty
  size_t max_in_flight = 1;          // concurrent requests that it serves
  bool lists_max_in_flight = false;  // false: max_in_flight is assumed
  bool leaving = false;
};

struct LoadReport {
  size_t running = 0;
  size_t queued = 0;
  bool leaving = false;
};

// Restricts a pick from a long list to the endpoints with the highest
// rendezvous weights: most of them in `data_centre`, the others anywhere.
// Requests with the same affinity are restricted to the same endpoints.
struct CandidateBound {
  std::string data_centre;
  size_t max_candidates = 0;  // 0: no bound
};

// Thread-safe; endpoints are sharded by target.
// How a request is spread over endpoints of different capacity.
struct CapacitySpread {
  // Returns how much work an endpoint does in a given time, relative to others;
  // above 0. Null: all are equal.
  using Capacity = std::function<double(const ListedEndpoint&)>;
  Capacity capacity;
  uint64_t request_hash = 0;  // differs between requests of one affinity
};

class EndpointPool {
 public:
  struct Choice {
    std::string address;  // empty if no endpoint is available
    double load = 0;      // in-flight requests / max_in_flight
  };

  // Replaces the list of endpoints. Endpoints that are no longer listed are
  // kept until their requests complete.
  void SetListed(const std::vector<ListedEndpoint>& endpoints, TimePoint now);
  // Put adds or updates one listed endpoint and Remove removes one; a removed
  // endpoint is kept until its requests complete. Neither visits other
  // endpoints, so that lists can be updated entry by entry at low cost.
  void Put(const ListedEndpoint& endpoint, TimePoint now);
  void Remove(const std::string& address);

  // Records a load report, read from the endpoint itself or received from a
  // peer.
  void RecordReport(const std::string& address, const LoadReport& report,
                    TimePoint now);

  // Picks an endpoint of `target`. `affinity` is a hash of organisation and
  // prompt prefix; `excluded` holds the endpoints that were already attempted.
  Choice Pick(const std::string& target, uint64_t affinity,
              const std::set<std::string>& excluded, TimePoint now) const;

  // Returns whether a request may be sent to an endpoint at all.
  using Filter = std::function<bool(const ListedEndpoint&)>;
  // Returns the cost of sending a request to an endpoint. `preferred` is true
  // for the endpoint that the affinity hashes to.
  using Cost = std::function<double(const ListedEndpoint&, bool preferred)>;
  // Picks the allowed endpoint with the lowest cost, and among those the one
  // with the highest rendezvous weight. If none of the endpoints within the
  // bound is allowed, picks from all.
  //
  // The share of affinities that hash to an endpoint is in proportion to its
  // capacity. Where capacities differ, a request is compared at a few endpoints
  // only: at those that its affinity ranks highest, and at some that its own
  // hash does. So boxes with old reports don't all turn to one endpoint, and a
  // frequent affinity isn't confined to its own. The endpoints of the bound's
  // data centre are limited apart from all others.
  Choice PickCheapest(const std::string& target, uint64_t affinity,
                      const std::set<std::string>& excluded, TimePoint now,
                      const Filter& allowed, const Cost& cost,
                      const CandidateBound& bound = {},
                      const CapacitySpread& spread = {}) const;

  // Picks the least loaded endpoint, without affinity. Serves as the reference
  // for Pick.
  Choice PickLeastLoaded(const std::string& target,
                         const std::set<std::string>& excluded,
                         TimePoint now) const;

  void RecordStart(const std::string& address);
  // Records the end of a request. `succeeded` is true if the endpoint
  // responded; repeated failures eject the endpoint.
  void RecordCompletion(const std::string& address, bool succeeded,
                        TimePoint now);

  // Marks an endpoint that reported that it is leaving, or that refused
  // connections.
  void MarkLeaving(const std::string& address, TimePoint now);

  // Returns whether any endpoint of the target can be picked.
  bool HasUsable(const std::string& target, TimePoint now) const;

  // Returns whether `filter` accepts a listed endpoint of the target that is
  // not leaving, including endpoints that cannot be picked at present.
  bool AnyListed(const std::string& target, const Filter& filter) const;

  // Returns the number of listed endpoints of the target that are not leaving.
  size_t CountUsable(const std::string& target) const;
  // Forgets the failures of the target's endpoints, so that none is ejected.
  void ForgetFailures(const std::string& target);

  // Returns the sum of max_in_flight over the endpoints of the target that can
  // be picked.
  size_t TotalMaxInFlight(const std::string& target, TimePoint now) const;

  // Fills `note` with the newest report that this box read from the endpoint,
  // to send to peers. Returns false if there is no recent report.
  bool FillNote(const std::string& address, TimePoint now,
                EndpointNote* note) const;

  // Records a report that this box read from the endpoint itself, for FillNote.
  void RecordOwnReport(const std::string& address, const LoadReport& report,
                       TimePoint now);

  std::vector<std::string> addresses() const;
  std::string FindTarget(const std::string& address) const;
  size_t OwnInFlight(const std::string& address) const;

 private:
  struct Endpoint {
    ListedEndpoint listed;
    bool is_listed = true;
    size_t own_in_flight = 0;
    double others_in_flight = 0;  // as of reported_at
    TimePoint reported_at{};
    LoadReport own_report;  // read by this box, sent to peers
    TimePoint own_report_at{};
    bool leaving = false;  // reported by the endpoint
    TimePoint leaving_since{};
    size_t consecutive_failures = 0;
    TimePoint ejected_until{};
  };
  using Endpoints = std::map<std::string, Endpoint>;
  struct Shard {
    mutable std::mutex mutex;
    std::map<std::string, Endpoints> targets;
  };
  static constexpr size_t kShards = 16;

  Shard& ShardFor(const std::string& target) const;
  // Removes an endpoint that is neither listed nor has requests in flight.
  void DropUnused(const std::string& address);
  template <typename Function>
  void WithEndpoint(const std::string& address, Function function) const;
  // Removes the endpoints that are neither listed nor have requests in flight;
  // adds the others to `by_address`.
  static void Prune(Shard* shard,
                    std::map<std::string, std::string>* by_address);
  static bool IsUsable(const Endpoint& endpoint);
  static double ComputeLoad(const Endpoint& endpoint, TimePoint now);
  static std::vector<const Endpoint*> FindCandidates(
      const Endpoints& endpoints, const std::set<std::string>& excluded,
      TimePoint now, const Filter& allowed = nullptr);
  static std::vector<const Endpoint*> FindCandidates(
      const std::vector<const Endpoint*>& endpoints,
      const std::set<std::string>& excluded, TimePoint now,
      const Filter& allowed);
  static std::vector<const Endpoint*> BoundCandidates(
      const Endpoints& endpoints, uint64_t affinity,
      const CandidateBound& bound);
  // An endpoint with its weight in rendezvous hashing.
  struct Candidate {
    const Endpoint* endpoint = nullptr;
    double capacity = 1;
  };
  using Candidates = std::vector<Candidate>;
  static Candidates WithCapacities(
      const std::vector<const Endpoint*>& endpoints,
      const CapacitySpread::Capacity& capacity);
  static bool AreAlike(const Candidates& candidates);
  static double ScoreOf(const Candidate& candidate, uint64_t key);
  // Returns the `count` candidates with the highest scores for the key.
  static Candidates Highest(Candidates candidates, uint64_t key, size_t count);
  // Limits candidates of different capacity, as PickCheapest tells.
  static Candidates LimitCandidates(const Candidates& candidates,
                                    uint64_t affinity, uint64_t request_hash,
                                    const std::string& data_centre);
  static void UpdateListed(const ListedEndpoint& listed, TimePoint now,
                           Endpoint* endpoint);

  mutable std::mutex address_mutex_;
  std::map<std::string, std::string> target_by_address_;
  mutable std::array<Shard, kShards> shards_;
};

}  // namespace leverwick

#endif  // LEVERWICK_ENDPOINT_POOL_H_
