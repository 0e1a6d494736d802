// The remainder of a division goes to boxes whose ranks follow each other, from
// one on that a hash of the endpoint selects. The right to exceed a part in a
// period goes to each box by a hash of its own, so that the boxes need no
// common clock for it.

#include "leverwick/brittle_endpoints.h"

#include <algorithm>

#include "leverwick/digest.h"

namespace leverwick {
namespace {

constexpr std::chrono::seconds kExcessPeriod{1};
// Part of the rejections that an endpoint bears which excess requests of all
// boxes may cause on average. Their number varies by chance.
constexpr double kExcessPart = 0.25;
constexpr milliseconds kRetryInterval{100};

int64_t PeriodAt(TimePoint now) {
  return now.time_since_epoch() / kExcessPeriod;
}

}  // namespace

void BrittleEndpoints::SetBoxes(const std::vector<std::string>& others) {
  boxes_ = others.size() + 1;
  rank_ = static_cast<size_t>(
      std::count_if(others.begin(), others.end(),
                    [this](const auto& name) { return name < box_; }));
}

bool BrittleEndpoints::RecordReport(const std::string& service,
                                    double rejections_per_second,
                                    TimePoint now) {
  bool was_sound = !IsBrittle(service, now);
  reports_[service] = {rejections_per_second, now};
  return was_sound;
}

const BrittleEndpoints::Report* BrittleEndpoints::FindReport(
    const std::string& service, TimePoint now) const {
  auto found = reports_.find(service);
  if (found == reports_.end()) return nullptr;
  bool is_current = now - found->second.reported_at < kReportLifetime;
  return is_current ? &found->second : nullptr;
}

bool BrittleEndpoints::IsBrittle(const std::string& service,
                                 TimePoint now) const {
  return FindReport(service, now) != nullptr;
}

size_t BrittleEndpoints::CapacityShare(const std::string& endpoint,
                                       size_t max_in_flight) const {
  size_t share = max_in_flight / boxes_;
  size_t first = StableHash(endpoint) % boxes_;
  size_t distance = (rank_ + boxes_ - first) % boxes_;
  bool gets_more = distance < max_in_flight % boxes_;
  return share + (gets_more ? 1 : 0);
}

bool BrittleEndpoints::MayExceed(const std::string& endpoint,
                                 const Report& report, int64_t period) const {
  double chance =
      kExcessPart * report.rejections_per_second / static_cast<double>(boxes_);
  return UnitHash(box_ + "/" + endpoint + "/" + std::to_string(period)) <
         chance;
}

nanoseconds BrittleEndpoints::TimeUntilSendAllowed(
    const ListedEndpoint& endpoint, TimePoint now) const {
  if (reports_.empty()) return nanoseconds(0);
  const Report* report = FindReport(endpoint.target, now);
  if (report == nullptr) return nanoseconds(0);
  auto found = endpoints_.find(endpoint.address);
  Endpoint state = found == endpoints_.end() ? Endpoint() : found->second;
  if (now < state.paused_until) return state.paused_until - now;
  size_t share = CapacityShare(endpoint.address, endpoint.max_in_flight);
  if (state.in_flight < share) return nanoseconds(0);
  int64_t period = PeriodAt(now);
  bool may_exceed = state.last_excess_period != period &&
                    MayExceed(endpoint.address, *report, period);
  return may_exceed ? nanoseconds(0) : nanoseconds(kRetryInterval);
}

void BrittleEndpoints::RecordSend(const std::string& endpoint,
                                  size_t max_in_flight, TimePoint now) {
  Endpoint& state = endpoints_[endpoint];
  bool is_excess = !reports_.empty() &&
                   state.in_flight >= CapacityShare(endpoint, max_in_flight);
  if (is_excess) state.last_excess_period = PeriodAt(now);
  ++state.in_flight;
}

void BrittleEndpoints::RecordEnd(const std::string& endpoint) {
  auto found = endpoints_.find(endpoint);
  if (found != endpoints_.end() && found->second.in_flight > 0) {
    --found->second.in_flight;
  }
}

void BrittleEndpoints::RecordRejection(const std::string& endpoint,
                                       TimePoint now) {
  endpoints_[endpoint].paused_until = now + kRejectionPause;
}

void BrittleEndpoints::RecordRestart(const std::string& endpoint) {
  auto found = endpoints_.find(endpoint);
  if (found != endpoints_.end()) found->second.paused_until = TimePoint{};
}

void BrittleEndpoints::Expire(TimePoint now) {
  for (auto entry = reports_.begin(); entry != reports_.end();) {
    bool is_over = now - entry->second.reported_at >= kReportLifetime;
    entry = is_over ? reports_.erase(entry) : std::next(entry);
  }
  for (auto entry = endpoints_.begin(); entry != endpoints_.end();) {
    const Endpoint& state = entry->second;
    bool is_unused = state.in_flight == 0 && now >= state.paused_until;
    entry = is_unused ? endpoints_.erase(entry) : std::next(entry);
  }
}

}  // namespace leverwick
