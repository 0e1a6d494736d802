// A played fleet whose boxes are partly partitioned from all endpoints.
//
// Each box gets requests at the same rate. A partitioned box forwards its own
// with ForwardTargets; a box that gets one serves it, unless it is partitioned
// or full. Time passes in steps; requests take a constant time.

#ifndef LEVERWICK_TESTING_FORWARDING_SIMULATION_H_
#define LEVERWICK_TESTING_FORWARDING_SIMULATION_H_

#include <algorithm>
#include <deque>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "leverwick/forward_admission.h"
#include "leverwick/forward_targets.h"

namespace leverwick {

struct ForwardingScenario {
  size_t boxes = 7;
  size_t data_centres = 3;
  std::vector<bool> is_partitioned;  // by box
  double requests_per_second = 20;   // of each box
  milliseconds service_time{500};
  size_t max_forwards = 3;
  uint64_t seed = 1;
};

struct ForwardingResult {
  size_t requests = 0;  // of the partitioned boxes
  size_t served = 0;
  size_t forwards = 0;
  size_t far = 0;          // forwards that left the data centre
  size_t most_served = 0;  // by one box, for others
  size_t healthy = 0;      // boxes

  double share() const { return Part(served, requests); }
  double hops() const { return Part(forwards, requests); }
  double far_share() const { return Part(far, forwards); }
  // Of the busiest box, against the mean.
  double imbalance() const {
    return Part(most_served * healthy, std::max<size_t>(1, served));
  }

 private:
  static double Part(size_t part, size_t whole) {
    return whole == 0 ? 0
                      : static_cast<double>(part) / static_cast<double>(whole);
  }
};

class ForwardingSimulation {
 public:
  explicit ForwardingSimulation(const ForwardingScenario& scenario)
      : scenario_(scenario),
        random_(scenario.seed),
        admissions_(scenario.boxes),
        served_(scenario.boxes) {
    for (size_t box = 0; box < scenario.boxes; ++box) {
      auto targets = std::make_unique<ForwardTargets>(DataCentreOf(box));
      std::vector<ForwardPeer> peers;
      for (size_t other = 0; other < scenario.boxes; ++other) {
        if (other != box) {
          peers.push_back(
              {NameOfBox(other), DataCentreOf(other), NameOfBox(other)});
        }
      }
      if (scenario.is_partitioned[box]) targets->SetPeers(std::move(peers));
      targets_.push_back(std::move(targets));
    }
  }

  ForwardingResult Run(milliseconds time) {
    ForwardingResult result;
    TimePoint end = now_ + time;
    for (; now_ < end; now_ += kStep) {
      EndRequests();
      for (size_t box = 0; box < scenario_.boxes; ++box) {
        double chance = scenario_.requests_per_second * ToSeconds(kStep);
        bool comes = scenario_.is_partitioned[box] && Draw() < chance;
        if (comes) Send(box, &result);
      }
    }
    for (bool is_partitioned : scenario_.is_partitioned) {
      if (!is_partitioned) ++result.healthy;
    }
    result.most_served = *std::max_element(served_.begin(), served_.end());
    return result;
  }

 private:
  static constexpr milliseconds kStep{5};

  struct Open {
    TimePoint end;
    size_t from;
    size_t to;
  };

  static std::string NameOfBox(size_t box) { return std::to_string(box); }
  std::string DataCentreOf(size_t box) const {
    return "dc" + std::to_string(box % scenario_.data_centres);
  }
  double Draw() { return std::uniform_real_distribution<>(0, 1)(random_); }

  void EndRequests() {
    while (!open_.empty() && open_.front().end <= now_) {
      const Open& open = open_.front();
      admissions_[open.to].RecordEnd(0);
      targets_[open.from]->RecordEnd(NameOfBox(open.to),
                                     ForwardOutcome::kServed, now_);
      open_.pop_front();
    }
  }

  void Send(size_t box, ForwardingResult* result) {
    ++result->requests;
    std::set<std::string> tried;
    while (tried.size() < scenario_.max_forwards) {
      const ForwardPeer* peer =
          targets_[box]->Pick(tried, {Draw(), Draw()}, now_);
      if (peer == nullptr) return;
      tried.insert(peer->name);
      ++result->forwards;
      if (peer->data_centre != DataCentreOf(box)) ++result->far;
      targets_[box]->RecordStart(peer->name, now_);
      size_t to = std::stoul(peer->name);
      bool accepts =
          !scenario_.is_partitioned[to] && admissions_[to].CanAdmit(0, now_);
      if (!accepts) {
        targets_[box]->RecordEnd(peer->name, ForwardOutcome::kDeclined, now_);
        continue;
      }
      admissions_[to].RecordStart(0);
      ++served_[to];
      ++result->served;
      open_.push_back({now_ + scenario_.service_time, box, to});
      return;
    }
  }

  const ForwardingScenario scenario_;
  std::mt19937_64 random_;
  TimePoint now_{std::chrono::hours(1)};
  std::vector<std::unique_ptr<ForwardTargets>> targets_;
  std::vector<ForwardAdmission> admissions_;
  std::vector<size_t> served_;
  std::deque<Open> open_;
};

// Which boxes a scenario partitions: the first of them, every third one, the
// first data centre, or all but the last.
enum class PartitionedPart { kOne, kThird, kDataCentre, kAllButOne };

inline ForwardingScenario ScenarioOf(size_t boxes, PartitionedPart part) {
  ForwardingScenario scenario;
  scenario.boxes = boxes;
  scenario.data_centres = std::max<size_t>(2, std::min<size_t>(39, boxes / 3));
  for (size_t box = 0; box < boxes; ++box) {
    bool is_partitioned = false;
    if (part == PartitionedPart::kOne) is_partitioned = box == 0;
    if (part == PartitionedPart::kThird) is_partitioned = box % 3 == 0;
    if (part == PartitionedPart::kDataCentre) {
      is_partitioned = box % scenario.data_centres == 0;
    }
    if (part == PartitionedPart::kAllButOne) is_partitioned = box + 1 < boxes;
    scenario.is_partitioned.push_back(is_partitioned);
  }
  return scenario;
}

}  // namespace leverwick

#endif  // LEVERWICK_TESTING_FORWARDING_SIMULATION_H_
