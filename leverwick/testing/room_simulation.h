// Simulates boxes before a plain service of few places.
//
// Requests arrive at random boxes. An endpoint works on as many at a time as it
// has places, queues some more, and refuses the rest at once. A caller that is
// refused returns once, to a random box, after the retry-after time. Boxes
// choose and refuse by what they have told each other, or by their own requests
// alone, with a fixed retry-after time. Time is simulated; the seed determines
// every run. testing/place_simulation.h adds granters of places.
//
//   RoomSimulation simulation(scenario, seed);
//   RoomResult result = simulation.Run();

#ifndef LEVERWICK_TESTING_ROOM_SIMULATION_H_
#define LEVERWICK_TESTING_ROOM_SIMULATION_H_

#include <algorithm>
#include <array>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "leverwick/engine_loads.h"
#include "leverwick/service_room.h"

namespace leverwick {

struct RoomScenario {
  double load = 0.7;  // of the capacity of all endpoints
  // False: boxes report nothing and tell a fixed retry-after time.
  bool uses_room = true;
  double message_loss = 0;
  bool loses_endpoint = false;  // at the midpoint
  size_t silent_boxes = 0;      // send and receive no reports
  size_t boxes = 67;
  size_t endpoints = 3;
  // One organisation sends this many times what each other one does.
  double largest_organisation = 1;
  Seconds duration{4};
};

struct RoomOutcomes {
  size_t in_time = 0;
  size_t late = 0;
  size_t refused = 0;  // not served in the end
  size_t failed = 0;   // given up, or lost with its endpoint
  size_t served() const { return in_time + late; }
  size_t total() const { return served() + refused + failed; }
  double share_in_time() const {
    return static_cast<double>(in_time) / static_cast<double>(total());
  }
  double share_served() const {
    return static_cast<double>(served()) / static_cast<double>(total());
  }
  RoomOutcomes& operator+=(const RoomOutcomes& other) {
    in_time += other.in_time;
    late += other.late;
    refused += other.refused;
    failed += other.failed;
    return *this;
  }
};

struct RoomResult {
  std::array<RoomOutcomes, 2> by_kind;  // the urgent kind first
  RoomOutcomes largest_organisation;    // those of organisation 0
  RoomOutcomes other_organisations;
  RoomOutcomes returning;         // requests that were refused once before
  size_t answers_under_load = 0;  // until the last request arrives
  size_t refusals = 0;            // each that a caller got
  // Refusals while fewer than half of the places were taken.
  size_t idle_refusals = 0;

  RoomResult& operator+=(const RoomResult& other) {
    for (size_t kind = 0; kind < by_kind.size(); ++kind)
      by_kind[kind] += other.by_kind[kind];
    largest_organisation += other.largest_organisation;
    other_organisations += other.other_organisations;
    returning += other.returning;
    answers_under_load += other.answers_under_load;
    refusals += other.refusals;
    idle_refusals += other.idle_refusals;
    return *this;
  }
};

class RoomSimulation {
 public:
  RoomSimulation(const RoomScenario& scenario, uint32_t seed)
      : scenario_(scenario),
        arrivals_(seed),
        random_(seed + 1),
        organisations_(seed + 2),
        boxes_(scenario.boxes),
        endpoints_(scenario.endpoints) {}
  virtual ~RoomSimulation() = default;

  RoomResult Run() {
    double places = static_cast<double>(scenario_.endpoints * kPlaces);
    double rate = scenario_.load * places / kWork.count();
    At(kStart, [this, rate] { Arrive(rate); });
    At(kStart, [this] { Expire(); });
    if (scenario_.loses_endpoint)
      At(kStart + FromSeconds(scenario_.duration.count() / 2),
         [this] { LoseEndpoint(); });
    while (!events_.empty()) {
      auto event = events_.begin();
      now_ = event->first;
      auto action = std::move(event->second);
      events_.erase(event);
      action();
    }
    return result_;
  }

 protected:
  static constexpr size_t kOrganisations = 8;
  static constexpr size_t kPlaces = 6;
  static constexpr size_t kQueue = 24;
  static constexpr Seconds kWork{0.06};
  static constexpr milliseconds kObjective{300};
  static constexpr milliseconds kDeadline{1500};
  static constexpr milliseconds kTimeout{800};
  static constexpr milliseconds kReportDelay{15};
  static constexpr milliseconds kFixedComeBack{250};
  static constexpr int kPriorities[] = {1, 6};
  static inline const TimePoint kStart = TimePoint() + std::chrono::hours(1);

  struct Box {
    EngineLoads loads;
    ServiceRoom room;
    std::map<size_t, TimePoint> avoided_until;  // by endpoint
  };
  struct Request {
    size_t kind = 0;
    size_t organisation = 0;
    TimePoint arrived{};
    Seconds work{0};
    bool has_returned = false;
    size_t box = 0;
    size_t endpoint = 0;
    uint64_t ticket = 0;
    TimePoint sent{};
    bool had_free_place = false;
    bool has_ended = false;
    // Until there may be room, as a granter told.
    std::optional<Seconds> told_wait;
  };
  using RequestPtr = std::shared_ptr<Request>;
  struct Endpoint {
    bool is_alive = true;
    std::vector<RequestPtr> running;
    std::deque<RequestPtr> waiting;
  };

  void At(TimePoint time, std::function<void()> action) {
    events_.emplace(time, std::move(action));
  }
  double Draw() { return std::uniform_real_distribution<>(0, 1)(random_); }
  static std::string Name(size_t endpoint) { return std::to_string(endpoint); }

  void Arrive(double rate) {
    if (now_ > kStart + FromSeconds(scenario_.duration.count())) return;
    auto request = std::make_shared<Request>();
    request->kind = arrivals_() % 10 < 3 ? 0 : 1;
    request->organisation = DrawOrganisation();
    request->arrived = now_;
    // Lognormal around the mean.
    constexpr double kSpread = 0.5;
    request->work = kWork * std::lognormal_distribution<>(
                                -kSpread * kSpread / 2, kSpread)(arrivals_);
    Dispatch(request);
    double gap = std::exponential_distribution<>(rate)(arrivals_);
    At(now_ + FromSeconds(gap), [this, rate] { Arrive(rate); });
  }

  size_t DrawOrganisation() {
    std::array<double, kOrganisations> weights;
    weights.fill(1);
    weights[0] = scenario_.largest_organisation;
    std::discrete_distribution<size_t> draw(weights.begin(), weights.end());
    return draw(organisations_);
  }

  void Expire() {
    for (Box& box : boxes_) box.loads.Expire(now_);
    if (now_ > kStart + FromSeconds(scenario_.duration.count())) return;
    At(now_ + milliseconds(250), [this] { Expire(); });
  }

  PlaceUse UseAt(const Box& box, size_t endpoint) const {
    return {kPlaces,
            scenario_.uses_room ? box.loads.RunningAt(Name(endpoint)) : 0};
  }

  size_t Choose(Box& box) {
    size_t chosen = endpoints_.size();
    double lowest = 0;
    for (size_t i = 0; i < endpoints_.size(); ++i) {
      if (!endpoints_[i].is_alive) continue;
      double cost = 1e-6 * Draw();
      cost += 0.002 * static_cast<double>(box.loads.RunningAt(Name(i)));
      cost += box.room.ExpectedWait("service", UseAt(box, i)).count();
      if (now_ < box.avoided_until[i]) cost += 1000;
      if (chosen < endpoints_.size() && cost >= lowest) continue;
      chosen = i;
      lowest = cost;
    }
    return chosen;
  }

  void Dispatch(const RequestPtr& request) {
    request->box = random_() % boxes_.size();
    Route(request);
  }

  // Sends the request to an endpoint of its box's choice.
  virtual void Route(const RequestPtr& request) {
    Box& box = boxes_[request->box];
    size_t endpoint = Choose(box);
    PlaceUse use = UseAt(box, endpoint);
    bool too_late =
        scenario_.uses_room &&
        box.room.IsTooLate("service", use, TimeLeft(*request), now_);
    if (too_late) return Refuse(request);
    request->had_free_place = use.has_free_place();
    Send(request, endpoint);
  }

  Seconds TimeLeft(const Request& request) const {
    return std::min<Seconds>(kTimeout, request.arrived + kDeadline - now_);
  }

  void Send(const RequestPtr& request, size_t endpoint) {
    Box& box = boxes_[request->box];
    request->endpoint = endpoint;
    Seconds time_left = TimeLeft(*request);
    request->sent = now_;
    request->has_ended = false;
    SendBounds bounds{std::chrono::duration_cast<milliseconds>(time_left),
                      kPlaces};
    EngineWork work;
    work.kind = "route/";
    request->ticket =
        box.loads.RecordSend(Name(request->endpoint), work, bounds, now_);
    Report(*request, true, bounds.time_left);
    auto sent = now_;
    At(now_ + FromSeconds(time_left.count()), [this, request, sent] {
      if (!request->has_ended && request->sent == sent) GiveUp(request);
    });
    At(now_ + milliseconds(1), [this, request] { Reach(request); });
  }

  // Tells the other boxes of the start or the end of a request.
  void Report(const Request& request, bool starts, milliseconds time_left) {
    if (!scenario_.uses_room || request.box < scenario_.silent_boxes) return;
    SentRequest sent;
    sent.incarnation = static_cast<uint32_t>(request.box + 1);
    sent.ticket = request.ticket;
    sent.endpoint = Name(request.endpoint);
    sent.time_left = time_left;
    At(now_ + kReportDelay, [this, sent, starts] {
      for (size_t i = scenario_.silent_boxes; i < boxes_.size(); ++i) {
        if (i + 1 == sent.incarnation || Draw() < scenario_.message_loss)
          continue;
        EngineLoads& loads = boxes_[i].loads;
        if (starts) loads.RecordPeerSend(sent, now_);
        if (!starts) loads.RecordPeerEnd(sent.incarnation, sent.ticket, now_);
      }
    });
  }

  void Reach(const RequestPtr& request) {
    if (request->has_ended) return;
    Endpoint& endpoint = endpoints_[request->endpoint];
    bool is_full = endpoint.waiting.size() >= kQueue;
    if (!endpoint.is_alive || is_full) {
      boxes_[request->box].avoided_until[request->endpoint] =
          now_ + milliseconds(50);
      End(request);
      return Refuse(request);
    }
    endpoint.waiting.push_back(request);
    Admit(&endpoint);
  }

  void Admit(Endpoint* endpoint) {
    while (endpoint->running.size() < kPlaces && !endpoint->waiting.empty()) {
      RequestPtr request = endpoint->waiting.front();
      endpoint->waiting.pop_front();
      endpoint->running.push_back(request);
      auto sent = request->sent;
      At(now_ + FromSeconds(request->work.count()), [this, request, sent] {
        if (!request->has_ended && request->sent == sent) Answer(request);
      });
    }
  }

  void Answer(const RequestPtr& request) {
    Box& box = boxes_[request->box];
    if (request->had_free_place)
      box.room.RecordResponse("service", now_ - request->sent, now_);
    Leave(request);
    bool is_under_load =
        now_ <= kStart + FromSeconds(scenario_.duration.count());
    if (is_under_load) ++result_.answers_under_load;
    bool in_time = now_ - request->arrived <= kObjective;
    Count(*request, in_time ? &RoomOutcomes::in_time : &RoomOutcomes::late);
  }

  void Count(const Request& request, size_t RoomOutcomes::*outcome) {
    ++(result_.by_kind[request.kind].*outcome);
    RoomOutcomes* by_organisation = request.organisation == 0
                                        ? &result_.largest_organisation
                                        : &result_.other_organisations;
    ++(by_organisation->*outcome);
    if (request.has_returned) ++(result_.returning.*outcome);
  }

  void GiveUp(const RequestPtr& request) {
    Leave(request);
    Count(*request, &RoomOutcomes::failed);
  }

  // The request ends, and its endpoint has room for another one.
  void Leave(const RequestPtr& request) {
    Endpoint& endpoint = endpoints_[request->endpoint];
    auto& running = endpoint.running;
    auto& waiting = endpoint.waiting;
    running.erase(std::remove(running.begin(), running.end(), request),
                  running.end());
    waiting.erase(std::remove(waiting.begin(), waiting.end(), request),
                  waiting.end());
    End(request);
    Admit(&endpoint);
  }

  virtual void End(const RequestPtr& request) {
    request->has_ended = true;
    boxes_[request->box].loads.RecordFinish(request->ticket);
    Report(*request, false, milliseconds(0));
  }

  void Refuse(const RequestPtr& request) {
    ++result_.refusals;
    size_t taken = 0;
    size_t alive = 0;
    for (const Endpoint& endpoint : endpoints_) {
      if (!endpoint.is_alive) continue;
      taken += endpoint.running.size();
      alive += kPlaces;
    }
    if (2 * taken < alive) ++result_.idle_refusals;
    Seconds time_left = request->arrived + kDeadline - now_;
    milliseconds come_back = ComeBack(*request, time_left);
    if (request->has_returned || come_back >= time_left) {
      Count(*request, &RoomOutcomes::refused);
      return;
    }
    request->has_returned = true;
    At(now_ + come_back, [this, request] { Dispatch(request); });
  }

  milliseconds ComeBack(const Request& request, Seconds time_left) {
    const Box& box = boxes_[request.box];
    std::optional<Seconds> mean = box.room.ConfirmedMeanTime("service", now_);
    if (!scenario_.uses_room) return kFixedComeBack;
    RefusedRequest refused;
    refused.mean_time = mean.value_or(kFixedComeBack);
    std::optional<Seconds> shortest;
    for (size_t i = 0; i < endpoints_.size(); ++i) {
      if (!endpoints_[i].is_alive) continue;
      Seconds wait = box.room.ExpectedWait("service", UseAt(box, i));
      shortest = std::min(wait, shortest.value_or(wait));
    }
    if (mean) refused.time_until_room = *shortest;
    if (request.told_wait) refused.time_until_room = *request.told_wait;
    refused.priority = kPriorities[request.kind];
    refused.time_left = time_left;
    refused.draw = Draw();
    return ComeBackAfter(refused);
  }

  void LoseEndpoint() {
    Endpoint& endpoint = endpoints_[0];
    endpoint.is_alive = false;
    std::vector<RequestPtr> lost = endpoint.running;
    lost.insert(lost.end(), endpoint.waiting.begin(), endpoint.waiting.end());
    endpoint.running.clear();
    endpoint.waiting.clear();
    for (const RequestPtr& request : lost) GiveUp(request);
    for (Box& box : boxes_) box.loads.RecordRestart(Name(0));
  }

  const RoomScenario scenario_;
  std::mt19937 arrivals_;  // the same whatever the boxes do
  std::mt19937 random_;
  std::mt19937 organisations_;
  std::multimap<TimePoint, std::function<void()>> events_;
  TimePoint now_ = kStart;
  std::vector<Box> boxes_;
  std::vector<Endpoint> endpoints_;
  RoomResult result_;
};

}  // namespace leverwick

#endif  // LEVERWICK_TESTING_ROOM_SIMULATION_H_
