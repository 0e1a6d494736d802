// Simulates a fleet of boxes that sends requests to endpoints, some of which
// refuse requests and request a back-off.
//
// Requests arrive at random times at random boxes. A box sends each request to
// the endpoint with the lowest load by the last load report, so that an
// endpoint that refuses all requests appears least loaded to every box. A
// refused request is attempted once more, on another endpoint. Time is
// simulated and there is no network; the seed determines every run.
//
//   BackoffSimulation simulation(scenario, make_policy, seed);
//   BackoffSimulationResult result = simulation.Run();

#ifndef LEVERWICK_TESTING_BACKOFF_SIMULATION_H_
#define LEVERWICK_TESTING_BACKOFF_SIMULATION_H_

#include <algorithm>
#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "leverwick/backoffs.h"

namespace leverwick {

struct BackoffScenario {
  size_t boxes = 7;
  size_t endpoints = 12;
  size_t refusing_endpoints = 4;
  // Of a request to an endpoint that is refusing.
  double refusal_probability = 1;
  milliseconds requested_backoff{3000};
  milliseconds refuse_from{2000};
  milliseconds refuse_until{8000};
  double requests_per_second = 300;  // of all boxes together
  // Requests that an endpoint serves at a time; further ones queue there.
  size_t endpoint_concurrency = 8;
  milliseconds service_time{200};
  milliseconds load_report_interval{100};
  milliseconds duration{16000};
};

struct BackoffSimulationResult {
  // Maximum number of requests from one box to an endpoint during a back-off
  // that this endpoint requested from that box.
  size_t max_sends_during_backoff = 0;
  size_t refusals = 0;  // by endpoints
  // While endpoints are refusing: the fraction of callers' requests that no
  // endpoint served, and the used fraction of these endpoints' capacity.
  double rejected_fraction = 0;
  double used_fraction = 0;
  // Maximum number of requests to one endpoint in any 100 ms before it starts
  // refusing, and in the first 100 ms in which it receives requests afterwards.
  size_t max_burst_before = 0;
  size_t max_burst_after = 0;
  // Maximum time that a request queued at an endpoint after it stopped
  // refusing.
  milliseconds max_wait{0};
};

// How one box observes requested back-offs.
class BackoffPolicy {
 public:
  virtual ~BackoffPolicy() = default;
  virtual void RecordBackoff(const std::string& endpoint, milliseconds duration,
                             TimePoint now) = 0;
  virtual nanoseconds TimeUntilSendAllowed(const std::string& endpoint,
                                           TimePoint now) const = 0;
  virtual void RecordSend(const std::string& endpoint, TimePoint now) {}
  // Returns whether the box reports requested back-offs to all other boxes.
  virtual bool broadcasts() const { return false; }
};

class IgnoreBackoffsPolicy : public BackoffPolicy {
 public:
  void RecordBackoff(const std::string&, milliseconds, TimePoint) override {}
  nanoseconds TimeUntilSendAllowed(const std::string&,
                                   TimePoint) const override {
    return nanoseconds(0);
  }
};

// Resumes all requests when the back-off ends, without jitter or a ramp.
class ResumeAtOncePolicy : public BackoffPolicy {
 public:
  void RecordBackoff(const std::string& endpoint, milliseconds duration,
                     TimePoint now) override {
    TimePoint& until = until_[endpoint];
    until = std::max(until, now + duration);
  }
  nanoseconds TimeUntilSendAllowed(const std::string& endpoint,
                                   TimePoint now) const override {
    auto found = until_.find(endpoint);
    return found == until_.end() ? nanoseconds(0) : found->second - now;
  }

 private:
  std::map<std::string, TimePoint> until_;
};

// Observes back-offs as leverwick/backoffs.h does.
class RampPolicy : public BackoffPolicy {
 public:
  explicit RampPolicy(bool broadcasts) : broadcasts_(broadcasts) {}
  void RecordBackoff(const std::string& endpoint, milliseconds duration,
                     TimePoint now) override {
    backoffs_.RecordBackoff(endpoint, duration, now);
  }
  nanoseconds TimeUntilSendAllowed(const std::string& endpoint,
                                   TimePoint now) const override {
    return backoffs_.TimeUntilSendAllowed(endpoint, now);
  }
  void RecordSend(const std::string& endpoint, TimePoint now) override {
    backoffs_.RecordSend(endpoint, now);
    backoffs_.Expire(now);
  }
  bool broadcasts() const override { return broadcasts_; }

 private:
  Backoffs backoffs_;
  const bool broadcasts_;
};

class BackoffSimulation {
 public:
  using MakePolicy = std::function<std::unique_ptr<BackoffPolicy>()>;

  BackoffSimulation(const BackoffScenario& scenario,
                    const MakePolicy& make_policy, uint64_t seed)
      : scenario_(scenario), random_(seed), endpoints_(scenario.endpoints) {
    for (size_t i = 0; i < scenario.boxes; ++i)
      policies_.push_back(make_policy());
    reported_loads_.resize(scenario.endpoints);
  }

  BackoffSimulationResult Run() {
    constexpr milliseconds kTick{1};
    std::poisson_distribution<int> arrivals(scenario_.requests_per_second *
                                            ToSeconds(kTick));
    for (milliseconds at{0}; at < scenario_.duration; at += kTick) {
      now_ = kBegin + at;
      if (at % scenario_.load_report_interval == milliseconds(0)) ReportLoads();
      for (; !retries_.empty() && retries_.begin()->first <= now_;
           retries_.erase(retries_.begin())) {
        Serve(true);
      }
      for (int i = arrivals(random_); i > 0; --i) Serve(false);
    }
    if (requests_while_refusing_ > 0) {
      result_.rejected_fraction =
          static_cast<double>(rejected_while_refusing_) /
          static_cast<double>(requests_while_refusing_);
    }
    double capacity =
        static_cast<double>(scenario_.refusing_endpoints *
                            scenario_.endpoint_concurrency) *
        ToSeconds(scenario_.refuse_until - scenario_.refuse_from) /
        ToSeconds(scenario_.service_time);
    result_.used_fraction =
        static_cast<double>(served_while_refusing_) / capacity;
    MeasureBursts();
    CountSendsDuringBackoffs();
    return result_;
  }

 private:
  static constexpr TimePoint kBegin{std::chrono::hours(1)};
  // Requests sent this soon after a refusal may have been sent by a box that
  // had not received it yet, and are not counted.
  static constexpr milliseconds kInFlightGrace{500};
  static constexpr milliseconds kBurstWindow{100};
  static constexpr int kMaxAttempts = 2;

  struct Send {
    size_t box = 0;
    size_t endpoint = 0;
    TimePoint at{};
  };
  struct Endpoint {
    std::deque<TimePoint> free_at;  // per in-flight request, sorted
    std::vector<Send> arrivals;
  };

  bool IsRefusing(size_t endpoint) const {
    return endpoint < scenario_.refusing_endpoints &&
           now_ >= kBegin + scenario_.refuse_from &&
           now_ < kBegin + scenario_.refuse_until;
  }
  double ComputeLoad(size_t endpoint) const {
    double load = 0;
    for (TimePoint free_at : endpoints_[endpoint].free_at) {
      if (free_at > now_) ++load;
    }
    return load;
  }
  void ReportLoads() {
    for (size_t i = 0; i < endpoints_.size(); ++i)
      reported_loads_[i] = ComputeLoad(i);
    sent_since_report_.clear();
  }

  // `is_retry`: the caller was rejected before and retries.
  void Serve(bool is_retry) {
    size_t box = random_() % scenario_.boxes;
    bool is_counted = now_ >= kBegin + scenario_.refuse_from &&
                      now_ < kBegin + scenario_.refuse_until;
    if (is_counted) ++requests_while_refusing_;
    size_t attempted_endpoint = endpoints_.size();
    for (int attempt = 0; attempt < kMaxAttempts; ++attempt) {
      size_t endpoint = ChooseEndpoint(box, attempted_endpoint);
      if (endpoint == endpoints_.size()) break;
      attempted_endpoint = endpoint;
      if (SendTo(box, endpoint)) return;
    }
    if (is_counted) ++rejected_while_refusing_;
    if (!is_retry) ScheduleRetry(box);
  }

  // The caller is told to retry after the earliest end of a back-off, and adds
  // up to 1 s of jitter.
  void ScheduleRetry(size_t box) {
    nanoseconds soonest = scenario_.requested_backoff;
    for (size_t i = 0; i < endpoints_.size(); ++i) {
      soonest = std::min(
          soonest, policies_[box]->TimeUntilSendAllowed(EndpointName(i), now_));
    }
    if (soonest <= nanoseconds(0)) return;
    Seconds jitter(std::uniform_real_distribution<>(0, 1)(random_));
    retries_.insert({now_ + soonest + FromSeconds(jitter.count()), box});
  }

  size_t ChooseEndpoint(size_t box, size_t attempted_endpoint) {
    size_t best = endpoints_.size();
    double min_load = 0;
    for (size_t i = 0; i < endpoints_.size(); ++i) {
      if (i == attempted_endpoint ||
          policies_[box]->TimeUntilSendAllowed(EndpointName(i), now_) >
              nanoseconds(0))
        continue;
      double tie = std::uniform_real_distribution<>(0, 0.5)(random_);
      double load = reported_loads_[i] + sent_since_report_[{box, i}] + tie;
      if (best != endpoints_.size() && load >= min_load) continue;
      best = i;
      min_load = load;
    }
    return best;
  }

  // Returns whether the endpoint accepts the request.
  bool SendTo(size_t box, size_t endpoint) {
    Endpoint& target = endpoints_[endpoint];
    target.arrivals.push_back({box, endpoint, now_});
    policies_[box]->RecordSend(EndpointName(endpoint), now_);
    std::bernoulli_distribution refuses(scenario_.refusal_probability);
    if (IsRefusing(endpoint) && refuses(random_)) {
      ++result_.refusals;
      refusals_.push_back({box, endpoint, now_});
      for (size_t i = 0; i < policies_.size(); ++i) {
        bool is_informed = i == box || policies_[box]->broadcasts();
        if (is_informed)
          policies_[i]->RecordBackoff(EndpointName(endpoint),
                                      scenario_.requested_backoff, now_);
      }
      return false;
    }
    if (IsRefusing(endpoint)) ++served_while_refusing_;
    ++sent_since_report_[{box, endpoint}];
    TimePoint begin = now_;
    if (target.free_at.size() >= scenario_.endpoint_concurrency) {
      begin = std::max(begin, target.free_at.front());
      target.free_at.pop_front();
    }
    if (now_ >= kBegin + scenario_.refuse_until &&
        endpoint < scenario_.refusing_endpoints) {
      result_.max_wait =
          std::max(result_.max_wait,
                   std::chrono::duration_cast<milliseconds>(begin - now_));
    }
    TimePoint end = begin + scenario_.service_time;
    target.free_at.insert(
        std::upper_bound(target.free_at.begin(), target.free_at.end(), end),
        end);
    return true;
  }

  // Computes max_burst_before and max_burst_after.
  void MeasureBursts() {
    for (size_t i = 0; i < scenario_.refusing_endpoints; ++i) {
      const auto& arrivals = endpoints_[i].arrivals;
      bool is_after_measured = false;
      for (size_t first = 0; first < arrivals.size(); ++first) {
        bool is_before = arrivals[first].at < kBegin + scenario_.refuse_from;
        bool is_after = arrivals[first].at >= kBegin + scenario_.refuse_until;
        if (is_after_measured || (!is_before && !is_after)) continue;
        size_t last = first;
        while (last < arrivals.size() &&
               arrivals[last].at < arrivals[first].at + kBurstWindow)
          ++last;
        size_t* max_burst =
            is_after ? &result_.max_burst_after : &result_.max_burst_before;
        *max_burst = std::max(*max_burst, last - first);
        is_after_measured = is_after;
      }
    }
  }
  void CountSendsDuringBackoffs() {
    for (const Send& refusal : refusals_) {
      const auto& arrivals = endpoints_[refusal.endpoint].arrivals;
      auto is_counted = [&](const Send& arrival) {
        return arrival.box == refusal.box &&
               arrival.at > refusal.at + kInFlightGrace &&
               arrival.at < refusal.at + scenario_.requested_backoff;
      };
      auto count = static_cast<size_t>(
          std::count_if(arrivals.begin(), arrivals.end(), is_counted));
      result_.max_sends_during_backoff =
          std::max(result_.max_sends_during_backoff, count);
    }
  }
  static std::string EndpointName(size_t endpoint) {
    return "i-" + std::to_string(endpoint);
  }

  const BackoffScenario scenario_;
  std::mt19937_64 random_;
  std::vector<std::unique_ptr<BackoffPolicy>> policies_;  // by box
  std::vector<Endpoint> endpoints_;
  std::vector<double> reported_loads_;  // by endpoint, same for all boxes
  std::map<std::pair<size_t, size_t>, double>
      sent_since_report_;  // by box, endpoint
  std::vector<Send> refusals_;
  std::multimap<TimePoint, size_t> retries_;  // times of retries, and boxes
  TimePoint now_{};
  size_t requests_while_refusing_ = 0;
  size_t rejected_while_refusing_ = 0;
  size_t served_while_refusing_ = 0;
  BackoffSimulationResult result_;
};

}  // namespace leverwick

#endif  // LEVERWICK_TESTING_BACKOFF_SIMULATION_H_
