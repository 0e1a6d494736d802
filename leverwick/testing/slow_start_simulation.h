// SlowStartSimulation simulates a fleet of boxes when a drained data centre is
// restored.
//
// Each box sends its callers' requests to the endpoint that has received the
// fewest in the last second, of those that the box counts: its own, and those
// that other boxes of its data centre report with a delay. Restored endpoints
// are cold and have received none, so all boxes prefer them. One of them is
// also the preferred endpoint of a hot prompt. The simulation counts the
// requests that each endpoint receives under a policy for cold endpoints. It
// uses no sockets and no clock, and is deterministic for a seed.
//
//   SlowStartSimulation simulation(fleet, seed);
//   RestoreResult result = simulation.Run(&policy);

#ifndef LEVERWICK_TESTING_SLOW_START_SIMULATION_H_
#define LEVERWICK_TESTING_SLOW_START_SIMULATION_H_

#include <algorithm>
#include <cstddef>
#include <deque>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "leverwick/slow_start.h"

namespace leverwick {

struct SimulatedFleet {
  size_t boxes = 65;  // in three data centres
  size_t warm_endpoints = 75;
  size_t cold_endpoints = 37;
  double requests_per_second = 1100;  // of all boxes
  double hot_prompt_share = 0.04;     // of the requests
  // Share of the boxes that have a partial view of the fleet.
  double stale_box_share = 0;
  // Share of the other boxes that is missing in such a view.
  double unknown_to_stale_share = 0;
};

struct RestoreResult {
  // The maximum at one cold endpoint, over any second.
  size_t max_requests_per_second = 0;
  // The mean over all cold endpoints.
  double mean_requests_per_second = 0;
  size_t refused = 0;  // requests that no endpoint could accept
};

// Decides which requests a box may send to a cold endpoint.
class ColdSendPolicy {
 public:
  virtual ~ColdSendPolicy() = default;
  // `observed` is the number of sends of the last second that the box is aware
  // of, including its own.
  virtual bool MaySend(size_t box, size_t endpoint, size_t observed,
                       TimePoint now) = 0;
  virtual void RecordSend(size_t box, size_t endpoint, TimePoint now) = 0;
};

class UnlimitedSends : public ColdSendPolicy {
 public:
  bool MaySend(size_t, size_t, size_t, TimePoint) override { return true; }
  void RecordSend(size_t, size_t, TimePoint) override {}
};

// Each box has an equal share of the rate and may save up at most one request.
class EqualShares : public ColdSendPolicy {
 public:
  EqualShares(double rate, size_t boxes, size_t endpoints)
      : pause_(FromSeconds(static_cast<double>(boxes) / rate)),
        next_(boxes, std::vector<TimePoint>(endpoints)) {}
  bool MaySend(size_t box, size_t endpoint, size_t, TimePoint now) override {
    return now >= next_[box][endpoint];
  }
  void RecordSend(size_t box, size_t endpoint, TimePoint now) override {
    next_[box][endpoint] = now + pause_;
  }

 private:
  const Clock::duration pause_;
  std::vector<std::vector<TimePoint>> next_;
};

// Enforces the rate by the sends that boxes of a data centre report to each
// other. Each data centre has a third of the rate.
class PeerReportedCounts : public ColdSendPolicy {
 public:
  explicit PeerReportedCounts(double rate) : rate_per_data_centre_(rate / 3) {}
  bool MaySend(size_t, size_t, size_t observed, TimePoint) override {
    return static_cast<double>(observed + 1) <= rate_per_data_centre_;
  }
  void RecordSend(size_t, size_t, TimePoint) override {}

 private:
  const double rate_per_data_centre_;
};

// Runs a SlowStart for each box.
class RendezvousSenders : public ColdSendPolicy {
 public:
  RendezvousSenders(double rate, const SimulatedFleet& fleet, uint64_t seed) {
    std::mt19937_64 random(seed);
    auto draw = [&] { return std::uniform_real_distribution<>(0, 1)(random); };
    for (size_t box = 0; box < fleet.boxes; ++box) {
      auto slow_start = std::make_unique<SlowStart>(NameOf(box));
      bool is_stale = draw() < fleet.stale_box_share;
      std::vector<std::string> others;
      for (size_t other = 0; other < fleet.boxes; ++other) {
        bool is_unknown = is_stale && draw() < fleet.unknown_to_stale_share;
        if (other != box && !is_unknown) others.push_back(NameOf(other));
      }
      slow_start->SetBoxes(others);
      slow_start->SetLimits({{"service", {rate, std::chrono::seconds(3)}}});
      slow_start->RecordDataCentreRestored("dc-returned", TimePoint());
      boxes_.push_back(std::move(slow_start));
    }
  }
  bool MaySend(size_t box, size_t endpoint, size_t, TimePoint now) override {
    return boxes_[box]->MaySend(Listed(endpoint), now);
  }
  void RecordSend(size_t box, size_t endpoint, TimePoint now) override {
    boxes_[box]->RecordSend(Listed(endpoint).address, now);
  }

 private:
  static std::string NameOf(size_t box) { return "box-" + std::to_string(box); }
  static ListedEndpoint Listed(size_t endpoint) {
    ListedEndpoint listed;
    listed.address = "endpoint-" + std::to_string(endpoint);
    listed.target = "service";
    listed.data_centre = "dc-returned";
    return listed;
  }

  std::vector<std::unique_ptr<SlowStart>> boxes_;
};

class SlowStartSimulation {
 public:
  SlowStartSimulation(const SimulatedFleet& fleet, uint64_t seed)
      : fleet_(fleet), random_(seed) {
    // The largest boxes take three times as many requests as the smallest.
    for (size_t i = 0; i < fleet.boxes; ++i) weights_.push_back(1 + 2 * Draw());
    sends_.resize(fleet.warm_endpoints + fleet.cold_endpoints);
  }

  RestoreResult Run(ColdSendPolicy* policy) {
    // Each box detects the restored data centre after a random delay of up to
    // the duration of a long poll.
    std::vector<double> aware_at;
    for (size_t i = 0; i < fleet_.boxes; ++i) aware_at.push_back(0.9 * Draw());
    std::discrete_distribution<size_t> pick_box(weights_.begin(),
                                                weights_.end());
    std::exponential_distribution<> pause(fleet_.requests_per_second);
    RestoreResult result;
    // The load of the warm endpoints builds up in the second before the data
    // centre is restored.
    for (double at = -1; at < kColdSeconds; at += pause(random_)) {
      size_t box = pick_box(random_);
      size_t usable =
          at < aware_at[box] ? fleet_.warm_endpoints : sends_.size();
      Send(policy, box, usable, TimePoint(FromSeconds(at)), &result);
    }
    CountRequests(&result);
    return result;
  }

 private:
  struct SendRecord {
    TimePoint at;
    size_t box;
  };
  static constexpr double kColdSeconds = 3;
  static constexpr milliseconds kReportDelay{12};
  // A hot prompt goes to its preferred endpoint even if that has received this
  // many more requests in the last second than another, since prefill elsewhere
  // costs as much.
  static constexpr size_t kHotPromptAdvantage = 8;

  double Draw() { return std::uniform_real_distribution<>(0, 1)(random_); }
  bool IsCold(size_t endpoint) const {
    return endpoint >= fleet_.warm_endpoints;
  }

  // Returns the sends of the last second that the box is aware of.
  size_t ObservedSends(size_t endpoint, size_t box, TimePoint now) const {
    size_t observed = 0;
    const std::vector<SendRecord>& sends = sends_[endpoint];
    for (auto send = sends.rbegin(); send != sends.rend(); ++send) {
      if (now - send->at >= std::chrono::seconds(1)) break;
      bool reported =
          send->box % 3 == box % 3 && now - send->at >= kReportDelay;
      if (send->box == box || reported) ++observed;
    }
    return observed;
  }

  void Send(ColdSendPolicy* policy, size_t box, size_t usable, TimePoint now,
            RestoreResult* result) {
    bool is_hot = Draw() < fleet_.hot_prompt_share;
    std::vector<size_t> candidates;
    size_t min_count = SIZE_MAX;
    for (size_t endpoint = 0; endpoint < usable; ++endpoint) {
      size_t observed = ObservedSends(endpoint, box, now);
      bool may_send =
          !IsCold(endpoint) || policy->MaySend(box, endpoint, observed, now);
      bool preferred = is_hot && endpoint == fleet_.warm_endpoints;
      size_t effective_count =
          preferred ? observed : observed + kHotPromptAdvantage;
      if (!may_send || effective_count > min_count) continue;
      if (effective_count < min_count) candidates.clear();
      min_count = effective_count;
      candidates.push_back(endpoint);
    }
    if (candidates.empty()) {
      ++result->refused;
      return;
    }
    size_t chosen = candidates[random_() % candidates.size()];
    if (IsCold(chosen)) policy->RecordSend(box, chosen, now);
    sends_[chosen].push_back({now, box});
  }

  void CountRequests(RestoreResult* result) const {
    size_t all = 0;
    for (size_t endpoint = fleet_.warm_endpoints; endpoint < sends_.size();
         ++endpoint) {
      const std::vector<SendRecord>& sends = sends_[endpoint];
      all += sends.size();
      size_t first = 0;
      for (size_t last = 0; last < sends.size(); ++last) {
        while (sends[last].at - sends[first].at >= std::chrono::seconds(1)) {
          ++first;
        }
        result->max_requests_per_second =
            std::max(result->max_requests_per_second, last - first + 1);
      }
    }
    if (fleet_.cold_endpoints == 0) return;
    result->mean_requests_per_second =
        static_cast<double>(all) / kColdSeconds /
        static_cast<double>(fleet_.cold_endpoints);
  }

  const SimulatedFleet fleet_;
  std::mt19937_64 random_;
  std::vector<double> weights_;                 // of boxes
  std::vector<std::vector<SendRecord>> sends_;  // by endpoint, warm ones first
};

}  // namespace leverwick

#endif  // LEVERWICK_TESTING_SLOW_START_SIMULATION_H_
