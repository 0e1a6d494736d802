// Plays the return of a drained data centre before a fleet of boxes.
//
// Each box sends its callers' requests to the endpoint that has had the fewest
// in the last second, as far as the box knows: its own sends, and those that
// boxes of its data centre tell a little later. Endpoints that come back cold
// have had none, so all boxes want them. One of them is also the preferred one
// of a hot prompt. What a policy lets boxes send is counted at the endpoints.
// No sockets, no clock; a seed decides everything.
//
//   SlowStartPlay play(fleet, seed);
//   PlayedReturn result = play.Run(policy);

#ifndef LEVERWICK_TESTING_SLOW_START_PLAY_H_
#define LEVERWICK_TESTING_SLOW_START_PLAY_H_

#include <algorithm>
#include <cstddef>
#include <deque>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "leverwick/slow_start.h"

namespace leverwick {

struct PlayedFleet {
  size_t boxes = 65;  // in three data centres
  size_t warm = 75;   // endpoints
  size_t cold = 37;
  double requests = 1100;  // a second, of all boxes
  double hot = 0.04;       // share of the requests that are of the hot prompt
  double stale_boxes = 0;  // share of the boxes that know only some others
  double unknown_to_them = 0;  // share of the others that those don't know
};

struct PlayedReturn {
  size_t most = 0;     // requests in a second at one cold endpoint
  double mean = 0;     // requests a second at a cold endpoint
  size_t refused = 0;  // requests that no endpoint could take
};

// What a box lets itself send to a cold endpoint.
class ColdPolicy {
 public:
  virtual ~ColdPolicy() = default;
  // `told`: sends of the last second that the box knows of, its own among them.
  virtual bool MaySend(size_t box, size_t endpoint, size_t told,
                       TimePoint now) = 0;
  virtual void Sent(size_t box, size_t endpoint, TimePoint now) = 0;
};

// No limit.
class Unlimited : public ColdPolicy {
 public:
  bool MaySend(size_t, size_t, size_t, TimePoint) override { return true; }
  void Sent(size_t, size_t, TimePoint) override {}
};

// Each box has its share of the rate, one request saved up at the most.
class EqualShares : public ColdPolicy {
 public:
  EqualShares(double rate, size_t boxes, size_t endpoints)
      : pause_(FromSeconds(static_cast<double>(boxes) / rate)),
        next_(boxes, std::vector<TimePoint>(endpoints)) {}
  bool MaySend(size_t box, size_t endpoint, size_t, TimePoint now) override {
    return now >= next_[box][endpoint];
  }
  void Sent(size_t box, size_t endpoint, TimePoint now) override {
    next_[box][endpoint] = now + pause_;
  }

 private:
  const Clock::duration pause_;
  std::vector<std::vector<TimePoint>> next_;
};

// The rate is kept by what boxes of a data centre tell each other; each data
// centre has a third of it.
class ToldCounts : public ColdPolicy {
 public:
  explicit ToldCounts(double rate) : third_(rate / 3) {}
  bool MaySend(size_t, size_t, size_t told, TimePoint) override {
    return static_cast<double>(told + 1) <= third_;
  }
  void Sent(size_t, size_t, TimePoint) override {}

 private:
  const double third_;
};

// SlowStart of each box.
class ChosenSenders : public ColdPolicy {
 public:
  ChosenSenders(double rate, const PlayedFleet& fleet, uint64_t seed) {
    std::mt19937_64 random(seed);
    auto draw = [&] { return std::uniform_real_distribution<>(0, 1)(random); };
    for (size_t box = 0; box < fleet.boxes; ++box) {
      auto slow_start = std::make_unique<SlowStart>(NameOf(box));
      bool stale = draw() < fleet.stale_boxes;
      std::vector<std::string> others;
      for (size_t other = 0; other < fleet.boxes; ++other) {
        bool unknown = stale && draw() < fleet.unknown_to_them;
        if (other != box && !unknown) others.push_back(NameOf(other));
      }
      slow_start->SetBoxes(others);
      slow_start->SetLimits({{"service", {rate, std::chrono::seconds(3)}}});
      slow_start->Returned("dc-returned", TimePoint());
      boxes_.push_back(std::move(slow_start));
    }
  }
  bool MaySend(size_t box, size_t endpoint, size_t, TimePoint now) override {
    return boxes_[box]->MaySend(Listed(endpoint), now);
  }
  void Sent(size_t box, size_t endpoint, TimePoint now) override {
    boxes_[box]->Sent(Listed(endpoint).address, now);
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

class SlowStartPlay {
 public:
  SlowStartPlay(const PlayedFleet& fleet, uint64_t seed)
      : fleet_(fleet), random_(seed) {
    // The largest boxes take three times as many requests as the smallest.
    for (size_t i = 0; i < fleet.boxes; ++i) weights_.push_back(1 + 2 * Draw());
    sends_.resize(fleet.warm + fleet.cold);
  }

  PlayedReturn Run(ColdPolicy* policy) {
    // Boxes learn of the return within the time of a held read.
    std::vector<double> knows_at;
    for (size_t i = 0; i < fleet_.boxes; ++i) knows_at.push_back(0.9 * Draw());
    std::discrete_distribution<size_t> pick_box(weights_.begin(),
                                                weights_.end());
    std::exponential_distribution<> pause(fleet_.requests);
    PlayedReturn result;
    // The warm endpoints' load builds up in the second before the return.
    for (double at = -1; at < kColdSeconds; at += pause(random_)) {
      size_t box = pick_box(random_);
      size_t usable = at < knows_at[box] ? fleet_.warm : sends_.size();
      Send(policy, box, usable, TimePoint(FromSeconds(at)), &result);
    }
    Count(&result);
    return result;
  }

 private:
  struct Sent {
    TimePoint at;
    size_t box;
  };
  static constexpr double kColdSeconds = 3;
  static constexpr milliseconds kTellingTakes{12};
  // Requests in the last second that a hot prompt's preferred endpoint may have
  // had more than another: reading the prompt elsewhere costs as much.
  static constexpr size_t kPreference = 8;

  double Draw() { return std::uniform_real_distribution<>(0, 1)(random_); }
  bool IsCold(size_t endpoint) const { return endpoint >= fleet_.warm; }

  // Sends of the last second that the box knows of.
  size_t Known(size_t endpoint, size_t box, TimePoint now) const {
    size_t known = 0;
    const std::vector<Sent>& sends = sends_[endpoint];
    for (auto sent = sends.rbegin(); sent != sends.rend(); ++sent) {
      if (now - sent->at >= std::chrono::seconds(1)) break;
      bool told = sent->box % 3 == box % 3 && now - sent->at >= kTellingTakes;
      if (sent->box == box || told) ++known;
    }
    return known;
  }

  void Send(ColdPolicy* policy, size_t box, size_t usable, TimePoint now,
            PlayedReturn* result) {
    bool is_hot = Draw() < fleet_.hot;
    std::vector<size_t> least;
    size_t least_known = SIZE_MAX;
    for (size_t endpoint = 0; endpoint < usable; ++endpoint) {
      size_t known = Known(endpoint, box, now);
      bool may =
          !IsCold(endpoint) || policy->MaySend(box, endpoint, known, now);
      bool preferred = is_hot && endpoint == fleet_.warm;
      size_t weighed = preferred ? known : known + kPreference;
      if (!may || weighed > least_known) continue;
      if (weighed < least_known) least.clear();
      least_known = weighed;
      least.push_back(endpoint);
    }
    if (least.empty()) {
      ++result->refused;
      return;
    }
    size_t chosen = least[random_() % least.size()];
    if (IsCold(chosen)) policy->Sent(box, chosen, now);
    sends_[chosen].push_back({now, box});
  }

  void Count(PlayedReturn* result) const {
    size_t all = 0;
    for (size_t endpoint = fleet_.warm; endpoint < sends_.size(); ++endpoint) {
      const std::vector<Sent>& sends = sends_[endpoint];
      all += sends.size();
      size_t first = 0;
      for (size_t last = 0; last < sends.size(); ++last) {
        while (sends[last].at - sends[first].at >= std::chrono::seconds(1)) {
          ++first;
        }
        result->most = std::max(result->most, last - first + 1);
      }
    }
    if (fleet_.cold == 0) return;
    result->mean = static_cast<double>(all) / kColdSeconds /
                   static_cast<double>(fleet_.cold);
  }

  const PlayedFleet fleet_;
  std::mt19937_64 random_;
  std::vector<double> weights_;           // of boxes
  std::vector<std::vector<Sent>> sends_;  // by endpoint, warm ones first
};

}  // namespace leverwick

#endif  // LEVERWICK_TESTING_SLOW_START_PLAY_H_
