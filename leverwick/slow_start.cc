// A sliding second is kept exactly: a sender that has sent its quota waits
// until its oldest send is a second old.
//
// There are as many senders as the rate has whole requests, if the fleet is
// large enough: with fewer senders of more requests each an endpoint gets less,
// since a box's requests come unevenly. Equal shares for all boxes, and counts
// of what boxes of a data centre tell each other, let it get far more.

#include "leverwick/slow_start.h"

#include <algorithm>
#include <cmath>

#include "leverwick/rendezvous.h"

namespace leverwick {
namespace {

constexpr std::chrono::seconds kQuotaWindow{1};
// A box that does not know the other boxes yet. They are known half a second
// after a start, mostly before the endpoints are.
constexpr size_t kQuotaWithoutFleet = 1;

}  // namespace

SlowStart::Quota SlowStart::ComputeQuota(double rate, size_t boxes) {
  double senders =
      std::clamp(std::floor(rate), 1.0, static_cast<double>(boxes));
  Quota quota;
  quota.senders = static_cast<size_t>(senders);
  double requests_per_sender = std::floor(rate / senders);
  // A slower endpoint than that would never become warm for anyone.
  quota.requests_per_sender =
      static_cast<size_t>(std::max(1.0, requests_per_sender));
  return quota;
}

void SlowStart::SetBoxes(std::vector<std::string> others) {
  if (others_ == others) return;
  others_ = std::move(others);
  ranks_.clear();
}

void SlowStart::SetLimits(std::map<std::string, ColdLimit> limits) {
  limits_ = std::move(limits);
}

void SlowStart::RecordWarmUp(const std::string& endpoint, nanoseconds cold_for,
                             TimePoint now) {
  auto found = endpoints_.find(endpoint);
  if (cold_for > nanoseconds(0)) {
    endpoints_[endpoint].cold_until = now + cold_for;
  } else if (found != endpoints_.end()) {
    found->second.cold_until = TimePoint{};
  }
}

void SlowStart::RecordDataCentreRestored(const std::string& data_centre,
                                         TimePoint now) {
  restored_at_[data_centre] = now;
}

const ColdLimit* SlowStart::FindLimit(const std::string& service) const {
  auto found = limits_.find(service);
  return found == limits_.end() ? nullptr : &found->second;
}

TimePoint SlowStart::ColdUntil(const ListedEndpoint& endpoint,
                               const ColdLimit& limit) const {
  TimePoint cold_until{};
  auto found = endpoints_.find(endpoint.address);
  if (found != endpoints_.end()) cold_until = found->second.cold_until;
  auto restored = restored_at_.find(endpoint.data_centre);
  if (restored == restored_at_.end()) return cold_until;
  return std::max(cold_until, restored->second + limit.lasts);
}

bool SlowStart::IsCold(const ListedEndpoint& endpoint, TimePoint now) const {
  const ColdLimit* limit = FindLimit(endpoint.target);
  return limit != nullptr && now < ColdUntil(endpoint, *limit);
}

size_t SlowStart::RankFor(const std::string& endpoint) const {
  auto found = ranks_.find(endpoint);
  if (found != ranks_.end()) return found->second;
  return ranks_[endpoint] = RendezvousRank(endpoint, box_, *others_);
}

size_t SlowStart::OwnQuota(const std::string& endpoint, double rate) const {
  if (!others_) return kQuotaWithoutFleet;
  Quota quota = ComputeQuota(rate, others_->size() + 1);
  return RankFor(endpoint) < quota.senders ? quota.requests_per_sender : 0;
}

bool SlowStart::MaySend(const ListedEndpoint& endpoint, TimePoint now) const {
  return TimeUntilSendAllowed(endpoint, now) <= nanoseconds(0);
}

nanoseconds SlowStart::TimeUntilSendAllowed(const ListedEndpoint& endpoint,
                                            TimePoint now) const {
  const ColdLimit* limit = FindLimit(endpoint.target);
  if (limit == nullptr) return nanoseconds(0);
  nanoseconds until_warm = ColdUntil(endpoint, *limit) - now;
  if (until_warm <= nanoseconds(0)) return nanoseconds(0);
  size_t quota = OwnQuota(endpoint.address, limit->rate);
  if (quota == 0) return until_warm;
  auto found = endpoints_.find(endpoint.address);
  if (found == endpoints_.end()) return nanoseconds(0);
  const std::deque<TimePoint>& sends = found->second.sends;
  if (sends.size() < quota) return nanoseconds(0);
  // The send that must have left the window before there is room again.
  nanoseconds until_slot_free =
      sends[sends.size() - quota] + kQuotaWindow - now;
  return std::min(until_slot_free, until_warm);
}

void SlowStart::RecordSend(const std::string& endpoint, TimePoint now) {
  if (limits_.empty()) return;
  std::deque<TimePoint>& sends = endpoints_[endpoint].sends;
  while (!sends.empty() && now - sends.front() >= kQuotaWindow)
    sends.pop_front();
  sends.push_back(now);
}

void SlowStart::Expire(TimePoint now) {
  for (auto entry = endpoints_.begin(); entry != endpoints_.end();) {
    const EndpointState& found = entry->second;
    bool is_idle =
        found.sends.empty() || now - found.sends.back() >= kQuotaWindow;
    bool is_expired = is_idle && found.cold_until <= now;
    entry = is_expired ? endpoints_.erase(entry) : std::next(entry);
  }
}

}  // namespace leverwick
