// RateLimiter enforces the rate limits of organisations across boxes.
//
// Every limit is split twice. It is split between data centres by the table's
// weights, so that a data centre that is cut off keeps its share and no
// agreement across the partition is needed. Within a data centre it is split
// into shares of the boxes, whose sum is at most 1. Each roster epoch starts
// with equal shares. A box that needs more requests share from a peer with
// slack. The peer reduces its own share before it replies, so a lost reply
// loses share until the next epoch but never creates any.
//
// On an epoch change some boxes could use new shares while others still use old
// ones. Until every member of the new roster is known to have moved to the new
// epoch (the epoch is settled), a box uses the smaller of its old and new
// shares.
//
//   RateLimiter limiter;
//   limiter.SetRoster(epoch, members, data_centre_share, is_first_roster);
//   RateLimiter::Decision decision = limiter.Admit(organisation, tokens, now);

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
    nanoseconds retry_after{0};  // if refused
  };

  // Starts a roster epoch with `members` boxes. `data_centre_share` is the data
  // centre's fraction of every limit. `is_first_roster` is true for the data
  // centre's first roster, when no box can hold older shares.
  void SetRoster(uint64_t epoch, size_t members, double data_centre_share,
                 bool is_first_roster);

  // Records that every member has moved to the epoch.
  void MarkEpochSettled(uint64_t epoch);

  // Admits one request of `tokens` expected tokens if this box's share allows
  // it.
  Decision Admit(const Organisation& organisation, double tokens,
                 TimePoint now);

  // Corrects the tokens charged by Admit once the actual number is known.
  void ReconcileTokens(const std::string& organisation, double expected,
                       double actual);

  // Gives up to `wanted` of this box's share of an organisation's limit to a
  // peer in the same epoch. Returns the share that was given. Keeps the share
  // that recent demand requires.
  double ReleaseShare(const std::string& organisation, uint64_t epoch,
                      double wanted);

  // Adds share received from a peer in this epoch.
  void AddShare(const std::string& organisation, uint64_t epoch, double given);

  // Returns the share that this box needs in addition to its own, or 0 if it
  // has slack.
  double ComputeMissingShare(const std::string& organisation) const;

  // Returns this box's share of the data centre's limit, between 0 and 1.
  double ShareFor(const std::string& organisation) const;

  uint64_t epoch() const;

 private:
  struct TokenBucket {
    double level = 0;  // requests or tokens that may be spent now
    TimePoint last_refill{};
    bool initialized = false;
  };
  struct OrganisationState {
    uint64_t epoch = 0;
    double share = 0;
    // Minimum share since the last settled epoch.
    double min_unsettled_share = 0;
    // Recent demand as a fraction of the data centre's limit.
    double demand = 0;
    TimePoint window_start{};
    double window_demand = 0;  // demand since `window_start`
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
    // Smallest equal share since the last settled epoch.
    double min_unsettled_share = 0;
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
