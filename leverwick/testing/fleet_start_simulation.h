// Simulates the start of a whole fleet before one store: the entries of all
// boxes, the reads of the list, and the reads of a large topic that follow.
//
// The store takes appends to the list one after the other, each in
// kAppendTime, and refuses those that would wait too long; it answers reads at
// a rate, a bounded number of bytes a second, and can be away for a while. A
// box that has found a better one on the list asks that one instead of the
// store. Time is simulated and there is no network; the seed determines every
// run.

#ifndef LEVERWICK_TESTING_FLEET_START_SIMULATION_H_
#define LEVERWICK_TESTING_FLEET_START_SIMULATION_H_

#include <algorithm>
#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <vector>

#include "leverwick/fleet_start.h"

namespace leverwick {

struct FleetStartScenario {
  size_t boxes = 1000;
  size_t data_centres = 5;
  double reads_per_second = 16000;
  double read_bytes_per_second = 80e6;
  double entry_bytes = 200;
  double topic_bytes = 3e6;   // that each reader of a data centre reads
  milliseconds away_from{0};  // when the store is away, after the start
  milliseconds away_for{0};
  size_t killed = 0;  // boxes that start again after two seconds
};

struct FleetStartResult {
  size_t calls = 0;  // of the store
  double bytes = 0;  // read from the store
  size_t ready = 0;  // boxes
  nanoseconds last_ready{0};
};

// What a box does; each box has one of its own.
class StartPolicy {
 public:
  virtual ~StartPolicy() = default;
  virtual bool MayReadList(TimePoint now) const = 0;
  virtual bool TakeAppend(TimePoint now) = 0;
  virtual void RecordAppend(bool succeeded, double draw, TimePoint now) = 0;
  virtual void RecordList(size_t boxes, bool lists_self, TimePoint now) = 0;
  virtual nanoseconds PauseAfterFailedRead(double draw) = 0;
  virtual bool IsSettled(TimePoint now) = 0;
  virtual nanoseconds ReadInterval(TimePoint now) = 0;
  // Whether the box waits for a better one to have read a topic.
  virtual bool WaitsForSource() const { return true; }
};

class FleetStartSimulation {
 public:
  using NewPolicy =
      std::function<std::unique_ptr<StartPolicy>(TimePoint, double draw)>;

  FleetStartSimulation(const FleetStartScenario& scenario, uint64_t seed,
                       NewPolicy new_policy)
      : scenario_(scenario),
        random_(seed),
        new_policy_(std::move(new_policy)) {}

  FleetStartResult Run() {
    boxes_.resize(scenario_.boxes);
    for (size_t i = 0; i < boxes_.size(); ++i) {
      boxes_[i].data_centre = i % scenario_.data_centres;
      boxes_[i].capacity = Draw();
      StartBox(i, kStart + FromSeconds(0.3 * Draw()));
    }
    for (size_t i = 0; i < scenario_.killed; ++i) {
      At(kStart + std::chrono::seconds(2), [this, i] { StartBox(i, now_); });
    }
    while (!events_.empty()) {
      Event event = events_.top();
      if (event.at > kStart + kLimit) break;
      events_.pop();
      now_ = event.at;
      event.action();
    }
    return result_;
  }

 private:
  static constexpr TimePoint kStart = TimePoint{} + std::chrono::hours(1);
  static constexpr std::chrono::seconds kLimit{60};
  static constexpr milliseconds kAppendTime{4};
  static constexpr milliseconds kAnswerTime{4};
  static constexpr milliseconds kCallTime{900};  // then a call is given up
  static constexpr std::chrono::seconds kLongestQueue{2};

  struct Box {
    std::unique_ptr<StartPolicy> policy;
    int life = 0;
    size_t data_centre = 0;
    double capacity = 0;
    bool is_listed = false;  // the store has its entry
    bool is_ready = false;
    bool reads_topic = false;
    std::vector<bool> knows;  // boxes on the list that it read last
    size_t known = 0;
  };
  struct Event {
    TimePoint at;
    std::function<void()> action;
    bool operator<(const Event& other) const { return at > other.at; }
  };

  double Draw() { return std::uniform_real_distribution<>(0, 1)(random_); }
  void At(TimePoint at, std::function<void()> action) {
    events_.push({at, std::move(action)});
  }
  // Runs the action unless the box has been killed meanwhile.
  void AtBox(TimePoint at, size_t index, std::function<void()> action) {
    int life = boxes_[index].life;
    At(at, [this, index, life, action = std::move(action)] {
      if (boxes_[index].life == life) action();
    });
  }

  void StartBox(size_t index, TimePoint at) {
    Box& box = boxes_[index];
    ++box.life;
    if (box.is_ready) --result_.ready;
    box.is_ready = box.reads_topic = false;
    box.knows.assign(boxes_.size(), false);
    box.known = 0;
    box.policy = new_policy_(at, Draw());
    AtBox(at, index, [this, index] { Append(index); });
    AtBox(at, index, [this, index] { BeginToRead(index); });
  }

  void BeginToRead(size_t index) {
    if (boxes_[index].policy->MayReadList(now_)) return ReadList(index);
    AtBox(now_ + milliseconds(20), index,
          [this, index] { BeginToRead(index); });
  }

  bool IsAway() const {
    TimePoint from = kStart + scenario_.away_from;
    return now_ >= from && now_ < from + scenario_.away_for;
  }

  // Looks a few times a second whether an append is due.
  void Append(size_t index) {
    Box& box = boxes_[index];
    if (box.policy->TakeAppend(now_)) SendAppend(index);
    AtBox(now_ + milliseconds(50), index, [this, index] { Append(index); });
  }

  void SendAppend(size_t index) {
    ++result_.calls;
    append_free_ = std::max(append_free_, now_);
    bool fails = IsAway() || append_free_ - now_ > kLongestQueue;
    TimePoint done = now_ + kAnswerTime;
    if (!fails) {
      append_free_ += kAppendTime;
      done = append_free_;
      At(done, [this, index] { boxes_[index].is_listed = true; });
    }
    // The caller gives up before the store does, which writes the entry later.
    bool is_given_up = done - now_ > kCallTime;
    AtBox(std::min(done, now_ + kCallTime), index,
          [this, index, fails, is_given_up] {
            bool succeeds = !fails && !is_given_up;
            boxes_[index].policy->RecordAppend(succeeds, Draw(), now_);
          });
  }

  // Bytes of all reads share one rate; too many reads a second are refused.
  bool TakeRead(double bytes, TimePoint* done) {
    ++result_.calls;
    if (now_ - second_ >= std::chrono::seconds(1)) {
      second_ = now_;
      reads_in_second_ = 0;
    }
    bool fails = IsAway() || ++reads_in_second_ > scenario_.reads_per_second;
    *done = now_ + kAnswerTime;
    if (fails) return false;
    result_.bytes += bytes;
    read_free_ = std::max(read_free_, now_) +
                 FromSeconds(bytes / scenario_.read_bytes_per_second);
    *done = std::max(*done, read_free_);
    bool is_given_up = *done - now_ > kCallTime;
    *done = std::min(*done, now_ + kCallTime);
    return !is_given_up;
  }

  // Whether another box of the data centre that the box knows reads for it.
  bool HasSource(const Box& box) const {
    for (size_t i = 0; i < boxes_.size(); ++i) {
      const Box& other = boxes_[i];
      if (box.knows[i] && other.data_centre == box.data_centre &&
          other.capacity > box.capacity) {
        return true;
      }
    }
    return false;
  }

  void ReadList(size_t index) {
    Box& box = boxes_[index];
    size_t listed = 0;
    for (const Box& other : boxes_) listed += other.is_listed ? 1 : 0;
    TimePoint done = now_ + milliseconds(20);  // from another box
    bool succeeds = HasSource(box);
    if (!succeeds) {
      double bytes = scenario_.entry_bytes *
                     static_cast<double>(listed - std::min(listed, box.known));
      succeeds = TakeRead(bytes, &done);
    }
    std::vector<bool> now_listed(boxes_.size());
    for (size_t i = 0; i < boxes_.size(); ++i) {
      now_listed[i] = boxes_[i].is_listed;
    }
    AtBox(done, index,
          [this, index, succeeds, listed, now_listed = std::move(now_listed)] {
            if (succeeds) {
              boxes_[index].knows = now_listed;
              boxes_[index].known = listed;
            }
            OnList(index, succeeds);
          });
  }

  void OnList(size_t index, bool succeeds) {
    Box& box = boxes_[index];
    nanoseconds pause{0};
    if (succeeds) {
      box.policy->RecordList(box.known, box.knows[index], now_);
      pause = box.policy->ReadInterval(now_);
    } else {
      pause = box.policy->PauseAfterFailedRead(Draw());
    }
    if (!box.reads_topic && box.policy->IsSettled(now_)) {
      box.reads_topic = true;
      ReadTopic(index);
    }
    AtBox(now_ + pause, index, [this, index] { ReadList(index); });
  }

  // From a better box of the data centre once that one has it, or the store.
  void ReadTopic(size_t index) {
    Box& box = boxes_[index];
    if (HasSource(box)) {
      bool is_there =
          std::any_of(boxes_.begin(), boxes_.end(), [&](const Box& other) {
            return other.is_ready && other.data_centre == box.data_centre;
          });
      if (is_there) return BeReady(index);
      if (box.policy->WaitsForSource()) {
        return AtBox(now_ + milliseconds(100), index,
                     [this, index] { ReadTopic(index); });
      }
    }
    TimePoint done;
    bool succeeds = TakeRead(scenario_.topic_bytes, &done);
    AtBox(done, index, [this, index, succeeds] {
      if (succeeds) return BeReady(index);
      nanoseconds pause = boxes_[index].policy->PauseAfterFailedRead(Draw());
      AtBox(now_ + pause, index, [this, index] { ReadTopic(index); });
    });
  }

  void BeReady(size_t index) {
    boxes_[index].is_ready = true;
    ++result_.ready;
    result_.last_ready = now_ - kStart;
  }

  const FleetStartScenario scenario_;
  std::mt19937_64 random_;
  const NewPolicy new_policy_;
  std::vector<Box> boxes_;
  std::priority_queue<Event> events_;
  TimePoint now_ = kStart;
  TimePoint append_free_{};
  TimePoint read_free_{};
  TimePoint second_{};
  double reads_in_second_ = 0;
  FleetStartResult result_;
};

// FleetStart as a policy.
class FleetStartPolicy : public StartPolicy {
 public:
  FleetStartPolicy(TimePoint started, double draw)
      : start_(true, started, draw) {}
  bool MayReadList(TimePoint) const override { return start_.MayReadList(); }
  bool TakeAppend(TimePoint now) override { return start_.TakeAppend(now); }
  void RecordAppend(bool succeeded, double draw, TimePoint now) override {
    start_.RecordAppend(succeeded, draw, now);
  }
  void RecordList(size_t boxes, bool lists_self, TimePoint now) override {
    start_.RecordList(boxes, lists_self, now);
  }
  nanoseconds PauseAfterFailedRead(double draw) override {
    return start_.PauseAfterFailedRead(draw);
  }
  bool IsSettled(TimePoint now) override { return start_.IsSettled(now); }
  nanoseconds ReadInterval(TimePoint now) override {
    return start_.ReadInterval(now);
  }

 private:
  FleetStart start_;
};

// Repeats each call after a short pause of the same length at any size, and
// reads everything as soon as the list has been read once.
class EagerStartPolicy : public StartPolicy {
 public:
  explicit EagerStartPolicy(TimePoint started) : started_(started) {}
  bool MayReadList(TimePoint now) const override {
    return now >= started_ + milliseconds(700);
  }
  bool TakeAppend(TimePoint) override {
    bool is_due = append_due_;
    append_due_ = false;
    return is_due;
  }
  void RecordAppend(bool, double, TimePoint) override {}
  void RecordList(size_t, bool lists_self, TimePoint) override {
    is_settled_ = true;
    if (!lists_self) append_due_ = true;
  }
  nanoseconds PauseAfterFailedRead(double draw) override {
    is_settled_ = true;
    return milliseconds(150) + FromSeconds(0.2 * draw);
  }
  bool IsSettled(TimePoint) override { return is_settled_; }
  nanoseconds ReadInterval(TimePoint) override {
    return std::chrono::seconds(10);
  }
  bool WaitsForSource() const override { return false; }

 private:
  const TimePoint started_;
  bool append_due_ = true;
  bool is_settled_ = false;
};

}  // namespace leverwick

#endif  // LEVERWICK_TESTING_FLEET_START_SIMULATION_H_
