// The requests ahead of a new one are served in parallel, one at each place, so
// a place comes free every mean time divided by the places.

#include "leverwick/service_room.h"

#include <algorithm>

namespace leverwick {
namespace {

// Of a service without responses yet.
constexpr Seconds kAssumedTime{0.05};
// The mean is taken over about this many of the latest responses.
constexpr double kMeanSamples = 32;
constexpr double kMinSamples = 8;
constexpr std::chrono::seconds kMeanMaxAge{10};
// Share of the mean time that an endpoint with all places taken costs more than
// an idle one.
constexpr double kFullCost = 0.1;
// A request is too late if it would be even in this part of the expected time.
constexpr double kShortestShare = 0.5;
constexpr double kLeastUrgent = 9;
// Callers do not wait longer than this share of their time left.
constexpr double kMaxShareOfTimeLeft = 1.0 / 3;
constexpr Seconds kMinComeBack{0.02};

// Returns the number of requests that must end before a new one begins.
double QueueLength(const PlaceUse& use) {
  return use.has_free_place()
             ? 0
             : static_cast<double>(use.in_flight - use.places + 1);
}

double PlacesOf(const PlaceUse& use) {
  return static_cast<double>(std::max<size_t>(1, use.places));
}

}  // namespace

void ServiceRoom::RecordResponse(const std::string& service, Seconds took,
                                 TimePoint now) {
  Mean& mean = means_[service];
  mean.samples = std::min(mean.samples + 1, kMeanSamples);
  mean.value += (took - mean.value) / mean.samples;
  mean.updated_at = now;
}

Seconds ServiceRoom::MeanTime(const std::string& service) const {
  auto found = means_.find(service);
  return found == means_.end() ? kAssumedTime : found->second.value;
}

std::optional<Seconds> ServiceRoom::ConfirmedMeanTime(
    const std::string& service, TimePoint now) const {
  auto found = means_.find(service);
  if (found == means_.end()) return std::nullopt;
  const Mean& mean = found->second;
  bool is_confirmed =
      mean.samples >= kMinSamples && now - mean.updated_at <= kMeanMaxAge;
  return is_confirmed ? std::optional<Seconds>(mean.value) : std::nullopt;
}

Seconds ServiceRoom::ExpectedWait(const std::string& service,
                                  const PlaceUse& use) const {
  double places = PlacesOf(use);
  double taken = static_cast<double>(std::min(use.in_flight, use.places));
  return MeanTime(service) * ((QueueLength(use) + kFullCost * taken) / places);
}

bool ServiceRoom::IsTooLate(const std::string& service, const PlaceUse& use,
                            Seconds time_left, TimePoint now) const {
  std::optional<Seconds> mean = ConfirmedMeanTime(service, now);
  if (!mean || use.has_free_place()) return false;
  Seconds expected = *mean * (QueueLength(use) / PlacesOf(use) + 1);
  return kShortestShare * expected > time_left;
}

milliseconds ComeBackAfter(const RefusedRequest& request) {
  // One request more must end than those that wait now.
  Seconds window = request.time_until_room + request.mean_time;
  double urgency = std::clamp(request.priority / kLeastUrgent, 0.0, 1.0);
  Seconds time = window * (0.5 + 0.5 * urgency + request.draw);
  Seconds most = request.time_left * kMaxShareOfTimeLeft;
  // Within the bound, too, callers are spread.
  if (time > most) time = most * (0.5 + 0.25 * urgency + 0.25 * request.draw);
  time = std::max(time, std::min(kMinComeBack, most));
  return std::chrono::duration_cast<milliseconds>(time);
}

}  // namespace leverwick
