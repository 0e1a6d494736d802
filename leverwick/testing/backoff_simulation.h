// Plays endpoints that turn requests away and ask for a back-off before a fleet
// of boxes, in played time.
//
// Requests come at random moments to random boxes. A box sends each to the
// endpoint of least load, as it was told some time ago, so that an endpoint
// that turns all away looks best to every box. A request that is turned away
// goes to one more endpoint. No sockets, no clock; a seed decides everything.
//
//   BackoffPlay play(fleet, way, seed);
//   PlayedBackoff result = play.Run();

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

struct BackoffFleet {
  size_t boxes = 7;
  size_t endpoints = 12;
  size_t refusing = 4;       // of the endpoints
  double refused_share = 1;  // of the requests that these get
  milliseconds asks{3000};   // for so long
  milliseconds refuses_from{2000};
  milliseconds refuses_until{8000};
  double requests = 300;  // a second, of all boxes
  size_t places = 8;      // of an endpoint; what is beyond waits there
  milliseconds service_time{200};
  milliseconds told_late{100};  // age of the loads that boxes know
  milliseconds lasts{16000};
};

struct PlayedBackoff {
  size_t most = 0;       // requests of a box within a time that was asked for
  size_t refusals = 0;   // by endpoints
  double refused = 0;    // share of the callers, while endpoints refuse
  double used = 0;       // of the refusing endpoints' room, while they refuse
  size_t usual = 0;      // most in 100 ms at an endpoint that refuses none yet
  size_t at_return = 0;  // in the first 100 ms at one that takes them again
  milliseconds longest{0};  // that a request waited at an endpoint after that
};

// How one box keeps back-offs.
class BackoffWay {
 public:
  virtual ~BackoffWay() = default;
  virtual void Asked(const std::string& endpoint, milliseconds time,
                     TimePoint now) = 0;
  virtual nanoseconds OpensIn(const std::string& endpoint,
                              TimePoint now) const = 0;
  virtual void Sent(const std::string& endpoint, TimePoint now) {}
  // Whether the box tells all others what it was asked for.
  virtual bool tells() const { return false; }
};

class IgnoresBackoffs : public BackoffWay {
 public:
  void Asked(const std::string&, milliseconds, TimePoint) override {}
  nanoseconds OpensIn(const std::string&, TimePoint) const override {
    return nanoseconds(0);
  }
};

// All requests return at the end, without spread or steps.
class ReturnsAtOnce : public BackoffWay {
 public:
  void Asked(const std::string& endpoint, milliseconds time,
             TimePoint now) override {
    TimePoint& until = until_[endpoint];
    until = std::max(until, now + time);
  }
  nanoseconds OpensIn(const std::string& endpoint,
                      TimePoint now) const override {
    auto found = until_.find(endpoint);
    return found == until_.end() ? nanoseconds(0) : found->second - now;
  }

 private:
  std::map<std::string, TimePoint> until_;
};

class ReturnsInSteps : public BackoffWay {
 public:
  explicit ReturnsInSteps(bool tells) : tells_(tells) {}
  void Asked(const std::string& endpoint, milliseconds time,
             TimePoint now) override {
    backoffs_.Asked(endpoint, time, now);
  }
  nanoseconds OpensIn(const std::string& endpoint,
                      TimePoint now) const override {
    return backoffs_.OpensIn(endpoint, now);
  }
  void Sent(const std::string& endpoint, TimePoint now) override {
    backoffs_.Sent(endpoint, now);
    backoffs_.Expire(now);
  }
  bool tells() const override { return tells_; }

 private:
  Backoffs backoffs_;
  const bool tells_;
};

class BackoffPlay {
 public:
  using MakeWay = std::function<std::unique_ptr<BackoffWay>()>;

  BackoffPlay(const BackoffFleet& fleet, const MakeWay& make, uint64_t seed)
      : fleet_(fleet), random_(seed), endpoints_(fleet.endpoints) {
    for (size_t i = 0; i < fleet.boxes; ++i) ways_.push_back(make());
    told_.resize(fleet.endpoints);
  }

  PlayedBackoff Run() {
    constexpr milliseconds kTick{1};
    std::poisson_distribution<int> arrivals(fleet_.requests * ToSeconds(kTick));
    for (milliseconds at{0}; at < fleet_.lasts; at += kTick) {
      now_ = kBegin + at;
      if (at % fleet_.told_late == milliseconds(0)) TellLoads();
      for (; !returning_.empty() && returning_.begin()->first <= now_;
           returning_.erase(returning_.begin())) {
        Serve(true);
      }
      for (int i = arrivals(random_); i > 0; --i) Serve(false);
    }
    if (asked_while_refusing_ > 0) {
      result_.refused = static_cast<double>(not_served_) /
                        static_cast<double>(asked_while_refusing_);
    }
    double room = static_cast<double>(fleet_.refusing * fleet_.places) *
                  ToSeconds(fleet_.refuses_until - fleet_.refuses_from) /
                  ToSeconds(fleet_.service_time);
    result_.used = static_cast<double>(used_) / room;
    CountReturns();
    CountKept();
    return result_;
  }

 private:
  static constexpr TimePoint kBegin{std::chrono::hours(1)};
  static constexpr milliseconds kOnTheWay{500};
  static constexpr milliseconds kReturnSpan{100};
  static constexpr int kMostTries = 2;

  struct Told {
    size_t box = 0;
    size_t endpoint = 0;
    TimePoint at{};
  };
  struct Endpoint {
    std::deque<TimePoint> free_at;  // when each place is free, sorted
    std::vector<Told> arrivals;
  };

  bool IsRefusing(size_t endpoint) const {
    return endpoint < fleet_.refusing && now_ >= kBegin + fleet_.refuses_from &&
           now_ < kBegin + fleet_.refuses_until;
  }
  double LoadOf(size_t endpoint) const {
    double load = 0;
    for (TimePoint free_at : endpoints_[endpoint].free_at) {
      if (free_at > now_) ++load;
    }
    return load;
  }
  void TellLoads() {
    for (size_t i = 0; i < endpoints_.size(); ++i) told_[i] = LoadOf(i);
    own_.clear();
  }

  // `again`: a caller that was refused and has come back.
  void Serve(bool again) {
    size_t box = random_() % fleet_.boxes;
    bool counts = now_ >= kBegin + fleet_.refuses_from &&
                  now_ < kBegin + fleet_.refuses_until;
    if (counts) ++asked_while_refusing_;
    size_t tried = endpoints_.size();
    for (int tries = 0; tries < kMostTries; ++tries) {
      size_t endpoint = Choose(box, tried);
      if (endpoint == endpoints_.size()) break;
      tried = endpoint;
      if (Arrive(box, endpoint)) return;
    }
    if (counts) ++not_served_;
    if (!again) ComeBack(box);
  }

  // The caller hears the soonest end, and a share of a second more.
  void ComeBack(size_t box) {
    nanoseconds soonest = fleet_.asks;
    for (size_t i = 0; i < endpoints_.size(); ++i) {
      soonest = std::min(soonest, ways_[box]->OpensIn(Name(i), now_));
    }
    if (soonest <= nanoseconds(0)) return;
    double spread = std::uniform_real_distribution<>(0, 1)(random_);
    returning_.insert({now_ + soonest + FromSeconds(spread), box});
  }

  size_t Choose(size_t box, size_t tried) {
    size_t best = endpoints_.size();
    double least = 0;
    for (size_t i = 0; i < endpoints_.size(); ++i) {
      if (i == tried || ways_[box]->OpensIn(Name(i), now_) > nanoseconds(0))
        continue;
      double tie = std::uniform_real_distribution<>(0, 0.5)(random_);
      double load = told_[i] + own_[{box, i}] + tie;
      if (best != endpoints_.size() && load >= least) continue;
      best = i;
      least = load;
    }
    return best;
  }

  // Whether the endpoint takes the request.
  bool Arrive(size_t box, size_t endpoint) {
    Endpoint& its = endpoints_[endpoint];
    its.arrivals.push_back({box, endpoint, now_});
    ways_[box]->Sent(Name(endpoint), now_);
    std::bernoulli_distribution refuses(fleet_.refused_share);
    if (IsRefusing(endpoint) && refuses(random_)) {
      ++result_.refusals;
      asked_.push_back({box, endpoint, now_});
      for (size_t i = 0; i < ways_.size(); ++i) {
        bool hears = i == box || ways_[box]->tells();
        if (hears) ways_[i]->Asked(Name(endpoint), fleet_.asks, now_);
      }
      return false;
    }
    if (IsRefusing(endpoint)) ++used_;
    ++own_[{box, endpoint}];
    TimePoint begin = now_;
    if (its.free_at.size() >= fleet_.places) {
      begin = std::max(begin, its.free_at.front());
      its.free_at.pop_front();
    }
    if (now_ >= kBegin + fleet_.refuses_until && endpoint < fleet_.refusing) {
      result_.longest =
          std::max(result_.longest,
                   std::chrono::duration_cast<milliseconds>(begin - now_));
    }
    TimePoint end = begin + fleet_.service_time;
    its.free_at.insert(
        std::upper_bound(its.free_at.begin(), its.free_at.end(), end), end);
    return true;
  }

  // The most that one endpoint gets in the span before it refuses any, and in
  // the first span after it takes requests again.
  void CountReturns() {
    for (size_t i = 0; i < fleet_.refusing; ++i) {
      const auto& all = endpoints_[i].arrivals;
      bool returned = false;
      for (size_t first = 0; first < all.size(); ++first) {
        bool before = all[first].at < kBegin + fleet_.refuses_from;
        bool after = all[first].at >= kBegin + fleet_.refuses_until;
        if (returned || (!before && !after)) continue;
        size_t last = first;
        while (last < all.size() && all[last].at < all[first].at + kReturnSpan)
          ++last;
        size_t* most = after ? &result_.at_return : &result_.usual;
        *most = std::max(*most, last - first);
        returned = after;
      }
    }
  }
  void CountKept() {
    for (const Told& asked : asked_) {
      const auto& all = endpoints_[asked.endpoint].arrivals;
      auto counts = [&](const Told& arrival) {
        return arrival.box == asked.box && arrival.at > asked.at + kOnTheWay &&
               arrival.at < asked.at + fleet_.asks;
      };
      auto count =
          static_cast<size_t>(std::count_if(all.begin(), all.end(), counts));
      result_.most = std::max(result_.most, count);
    }
  }
  static std::string Name(size_t endpoint) {
    return "i-" + std::to_string(endpoint);
  }

  const BackoffFleet fleet_;
  std::mt19937_64 random_;
  std::vector<std::unique_ptr<BackoffWay>> ways_;  // by box
  std::vector<Endpoint> endpoints_;
  std::vector<double> told_;  // loads, as all boxes know them
  std::map<std::pair<size_t, size_t>, double> own_;  // sent since, by box
  std::vector<Told> asked_;
  std::multimap<TimePoint, size_t> returning_;  // callers, and their boxes
  TimePoint now_{};
  size_t asked_while_refusing_ = 0;
  size_t not_served_ = 0;
  size_t used_ = 0;
  PlayedBackoff result_;
};

}  // namespace leverwick

#endif  // LEVERWICK_TESTING_BACKOFF_SIMULATION_H_
