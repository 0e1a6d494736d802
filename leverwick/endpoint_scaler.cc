// The plan is made from scratch each time: reclaimable endpoints first, evenly
// over the data centres where they can be had and so many that enough are left
// when one of these loses all of them, then regular ones for the rest,
// the cheapest first. Regular endpoints beyond the plan are given up only as
// far as the endpoints that are present exceed what is needed.

#include "leverwick/endpoint_scaler.h"

#include <algorithm>
#include <cmath>

namespace leverwick {
namespace {

// Part of the places that is taken at the recent peak. A data centre of three
// may then be lost, and half as much again may come, before places run out.
constexpr double kTargetUtilisation = 0.4;
// Longer than a wave of the traffic within a minute.
constexpr std::chrono::seconds kPeakMemory{30};
// Until the platform is asked again for what it did not have.
constexpr std::chrono::seconds kUnavailablePause{3};
// An order that shows no effect is repeated after this many boot times.
constexpr int kBootTimesToRepeat = 4;
// After this many boot times nothing is waited for any longer: neither that
// ordered endpoints come nor that another version's go after a roll-out's end.
constexpr int kBootTimesToWait = 10;

size_t Total(const SupplyByDataCentre& supply) {
  size_t total = 0;
  for (const auto& [data_centre, present] : supply) total += present.total();
  return total;
}

size_t Cold(const SupplyByDataCentre& supply) {
  size_t cold = 0;
  for (const auto& [data_centre, present] : supply) cold += present.cold;
  return cold;
}

size_t Sum(const std::map<std::string, size_t>& counts) {
  size_t sum = 0;
  for (const auto& [data_centre, count] : counts) sum += count;
  return sum;
}

// The data centres of `supply`, the cheapest first.
std::vector<std::string> ByPrice(const EndpointScaling& scaling,
                                 const SupplyByDataCentre& supply) {
  std::vector<std::string> names;
  for (const auto& [data_centre, present] : supply) {
    names.push_back(data_centre);
  }
  std::stable_sort(names.begin(), names.end(),
                   [&](const std::string& a, const std::string& b) {
                     return scaling.PriceIn(a) < scaling.PriceIn(b);
                   });
  return names;
}

}  // namespace

void TargetUtilisationRule::Record(double in_flight, TimePoint now) {
  while (!recent_.empty() && now - recent_.front().first > memory_) {
    recent_.pop_front();
  }
  recent_.emplace_back(now, in_flight);
}

double TargetUtilisationRule::Needed(size_t places, TimePoint now) const {
  double peak = 0;
  for (const auto& [at, in_flight] : recent_) {
    if (now - at <= memory_) peak = std::max(peak, in_flight);
  }
  return peak / (target_ * static_cast<double>(std::max<size_t>(1, places)));
}

EndpointScaler::EndpointScaler(std::string service)
    : service_(std::move(service)), rule_(kTargetUtilisation, kPeakMemory) {}

size_t EndpointScaler::Needed(size_t places, const SupplyByDataCentre& supply,
                              TimePoint now) {
  if (!first_seen_) first_seen_ = now;
  auto needed = static_cast<size_t>(std::ceil(rule_.Needed(places, now)));
  // What was there before is kept until the demand has been seen for a while.
  bool is_new = now - *first_seen_ < kPeakMemory;
  if (accepted_.empty()) first_total_ = std::max(first_total_, Total(supply));
  return std::max<size_t>({1, needed, is_new ? first_total_ : 0});
}

std::map<std::string, size_t> EndpointScaler::PlanReclaimable(
    const EndpointScaling& scaling, const SupplyByDataCentre& supply,
    size_t needed, TimePoint now) const {
  std::map<std::string, size_t> plan;
  bool are_cheaper =
      scaling.reclaimable_price > 0 && scaling.reclaimable_price < 1;
  if (!are_cheaper) return plan;
  std::vector<std::string> available;
  for (const std::string& data_centre : ByPrice(scaling, supply)) {
    auto until = unavailable_until_.find(data_centre);
    bool is_out = until != unavailable_until_.end() && now < until->second;
    if (!is_out) available.push_back(data_centre);
  }
  size_t room = scaling.max_per_data_centre - scaling.min_per_data_centre;
  // What one data centre may lose at once, the others must have beside.
  size_t centres = available.size();
  size_t left =
      centres > 1 ? (needed * centres + centres - 2) / (centres - 1) : needed;
  for (size_t i = 0; i < available.size(); ++i) {
    size_t others = available.size() - i;
    size_t share = std::min(room, (left + others - 1) / others);
    plan[available[i]] = share;
    left -= share;
  }
  return plan;
}

std::map<std::string, size_t> EndpointScaler::PlanRegular(
    const EndpointScaling& scaling, const SupplyByDataCentre& supply,
    const std::map<std::string, size_t>& reclaimable, size_t needed) const {
  std::map<std::string, size_t> plan;
  std::vector<std::string> names = ByPrice(scaling, supply);
  size_t planned = Sum(reclaimable);
  for (const std::string& name : names) {
    plan[name] = scaling.min_per_data_centre;
    planned += scaling.min_per_data_centre;
  }
  size_t left = needed > planned ? needed - planned : 0;
  for (size_t i = 0; i < names.size(); ++i) {
    auto other = reclaimable.find(names[i]);
    size_t taken =
        plan[names[i]] + (other == reclaimable.end() ? 0 : other->second);
    size_t room = scaling.max_per_data_centre -
                  std::min(taken, scaling.max_per_data_centre);
    size_t others = names.size() - i;
    size_t share = std::min(room, (left + others - 1) / others);
    plan[names[i]] += share;
    left -= share;
  }
  // What is present and beyond the plan goes only when it isn't needed, in the
  // dearest data centres first.
  size_t present = Total(supply) - Cold(supply);
  size_t surplus = present > needed ? present - needed : 0;
  for (auto name = names.rbegin(); name != names.rend(); ++name) {
    size_t regular = supply.at(*name).regular;
    if (regular <= plan[*name]) continue;
    size_t given_up = std::min(surplus, regular - plan[*name]);
    plan[*name] = regular - given_up;
    surplus -= given_up;
  }
  return plan;
}

std::vector<ScaleOrder> EndpointScaler::DueOrders(
    const EndpointScaling& scaling, size_t places,
    const SupplyByDataCentre& supply, bool is_rolling_out, TimePoint now) {
  size_t needed = Needed(places, supply, now);
  bool keeps_all = KeepsAll(supply, is_rolling_out, scaling.boot_time, now);
  bool is_other_started =
      std::any_of(supply.begin(), supply.end(),
                  [](const auto& entry) { return entry.second.replaced > 0; });
  auto is_wanted = [&](const ScaleOrder& order, size_t present) {
    bool is_due = IsDue(order, present, scaling.boot_time, now);
    if (!is_due || is_other_started) return false;
    return !keeps_all || IsRaise(order, present, scaling.boot_time, now);
  };
  auto reclaimable = PlanReclaimable(scaling, supply, needed, now);
  auto regular = PlanRegular(scaling, supply, reclaimable, needed);
  std::vector<ScaleOrder> due;
  for (const auto& [data_centre, present] : supply) {
    auto planned = reclaimable.find(data_centre);
    if (planned != reclaimable.end()) {
      // The bound holds for both kinds, also while one takes the other's place.
      size_t others = std::max(present.regular, regular[data_centre]) +
                      present.other_regular;
      size_t room = scaling.max_per_data_centre -
                    std::min(others, scaling.max_per_data_centre);
      size_t other = present.other_reclaimable;
      size_t desired = std::min(planned->second + other, room);
      ScaleOrder order{service_, data_centre, desired, true};
      if (is_wanted(order, present.reclaimable + other)) due.push_back(order);
    }
    size_t other = present.other_regular;
    size_t listed = present.regular + other;
    size_t reclaimable_listed = present.reclaimable + present.other_reclaimable;
    size_t room = scaling.max_per_data_centre -
                  std::min(reclaimable_listed, scaling.max_per_data_centre);
    // The bound limits a raise and ends nothing that is there.
    size_t desired =
        std::min(regular[data_centre] + other, std::max(room, listed));
    ScaleOrder order{service_, data_centre, desired, false};
    if (is_wanted(order, listed)) due.push_back(order);
  }
  return due;
}

bool EndpointScaler::KeepsAll(const SupplyByDataCentre& supply,
                              bool is_rolling_out, nanoseconds boot_time,
                              TimePoint now) {
  if (is_rolling_out) {
    RecordTarget(supply, now);
    rollout_ended_at_.reset();
    return true;
  }
  targets_.clear();
  bool has_two = std::any_of(
      supply.begin(), supply.end(),
      [](const auto& entry) { return entry.second.has_two_versions(); });
  if (!has_two) {
    rollout_ended_at_.reset();
    return false;
  }
  if (!rollout_ended_at_) rollout_ended_at_ = now;
  return now - *rollout_ended_at_ < kBootTimesToWait * boot_time;
}

void EndpointScaler::RecordTarget(const SupplyByDataCentre& supply,
                                  TimePoint now) {
  for (const auto& [data_centre, present] : supply) {
    auto [found, is_new] = targets_.try_emplace(data_centre);
    Target& target = found->second;
    size_t listed =
        present.other_regular + present.other_reclaimable - present.replaced;
    if (is_new || listed > target.listed) target.grown_at = now;
    target.listed = std::max(target.listed, listed);
    target.most_serving = std::max(target.most_serving, present.total());
  }
}

// A platform starts no more endpoints of the target than there are of the
// version before, and lists them within the time that they boot.
size_t EndpointScaler::MostUnlisted(const std::string& data_centre,
                                    nanoseconds boot_time,
                                    TimePoint now) const {
  auto found = targets_.find(data_centre);
  if (found == targets_.end()) return 0;
  const Target& target = found->second;
  if (now - target.grown_at >= boot_time) return 0;
  return target.most_serving - std::min(target.listed, target.most_serving);
}

bool EndpointScaler::IsRaise(const ScaleOrder& order, size_t present,
                             nanoseconds boot_time, TimePoint now) const {
  size_t unlisted = MostUnlisted(order.data_centre, boot_time, now);
  if (order.desired <= present || order.desired < present + unlisted) {
    return false;
  }
  auto last = accepted_.find({order.data_centre, order.reclaimable});
  if (last == accepted_.end()) return true;
  const Accepted& accepted = last->second;
  bool is_coming = accepted.most < accepted.desired &&
                   present >= accepted.most &&
                   now - accepted.at < kBootTimesToWait * boot_time;
  return order.desired >= accepted.desired || !is_coming;
}

bool EndpointScaler::IsDue(const ScaleOrder& order, size_t present,
                           nanoseconds boot_time, TimePoint now) {
  auto last = accepted_.find({order.data_centre, order.reclaimable});
  if (last == accepted_.end()) return order.desired != present;
  Accepted& accepted = last->second;
  bool are_fewer = present < accepted.most;
  accepted.most = std::max(accepted.most, present);
  if (accepted.desired != order.desired) return true;
  if (present >= order.desired) return false;
  // Some have gone since, or none has come.
  return are_fewer || now - accepted.at >= kBootTimesToRepeat * boot_time;
}

void EndpointScaler::RecordAccepted(const ScaleOrder& order, TimePoint now) {
  accepted_[{order.data_centre, order.reclaimable}] = {order.desired, now, 0};
}

void EndpointScaler::RecordUnavailable(const ScaleOrder& order, TimePoint now) {
  if (!order.reclaimable) return;
  unavailable_until_[order.data_centre] = now + kUnavailablePause;
  accepted_.erase({order.data_centre, true});
}

}  // namespace leverwick
