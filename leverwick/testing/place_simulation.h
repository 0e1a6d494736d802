// Extends RoomSimulation by granters of places.
//
// While a box sees no free place, it asks the granters of the endpoints before
// it sends, and holds the request meanwhile. Messages take a millisecond and
// may be lost, doubled or delayed; granters may be killed, restart or freeze,
// and boxes may disagree on who they are.
//
//   PlaceSimulation simulation(scenario, faults, seed);
//   RoomResult result = simulation.Run();

#ifndef LEVERWICK_TESTING_PLACE_SIMULATION_H_
#define LEVERWICK_TESTING_PLACE_SIMULATION_H_

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "leverwick/place_claim.h"
#include "leverwick/place_queue.h"
#include "leverwick/testing/room_simulation.h"

namespace leverwick {

struct PlaceFaults {
  double loss = 0;       // of messages between boxes and granters
  double doubling = 0;   // share of messages that arrive twice
  Seconds late_copy{0};  // after which the second one arrives
  // What happens to the granter of endpoint 0 at the midpoint.
  enum class Granter { kNone, kKilled, kRestarted, kFrozen, kCutOff };
  Granter granter = Granter::kNone;
  bool two_granters = false;  // half of the boxes ask another granter
};

class PlaceSimulation : public RoomSimulation {
 public:
  PlaceSimulation(const RoomScenario& scenario, const PlaceFaults& faults,
                  uint32_t seed)
      : RoomSimulation(scenario, seed), faults_(faults), messages_(seed + 3) {
    TimePoint midpoint = kStart + FromSeconds(scenario.duration.count() / 2);
    using Granter = PlaceFaults::Granter;
    if (faults.granter == Granter::kRestarted)
      At(midpoint, [this] { granters_[FirstGranter(0)].clear(); });
    if (faults.granter == Granter::kFrozen)
      SetAway(midpoint, midpoint + milliseconds(700));
    if (faults.granter == Granter::kKilled ||
        faults.granter == Granter::kCutOff)
      SetAway(midpoint, TimePoint::max());
  }

 private:
  static constexpr milliseconds kMessageDelay{1};
  static constexpr milliseconds kPoll{10};
  static constexpr std::array<int, 2> kKindPriorities{1, 6};

  struct OpenClaim {
    RequestPtr request;
    PlaceClaim claim;
    TimePoint made_at{};
    std::map<std::string, size_t> granters;  // boxes by endpoint
  };
  using Number = uint64_t;

  void SetAway(TimePoint from, TimePoint until) {
    away_from_ = from;
    away_until_ = until;
  }
  bool IsAway(size_t box) const {
    return box == FirstGranter(0) && now_ >= away_from_ && now_ < away_until_;
  }
  size_t FirstGranter(size_t endpoint) const {
    return (7 * endpoint + 1) % boxes_.size();
  }
  // The next box takes the part of one that is silent.
  size_t GranterFor(size_t endpoint, size_t asking_box) const {
    size_t granter = FirstGranter(endpoint);
    if (faults_.two_granters && asking_box % 2 == 1) granter += 20;
    auto silent = silent_.find(asking_box);
    while (silent != silent_.end() &&
           silent->second.IsSilent(Name(granter), now_))
      ++granter;
    return granter % boxes_.size();
  }

  // A frozen box handles what it got when it wakes; a killed one never does.
  void Message(size_t from, size_t to, const std::function<void()>& action) {
    bool is_frozen = faults_.granter == PlaceFaults::Granter::kFrozen;
    bool is_away = IsAway(from) || IsAway(to);
    if (from != to && Chance(faults_.loss)) return;
    if (is_away && from != to && !is_frozen) return;
    TimePoint at = now_ + (from == to ? milliseconds(0) : kMessageDelay);
    if (is_away && is_frozen) at = std::max(at, away_until_);
    At(at, action);
    if (from != to && Chance(faults_.doubling))
      At(at + FromSeconds(faults_.late_copy.count()), action);
  }
  bool Chance(double share) {
    return share > 0 &&
           std::uniform_real_distribution<>(0, 1)(messages_) < share;
  }

  // Returns whether an endpoint has a free place, as far as the box knows.
  bool SeesFreePlace(const Box& box) const {
    for (size_t i = 0; i < endpoints_.size(); ++i) {
      PlaceUse use{kPlaces, box.loads.ConfirmedRunningAt(Name(i), now_)};
      if (endpoints_[i].is_alive && use.has_free_place()) return true;
    }
    return false;
  }

  void Route(const RequestPtr& request) override {
    PlaceShortages& shortages = shortages_[request->box];
    Box& box = boxes_[request->box];
    if (!SeesFreePlace(box)) shortages.RecordShortage("service", now_);
    std::vector<std::string> endpoints;
    if (shortages.IsShort("service", now_))
      endpoints = EndpointsToAsk(*request);
    if (endpoints.empty()) return RoomSimulation::Route(request);
    Number number = ++last_number_;
    OpenClaim claim{request, PlaceClaim(endpoints, now_), now_, {}};
    for (const std::string& endpoint : endpoints)
      claim.granters[endpoint] = GranterFor(std::stoul(endpoint), request->box);
    claims_.emplace(number, claim);
    Repeat(number);
  }

  std::vector<std::string> EndpointsToAsk(const Request& request) {
    std::vector<std::pair<double, std::string>> ranked;
    for (size_t i = 0; i < endpoints_.size(); ++i) {
      Box& box = boxes_[request.box];
      if (!endpoints_[i].is_alive || now_ < box.avoided_until[i]) continue;
      Seconds wait = box.room.ExpectedWait("service", UseAt(box, i));
      ranked.push_back({wait.count() + 1e-6 * Draw(), Name(i)});
    }
    std::sort(ranked.begin(), ranked.end());
    std::vector<std::string> endpoints;
    for (const auto& entry : ranked) {
      if (endpoints.size() < PlaceClaim::kMaxEndpoints)
        endpoints.push_back(entry.second);
    }
    return endpoints;
  }

  // Asks the granters that have not decided, now and until all have.
  void Repeat(Number number) {
    auto open = claims_.find(number);
    if (open == claims_.end()) return;
    Act(number);
    open = claims_.find(number);
    if (open == claims_.end()) return;
    for (const std::string& endpoint : open->second.claim.open_endpoints())
      Ask(number, open->second, std::stoul(endpoint));
    At(now_ + PlaceClaim::kRepeatInterval, [this, number] { Repeat(number); });
  }

  PlaceRequest::Key KeyOf(size_t box, Number number) const {
    return {static_cast<uint32_t>(box + 1), number};
  }

  void Ask(Number number, const OpenClaim& open, size_t endpoint) {
    const Request& request = *open.request;
    PlaceRequest asked;
    asked.key = KeyOf(request.box, number);
    asked.organisation = Name(request.organisation);
    asked.priority = kKindPriorities[request.kind];
    asked.fingerprint =
        static_cast<uint64_t>(request.arrived.time_since_epoch().count());
    asked.arrived_at = open.made_at;
    // A box doesn't know whether a caller returns.
    asked.due_at = open.made_at + kObjective;
    asked.give_up_at =
        std::min(open.made_at + kTimeout, request.arrived + kDeadline);
    asked.mean_time =
        boxes_[request.box].room.ConfirmedMeanTime("service", now_);
    size_t granter = open.granters.at(Name(endpoint));
    Message(request.box, granter, [this, granter, endpoint, asked] {
      PlaceQueue& queue = QueueAt(granter, endpoint);
      auto decided = queue.Submit(asked, now_);
      if (decided) Reply(granter, endpoint, *decided);
      Decide(granter, endpoint);
      if (!decided && queue.IsWaiting(asked.key))
        Reply(granter, endpoint, asked.key, PlaceReply::Kind::kWaiting, {});
    });
  }

  PlaceQueue& QueueAt(size_t granter, size_t endpoint) {
    auto [queue, is_new] = granters_[granter].try_emplace(endpoint, kPlaces);
    if (is_new) Poll(granter, endpoint);
    return queue->second;
  }

  void Poll(size_t granter, size_t endpoint) {
    if (granters_[granter].count(endpoint) == 0) return;
    if (!IsAway(granter)) {
      Decide(granter, endpoint);
      for (const auto& grant : QueueAt(granter, endpoint).UnusedGrants(now_))
        Reply(granter, endpoint, grant);
    }
    if (now_ > kStart + FromSeconds(scenario_.duration.count() + 2)) return;
    At(now_ + kPoll, [this, granter, endpoint] { Poll(granter, endpoint); });
  }

  void Decide(size_t granter, size_t endpoint) {
    const Box& box = boxes_[granter];
    PlaceQueue& queue = QueueAt(granter, endpoint);
    queue.SetInFlight(box.loads.RunningAt(Name(endpoint)));
    auto mean = box.room.ConfirmedMeanTime("service", now_);
    for (const PlaceDecision& decision : queue.Decide(mean, now_))
      Reply(granter, endpoint, decision);
  }

  void Reply(size_t granter, size_t endpoint, const PlaceDecision& decision) {
    using Kind = PlaceReply::Kind;
    Reply(granter, endpoint, decision.key,
          decision.granted ? Kind::kGranted : Kind::kDenied,
          decision.retry_after);
  }
  void Reply(size_t granter, size_t endpoint, const PlaceRequest::Key& key,
             PlaceReply::Kind kind, nanoseconds retry_after) {
    PlaceReply reply{Name(endpoint), kind, retry_after};
    size_t box = key.first - 1;
    Number number = key.second;
    Message(granter, box, [this, box, number, granter, endpoint, reply] {
      auto open = claims_.find(number);
      if (open == claims_.end()) {
        if (reply.kind == PlaceReply::Kind::kGranted)
          Withdraw(box, number, granter, endpoint);
        return;
      }
      open->second.claim.RecordReply(reply, now_);
      Act(number);
    });
  }

  void Withdraw(size_t box, Number number, size_t granter, size_t endpoint) {
    Message(box, granter, [this, box, number, granter, endpoint] {
      QueueAt(granter, endpoint).Withdraw(KeyOf(box, number));
    });
  }

  void Act(Number number) {
    OpenClaim open = claims_.at(number);
    PlaceClaim::State state = open.claim.StateAt(now_);
    if (state == PlaceClaim::State::kWaiting) return;
    claims_.erase(number);
    const RequestPtr& request = open.request;
    for (const std::string& endpoint : open.claim.open_endpoints())
      Withdraw(request->box, number, open.granters[endpoint],
               std::stoul(endpoint));
    for (const std::string& endpoint : open.claim.SilentEndpoints(now_))
      silent_[request->box].Record(Name(open.granters[endpoint]), now_);
    const std::string& granted = open.claim.granted_endpoint();
    if (state == PlaceClaim::State::kGranted)
      return SendGranted(number, request, open.granters[granted],
                         std::stoul(granted));
    if (state == PlaceClaim::State::kDenied) {
      request->told_wait = open.claim.retry_after();
      return Refuse(request);
    }
    shortages_[request->box].RecordUnanswered("service", now_);
    RoomSimulation::Route(request);
  }

  void SendGranted(Number number, const RequestPtr& request, size_t granter,
                   size_t endpoint) {
    request->had_free_place = true;
    Send(request, endpoint);
    granted_[request.get()] = granter;
    size_t box = request->box;
    SentRequest sent;
    sent.incarnation = static_cast<uint32_t>(box + 1);
    sent.ticket = request->ticket;
    sent.endpoint = Name(endpoint);
    sent.time_left =
        std::chrono::duration_cast<milliseconds>(TimeLeft(*request));
    Message(box, granter, [this, box, number, granter, endpoint, sent] {
      if (box != granter) boxes_[granter].loads.RecordPeerSend(sent, now_);
      QueueAt(granter, endpoint).RecordUse(KeyOf(box, number));
    });
  }

  void End(const RequestPtr& request) override {
    RoomSimulation::End(request);
    auto granted = granted_.find(request.get());
    if (granted == granted_.end()) return;
    size_t granter = granted->second;
    granted_.erase(granted);
    size_t box = request->box;
    size_t endpoint = request->endpoint;
    uint64_t ticket = request->ticket;
    Message(box, granter, [this, box, granter, endpoint, ticket] {
      auto incarnation = static_cast<uint32_t>(box + 1);
      if (box != granter)
        boxes_[granter].loads.RecordPeerEnd(incarnation, ticket, now_);
      Decide(granter, endpoint);
    });
  }

  const PlaceFaults faults_;
  std::mt19937 messages_;
  TimePoint away_from_ = TimePoint::max();
  TimePoint away_until_{};
  std::map<size_t, PlaceShortages> shortages_;               // by box
  std::map<size_t, std::map<size_t, PlaceQueue>> granters_;  // by box, endpoint
  std::map<size_t, SilentGranters> silent_;                  // by box
  std::map<Number, OpenClaim> claims_;
  std::map<const Request*, size_t> granted_;  // to the granting box
  Number last_number_ = 0;
};

}  // namespace leverwick

#endif  // LEVERWICK_TESTING_PLACE_SIMULATION_H_
