// Plays endpoints that name a limit before a fleet of boxes, in played time.
//
// Callers' requests come at random moments to boxes that a pattern picks. Each
// request prefers the endpoints in a random order. A box learns of a limit by
// the first answer that names it, or by the news of a box that has. What a way
// of keeping the limit lets boxes send is counted at the endpoints. No sockets,
// no clock; a seed decides everything.
//
//   LimitPlay play(fleet, seed);
//   PlayedLimit result = play.Run(&way);

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

struct LimitedFleet {
  enum class Traffic { kEven, kOneBox, kMoving };

  size_t boxes = 7;  // in three data centres
  size_t endpoints = 4;
  size_t limited = 1;     // of the endpoints; the others take everything
  double per_second = 2;  // the limit that each of these names
  double requests = 30;   // a second, of all boxes
  Traffic traffic = Traffic::kEven;
  double lost = 0;  // share of the messages between boxes
  // Boxes that take part and answer nobody from the middle on.
  size_t dead = 0;
  // Data centres whose boxes reach no others from the middle on.
  size_t cut_off = 0;
  // Boxes that have just started: the others do not know them yet.
  size_t unknown = 0;
  Seconds lasts{24};
};

struct PlayedLimit {
  size_t most = 0;          // requests in a window at one limited endpoint
  double used = 0;          // of what the limits allow, in the later half
  double refused = 0;       // share of the requests
  double messages = 0;      // a second, of all boxes
  milliseconds longest{0};  // that a request waited for an answer
};

// How one box keeps limits.
class LimitWay {
 public:
  virtual ~LimitWay() = default;
  virtual bool MaySend(size_t box, const ListedEndpoint& to, TimePoint now) = 0;
  virtual void Sent(size_t box, const ListedEndpoint& to, TimePoint now) = 0;
  virtual bool MayAsk(size_t, const ListedEndpoint&, TimePoint) {
    return false;
  }
  virtual void Ask(size_t, const ListedEndpoint&, TimePoint) {}
  virtual bool IsAsking(size_t, const ListedEndpoint&) { return false; }
};

// Each box keeps the whole limit, as if it were alone.
class EachAlone : public LimitWay {
 public:
  EachAlone(double per_second, size_t boxes)
      : pause_(FromSeconds(1 / per_second)), next_(boxes) {}
  bool MaySend(size_t box, const ListedEndpoint& to, TimePoint now) override {
    return now >= next_[box][to.address];
  }
  void Sent(size_t box, const ListedEndpoint& to, TimePoint now) override {
    next_[box][to.address] = now + pause_;
  }

 private:
  const Clock::duration pause_;
  std::vector<std::map<std::string, TimePoint>> next_;
};

// Each box has the same part of the limit, nothing saved up.
class EqualParts : public EachAlone {
 public:
  EqualParts(double per_second, size_t boxes)
      : EachAlone(per_second / static_cast<double>(boxes), boxes) {}
};

// A few boxes found by hash send all of it, as to a cold endpoint.
class FewSenders : public LimitWay {
 public:
  FewSenders(double per_second, size_t boxes) {
    for (size_t box = 0; box < boxes; ++box) {
      boxes_.push_back(
          std::make_unique<SlowStart>("box-" + std::to_string(box)));
      std::vector<std::string> others;
      for (size_t other = 0; other < boxes; ++other) {
        if (other != box) others.push_back("box-" + std::to_string(other));
      }
      boxes_.back()->SetBoxes(others);
      boxes_.back()->SetLimits(
          {{"service", {per_second, std::chrono::hours(1)}}});
    }
  }
  bool MaySend(size_t box, const ListedEndpoint& to, TimePoint now) override {
    boxes_[box]->Told(to.address, std::chrono::minutes(1), now);
    return boxes_[box]->MaySend(to, now);
  }
  void Sent(size_t box, const ListedEndpoint& to, TimePoint now) override {
    boxes_[box]->Sent(to.address, now);
  }

 private:
  std::vector<std::unique_ptr<SlowStart>> boxes_;
};

class LimitPlay {
 public:
  LimitPlay(const LimitedFleet& fleet, uint64_t seed)
      : fleet_(fleet), random_(seed) {
    for (size_t i = 0; i < fleet.endpoints; ++i) {
      ListedEndpoint endpoint;
      endpoint.address = "endpoint-" + std::to_string(i);
      endpoint.target = "service";
      endpoint.data_centre = DataCentreOf(i);
      endpoints_.push_back(endpoint);
    }
    arrivals_.resize(fleet.endpoints);
    for (size_t i = 0; i < fleet.boxes; ++i) {
      limits_.push_back(std::make_unique<EndpointLimits>());
    }
  }

  static std::string DataCentreOf(size_t number) {
    return "dc" + std::to_string(number % 3);
  }

  // Runs `act` in the played future.
  void After(Seconds delay, std::function<void()> act) {
    events_.emplace(now_ + FromSeconds(delay.count()), std::move(act));
  }
  // Brings a message from box to box, unless it gets lost on the way.
  void Deliver(size_t from, size_t to, std::function<void()> act) {
    ++messages_;
    bool is_near = from % 3 == to % 3;
    Seconds takes(is_near ? 0.001 + 0.002 * Draw() : 0.01 + 0.02 * Draw());
    if (Draw() < fleet_.lost || IsDead(from) || IsDead(to)) return;
    if (IsCut(from, to)) return;
    After(takes, std::move(act));
  }
  TimePoint now() const { return now_; }
  bool IsOver() const {
    return ToSeconds(now_ - start_) >= fleet_.lasts.count();
  }
  double Draw() { return std::uniform_real_distribution<>(0, 1)(random_); }
  // Another box starts in the place of this one and knows of no limit.
  void Replace(size_t box) {
    limits_[box] = std::make_unique<EndpointLimits>();
    waiting_[box].clear();
  }
  // A box hears from another one of the limits that this knows.
  void Greet(size_t from, size_t to) {
    for (size_t endpoint = 0; endpoint < fleet_.limited; ++endpoint) {
      if (limits_[from]->Find(endpoints_[endpoint].address) == nullptr)
        continue;
      Deliver(from, to, [this, to, endpoint] { Learn(to, endpoint, false); });
    }
  }
  EndpointLimits* limits(size_t box) { return limits_[box].get(); }
  const LimitedFleet& fleet() const { return fleet_; }

  // Requests at a box that wait for news try again.
  void News(size_t box) {
    std::vector<std::function<void()>> waiting;
    waiting.swap(waiting_[box]);
    for (auto& act : waiting) act();
  }

  PlayedLimit Run(LimitWay* way) {
    way_ = way;
    double at = 0;
    std::exponential_distribution<> pause(fleet_.requests);
    while ((at += pause(random_)) < fleet_.lasts.count()) {
      After(Seconds(at), [this] { Arrive(); });
    }
    while (!events_.empty()) {
      auto first = events_.begin();
      now_ = first->first;
      auto act = std::move(first->second);
      events_.erase(first);
      act();
    }
    return Count();
  }

 private:
  struct Request {
    size_t box = 0;
    std::vector<size_t> preferred;  // endpoints, best first
    TimePoint came{};
  };
  static constexpr std::chrono::seconds kWindow{4};
  static constexpr std::chrono::seconds kContact{3};
  static constexpr milliseconds kAnswerTakes{100};
  static constexpr milliseconds kMostWait{100};

  bool IsLimited(size_t endpoint) const { return endpoint < fleet_.limited; }
  bool IsDead(size_t box) const {
    return box < fleet_.dead && now_ - start_ > FromSeconds(HalfTime());
  }
  bool IsCut(size_t from, size_t to) const {
    bool is_cut = from % 3 < fleet_.cut_off || to % 3 < fleet_.cut_off;
    return is_cut && from % 3 != to % 3 &&
           now_ - start_ > FromSeconds(HalfTime());
  }
  double HalfTime() const { return fleet_.lasts.count() / 2; }

  size_t PickBox() {
    using Traffic = LimitedFleet::Traffic;
    size_t box = fleet_.boxes - 1;
    if (fleet_.traffic == Traffic::kEven) box = random_() % fleet_.boxes;
    if (fleet_.traffic == Traffic::kMoving) {
      box = static_cast<size_t>(ToSeconds(now_ - start_)) % fleet_.boxes;
    }
    // Callers of a dead box come to another one.
    return IsDead(box) ? fleet_.boxes - 1 : box;
  }

  void Arrive() {
    ++requests_;
    Request request;
    request.box = PickBox();
    request.came = now_;
    for (size_t i = 0; i < fleet_.endpoints; ++i)
      request.preferred.push_back(i);
    std::shuffle(request.preferred.begin(), request.preferred.end(), random_);
    Place(request);
  }

  bool KnowsLimit(const Request& request, size_t endpoint) {
    return limits_[request.box]->Find(endpoints_[endpoint].address) != nullptr;
  }
  bool MaySend(const Request& request, size_t endpoint) {
    return !KnowsLimit(request, endpoint) ||
           way_->MaySend(request.box, endpoints_[endpoint], now_);
  }

  // Asks where the request would best go, if that may help; true if an answer
  // is under way.
  bool AskFor(const Request& request) {
    for (size_t endpoint : request.preferred) {
      if (MaySend(request, endpoint)) return false;
      if (!way_->MayAsk(request.box, endpoints_[endpoint], now_)) continue;
      way_->Ask(request.box, endpoints_[endpoint], now_);
      if (way_->IsAsking(request.box, endpoints_[endpoint])) return true;
      return AskFor(request);  // the answer was there at once
    }
    return false;
  }

  void Place(const Request& request) {
    bool is_asking = AskFor(request);
    for (size_t endpoint : request.preferred) {
      if (MaySend(request, endpoint)) return SendTo(request, endpoint);
    }
    if (!is_asking || now_ - request.came >= kMostWait) {
      ++refused_;
      longest_ = std::max(longest_, now_ - request.came);
      return;
    }
    waiting_[request.box].push_back([this, request] { Place(request); });
  }

  void SendTo(const Request& request, size_t endpoint) {
    longest_ = std::max(longest_, now_ - request.came);
    if (KnowsLimit(request, endpoint)) {
      way_->Sent(request.box, endpoints_[endpoint], now_);
    }
    arrivals_[endpoint].push_back(now_);
    if (!IsLimited(endpoint)) return;
    After(kAnswerTakes,
          [this, box = request.box, endpoint] { Learn(box, endpoint, true); });
  }

  void Learn(size_t box, size_t endpoint, bool by_answer) {
    auto change = limits_[box]->Named(endpoints_[endpoint].address,
                                      fleet_.per_second, now_);
    bool is_first = change == EndpointLimits::Change::kBegan;
    if (!is_first || !by_answer) return;
    for (size_t other = 0; other < fleet_.boxes; ++other) {
      if (other == box) continue;
      Deliver(box, other,
              [this, other, endpoint] { Learn(other, endpoint, false); });
    }
  }

  PlayedLimit Count() const {
    PlayedLimit result;
    double later = 0;
    for (size_t endpoint = 0; endpoint < fleet_.limited; ++endpoint) {
      const std::vector<TimePoint>& all = arrivals_[endpoint];
      size_t first = 0;
      for (size_t last = 0; last < all.size(); ++last) {
        if (all[last] - start_ < kContact) first = last + 1;
        while (first <= last && all[last] - all[first] >= kWindow) ++first;
        result.most = std::max(result.most, last + 1 - first);
        if (ToSeconds(all[last] - start_) >= HalfTime()) ++later;
      }
    }
    result.used = later / (fleet_.per_second * HalfTime() *
                           static_cast<double>(fleet_.limited));
    result.refused =
        static_cast<double>(refused_) / static_cast<double>(requests_);
    result.messages = static_cast<double>(messages_) / fleet_.lasts.count();
    result.longest = std::chrono::ceil<milliseconds>(longest_);
    return result;
  }

  const LimitedFleet fleet_;
  std::mt19937_64 random_;
  const TimePoint start_ = TimePoint() + std::chrono::hours(1);
  TimePoint now_ = start_;
  std::multimap<TimePoint, std::function<void()>> events_;
  std::vector<ListedEndpoint> endpoints_;
  std::vector<std::vector<TimePoint>> arrivals_;                  // by endpoint
  std::vector<std::unique_ptr<EndpointLimits>> limits_;           // by box
  std::map<size_t, std::vector<std::function<void()>>> waiting_;  // by box
  LimitWay* way_ = nullptr;
  size_t requests_ = 0;
  size_t refused_ = 0;
  size_t messages_ = 0;
  Clock::duration longest_{0};
};

// SendPermits of each box, with messages between them.
class Permits : public LimitWay {
 public:
  explicit Permits(LimitPlay* play) : play_(play) {
    for (size_t box = 0; box < play->fleet().boxes; ++box) {
      boxes_.push_back(std::make_unique<Box>(this, box));
    }
  }
  bool MaySend(size_t box, const ListedEndpoint& to, TimePoint now) override {
    return boxes_[box]->permits.MaySend(to.address, now);
  }
  void Sent(size_t box, const ListedEndpoint& to, TimePoint now) override {
    boxes_[box]->permits.Sent(to.address, now);
  }
  bool MayAsk(size_t box, const ListedEndpoint& to, TimePoint now) override {
    return boxes_[box]->permits.MayAsk(to.address, now);
  }
  bool IsAsking(size_t box, const ListedEndpoint& to) override {
    return boxes_[box]->permits.IsAsking(to.address);
  }
  void Ask(size_t box, const ListedEndpoint& to, TimePoint now) override {
    boxes_[box]->permits.Ask(to.address, to.data_centre, now);
    // An ask that is lost is given up in time.
    play_->After(SendPermits::kAnswerTime + milliseconds(1), [this, box] {
      if (boxes_[box]->permits.Expire(play_->now())) play_->News(box);
    });
  }

 private:
  struct Box : public SendPermits::Courier {
    Box(Permits* fleet, size_t number)
        : fleet(fleet),
          number(number),
          permits(BoxOf(number), fleet->play_->limits(number)) {
      std::vector<GranterBox> others;
      for (size_t i = 0; i < fleet->play_->fleet().boxes; ++i) {
        if (i == number || IsUnknown(i)) continue;
        others.push_back(BoxOf(i));
      }
      permits.SetBoxes(others);
      permits.GrantFrom(IsUnknown(number) ? TimePoint::max() : TimePoint());
      permits.SetCourier(this);
    }
    bool IsUnknown(size_t box) const {
      return box < fleet->play_->fleet().unknown;
    }
    static GranterBox BoxOf(size_t number) {
      return {"box-" + std::to_string(number), LimitPlay::DataCentreOf(number)};
    }
    void Bring(const PermitAsk& ask, const std::string& box) override {
      fleet->Carry(number, std::stoul(box.substr(4)), ask);
    }
    Permits* const fleet;
    const size_t number;
    SendPermits permits;
  };

  void Carry(size_t from, size_t to, const PermitAsk& ask) {
    play_->Deliver(from, to, [this, from, to, ask] {
      PermitAnswer answer = boxes_[to]->permits.Grant(ask, play_->now());
      play_->Deliver(to, from, [this, from, answer] {
        boxes_[from]->permits.Answered(answer, play_->now());
        play_->News(from);
      });
    });
  }

  LimitPlay* const play_;
  std::vector<std::unique_ptr<Box>> boxes_;
};

}  // namespace leverwick

#endif  // LEVERWICK_TESTING_LIMIT_SIMULATION_H_
