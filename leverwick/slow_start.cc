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

constexpr std::chrono::seconds kWindow{1};
// A box that does not know the other boxes yet. They are known half a second
// after a start, mostly before the endpoints are.
constexpr size_t kUnknownFleet = 1;

}  // namespace

SlowStart::Quota SlowStart::QuotaOf(double rate, size_t boxes) {
  double senders =
      std::clamp(std::floor(rate), 1.0, static_cast<double>(boxes));
  Quota quota;
  quota.senders = static_cast<size_t>(senders);
  double each = std::floor(rate / senders);
  // A slower endpoint than that would never become warm for anyone.
  quota.each = static_cast<size_t>(std::max(1.0, each));
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

void SlowStart::Told(const std::string& endpoint, nanoseconds cold_for,
                     TimePoint now) {
  auto found = endpoints_.find(endpoint);
  if (cold_for > nanoseconds(0)) {
    endpoints_[endpoint].cold_until = now + cold_for;
  } else if (found != endpoints_.end()) {
    found->second.cold_until = TimePoint{};
  }
}

void SlowStart::Returned(const std::string& data_centre, TimePoint now) {
  returned_[data_centre] = now;
}

const SlowStartLimit* SlowStart::LimitOf(const std::string& service) const {
  auto found = limits_.find(service);
  return found == limits_.end() ? nullptr : &found->second;
}

TimePoint SlowStart::ColdUntil(const ListedEndpoint& endpoint,
                               const SlowStartLimit& limit) const {
  TimePoint until{};
  auto known = endpoints_.find(endpoint.address);
  if (known != endpoints_.end()) until = known->second.cold_until;
  auto returned = returned_.find(endpoint.data_centre);
  if (returned == returned_.end()) return until;
  return std::max(until, returned->second + limit.warm_up);
}

bool SlowStart::IsCold(const ListedEndpoint& endpoint, TimePoint now) const {
  const SlowStartLimit* limit = LimitOf(endpoint.target);
  return limit != nullptr && now < ColdUntil(endpoint, *limit);
}

size_t SlowStart::RankAt(const std::string& endpoint) const {
  auto found = ranks_.find(endpoint);
  if (found != ranks_.end()) return found->second;
  return ranks_[endpoint] = RendezvousRank(endpoint, box_, *others_);
}

size_t SlowStart::OwnQuota(const std::string& endpoint, double rate) const {
  if (!others_) return kUnknownFleet;
  Quota quota = QuotaOf(rate, others_->size() + 1);
  return RankAt(endpoint) < quota.senders ? quota.each : 0;
}

bool SlowStart::MaySend(const ListedEndpoint& endpoint, TimePoint now) const {
  return RoomIn(endpoint, now) <= nanoseconds(0);
}

nanoseconds SlowStart::RoomIn(const ListedEndpoint& endpoint,
                              TimePoint now) const {
  const SlowStartLimit* limit = LimitOf(endpoint.target);
  if (limit == nullptr) return nanoseconds(0);
  nanoseconds until_warm = ColdUntil(endpoint, *limit) - now;
  if (until_warm <= nanoseconds(0)) return nanoseconds(0);
  size_t quota = OwnQuota(endpoint.address, limit->requests_per_second);
  if (quota == 0) return until_warm;
  auto known = endpoints_.find(endpoint.address);
  if (known == endpoints_.end()) return nanoseconds(0);
  const std::deque<TimePoint>& sent = known->second.sent;
  if (sent.size() < quota) return nanoseconds(0);
  // The send that must have left the window before there is room again.
  nanoseconds room_in = sent[sent.size() - quota] + kWindow - now;
  return std::min(room_in, until_warm);
}

void SlowStart::Sent(const std::string& endpoint, TimePoint now) {
  if (limits_.empty()) return;
  std::deque<TimePoint>& sent = endpoints_[endpoint].sent;
  while (!sent.empty() && now - sent.front() >= kWindow) sent.pop_front();
  sent.push_back(now);
}

void SlowStart::Expire(TimePoint now) {
  for (auto entry = endpoints_.begin(); entry != endpoints_.end();) {
    const Known& known = entry->second;
    bool idle = known.sent.empty() || now - known.sent.back() >= kWindow;
    bool over = idle && known.cold_until <= now;
    entry = over ? endpoints_.erase(entry) : std::next(entry);
  }
}

}  // namespace leverwick
