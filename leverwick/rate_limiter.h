// Limits of organisations that hold across boxes.
//
// Every limit is split twice. Between data centres by the table's weights, so
// that one that is cut off keeps its part and nothing need be agreed across
// the cut. Within a data centre into shares of its boxes, whose sum is at most
// 1: each roster epoch starts with equal shares, and a box in need takes from
// a peer with slack. The peer gives before the other has, so a lost answer
// loses some share until the next epoch and never makes any.
//
// An epoch change could hand out new shares while a box still uses old ones.
// Until every member of the new roster is known to have moved on, a box uses
// the smaller of its old and new share.
//
//   Limiter limiter;
//   limiter.SetRoster(epoch, members, data_centre_part);
//   Limiter::Decision decision = limiter.Admit(organisation, tokens, now);

#ifndef LEVERWICK_RATE_LIMITER_H_
#define LEVERWICK_RATE_LIMITER_H_

#include <array>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>

#include "leverwick/time.h"
#include "schema/table.pb.h"

namespace leverwick {

class RateLimiter {
 public:
  struct Decision {
    bool admitted = false;
    nanoseconds retry_after{0};  // when refused
  };

  // Starts a roster epoch with `members` boxes. `part` is the data centre's
  // fraction of every limit. `first`: the data centre's first roster, so that
  // nobody holds older shares.
  void SetRoster(uint64_t epoch, size_t members, double data_centre_share,
                 bool is_first_roster);

  // Every member is known to have moved on to the epoch.
  void MarkEpochSettled(uint64_t epoch);

  // Takes one request of `tokens` expected tokens, if the box's share allows.
  Decision Admit(const Organisation& organisation, double tokens,
                 TimePoint now);

  // Corrects the tokens taken by Admit once they are known.
  void ReconcileTokens(const std::string& organisation, double expected,
                       double actual);

  // Gives up to `wanted` of this box's share of an organisation to a peer in
  // the same epoch; returns what was given. Keeps what recent demand needs.
  double ReleaseShare(const std::string& organisation, uint64_t epoch,
                      double wanted);

  // Adds share that a peer gave in this epoch.
  void AddShare(const std::string& organisation, uint64_t epoch, double given);

  // Share this box would like to have beyond its own, 0 when it has slack.
  double ComputeMissingShare(const std::string& organisation) const;

  // This box's share of the data centre's part, 0 to 1.
  double ShareFor(const std::string& organisation) const;

  uint64_t epoch() const;

 private:
  struct TokenBucket {
    double balance = 0;       // units that may be spent now
    TimePoint last_refill{};  // when level was brought up to date
    bool initialized = false;
  };
  struct OrganisationState {
    uint64_t epoch = 0;
    double share = 0;
    double min_unsettled_share = 0;  // least share since the last settled epoch
    double demand = 0;               // recent demand as a fraction of the part
    TimePoint window_start{};
    double window_demand = 0;  // units asked since `measured`
    TokenBucket requests;
    TokenBucket tokens;
  };
  static constexpr size_t kShards = 16;
  struct Shard {
    mutable std::mutex mutex;
    std::map<std::string, OrganisationState> organisations;
  };
  struct RosterView {
    uint64_t epoch = 0;
    size_t members = 1;
    double data_centre_share = 1;
    bool is_settled = true;
    double min_unsettled_share =
        0;  // equal shares, least since the last settled epoch
  };

  Shard& ShardFor(const std::string& organisation) const;
  RosterView roster() const;
  static OrganisationState& ApplyRoster(const RosterView& roster,
                                        OrganisationState* state);
  static double UsableShare(const RosterView& roster,
                            const OrganisationState& state);
  static void RecordDemand(const Organisation& organisation,
                           const RosterView& roster, double tokens,
                           TimePoint now, OrganisationState* state);

  mutable std::mutex mutex_;  // guards roster_
  RosterView roster_;
  mutable std::array<Shard, kShards> shards_;
};

}  // namespace leverwick

#endif  // LEVERWICK_RATE_LIMITER_H_
