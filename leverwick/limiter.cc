// The least share since the last settled epoch bounds the usable one, because
// a peer may still be at any epoch since then.
//
// Two token buckets an organisation, requests and tokens, filled at
// limit * part * share. The bucket holds kBurst seconds of that rate, so the
// most an organisation can exceed its limit by is that burst, once.
//
// Demand is the larger of the asked requests and tokens per second over the
// last kMeasure, as a fraction of the data centre's part; a box gives away
// only what lies above its demand, and wants what lies below.

#include "leverwick/limiter.h"

#include <algorithm>
#include <cmath>

#include "leverwick/digest.h"

namespace leverwick {
namespace {

constexpr Seconds kBurst(1.0);
constexpr Seconds kMeasure(1.0);
constexpr Seconds kLongestRetry(30.0);
// A box keeps this much more than its demand, and this much at least.
constexpr double kHeadroom = 1.25;
constexpr double kSmallestShare = 0.02;

void Fill(double rate, TimePoint now, TimePoint* filled, bool* started,
          double* level) {
  double burst = std::max(1.0, rate * kBurst.count());
  if (!*started) {
    *started = true;
    *level = burst;
  } else {
    *level = std::min(burst, *level + rate * ToSeconds(now - *filled));
  }
  *filled = now;
}

// Time until the bucket holds `need` more.
nanoseconds Until(double need, double rate) {
  if (need <= 0) return nanoseconds(0);
  double seconds = rate > 0 ? need / rate : kLongestRetry.count();
  return FromSeconds(std::min(seconds, kLongestRetry.count()));
}

}  // namespace

void Limiter::SetRoster(uint64_t epoch, size_t members, double part,
                        bool first) {
  std::lock_guard<std::mutex> lock(mutex_);
  roster_.part = part;
  if (epoch == roster_.epoch) return;
  // A box that was in no roster before holds no older share.
  double before =
      roster_.epoch == 0 ? 0 : 1.0 / static_cast<double>(roster_.members);
  roster_.old_share =
      roster_.settled ? before : std::min(roster_.old_share, before);
  roster_.settled = first;
  roster_.epoch = epoch;
  roster_.members = std::max<size_t>(1, members);
}

void Limiter::SetSettled(uint64_t epoch) {
  std::lock_guard<std::mutex> lock(mutex_);
  if (epoch == roster_.epoch) roster_.settled = true;
}

Limiter::RosterView Limiter::roster() const {
  std::lock_guard<std::mutex> lock(mutex_);
  return roster_;
}

Limiter::Shard& Limiter::ShardOf(const std::string& organisation) const {
  return shards_[StableHash(organisation) % kShards];
}

Limiter::State& Limiter::Refresh(const RosterView& roster, State* state) {
  if (state->epoch == roster.epoch) return *state;
  state->old_share = state->epoch == 0
                         ? roster.old_share
                         : std::min(roster.old_share, state->share);
  state->share = 1.0 / static_cast<double>(roster.members);
  state->epoch = roster.epoch;
  return *state;
}

double Limiter::Usable(const RosterView& roster, const State& state) {
  return roster.settled ? state.share : std::min(state.share, state.old_share);
}

void Limiter::Measure(const Organisation& organisation,
                      const RosterView& roster, double tokens, TimePoint now,
                      State* state) {
  double part = roster.part;
  double asked = 0;
  if (organisation.requests_per_second() > 0) {
    asked = 1 / (organisation.requests_per_second() * part);
  }
  if (organisation.tokens_per_second() > 0) {
    asked = std::max(asked, tokens / (organisation.tokens_per_second() * part));
  }
  state->asked += asked;
  double passed = ToSeconds(now - state->measured);
  if (passed < kMeasure.count()) return;
  state->demand = state->asked / passed;
  state->asked = 0;
  state->measured = now;
}

Limiter::Decision Limiter::Admit(const Organisation& organisation,
                                 double tokens, TimePoint now) {
  RosterView view = roster();
  Shard& shard = ShardOf(organisation.name());
  std::lock_guard<std::mutex> lock(shard.mutex);
  State& state = Refresh(view, &shard.states[organisation.name()]);
  Measure(organisation, view, tokens, now, &state);
  double share = view.part * Usable(view, state);
  double request_rate = organisation.requests_per_second() * share;
  double token_rate = organisation.tokens_per_second() * share;
  bool limit_requests = organisation.requests_per_second() > 0;
  bool limit_tokens = organisation.tokens_per_second() > 0;
  Fill(request_rate, now, &state.requests.filled, &state.requests.started,
       &state.requests.level);
  Fill(token_rate, now, &state.tokens.filled, &state.tokens.started,
       &state.tokens.level);
  // A request larger than the burst passes once the bucket is full.
  double need = std::min(tokens, std::max(1.0, token_rate * kBurst.count()));
  bool requests_good = !limit_requests || state.requests.level >= 1;
  bool tokens_good = !limit_tokens || state.tokens.level >= need;
  if (requests_good && tokens_good) {
    if (limit_requests) state.requests.level -= 1;
    if (limit_tokens) state.tokens.level -= tokens;
    return Decision{true, nanoseconds(0)};
  }
  nanoseconds wait{0};
  if (!requests_good) wait = Until(1 - state.requests.level, request_rate);
  if (!tokens_good) {
    wait = std::max(wait, Until(need - state.tokens.level, token_rate));
  }
  return Decision{false, wait};
}

void Limiter::Correct(const std::string& organisation, double expected,
                      double actual) {
  Shard& shard = ShardOf(organisation);
  std::lock_guard<std::mutex> lock(shard.mutex);
  auto found = shard.states.find(organisation);
  if (found == shard.states.end()) return;
  found->second.tokens.level += expected - actual;
}

double Limiter::Give(const std::string& organisation, uint64_t epoch,
                     double wanted) {
  RosterView view = roster();
  Shard& shard = ShardOf(organisation);
  std::lock_guard<std::mutex> lock(shard.mutex);
  if (epoch != view.epoch || !view.settled) return 0;
  State& state = Refresh(view, &shard.states[organisation]);
  double keep = std::max(kSmallestShare, state.demand * kHeadroom);
  double given = std::max(0.0, std::min(wanted, state.share - keep));
  state.share -= given;
  return given;
}

void Limiter::Receive(const std::string& organisation, uint64_t epoch,
                      double given) {
  RosterView view = roster();
  Shard& shard = ShardOf(organisation);
  std::lock_guard<std::mutex> lock(shard.mutex);
  State& state = Refresh(view, &shard.states[organisation]);
  if (state.epoch == epoch) state.share += given;
}

double Limiter::Wanted(const std::string& organisation) const {
  Shard& shard = ShardOf(organisation);
  std::lock_guard<std::mutex> lock(shard.mutex);
  auto found = shard.states.find(organisation);
  if (found == shard.states.end()) return 0;
  double lacking = found->second.demand * kHeadroom - found->second.share;
  return std::max(0.0, std::min(1.0, lacking));
}

double Limiter::ShareOf(const std::string& organisation) const {
  RosterView view = roster();
  Shard& shard = ShardOf(organisation);
  std::lock_guard<std::mutex> lock(shard.mutex);
  return Usable(view, Refresh(view, &shard.states[organisation]));
}

uint64_t Limiter::epoch() const { return roster().epoch; }

}  // namespace leverwick
