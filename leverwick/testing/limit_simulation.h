// Simulates a fleet of boxes that sends requests to endpoints, some of which
// report a rate limit.
//
// Requests arrive at random times at boxes chosen by a traffic pattern. Each
// request prefers the endpoints in a random order. A box becomes aware of a
// limit by the first response that reports it, or by the report of another box
// that has received one. The simulation counts the requests that a policy
// for enforcing limits lets through to the endpoints. Time is simulated and
// there is no network; the seed determines every run.
//
//   LimitSimulation simulation(scenario, seed);
//   PermitPolicy policy(&simulation);
//   LimitSimulationResult result = simulation.Run(&policy);

#ifndef LEVERWICK_TESTING_LIMIT_SIMULATION_H_
#define LEVERWICK_TESTING_LIMIT_SIMULATION_H_

#include <algorithm>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "leverwick/send_permits.h"
#include "leverwick/slow_start.h"

namespace leverwick {

struct LimitScenario {
  // Which box a request arrives at: a random one, always the same, or another
  // one every second.
  enum class Traffic { kEven, kOneBox, kRotating };

  size_t boxes = 7;  // in three data centres
  size_t endpoints = 4;
  size_t limited_endpoints = 1;     // the others accept all requests
  double limit_per_second = 2;      // of each limited endpoint
  double requests_per_second = 30;  // of all boxes together
  Traffic traffic = Traffic::kEven;
  double message_loss = 0;  // probability, per message between boxes
  // Boxes that stop communicating at the midpoint of the simulation.
  size_t unresponsive_boxes = 0;
  // Data centres that are partitioned from the others from the midpoint on.
  size_t partitioned_data_centres = 0;
  // Boxes that have just started and that the others are not yet aware of.
  size_t unknown_boxes = 0;
  Seconds duration{24};
};

struct LimitSimulationResult {
  // Maximum number of requests to one limited endpoint in any window of
  // kCountingWindow that starts at kDetectionTime or later.
  size_t max_sends_in_window = 0;
  // Fraction of the requests permitted by the limits that were sent, after the
  // midpoint.
  double used_fraction = 0;
  double refused_fraction = 0;     // of all requests
  double messages_per_second = 0;  // between all boxes
  milliseconds max_wait{0};        // of a request, for a permit reply
};

// How the boxes enforce limits.
class LimitPolicy {
 public:
  virtual ~LimitPolicy() = default;
  virtual bool MaySend(size_t box, const ListedEndpoint& to, TimePoint now) = 0;
  virtual void RecordSend(size_t box, const ListedEndpoint& to,
                          TimePoint now) = 0;
  virtual bool CanRequestPermit(size_t, const ListedEndpoint&, TimePoint) {
    return false;
  }
  virtual void RequestPermit(size_t, const ListedEndpoint&, TimePoint) {}
  virtual bool IsRequestPending(size_t, const ListedEndpoint&) { return false; }
};

// Each box enforces the full limit by itself.
class UncoordinatedPolicy : public LimitPolicy {
 public:
  UncoordinatedPolicy(double limit_per_second, size_t boxes)
      : interval_(FromSeconds(1 / limit_per_second)), next_send_(boxes) {}
  bool MaySend(size_t box, const ListedEndpoint& to, TimePoint now) override {
    return now >= next_send_[box][to.address];
  }
  void RecordSend(size_t box, const ListedEndpoint& to,
                  TimePoint now) override {
    next_send_[box][to.address] = now + interval_;
  }

 private:
  const Clock::duration interval_;
  std::vector<std::map<std::string, TimePoint>> next_send_;
};

// Each box has an equal share of the limit, without accumulating credit.
class EqualSharesPolicy : public UncoordinatedPolicy {
 public:
  EqualSharesPolicy(double limit_per_second, size_t boxes)
      : UncoordinatedPolicy(limit_per_second / static_cast<double>(boxes),
                            boxes) {}
};

// A few boxes selected by hash send all requests, as in a slow start.
class SelectedSendersPolicy : public LimitPolicy {
 public:
  SelectedSendersPolicy(double limit_per_second, size_t boxes) {
    for (size_t box = 0; box < boxes; ++box) {
      boxes_.push_back(
          std::make_unique<SlowStart>("box-" + std::to_string(box)));
      std::vector<std::string> others;
      for (size_t other = 0; other < boxes; ++other) {
        if (other != box) others.push_back("box-" + std::to_string(other));
      }
      boxes_.back()->SetBoxes(others);
      boxes_.back()->SetLimits(
          {{"service", {limit_per_second, std::chrono::hours(1)}}});
    }
  }
  bool MaySend(size_t box, const ListedEndpoint& to, TimePoint now) override {
    boxes_[box]->RecordWarmUp(to.address, std::chrono::minutes(1), now);
    return boxes_[box]->MaySend(to, now);
  }
  void RecordSend(size_t box, const ListedEndpoint& to,
                  TimePoint now) override {
    boxes_[box]->RecordSend(to.address, now);
  }

 private:
  std::vector<std::unique_ptr<SlowStart>> boxes_;
};

class LimitSimulation {
 public:
  LimitSimulation(const LimitScenario& scenario, uint64_t seed)
      : scenario_(scenario), random_(seed) {
    for (size_t i = 0; i < scenario.endpoints; ++i) {
      ListedEndpoint endpoint;
      endpoint.address = "endpoint-" + std::to_string(i);
      endpoint.target = "service";
      endpoint.data_centre = DataCentreOf(i);
      endpoints_.push_back(endpoint);
    }
    arrivals_.resize(scenario.endpoints);
    for (size_t i = 0; i < scenario.boxes; ++i) {
      limits_.push_back(std::make_unique<EndpointLimits>());
    }
  }

  static std::string DataCentreOf(size_t number) {
    return "dc" + std::to_string(number % 3);
  }

  // Runs `action` after `delay` of simulated time.
  void Schedule(Seconds delay, std::function<void()> action) {
    events_.emplace(now_ + FromSeconds(delay.count()), std::move(action));
  }
  // Delivers a message from box to box, unless it is lost.
  void Deliver(size_t from, size_t to, std::function<void()> action) {
    ++messages_;
    bool is_local = from % 3 == to % 3;
    Seconds delay(is_local ? 0.001 + 0.002 * DrawUniform()
                           : 0.01 + 0.02 * DrawUniform());
    if (DrawUniform() < scenario_.message_loss || IsUnresponsive(from) ||
        IsUnresponsive(to))
      return;
    if (IsPartitioned(from, to)) return;
    Schedule(delay, std::move(action));
  }
  TimePoint now() const { return now_; }
  bool IsFinished() const {
    return ToSeconds(now_ - start_) >= scenario_.duration.count();
  }
  double DrawUniform() {
    return std::uniform_real_distribution<>(0, 1)(random_);
  }
  // Replaces the box by a new one that is aware of no limits.
  void RestartBox(size_t box) {
    limits_[box] = std::make_unique<EndpointLimits>();
    waiting_[box].clear();
  }
  // Sends the limits that box `from` is aware of to box `to`.
  void SendKnownLimits(size_t from, size_t to) {
    for (size_t endpoint = 0; endpoint < scenario_.limited_endpoints;
         ++endpoint) {
      if (limits_[from]->Find(endpoints_[endpoint].address) == nullptr)
        continue;
      Deliver(from, to,
              [this, to, endpoint] { RecordLimit(to, endpoint, false); });
    }
  }
  EndpointLimits* limits(size_t box) { return limits_[box].get(); }
  const LimitScenario& scenario() const { return scenario_; }

  // Retries the requests that wait at the box.
  void ResumeWaiting(size_t box) {
    std::vector<std::function<void()>> waiting;
    waiting.swap(waiting_[box]);
    for (auto& action : waiting) action();
  }

  LimitSimulationResult Run(LimitPolicy* policy) {
    policy_ = policy;
    double at = 0;
    std::exponential_distribution<> interval(scenario_.requests_per_second);
    while ((at += interval(random_)) < scenario_.duration.count()) {
      Schedule(Seconds(at), [this] { AddRequest(); });
    }
    while (!events_.empty()) {
      auto first = events_.begin();
      now_ = first->first;
      auto action = std::move(first->second);
      events_.erase(first);
      action();
    }
    return ComputeResult();
  }

 private:
  struct Request {
    size_t box = 0;
    std::vector<size_t> preferred;  // endpoints, most preferred first
    TimePoint arrived_at{};
  };
  static constexpr std::chrono::seconds kCountingWindow{4};
  static constexpr std::chrono::seconds kDetectionTime{3};
  static constexpr milliseconds kResponseTime{100};
  static constexpr milliseconds kMaxWait{100};

  bool IsLimited(size_t endpoint) const {
    return endpoint < scenario_.limited_endpoints;
  }
  bool IsUnresponsive(size_t box) const {
    return box < scenario_.unresponsive_boxes &&
           now_ - start_ > FromSeconds(MidpointSeconds());
  }
  bool IsPartitioned(size_t from, size_t to) const {
    bool is_partitioned = from % 3 < scenario_.partitioned_data_centres ||
                          to % 3 < scenario_.partitioned_data_centres;
    return is_partitioned && from % 3 != to % 3 &&
           now_ - start_ > FromSeconds(MidpointSeconds());
  }
  double MidpointSeconds() const { return scenario_.duration.count() / 2; }

  size_t PickBox() {
    using Traffic = LimitScenario::Traffic;
    size_t box = scenario_.boxes - 1;
    if (scenario_.traffic == Traffic::kEven) box = random_() % scenario_.boxes;
    if (scenario_.traffic == Traffic::kRotating) {
      box = static_cast<size_t>(ToSeconds(now_ - start_)) % scenario_.boxes;
    }
    // Callers of an unresponsive box connect to another one.
    return IsUnresponsive(box) ? scenario_.boxes - 1 : box;
  }

  void AddRequest() {
    ++requests_;
    Request request;
    request.box = PickBox();
    request.arrived_at = now_;
    for (size_t i = 0; i < scenario_.endpoints; ++i)
      request.preferred.push_back(i);
    std::shuffle(request.preferred.begin(), request.preferred.end(), random_);
    SendOrWait(request);
  }

  bool IsLimitKnown(const Request& request, size_t endpoint) {
    return limits_[request.box]->Find(endpoints_[endpoint].address) != nullptr;
  }
  bool MaySend(const Request& request, size_t endpoint) {
    return !IsLimitKnown(request, endpoint) ||
           policy_->MaySend(request.box, endpoints_[endpoint], now_);
  }

  // Requests a permit for the most preferred endpoint that may issue one,
  // unless a more preferred endpoint needs none. Returns true if a reply is
  // pending.
  bool RequestPermitFor(const Request& request) {
    for (size_t endpoint : request.preferred) {
      if (MaySend(request, endpoint)) return false;
      if (!policy_->CanRequestPermit(request.box, endpoints_[endpoint], now_))
        continue;
      policy_->RequestPermit(request.box, endpoints_[endpoint], now_);
      if (policy_->IsRequestPending(request.box, endpoints_[endpoint]))
        return true;
      return RequestPermitFor(request);  // the reply was immediate
    }
    return false;
  }

  void SendOrWait(const Request& request) {
    bool is_request_pending = RequestPermitFor(request);
    for (size_t endpoint : request.preferred) {
      if (MaySend(request, endpoint)) return SendTo(request, endpoint);
    }
    if (!is_request_pending || now_ - request.arrived_at >= kMaxWait) {
      ++refused_;
      max_wait_ = std::max(max_wait_, now_ - request.arrived_at);
      return;
    }
    waiting_[request.box].push_back([this, request] { SendOrWait(request); });
  }

  void SendTo(const Request& request, size_t endpoint) {
    max_wait_ = std::max(max_wait_, now_ - request.arrived_at);
    if (IsLimitKnown(request, endpoint)) {
      policy_->RecordSend(request.box, endpoints_[endpoint], now_);
    }
    arrivals_[endpoint].push_back(now_);
    if (!IsLimited(endpoint)) return;
    Schedule(kResponseTime, [this, box = request.box, endpoint] {
      RecordLimit(box, endpoint, true);
    });
  }

  void RecordLimit(size_t box, size_t endpoint, bool from_response) {
    auto change = limits_[box]->RecordLimit(endpoints_[endpoint].address,
                                            scenario_.limit_per_second, now_);
    bool is_first = change == EndpointLimits::Change::kAdded;
    if (!is_first || !from_response) return;
    for (size_t other = 0; other < scenario_.boxes; ++other) {
      if (other == box) continue;
      Deliver(box, other,
              [this, other, endpoint] { RecordLimit(other, endpoint, false); });
    }
  }

  LimitSimulationResult ComputeResult() const {
    LimitSimulationResult result;
    double sends_after_midpoint = 0;
    for (size_t endpoint = 0; endpoint < scenario_.limited_endpoints;
         ++endpoint) {
      const std::vector<TimePoint>& arrivals = arrivals_[endpoint];
      size_t first = 0;
      for (size_t last = 0; last < arrivals.size(); ++last) {
        if (arrivals[last] - start_ < kDetectionTime) first = last + 1;
        while (first <= last &&
               arrivals[last] - arrivals[first] >= kCountingWindow)
          ++first;
        result.max_sends_in_window =
            std::max(result.max_sends_in_window, last + 1 - first);
        if (ToSeconds(arrivals[last] - start_) >= MidpointSeconds())
          ++sends_after_midpoint;
      }
    }
    result.used_fraction = sends_after_midpoint /
                           (scenario_.limit_per_second * MidpointSeconds() *
                            static_cast<double>(scenario_.limited_endpoints));
    result.refused_fraction =
        static_cast<double>(refused_) / static_cast<double>(requests_);
    result.messages_per_second =
        static_cast<double>(messages_) / scenario_.duration.count();
    result.max_wait = std::chrono::ceil<milliseconds>(max_wait_);
    return result;
  }

  const LimitScenario scenario_;
  std::mt19937_64 random_;
  const TimePoint start_ = TimePoint() + std::chrono::hours(1);
  TimePoint now_ = start_;
  std::multimap<TimePoint, std::function<void()>> events_;
  std::vector<ListedEndpoint> endpoints_;
  std::vector<std::vector<TimePoint>> arrivals_;                  // by endpoint
  std::vector<std::unique_ptr<EndpointLimits>> limits_;           // by box
  std::map<size_t, std::vector<std::function<void()>>> waiting_;  // by box
  LimitPolicy* policy_ = nullptr;
  size_t requests_ = 0;
  size_t refused_ = 0;
  size_t messages_ = 0;
  Clock::duration max_wait_{0};
};

// Each box uses SendPermits; permit requests and replies are messages.
class PermitPolicy : public LimitPolicy {
 public:
  explicit PermitPolicy(LimitSimulation* simulation) : simulation_(simulation) {
    for (size_t box = 0; box < simulation->scenario().boxes; ++box) {
      boxes_.push_back(std::make_unique<Box>(this, box));
    }
  }
  bool MaySend(size_t box, const ListedEndpoint& to, TimePoint now) override {
    return boxes_[box]->permits.MaySend(to.address, now);
  }
  void RecordSend(size_t box, const ListedEndpoint& to,
                  TimePoint now) override {
    boxes_[box]->permits.RecordSend(to.address, now);
  }
  bool CanRequestPermit(size_t box, const ListedEndpoint& to,
                        TimePoint now) override {
    return boxes_[box]->permits.CanRequestPermit(to.address, now);
  }
  bool IsRequestPending(size_t box, const ListedEndpoint& to) override {
    return boxes_[box]->permits.IsRequestPending(to.address);
  }
  void RequestPermit(size_t box, const ListedEndpoint& to,
                     TimePoint now) override {
    boxes_[box]->permits.RequestPermit(to.address, to.data_centre, now);
    // Abandons the request if its reply times out.
    simulation_->Schedule(SendPermits::kReplyTimeout + milliseconds(1),
                          [this, box] {
                            if (boxes_[box]->permits.Expire(simulation_->now()))
                              simulation_->ResumeWaiting(box);
                          });
  }

 private:
  struct Box : public SendPermits::Transport {
    Box(PermitPolicy* policy, size_t number)
        : policy(policy),
          number(number),
          permits(LocationOf(number), policy->simulation_->limits(number)) {
      std::vector<BoxLocation> others;
      for (size_t i = 0; i < policy->simulation_->scenario().boxes; ++i) {
        if (i == number || IsUnknown(i)) continue;
        others.push_back(LocationOf(i));
      }
      permits.SetOtherBoxes(others);
      permits.AllowGrantsFrom(IsUnknown(number) ? TimePoint::max()
                                                : TimePoint());
      permits.SetTransport(this);
    }
    bool IsUnknown(size_t box) const {
      return box < policy->simulation_->scenario().unknown_boxes;
    }
    static BoxLocation LocationOf(size_t number) {
      return {"box-" + std::to_string(number),
              LimitSimulation::DataCentreOf(number)};
    }
    void SendPermitRequest(const PermitRequest& permit_request,
                           const std::string& box) override {
      policy->CarryRequest(number, std::stoul(box.substr(4)), permit_request);
    }
    PermitPolicy* const policy;
    const size_t number;
    SendPermits permits;
  };

  void CarryRequest(size_t from, size_t to,
                    const PermitRequest& permit_request) {
    simulation_->Deliver(from, to, [this, from, to, permit_request] {
      PermitReply reply =
          boxes_[to]->permits.GrantPermit(permit_request, simulation_->now());
      simulation_->Deliver(to, from, [this, from, reply] {
        boxes_[from]->permits.RecordReply(reply, simulation_->now());
        simulation_->ResumeWaiting(from);
      });
    });
  }

  LimitSimulation* const simulation_;
  std::vector<std::unique_ptr<Box>> boxes_;
};

}  // namespace leverwick

#endif  // LEVERWICK_TESTING_LIMIT_SIMULATION_H_
