// Simulates a fleet of boxes that share a DutyLease through a store with
// faults, and a platform that observes the calls of the holders.
//
// Time is simulated in steps and there is no network; the seed determines
// every run. Faults: boxes that are suspended, partitioned from the store or
// restarted, a store that is down or comes back from an older copy, lost
// answers, appends that take effect seconds after they were given up, and
// clocks that differ.

#ifndef LEVERWICK_TESTING_DUTY_LEASE_SIMULATION_H_
#define LEVERWICK_TESTING_DUTY_LEASE_SIMULATION_H_

#include <algorithm>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "leverwick/duty_lease.h"
#include "leverwick/result.h"
#include "leverwick/staggered_start.h"

namespace leverwick {

struct DutyLeaseScenario {
  size_t boxes = 7;
  LeaseOptions lease{milliseconds(4500), milliseconds(1000),
                     milliseconds(3000)};
  // Within which no two boxes may act in the order A, B, A.
  milliseconds alternation{3000};
  Seconds duration{60};
  Seconds calm{15};  // at the end, without faults
  // Mean number of each fault during the run.
  double suspensions = 3;
  double partitions = 3;
  double restarts = 4;
  double planned_stops = 3;
  double outages = 2;
  double returns = 0;             // of the store, from a copy up to 8 s old
  milliseconds clock_skew{2500};  // of a box, to either side
  double answer_loss = 0.05;      // probability, per call
};

struct DutyLeaseResult {
  std::vector<std::string> violations;
  size_t holders = 0;          // changes of the holder
  size_t appends = 0;          // calls, refused ones too
  nanoseconds longest_gap{0};  // without an action, in the calm end
  bool acted_in_calm = false;
};

class DutyLeaseSimulation {
 public:
  DutyLeaseSimulation(const DutyLeaseScenario& scenario, uint64_t seed)
      : scenario_(scenario), random_(seed) {}

  DutyLeaseResult Run() {
    for (size_t box = 0; box < scenario_.boxes; ++box) {
      boxes_.push_back(NewBox(box));
    }
    TimePoint end = kStart + FromSeconds(scenario_.duration.count());
    calm_from_ = end - FromSeconds(scenario_.calm.count());
    for (now_ = kStart; now_ < end; now_ += kStep) {
      if (now_ < calm_from_) DrawFaults();
      ApplyLateAppends();
      for (size_t box = 0; box < boxes_.size(); ++box) Step(box);
      Deliver();
    }
    return result_;
  }

 private:
  static constexpr TimePoint kStart = TimePoint{} + std::chrono::hours(1);
  static constexpr milliseconds kStep{20};
  static constexpr milliseconds kHeldRead{1000};
  static constexpr milliseconds kActInterval{100};
  static constexpr milliseconds kTurns{1000};

  struct Box {
    std::unique_ptr<DutyLease> lease;
    std::unique_ptr<StaggeredStart> turns;
    milliseconds clock_skew{0};
    TimePoint suspended_until{};
    TimePoint partitioned_until{};
    TimePoint down_until{};
    TimePoint read_sent_at{};
    TimePoint read_due{};  // when the open read is answered or given up
    bool read_fails = false;
    TimePoint next_read{};
    std::optional<LeaseAppend> append;
    std::error_code append_error;
    TimePoint append_due{};
    TimePoint next_act{};
    uint64_t read_to = 0;  // end that the open read began at
    StoreEra read_era = 0;
  };
  struct Entry {
    LeaseRecord record;
    TimePoint written{};
  };
  struct Late {
    TimePoint at{};
    LeaseAppend append;
  };
  struct Call {
    TimePoint arrives{};
    size_t box = 0;
    uint64_t token = 0;
  };

  double Draw() { return std::uniform_real_distribution<>(0, 1)(random_); }
  milliseconds DrawTime(int least, int most) {
    return milliseconds(
        std::uniform_int_distribution<int>(least, most)(random_));
  }
  std::string Name(size_t box) const { return "box-" + std::to_string(box); }

  Box NewBox(size_t index) {
    Box box;
    std::vector<std::string> others;
    for (size_t other = 0; other < scenario_.boxes; ++other) {
      if (other != index) others.push_back(Name(other));
    }
    box.turns = std::make_unique<StaggeredStart>(Name(index), others);
    int skew = static_cast<int>(scenario_.clock_skew.count());
    box.clock_skew = DrawTime(-skew, skew);
    LeaseOptions options = scenario_.lease;
    options.is_first_start = now_ == kStart;
    std::string life = Name(index) + "/" + std::to_string(++lives_);
    box.lease = std::make_unique<DutyLease>(
        LeaseCandidate{Name(index), life, ""}, options, now_);
    return box;
  }

  // One fault of a kind with `mean` of them in the faulty part of the run.
  bool Strikes(double mean) {
    double steps = ToSeconds(calm_from_ - kStart) / ToSeconds(kStep);
    return Draw() < mean / steps;
  }
  Box& DrawBox() {
    // Holders are the ones that matter.
    if (Draw() < 0.5) {
      for (Box& box : boxes_) {
        if (box.lease->TokenAt(now_)) return box;
      }
    }
    return boxes_[std::uniform_int_distribution<size_t>(
        0, boxes_.size() - 1)(random_)];
  }

  void DrawFaults() {
    if (Strikes(scenario_.suspensions)) {
      DrawBox().suspended_until = now_ + DrawTime(200, 9000);
    }
    if (Strikes(scenario_.partitions)) {
      DrawBox().partitioned_until = now_ + DrawTime(500, 9000);
    }
    if (Strikes(scenario_.outages))
      store_down_until_ = now_ + DrawTime(500, 8000);
    if (Strikes(scenario_.returns)) ReturnOlderCopy();
    if (Strikes(scenario_.planned_stops)) {
      DrawBox().lease->Release(milliseconds(0), now_);
    }
    if (Strikes(scenario_.restarts)) {
      Box& box = DrawBox();
      size_t index = &box - boxes_.data();
      box = NewBox(index);
      box.down_until = now_ + DrawTime(100, 3000);
    }
  }

  // The store is away for a moment, often for less than a held read.
  void ReturnOlderCopy() {
    store_down_until_ = std::max(store_down_until_, now_ + DrawTime(0, 2000));
    TimePoint copied = now_ - DrawTime(300, 8000);
    while (!log_.empty() && log_.back().written > copied) log_.pop_back();
    ++era_;
  }

  bool StoreReachable(const Box& box) const {
    return now_ >= store_down_until_ && now_ >= box.partitioned_until;
  }

  bool Append(const LeaseAppend& append) {
    if (append.at != log_.size()) return false;
    log_.push_back({append.record, now_});
    return true;
  }

  void ApplyLateAppends() {
    for (const Late& late : late_) {
      if (late.at <= now_) Append(late.append);
    }
    late_.erase(std::remove_if(late_.begin(), late_.end(),
                               [&](const Late& l) { return l.at <= now_; }),
                late_.end());
  }

  void Step(size_t index) {
    Box& box = boxes_[index];
    if (now_ < box.suspended_until || now_ < box.down_until) return;
    StepRead(&box);
    StepAppend(&box);
    Act(index);
  }

  // A read is held until there is a record, for a second at most.
  void StepRead(Box* box) {
    if (box->read_due == TimePoint{}) {
      if (now_ < box->next_read) return;
      box->read_sent_at = now_;
      box->read_fails = !StoreReachable(*box) || Draw() < scenario_.answer_loss;
      box->read_due = now_ + kHeldRead + DrawTime(0, 40);
    }
    bool has_news =
        !box->read_fails && log_.size() > box->read_to && StoreReachable(*box);
    if (!has_news && now_ < box->read_due) return;
    box->read_due = TimePoint{};
    box->next_read = now_ + DrawTime(10, 60);
    if (box->read_fails || !StoreReachable(*box)) {
      box->lease->RecordReadFailure();
      box->next_read = now_ + DrawTime(150, 350);
      return;
    }
    bool is_recent = has_news || box->read_era != era_;
    box->read_to = log_.size();
    box->read_era = era_;
    LeaseLog log{std::nullopt, log_.size(), era_};
    if (!log_.empty()) log.newest = log_.back().record;
    // Without news the answer proves what the store knew a moment ago.
    TimePoint as_of = is_recent ? now_ - milliseconds(20) : box->read_sent_at;
    box->lease->RecordRead(log, as_of, now_);
  }

  void StepAppend(Box* box) {
    if (box->append) {
      if (now_ < box->append_due) return;
      box->append.reset();
      box->lease->RecordAppend(box->append_error, now_);
      return;
    }
    nanoseconds delay = box->turns->DelayBefore("duties", kTurns, Draw());
    WallTime wall{std::chrono::duration_cast<WallTime::duration>(
        (now_ + box->clock_skew).time_since_epoch())};
    box->append = box->lease->NextAppend(delay, now_, wall);
    if (!box->append) return;
    ++result_.appends;
    SendAppend(box);
  }

  void SendAppend(Box* box) {
    box->append_due = now_ + DrawTime(5, 60);
    box->append_error = {};
    if (!StoreReachable(*box)) {
      box->append_due = now_ + milliseconds(900);
      box->append_error = Result::kUnreachable;
      return;
    }
    bool is_lost = Draw() < scenario_.answer_loss;
    if (!is_lost) {
      if (!Append(*box->append)) box->append_error = Result::kStaleRevision;
      return;
    }
    box->append_due = now_ + milliseconds(900);
    box->append_error = Result::kUnreachable;
    if (Draw() < 0.5) {
      Append(*box->append);
    } else {
      late_.push_back({now_ + DrawTime(100, 6000), *box->append});
    }
  }

  void Act(size_t index) {
    Box& box = boxes_[index];
    if (now_ < box.next_act) return;
    box.next_act = now_ + kActInterval;
    std::optional<uint64_t> token = box.lease->TokenAt(now_);
    if (!token) return;
    nanoseconds way = Draw() < 0.1 ? nanoseconds(DrawTime(20, 900))
                                   : nanoseconds(DrawTime(1, 20));
    calls_.push_back({now_ + way, index, *token});
  }

  void Deliver() {
    std::sort(calls_.begin(), calls_.end(), [](const Call& a, const Call& b) {
      return a.arrives < b.arrives;
    });
    size_t due = 0;
    while (due < calls_.size() && calls_[due].arrives <= now_) {
      Observe(calls_[due++]);
    }
    calls_.erase(calls_.begin(), calls_.begin() + due);
  }

  void Observe(const Call& call) {
    auto [owner, is_new] = owners_.emplace(call.token, call.box);
    if (!is_new && owner->second != call.box) Violate("one token of two boxes");
    if (call.token < highest_) Violate("a lower token after a higher one");
    highest_ = std::max(highest_, call.token);
    if (last_ && *last_ != call.box) {
      ++result_.holders;
      auto before = last_call_.find(call.box);
      bool alternates = before != last_call_.end() &&
                        call.arrives - before->second < scenario_.alternation;
      if (alternates) Violate("A, B, A");
    }
    last_ = call.box;
    last_call_[call.box] = call.arrives;
    if (call.arrives < calm_from_) return;
    TimePoint since = std::max(calm_from_, last_action_);
    result_.longest_gap =
        std::max(result_.longest_gap, nanoseconds(call.arrives - since));
    last_action_ = call.arrives;
    result_.acted_in_calm = true;
  }

  void Violate(const std::string& what) {
    auto at = std::chrono::duration_cast<milliseconds>(now_ - kStart);
    result_.violations.push_back(what + " at " + std::to_string(at.count()));
  }

  const DutyLeaseScenario scenario_;
  std::mt19937_64 random_;
  TimePoint now_ = kStart;
  TimePoint calm_from_{};
  std::vector<Box> boxes_;
  std::vector<Entry> log_;
  StoreEra era_ = 1;
  std::vector<Late> late_;
  std::vector<Call> calls_;
  TimePoint store_down_until_{};
  int lives_ = 0;
  std::map<uint64_t, size_t> owners_;  // of each token
  uint64_t highest_ = 0;
  std::optional<size_t> last_;
  std::map<size_t, TimePoint> last_call_;
  TimePoint last_action_{};
  DutyLeaseResult result_;
};

}  // namespace leverwick

#endif  // LEVERWICK_TESTING_DUTY_LEASE_SIMULATION_H_
