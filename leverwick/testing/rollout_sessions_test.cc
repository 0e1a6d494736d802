// Simulates a fleet of boxes at the start of a roll-out and counts the requests
// of sessions that change their version in its first half.
//
// Records reach each box late and in order, with a delay of the box's own; some
// boxes lag. A session's requests go to random boxes, one after the other.
// There are no sockets: time is a queue of events.

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
// Maximum number of requests that run on another version than the previous
// request of their session; users require this bound.
constexpr int kMaxChanged = 3;

class SimulatedFleet {
 public:
  SimulatedFleet(const RolloutOptions& options, uint32_t seed) : random_(seed) {
    for (int i = 0; i < kBoxes; ++i) boxes_.emplace_back(options);
    for (Box& box : boxes_) DrawBox(&box);
    for (int i = 0; i < kSessions; ++i) BeginSession(i);
    Tick();
  }

  // Runs until half of the ordered time is over.
  void Run() {
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
    milliseconds lag{0};           // until a record reaches this box
    TimePoint received_at{};       // of the last record
    TimePoint target_listed_at{};  // when its endpoints are listed here
  };

  struct Event {
    TimePoint at;
    uint64_t order;
    std::function<void()> action;
    bool operator<(const Event& other) const {
      return at != other.at ? at > other.at : order > other.order;
    }
  };

  milliseconds Draw(int min, int max) {
    return milliseconds(std::uniform_int_distribution<int>(min, max)(random_));
  }

  void At(TimePoint at, std::function<void()> action) {
    events_.push({at, next_++, std::move(action)});
  }

  void DrawBox(Box* box) {
    bool lags = std::bernoulli_distribution(0.1)(random_);
    box->lag = lags ? Draw(200, 500) : Draw(15, 120);
    // Endpoints of the target are listed 1.2 s after the order, and each box
    // reads the list within 1.4 s of that.
    box->target_listed_at = kOrder + milliseconds(1200) + Draw(0, 1400);
    At(kOrder + Draw(0, 60), [this, box] {
      box->rollouts.RecordOrder("chat", "v2", kDuration, now_);
    });
  }

  // Delivers a record to every box, in the order of the log and after the box's
  // delay.
  void Write(const std::function<void(ServiceRollouts*)>& apply) {
    TimePoint written = now_ + Draw(5, 40);
    for (Box& box : boxes_) {
      box.received_at =
          std::max(box.received_at, written + box.lag + Draw(0, 50));
      At(box.received_at, [apply, written, &box] {
        apply(&box.rollouts);
        box.rollouts.RecordSyncedUpTo(written);
      });
    }
  }

  // Lets each box write what is due, every 50 ms.
  void Tick() {
    for (Box& box : boxes_) {
      bool is_proposing = !proposed_ && now_ >= box.target_listed_at &&
                          !box.rollouts.DueRecords(now_).empty();
      if (is_proposing) Propose();
      std::vector<uint64_t> pins = box.rollouts.TakeUnreportedPins("chat");
      if (pins.empty()) continue;
      Write([pins](ServiceRollouts* rollouts) {
        rollouts->PinSessions("chat", "v2", pins);
      });
    }
    At(now_ + milliseconds(50), [this] { Tick(); });
  }

  void Propose() {
    proposed_ = true;
    RolloutRecord record{"chat", "v2", RolloutStep::kCanary};
    Write([this, record](ServiceRollouts* rollouts) {
      rollouts->ApplyRecord(record, now_);
    });
  }

  void BeginSession(int number) {
    std::string name = "session-" + std::to_string(number);
    int length = std::uniform_int_distribution<int>(2, 8)(random_);
    At(kOrder - milliseconds(9000) + Draw(0, 21000),
       [this, name, length] { Request(name, length); });
  }

  void Request(const std::string& session, int remaining) {
    int index = std::uniform_int_distribution<int>(0, kBoxes - 1)(random_);
    Box* box = &boxes_[static_cast<size_t>(index)];
    box->rollouts.RecordRequestStart("chat", session, now_);
    bool is_target_side =
        box->rollouts.SideFor("chat", session, now_) == Side::kTarget;
    bool target = is_target_side && now_ >= box->target_listed_at;
    std::string version = target ? "v2" : "v1";
    box->rollouts.RecordSend("chat", session, version);
    CountRequest(session, version);
    At(now_ + Draw(100, 6000), [this, box, session, remaining] {
      box->rollouts.RecordRequestEnd("chat", session, now_);
      if (remaining <= 1) return;
      At(now_ + Draw(20, 3000),
         [this, session, remaining] { Request(session, remaining - 1); });
    });
  }

  void CountRequest(const std::string& session, const std::string& version) {
    std::string& previous = versions_[session];
    changed_ += !previous.empty() && previous != version;
    previous = version;
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

TEST_CASE("sessions keep their version on sixty boxes, some of which lag") {
  for (uint32_t seed = 1; seed <= 10; ++seed) {
    CAPTURE(seed);
    SimulatedFleet fleet({}, seed);
    fleet.Run();
    CHECK(fleet.changed() <= kMaxChanged);
    // The target gets requests nevertheless.
    CHECK(fleet.on_target() > fleet.requests() / 200);
  }
}

}  // namespace
}  // namespace leverwick
