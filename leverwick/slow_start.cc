// The quota applies to a sliding window of one second: a sender that has used
// its quota waits until enough of its sends have left the window.
//
// The number of senders is the number of whole requests in the rate, up to the
// number of boxes. With fewer senders of larger quotas an endpoint receives
// less than its rate, since the requests of a box arrive unevenly. Equal shares
// for all boxes, or counts that the boxes of a data centre report to each
// other, would let it receive far more.

#include "leverwick/slow_start.h"

#include <algorithm>
#include <cmath>

#include "leverwick/rendezvous.h"

namespace leverwick {
namespace {

constexpr std::chrono::seconds kWindow{1};
// Quota of a box that has not read the list of boxes yet. The list is read half
// a second after a start, mostly before the endpoints are.
constexpr size_t kQuotaWithoutFleet = 1;

}  // namespace

SlowStart::Quota SlowStart::ComputeQuota(double rate, size_t boxes) {
  double senders =
      std::clamp(std::floor(rate), 1.0, static_cast<double>(boxes));
  Quota quota;
  quota.senders = static_cast<size_t>(senders);
  double requests_per_sender = std::floor(rate / senders);
  // An endpoint must receive at least one request per second to become warm.
  quota.requests_per_sender =
      static_cast<size_t>(std::max(1.0, requests_per_sender));
  return quota;
}

void SlowStart::SetBoxes(std::vector<std::string> others) {
  if (others_ == others) return;
  others_ = std::move(others);
  ranks_.clear();
}

void SlowStart::SetLimits(std::map<std::string, SlowStartLimit> limits) {
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

const SlowStartLimit* SlowStart::FindLimit(const std::string& service) const {
  auto found = limits_.find(service);
  return found == limits_.end() ? nullptr : &found->second;
}

TimePoint SlowStart::ColdUntil(const ListedEndpoint& endpoint,
                               const SlowStartLimit& limit) const {
  TimePoint cold_until{};
  auto found = endpoints_.find(endpoint.address);
  if (found != endpoints_.end()) cold_until = found->second.cold_until;
  auto restored = restored_at_.find(endpoint.data_centre);
  if (restored == restored_at_.end()) return cold_until;
  return std::max(cold_until, restored->second + limit.warm_up);
}

bool SlowStart::IsCold(const ListedEndpoint& endpoint, TimePoint now) const {
  const SlowStartLimit* limit = FindLimit(endpoint.target);
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
  const SlowStartLimit* limit = FindLimit(endpoint.target);
  if (limit == nullptr) return nanoseconds(0);
  nanoseconds until_warm = ColdUntil(endpoint, *limit) - now;
  if (until_warm <= nanoseconds(0)) return nanoseconds(0);
  size_t quota = OwnQuota(endpoint.address, limit->requests_per_second);
  if (quota == 0) return until_warm;
  auto found = endpoints_.find(endpoint.address);
  if (found == endpoints_.end()) return nanoseconds(0);
  const std::deque<TimePoint>& sends = found->second.sends;
  if (sends.size() < quota) return nanoseconds(0);
  // Time until the send that must leave the window before the next one is
  // allowed.
  nanoseconds until_slot_free = sends[sends.size() - quota] + kWindow - now;
  return std::min(until_slot_free, until_warm);
}

void SlowStart::RecordSend(const std::string& endpoint, TimePoint now) {
  if (limits_.empty()) return;
  std::deque<TimePoint>& sends = endpoints_[endpoint].sends;
  while (!sends.empty() && now - sends.front() >= kWindow) sends.pop_front();
  sends.push_back(now);
}

void SlowStart::Expire(TimePoint now) {
  for (auto entry = endpoints_.begin(); entry != endpoints_.end();) {
    const EndpointState& state = entry->second;
    bool is_idle = state.sends.empty() || now - state.sends.back() >= kWindow;
    bool is_expired = is_idle && state.cold_until <= now;
    entry = is_expired ? endpoints_.erase(entry) : std::next(entry);
  }
}

}  // namespace leverwick
