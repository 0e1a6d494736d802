// Which endpoint of a version takes a request.
//
// A box's own requests in progress are exact; load reports are late and count
// everyone's requests, so they are discounted with age; the platform's list
// lags, so an endpoint's own word that it is leaving wins over it. A prompt
// goes where its prefix was sent before (rendezvous hash), unless that
// endpoint is much busier than another.
//
//   EndpointPool pool;
//   pool.SetListed(endpoints, now);
//   EndpointPool::Choice choice = pool.Pick({"swift", "3"}, prefix, {}, now);
//   pool.RecordStart(choice.address); ... pool.RecordCompletion(choice.address,
//   ok, now);

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
  std::string version;       // of its software; may be empty
  size_t max_in_flight = 1;  // requests it serves at once
  bool leaving = false;
};

struct LoadReport {
  size_t running = 0;
  size_t queued = 0;
  bool leaving = false;
};

// Thread-safe; endpoints are sharded by target.
class EndpointPool {
 public:
  struct Choice {
    std::string address;  // empty: no endpoint may take it
    double load = 0;      // requests over max_in_flight, of the endpoint chosen
  };

  // Replaces what the platform lists. Endpoints that vanish are kept while
  // requests run on them.
  void SetListed(const std::vector<ListedEndpoint>& endpoints, TimePoint now);
  // Adds or changes one endpoint of the list, or takes it away; one that is
  // taken away is kept while requests run on it. Costs no look at the others,
  // as a list that changes entry by entry needs.
  void Put(const ListedEndpoint& endpoint, TimePoint now);
  void Remove(const std::string& address);

  // An endpoint's own report, or a peer's note of it.
  void RecordReport(const std::string& address, const LoadReport& report,
                    TimePoint now);

  // Picks an endpoint for `target`. `affinity` is a hash of organisation and
  // prompt prefix; `excluded` were tried already.
  Choice Pick(const std::string& target, uint64_t affinity,
              const std::set<std::string>& excluded, TimePoint now) const;

  // Whether a request may go to an endpoint at all.
  using Filter = std::function<bool(const ListedEndpoint&)>;
  // What a request would cost at an endpoint; `preferred`: the one that the
  // affinity hashes to.
  using Cost = std::function<double(const ListedEndpoint&, bool preferred)>;
  // The allowed endpoint of least cost; among equals the one preferred most.
  Choice PickCheapest(const std::string& target, uint64_t affinity,
                      const std::set<std::string>& excluded, TimePoint now,
                      const Filter& allowed, const Cost& cost) const;

  // The simple reference of Pick: the least loaded of all, no affinity.
  Choice PickLeastLoaded(const std::string& target,
                         const std::set<std::string>& excluded,
                         TimePoint now) const;

  void RecordStart(const std::string& address);
  // `good`: the endpoint answered; false ejects it after repeated failures.
  void RecordCompletion(const std::string& address, bool good, TimePoint now);

  // The endpoint says that it is leaving, or it refused connections.
  void MarkLeaving(const std::string& address, TimePoint now);

  // Whether any endpoint of the target may take work.
  bool HasUsable(const std::string& target, TimePoint now) const;

  // Whether an endpoint of the target that is listed and does not leave is one
  // that `filter` takes, also if it can't be used now.
  bool AnyListed(const std::string& target, const Filter& filter) const;

  // Places of a target's usable endpoints.
  size_t TotalMaxInFlight(const std::string& target, TimePoint now) const;

  // What to tell peers of an endpoint: this box's newest report of it. False
  // when it has none that is recent.
  bool FillNote(const std::string& address, TimePoint now,
                EndpointNote* note) const;

  // A report this box read itself, which NoteOf passes on.
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
    double others_in_flight = 0;  // others' requests at the report
    TimePoint reported_at{};
    LoadReport own_report;  // by this box, passed on to peers
    TimePoint own_report_at{};
    bool leaving = false;  // by its own word
    TimePoint leaving_since{};
    size_t consecutive_failures = 0;  // in a row
    TimePoint ejected_until{};
  };
  using Endpoints = std::map<std::string, Endpoint>;
  struct Shard {
    mutable std::mutex mutex;
    std::map<std::string, Endpoints> targets;
  };
  static constexpr size_t kShards = 16;

  Shard& ShardFor(const std::string& target) const;
  // Drops an endpoint that is neither listed nor in use.
  void DropUnused(const std::string& address);
  template <typename Function>
  void WithEndpoint(const std::string& address, Function function) const;
  // Drops what is neither listed nor in use; adds the rest to `by_address`.
  static void Prune(Shard* shard,
                    std::map<std::string, std::string>* by_address);
  static bool IsUsable(const Endpoint& endpoint);
  static double ComputeLoad(const Endpoint& endpoint, TimePoint now);
  static std::vector<const Endpoint*> FindCandidates(
      const Endpoints& endpoints, const std::set<std::string>& excluded,
      TimePoint now, const Filter& allowed = nullptr);
  static void UpdateListed(const ListedEndpoint& listed, TimePoint now,
                           Endpoint* endpoint);

  mutable std::mutex address_mutex_;
  std::map<std::string, std::string> target_by_address_;
  mutable std::array<Shard, kShards> shards_;
};

}  // namespace leverwick

#endif  // LEVERWICK_ENDPOINT_POOL_H_
