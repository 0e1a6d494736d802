// Guarantee: in any time span an endpoint gets at most the granters' total rate
// multiplied by the span plus one permit lifetime, plus one request per
// granter. The granters' halves add up to the limit, and a permit is used at
// most one lifetime after it was granted.
//
// Boxes whose lists of the fleet differ choose different granters. A box that
// is new in the fleet therefore grants no permits until all other boxes must be
// aware of it.

#include "leverwick/send_permits.h"

#include <algorithm>

#include "leverwick/digest.h"

namespace leverwick {
namespace {

constexpr size_t kGrantersPerEndpoint = 2;
// A permit is valid for this long plus the interval between two requests at the
// limit's rate, since a box with little traffic needs time to use it. The
// lifetime starts when the permit is requested, so that a process that was
// suspended does not use an old permit.
constexpr milliseconds kMinPermitLifetime{1000};
// A granter whose reply timed out gets the next request after this.
constexpr milliseconds kUnresponsiveRetryAfter{1000};
// Reply of a box that is not a granter by its own list of the fleet, or may not
// grant yet: the boxes' lists soon agree.
constexpr milliseconds kNotGranterRetryAfter{500};
// Rate of permits for an endpoint that reports a limit of zero: only a response
// can remove the limit, so some requests must still be sent.
constexpr double kMinRequestsPerSecond = 0.1;
// The window of CountRecentSends, which is shown to operators.
constexpr std::chrono::seconds kRecentSendWindow{4};

}  // namespace

void SendPermits::SetOtherBoxes(std::vector<BoxLocation> others) {
  if (others_ == others) return;
  others_ = std::move(others);
  for (auto& entry : limited_) {
    entry.second.granters.clear();
    entry.second.pending.reset();
  }
}

std::vector<std::string> SendPermits::ChooseGranters(
    const std::string& endpoint, const std::string& data_centre) const {
  if (!others_) return {};
  using Rank = std::pair<std::pair<bool, uint64_t>, std::string>;
  std::vector<Rank> ranks;
  uint64_t seed = StableHash(endpoint);
  auto add = [&](const BoxLocation& box) {
    bool is_remote = box.data_centre != data_centre;
    ranks.push_back({{is_remote, StableHash(box.name, seed)}, box.name});
  };
  add(self_);
  for (const BoxLocation& box : *others_) add(box);
  size_t count = std::min(kGrantersPerEndpoint, ranks.size());
  auto last = ranks.begin() + static_cast<std::ptrdiff_t>(count);
  std::partial_sort(ranks.begin(), last, ranks.end());
  std::vector<std::string> granters;
  for (auto rank = ranks.begin(); rank != last; ++rank) {
    granters.push_back(rank->second);
  }
  return granters;
}

double SendPermits::PermittedRate(const ReportedLimit& limit) {
  return std::max(limit.requests_per_second, kMinRequestsPerSecond);
}

nanoseconds SendPermits::PermitLifetime(const ReportedLimit& limit) {
  return kMinPermitLifetime + FromSeconds(1 / PermittedRate(limit));
}

SendPermits::LimitedEndpoint& SendPermits::FindOrAdd(
    const std::string& endpoint, const std::string& data_centre) {
  LimitedEndpoint& limited = limited_[endpoint];
  if (!limited.granters.empty()) return limited;
  // The entry is new, or the fleet has changed.
  for (const std::string& box : ChooseGranters(endpoint, data_centre)) {
    limited.granters.push_back({box, TimePoint{}});
  }
  return limited;
}

const SendPermits::LimitedEndpoint* SendPermits::Find(
    const std::string& endpoint) const {
  auto found = limited_.find(endpoint);
  return found == limited_.end() ? nullptr : &found->second;
}

bool SendPermits::HasPermit(const LimitedEndpoint& limited, TimePoint now) {
  return !limited.permits.empty() && now < limited.permits.back();
}

size_t SendPermits::EarliestGranter(const LimitedEndpoint& limited) {
  auto is_earlier = [](const Granter& left, const Granter& right) {
    return left.capacity_at < right.capacity_at;
  };
  return static_cast<size_t>(std::min_element(limited.granters.begin(),
                                              limited.granters.end(),
                                              is_earlier) -
                             limited.granters.begin());
}

bool SendPermits::MaySend(const std::string& endpoint, TimePoint now) const {
  if (limits_->Find(endpoint) == nullptr) return true;
  const LimitedEndpoint* limited = Find(endpoint);
  return limited != nullptr && HasPermit(*limited, now);
}

bool SendPermits::IsRequestPending(const std::string& endpoint) const {
  const LimitedEndpoint* limited = Find(endpoint);
  return limited != nullptr && limited->pending.has_value();
}

bool SendPermits::CanRequestPermit(const std::string& endpoint,
                                   TimePoint now) const {
  if (!others_) return false;
  const LimitedEndpoint* limited = Find(endpoint);
  if (limited == nullptr || limited->granters.empty()) return true;
  if (limited->pending) return true;
  return limited->granters[EarliestGranter(*limited)].capacity_at <= now;
}

nanoseconds SendPermits::TimeUntilCapacity(const std::string& endpoint,
                                           TimePoint now) const {
  if (MaySend(endpoint, now)) return nanoseconds(0);
  if (!others_) return kNotGranterRetryAfter;
  const LimitedEndpoint* limited = Find(endpoint);
  if (limited == nullptr || limited->granters.empty()) return nanoseconds(0);
  TimePoint capacity_at =
      limited->granters[EarliestGranter(*limited)].capacity_at;
  return std::max<nanoseconds>(capacity_at - now, nanoseconds(0));
}

void SendPermits::RequestPermit(const std::string& endpoint,
                                const std::string& data_centre, TimePoint now) {
  const ReportedLimit* limit = limits_->Find(endpoint);
  if (limit == nullptr || !CanRequestPermit(endpoint, now)) return;
  LimitedEndpoint& limited = FindOrAdd(endpoint, data_centre);
  if (limited.pending || limited.granters.empty()) return;
  size_t granter = EarliestGranter(limited);
  limited.pending = {++last_number_, granter, now};
  PermitRequest request{last_number_, endpoint, data_centre, *limit};
  const std::string& box = limited.granters[granter].box;
  if (box == self_.name) return RecordReply(GrantPermit(request, now), now);
  if (transport_ != nullptr) transport_->SendPermitRequest(request, box);
}

void SendPermits::RecordSend(const std::string& endpoint, TimePoint now) {
  auto found = limited_.find(endpoint);
  if (found == limited_.end()) return;
  LimitedEndpoint& limited = found->second;
  while (!limited.recent_sends.empty() &&
         now - limited.recent_sends.front() >= kRecentSendWindow) {
    limited.recent_sends.pop_front();
  }
  limited.recent_sends.push_back(now);
  std::deque<TimePoint>& permits = limited.permits;
  while (!permits.empty() && permits.front() <= now) permits.pop_front();
  if (!permits.empty()) permits.pop_front();
}

size_t SendPermits::CountRecentSends(const std::string& endpoint,
                                     TimePoint now) const {
  const LimitedEndpoint* limited = Find(endpoint);
  if (limited == nullptr) return 0;
  auto is_recent = [&](TimePoint at) { return now - at < kRecentSendWindow; };
  return static_cast<size_t>(std::count_if(
      limited->recent_sends.begin(), limited->recent_sends.end(), is_recent));
}

bool SendPermits::IsGranterFor(const std::string& endpoint,
                               const std::string& data_centre) const {
  std::vector<std::string> granters = ChooseGranters(endpoint, data_centre);
  return std::find(granters.begin(), granters.end(), self_.name) !=
         granters.end();
}

bool SendPermits::AnyRequestPending() const {
  auto is_pending = [](const auto& entry) {
    return entry.second.pending.has_value();
  };
  return std::any_of(limited_.begin(), limited_.end(), is_pending);
}

PermitReply SendPermits::GrantPermit(const PermitRequest& request,
                                     TimePoint now) {
  limits_->RecordLimit(request.endpoint, request.limit.requests_per_second,
                       request.limit.reported_at);
  bool may_grant = now >= grants_from_ &&
                   IsGranterFor(request.endpoint, request.data_centre);
  if (!may_grant)
    return {request.sequence_number, false, kNotGranterRetryAfter};
  const ReportedLimit* limit = limits_->Find(request.endpoint);
  // This box is aware that the limit was removed; the requesting box finds out
  // from the response to its request.
  if (limit == nullptr) return {request.sequence_number, true, nanoseconds(0)};
  size_t granters = std::min(kGrantersPerEndpoint, others_->size() + 1);
  double share = PermittedRate(*limit) / static_cast<double>(granters);
  GrantPacer::Result result = pacer_.TryGrant(request.endpoint, share, now);
  return {request.sequence_number, result.granted, result.retry_after};
}

void SendPermits::RecordReply(const PermitReply& reply, TimePoint now) {
  for (auto& entry : limited_) {
    LimitedEndpoint& limited = entry.second;
    if (!limited.pending ||
        limited.pending->sequence_number != reply.sequence_number)
      continue;
    PendingRequest request = *limited.pending;
    limited.pending.reset();
    limited.granters[request.granter].capacity_at = now + reply.retry_after;
    const ReportedLimit* limit = limits_->Find(entry.first);
    if (!reply.granted || limit == nullptr) return;
    limited.permits.push_back(request.requested_at + PermitLifetime(*limit));
    return;
  }
}

bool SendPermits::Expire(TimePoint now) {
  bool any_abandoned = false;
  for (auto entry = limited_.begin(); entry != limited_.end();) {
    LimitedEndpoint& limited = entry->second;
    if (limited.pending &&
        now - limited.pending->requested_at >= kReplyTimeout) {
      limited.granters[limited.pending->granter].capacity_at =
          now + kUnresponsiveRetryAfter;
      limited.pending.reset();
      any_abandoned = true;
    }
    bool is_over = limits_->Find(entry->first) == nullptr && !limited.pending;
    entry = is_over ? limited_.erase(entry) : std::next(entry);
  }
  pacer_.Expire(now);
  return any_abandoned;
}

}  // namespace leverwick
