// Plays a fleet of boxes through the start of a roll-out and counts the
// sessions that change their version in its first half.
//
// What boxes write reaches each other box late and in order, each box by a way
// of its own; some lag. A session's requests go to boxes at random, one after
// the other. No sockets: time is a queue of events.

#include <doctest/doctest.h>

#include <functional>
#include <map>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "leverwick/service_rollouts.h"

namespace leverwick {
namespace {

using Side = ServiceRollouts::Side;

const TimePoint kOrder = TimePoint() + std::chrono::hours(1);
constexpr milliseconds kDuration{24000};
constexpr int kBoxes = 60;
constexpr int kSessions = 6000;
// Requests of a session that may change their version, by the users' rule.
constexpr int kMostChanged = 3;

class Fleet {
 public:
  Fleet(const RolloutOptions& options, uint32_t seed) : random_(seed) {
    for (int i = 0; i < kBoxes; ++i) boxes_.emplace_back(options);
    for (Box& box : boxes_) DrawBox(&box);
    for (int i = 0; i < kSessions; ++i) BeginSession(i);
    Tick();
  }

  // Until shortly before the half of the ordered time.
  void Play() {
    while (!events_.empty() && events_.top().at < kOrder + kDuration / 2) {
      Event event = events_.top();
      events_.pop();
      now_ = event.at;
      event.action();
    }
  }

  int changed() const { return changed_; }
  int on_target() const { return on_target_; }
  int requests() const { return requests_; }

 private:
  struct Box {
    explicit Box(const RolloutOptions& options) : rollouts(options) {}
    ServiceRollouts rollouts;
    milliseconds lag{0};          // of what others write
    TimePoint heard_at{};         // the last record came
    TimePoint knows_target_at{};  // its endpoints
  };

  struct Event {
    TimePoint at;
    uint64_t order;
    std::function<void()> action;
    bool operator<(const Event& other) const {
      return at != other.at ? at > other.at : order > other.order;
    }
  };

  milliseconds Draw(int least, int most) {
    return milliseconds(
        std::uniform_int_distribution<int>(least, most)(random_));
  }

  void At(TimePoint at, std::function<void()> action) {
    events_.push({at, next_++, std::move(action)});
  }

  void DrawBox(Box* box) {
    bool lags = std::bernoulli_distribution(0.1)(random_);
    box->lag = lags ? Draw(200, 500) : Draw(15, 120);
    // Endpoints of the target are listed 1.2 s after the order and read by
    // each box within 1.4 s of that.
    box->knows_target_at = kOrder + milliseconds(1200) + Draw(0, 1400);
    At(kOrder + Draw(0, 60),
       [this, box] { box->rollouts.Ordered("chat", "v2", kDuration, now_); });
  }

  // Every box hears it, in the order of the log and by its own way.
  void Write(const std::function<void(ServiceRollouts*)>& record) {
    TimePoint written = now_ + Draw(5, 40);
    for (Box& box : boxes_) {
      box.heard_at = std::max(box.heard_at, written + box.lag + Draw(0, 50));
      At(box.heard_at, [record, written, &box] {
        record(&box.rollouts);
        box.rollouts.Heard(written);
      });
    }
  }

  // Each box tells what is due, as often as a box ticks.
  void Tick() {
    for (Box& box : boxes_) {
      bool proposes = !proposed_ && now_ >= box.knows_target_at &&
                      !box.rollouts.Proposals(now_).empty();
      if (proposes) Propose();
      std::vector<uint64_t> untold = box.rollouts.TakeUntold("chat");
      if (untold.empty()) continue;
      Write([untold](ServiceRollouts* rollouts) {
        rollouts->Pin("chat", "v2", untold);
      });
    }
    At(now_ + milliseconds(50), [this] { Tick(); });
  }

  void Propose() {
    proposed_ = true;
    RolloutRecord record{"chat", "v2", RolloutStep::kCanary};
    Write([this, record](ServiceRollouts* rollouts) {
      rollouts->Learned(record, now_);
    });
  }

  void BeginSession(int number) {
    std::string name = "session-" + std::to_string(number);
    int length = std::uniform_int_distribution<int>(2, 8)(random_);
    At(kOrder - milliseconds(9000) + Draw(0, 21000),
       [this, name, length] { Request(name, length); });
  }

  void Request(const std::string& session, int left) {
    int number = std::uniform_int_distribution<int>(0, kBoxes - 1)(random_);
    Box* box = &boxes_[static_cast<size_t>(number)];
    box->rollouts.Began("chat", session, now_);
    bool wanted = box->rollouts.SideFor("chat", session, now_) == Side::kTarget;
    bool target = wanted && now_ >= box->knows_target_at;
    std::string version = target ? "v2" : "v1";
    box->rollouts.Sent("chat", session, version);
    Count(session, version);
    At(now_ + Draw(100, 6000), [this, box, session, left] {
      box->rollouts.Ended("chat", session, now_);
      if (left <= 1) return;
      At(now_ + Draw(20, 3000),
         [this, session, left] { Request(session, left - 1); });
    });
  }

  void Count(const std::string& session, const std::string& version) {
    std::string& before = versions_[session];
    changed_ += !before.empty() && before != version;
    before = version;
    ++requests_;
    on_target_ += version == "v2";
  }

  std::mt19937 random_;
  std::vector<Box> boxes_;
  std::priority_queue<Event> events_;
  uint64_t next_ = 0;
  TimePoint now_ = kOrder - std::chrono::seconds(10);
  bool proposed_ = false;
  std::map<std::string, std::string> versions_;  // last one, by session
  int changed_ = 0;
  int on_target_ = 0;
  int requests_ = 0;
};

TEST_CASE("sixty boxes, some late: sessions keep their version") {
  for (uint32_t seed = 1; seed <= 10; ++seed) {
    CAPTURE(seed);
    Fleet fleet({}, seed);
    fleet.Play();
    CHECK(fleet.changed() <= kMostChanged);
    // The target is used all the same.
    CHECK(fleet.on_target() > fleet.requests() / 200);
  }
}

}  // namespace
}  // namespace leverwick
