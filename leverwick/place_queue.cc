// A request's place in the order depends on the grants that its organisation
// will have had when its turn comes: those of the last seconds and one for each
// of the organisation's requests that go before it.
//
// Decide walks through the requests in this order and counts those that stay in
// front, so that the wait of each follows from its own position. Requests that
// would be late are looked at after all others.

#include "leverwick/place_queue.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace leverwick {
namespace {

// In which a grant's weight in an organisation's share halves.
constexpr Seconds kShareHalfLife{2};
// Shares below this no longer matter.
constexpr double kNegligibleShare = 0.05;
// Callers that were denied return within this time.
constexpr std::chrono::seconds kReturnWindow{2};
constexpr size_t kMaxDenials = 1024;
// Until the granter hears that a place is free and the next request arrives
// there. Meanwhile the place would be idle, so one more request is granted for
// each place that becomes free in this time.
constexpr Seconds kNewsTime{0.03};
constexpr std::chrono::seconds kMeanMaxAge{10};
// A grant is used, and its use known, within this time.
constexpr milliseconds kUseTime{10};

}  // namespace

std::optional<PlaceDecision> PlaceQueue::Submit(const PlaceRequest& request,
                                                TimePoint now) {
  if (request.mean_time) {
    told_mean_ = *request.mean_time;
    told_at_ = now;
  }
  auto grant = grants_.find(request.key);
  if (grant != grants_.end()) return PlaceDecision{request.key, true, {}};
  auto [waiting, is_new] = waiting_.try_emplace(request.key);
  waiting->second.heard_at = now;
  if (!is_new) return std::nullopt;
  waiting->second.request = request;
  ApplyDenial(&waiting->second);
  return std::nullopt;
}

void PlaceQueue::Withdraw(const PlaceRequest::Key& key) {
  waiting_.erase(key);
  auto grant = grants_.find(key);
  if (grant == grants_.end()) return;
  Share& share = shares_[grant->second.organisation];
  share.grants = std::max(0.0, share.grants - 1);
  grants_.erase(grant);
}

void PlaceQueue::ApplyDenial(Waiting* waiting) {
  PlaceRequest& request = waiting->request;
  auto denial = denials_.find(request.fingerprint);
  // A box that missed the denial repeats the request under the same key.
  if (denial == denials_.end() || denial->second.key == request.key) return;
  waiting->is_returning = true;
  request.arrived_at = denial->second.arrived_at;
  request.due_at = denial->second.due_at;
  denials_.erase(denial);
}

void PlaceQueue::Expire(TimePoint now) {
  auto erase_if = [](auto* entries, auto is_expired) {
    for (auto entry = entries->begin(); entry != entries->end();) {
      entry =
          is_expired(entry->second) ? entries->erase(entry) : std::next(entry);
    }
  };
  erase_if(&grants_,
           [now](const Grant& grant) { return now - grant.at >= kLifetime; });
  erase_if(&waiting_, [now](const Waiting& waiting) {
    return now - waiting.heard_at >= kLifetime;
  });
  erase_if(&denials_, [now](const Denial& denial) {
    return now - denial.at >= kReturnWindow;
  });
  for (auto share = shares_.begin(); share != shares_.end();) {
    bool is_small = RecentGrants(share->first, now) < kNegligibleShare;
    share = is_small ? shares_.erase(share) : std::next(share);
  }
}

bool PlaceQueue::IsIdle(TimePoint now) const {
  auto is_old = [now](const auto& entry) {
    return now - entry.second.at >= kReturnWindow;
  };
  return waiting_.empty() && grants_.empty() &&
         std::all_of(denials_.begin(), denials_.end(), is_old) &&
         std::all_of(shares_.begin(), shares_.end(), is_old);
}

double PlaceQueue::RecentGrants(const std::string& organisation,
                                TimePoint now) const {
  auto share = shares_.find(organisation);
  if (share == shares_.end()) return 0;
  Seconds age = now - share->second.at;
  return share->second.grants * std::exp2(-(age / kShareHalfLife));
}

std::vector<const PlaceQueue::Waiting*> PlaceQueue::Order(TimePoint now) const {
  struct Turn {
    const Waiting* waiting = nullptr;
    double grants_before = 0;  // of the organisation
  };
  std::vector<Turn> turns;
  for (const auto& entry : waiting_) turns.push_back({&entry.second, 0});
  auto key_of = [](const Waiting& waiting) {
    return std::make_tuple(!waiting.is_returning, waiting.request.arrived_at,
                           waiting.request.key);
  };
  std::sort(turns.begin(), turns.end(), [&](const Turn& a, const Turn& b) {
    const PlaceRequest& left = a.waiting->request;
    const PlaceRequest& right = b.waiting->request;
    return std::tie(left.organisation, left.priority) !=
                   std::tie(right.organisation, right.priority)
               ? std::tie(left.organisation, left.priority) <
                     std::tie(right.organisation, right.priority)
               : key_of(*a.waiting) < key_of(*b.waiting);
  });
  const Turn* last = nullptr;
  for (Turn& turn : turns) {
    const std::string& organisation = turn.waiting->request.organisation;
    bool is_same =
        last != nullptr && last->waiting->request.organisation == organisation;
    turn.grants_before =
        is_same ? last->grants_before + 1 : RecentGrants(organisation, now);
    last = &turn;
  }
  std::sort(turns.begin(), turns.end(), [&](const Turn& a, const Turn& b) {
    const Waiting& left = *a.waiting;
    const Waiting& right = *b.waiting;
    if (left.request.priority != right.request.priority)
      return left.request.priority < right.request.priority;
    if (a.grants_before != b.grants_before)
      return a.grants_before < b.grants_before;
    return key_of(left) < key_of(right);
  });
  std::vector<const Waiting*> order;
  for (const Turn& turn : turns) order.push_back(turn.waiting);
  return order;
}

std::optional<Seconds> PlaceQueue::ToldMeanTime(TimePoint now) const {
  bool is_known = told_mean_ > Seconds(0) && now - told_at_ <= kMeanMaxAge;
  return is_known ? std::optional<Seconds>(told_mean_) : std::nullopt;
}

size_t PlaceQueue::MaxInFlight(std::optional<Seconds> mean_time) const {
  if (!mean_time || *mean_time <= Seconds(0)) return places_;
  double places = static_cast<double>(places_);
  double freed = std::min(places, places * (kNewsTime / *mean_time));
  return places_ + static_cast<size_t>(std::lround(freed));
}

Seconds PlaceQueue::ExpectedWait(size_t ahead, Seconds mean_time) const {
  size_t places = std::max<size_t>(1, places_);
  size_t must_end = ahead < places ? 0 : ahead - places + 1;
  return mean_time *
         (static_cast<double>(must_end) / static_cast<double>(places));
}

std::vector<PlaceDecision> PlaceQueue::Decide(std::optional<Seconds> mean_time,
                                              TimePoint now) {
  Expire(now);
  if (!mean_time) mean_time = ToldMeanTime(now);
  std::vector<PlaceDecision> decisions;
  const size_t most = MaxInFlight(mean_time);
  const Seconds mean = mean_time.value_or(Seconds(0));
  size_t taken = in_flight_ + grants_.size();
  size_t staying = 0;
  auto is_late = [&](const PlaceRequest& request) {
    if (!mean_time) return now >= request.give_up_at;
    // Where no wait at all makes an answer late, callers are served until they
    // give up.
    bool can_be_in_time = request.arrived_at + mean <= request.due_at;
    TimePoint end = can_be_in_time ? request.due_at : request.give_up_at;
    return now + ExpectedWait(taken + staying, mean) + mean > end;
  };
  std::vector<PlaceRequest> late;
  for (const Waiting* waiting : Order(now)) {
    const PlaceRequest request = waiting->request;
    bool is_full = taken >= most && staying >= kMaxWaiting;
    if (is_full || is_late(request)) {
      late.push_back(request);
    } else if (taken < most) {
      decisions.push_back(GrantPlace(request, now));
      ++taken;
    } else {
      ++staying;
    }
  }
  for (const PlaceRequest& request : late) {
    bool is_useful = now < request.give_up_at;
    if (is_useful && staying == 0 && taken < most) {
      decisions.push_back(GrantPlace(request, now));
      ++taken;
      continue;
    }
    Seconds wait = ExpectedWait(taken + staying, mean);
    decisions.push_back(Deny(request, wait, now));
  }
  return decisions;
}

std::vector<PlaceDecision> PlaceQueue::UnusedGrants(TimePoint now) const {
  std::vector<PlaceDecision> unused;
  for (const auto& [key, grant] : grants_) {
    if (now - grant.at >= kUseTime) unused.push_back({key, true, {}});
  }
  return unused;
}

PlaceDecision PlaceQueue::GrantPlace(const PlaceRequest& request,
                                     TimePoint now) {
  Share& share = shares_[request.organisation];
  share.grants = RecentGrants(request.organisation, now) + 1;
  share.at = now;
  grants_[request.key] = {request.organisation, now};
  waiting_.erase(request.key);
  return {request.key, true, nanoseconds(0)};
}

PlaceDecision PlaceQueue::Deny(const PlaceRequest& request, Seconds wait,
                               TimePoint now) {
  bool has_room = denials_.size() < kMaxDenials;
  if (has_room)
    denials_[request.fingerprint] = {request.key, request.arrived_at,
                                     request.due_at, now};
  waiting_.erase(request.key);
  return {request.key, false, std::chrono::duration_cast<nanoseconds>(wait)};
}

}  // namespace leverwick
