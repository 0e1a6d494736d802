// The usable share is at most the minimum share since the last settled epoch,
// because a peer may still be at any epoch since then.
//
// Each organisation has two token buckets, one for requests and one for tokens,
// which are refilled at limit * data_centre_share * share. A bucket holds the
// refill of kBurstWindow, so an organisation can exceed its limit by at most
// that burst, once.
//
// Demand is the larger of the requested requests and tokens per second over
// kDemandWindow, as a fraction of the data centre's limit. A box gives away
// only share above its demand and requests share only below it.

#include "leverwick/rate_limiter.h"

#include <algorithm>
#include <cmath>

#include "leverwick/digest.h"

namespace leverwick {
namespace {

constexpr Seconds kBurstWindow(1.0);
constexpr Seconds kDemandWindow(1.0);
constexpr Seconds kMaxRetryAfter(30.0);
// A box keeps a share of kDemandHeadroom times its demand, and at least
// kMinShare.
constexpr double kDemandHeadroom = 1.25;
constexpr double kMinShare = 0.02;

void Refill(double rate, TimePoint now, TimePoint* last_refill,
            bool* initialized, double* level) {
  double burst = std::max(1.0, rate * kBurstWindow.count());
  if (!*initialized) {
    *initialized = true;
    *level = burst;
  } else {
    *level = std::min(burst, *level + rate * ToSeconds(now - *last_refill));
  }
  *last_refill = now;
}

// Returns the time until the bucket holds `needed` more, at most
// kMaxRetryAfter.
nanoseconds RefillTime(double needed, double rate) {
  if (needed <= 0) return nanoseconds(0);
  double seconds = rate > 0 ? needed / rate : kMaxRetryAfter.count();
  return FromSeconds(std::min(seconds, kMaxRetryAfter.count()));
}

}  // namespace

void RateLimiter::SetRoster(uint64_t epoch, size_t members,
                            double data_centre_share, bool is_first_roster) {
  std::lock_guard<std::mutex> lock(mutex_);
  roster_.data_centre_share = data_centre_share;
  if (epoch == roster_.epoch) return;
  // A box that was in no roster before holds no older share.
  double previous_share =
      roster_.epoch == 0 ? 0 : 1.0 / static_cast<double>(roster_.members);
  roster_.min_unsettled_share =
      roster_.is_settled
          ? previous_share
          : std::min(roster_.min_unsettled_share, previous_share);
  roster_.is_settled = is_first_roster;
  roster_.epoch = epoch;
  roster_.members = std::max<size_t>(1, members);
}

void RateLimiter::MarkEpochSettled(uint64_t epoch) {
  std::lock_guard<std::mutex> lock(mutex_);
  if (epoch == roster_.epoch) roster_.is_settled = true;
}

RateLimiter::RosterView RateLimiter::roster() const {
  std::lock_guard<std::mutex> lock(mutex_);
  return roster_;
}

RateLimiter::Shard& RateLimiter::ShardFor(
    const std::string& organisation) const {
  return shards_[StableHash(organisation) % kShards];
}

RateLimiter::OrganisationState& RateLimiter::ApplyRoster(
    const RosterView& roster, OrganisationState* state) {
  if (state->epoch == roster.epoch) return *state;
  state->min_unsettled_share =
      state->epoch == 0 ? roster.min_unsettled_share
                        : std::min(roster.min_unsettled_share, state->share);
  state->share = 1.0 / static_cast<double>(roster.members);
  state->epoch = roster.epoch;
  return *state;
}

double RateLimiter::UsableShare(const RosterView& roster,
                                const OrganisationState& state) {
  return roster.is_settled ? state.share
                           : std::min(state.share, state.min_unsettled_share);
}

void RateLimiter::RecordDemand(const Organisation& organisation,
                               const RosterView& roster, double tokens,
                               TimePoint now, OrganisationState* state) {
  double data_centre_share = roster.data_centre_share;
  double window_demand = 0;
  if (organisation.requests_per_second() > 0) {
    window_demand =
        1 / (organisation.requests_per_second() * data_centre_share);
  }
  if (organisation.tokens_per_second() > 0) {
    window_demand = std::max(
        window_demand,
        tokens / (organisation.tokens_per_second() * data_centre_share));
  }
  state->window_demand += window_demand;
  double elapsed = ToSeconds(now - state->window_start);
  if (elapsed < kDemandWindow.count()) return;
  state->demand = state->window_demand / elapsed;
  state->window_demand = 0;
  state->window_start = now;
}

RateLimiter::Decision RateLimiter::Admit(const Organisation& organisation,
                                         double tokens, TimePoint now) {
  RosterView view = roster();
  Shard& shard = ShardFor(organisation.name());
  std::lock_guard<std::mutex> lock(shard.mutex);
  OrganisationState& state =
      ApplyRoster(view, &shard.organisations[organisation.name()]);
  RecordDemand(organisation, view, tokens, now, &state);
  double share = view.data_centre_share * UsableShare(view, state);
  double request_rate = organisation.requests_per_second() * share;
  double token_rate = organisation.tokens_per_second() * share;
  bool limits_requests = organisation.requests_per_second() > 0;
  bool limits_tokens = organisation.tokens_per_second() > 0;
  Refill(request_rate, now, &state.requests.last_refill,
         &state.requests.initialized, &state.requests.level);
  Refill(token_rate, now, &state.tokens.last_refill, &state.tokens.initialized,
         &state.tokens.level);
  // A request larger than the burst is admitted once the bucket is full.
  double needed =
      std::min(tokens, std::max(1.0, token_rate * kBurstWindow.count()));
  bool has_requests = !limits_requests || state.requests.level >= 1;
  bool has_tokens = !limits_tokens || state.tokens.level >= needed;
  if (has_requests && has_tokens) {
    if (limits_requests) state.requests.level -= 1;
    if (limits_tokens) state.tokens.level -= tokens;
    return Decision{true, nanoseconds(0)};
  }
  nanoseconds wait{0};
  if (!has_requests) wait = RefillTime(1 - state.requests.level, request_rate);
  if (!has_tokens) {
    wait = std::max(wait, RefillTime(needed - state.tokens.level, token_rate));
  }
  return Decision{false, wait};
}

void RateLimiter::ReconcileTokens(const std::string& organisation,
                                  double expected, double actual) {
  Shard& shard = ShardFor(organisation);
  std::lock_guard<std::mutex> lock(shard.mutex);
  auto found = shard.organisations.find(organisation);
  if (found == shard.organisations.end()) return;
  found->second.tokens.level += expected - actual;
}

double RateLimiter::ReleaseShare(const std::string& organisation,
                                 uint64_t epoch, double wanted) {
  RosterView view = roster();
  Shard& shard = ShardFor(organisation);
  std::lock_guard<std::mutex> lock(shard.mutex);
  if (epoch != view.epoch || !view.is_settled) return 0;
  OrganisationState& state =
      ApplyRoster(view, &shard.organisations[organisation]);
  double kept_share = std::max(kMinShare, state.demand * kDemandHeadroom);
  double given = std::max(0.0, std::min(wanted, state.share - kept_share));
  state.share -= given;
  return given;
}

void RateLimiter::AddShare(const std::string& organisation, uint64_t epoch,
                           double given) {
  RosterView view = roster();
  Shard& shard = ShardFor(organisation);
  std::lock_guard<std::mutex> lock(shard.mutex);
  OrganisationState& state =
      ApplyRoster(view, &shard.organisations[organisation]);
  if (state.epoch == epoch) state.share += given;
}

double RateLimiter::ComputeMissingShare(const std::string& organisation) const {
  Shard& shard = ShardFor(organisation);
  std::lock_guard<std::mutex> lock(shard.mutex);
  auto found = shard.organisations.find(organisation);
  if (found == shard.organisations.end()) return 0;
  double missing = found->second.demand * kDemandHeadroom - found->second.share;
  return std::max(0.0, std::min(1.0, missing));
}

double RateLimiter::ShareFor(const std::string& organisation) const {
  RosterView view = roster();
  Shard& shard = ShardFor(organisation);
  std::lock_guard<std::mutex> lock(shard.mutex);
  return UsableShare(view,
                     ApplyRoster(view, &shard.organisations[organisation]));
}

uint64_t RateLimiter::epoch() const { return roster().epoch; }

}  // namespace leverwick
