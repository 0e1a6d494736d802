#include "leverwick/service_rollouts.h"

#include <doctest/doctest.h>

#include <memory>
#include <random>
#include <vector>

#include "leverwick/guard.h"

namespace leverwick {
namespace {

using Side = ServiceRollouts::Side;
using std::chrono::seconds;

const TimePoint kStart = TimePoint() + std::chrono::hours(1);

RolloutRecord At(RolloutStep step) { return {"chat", "v2", step}; }

std::string SessionName(int i) { return "session-" + std::to_string(i); }

// The first step is recorded, what was told is known and `settling` is over.
void Settle(ServiceRollouts* rollouts, TimePoint recorded_at) {
  rollouts->Learned(At(RolloutStep::kCanary), recorded_at);
  rollouts->Heard(recorded_at);
}

TimePoint SettledAt(TimePoint recorded_at) {
  return recorded_at + RolloutOptions().settling;
}

TEST_CASE("boxes agree on the side of every session without talking") {
  ServiceRollouts a({});
  ServiceRollouts b({});
  a.Ordered("chat", "v2", seconds(20), kStart);
  b.Ordered("chat", "v2", seconds(20), kStart + seconds(1));
  Settle(&a, kStart + seconds(1));
  Settle(&b, kStart + seconds(1));
  TimePoint now = SettledAt(kStart + seconds(1));
  int on_target = 0;
  for (int i = 0; i < 10000; ++i) {
    Side side = a.SideFor("chat", SessionName(i), now);
    CHECK(side == b.SideFor("chat", SessionName(i), now));
    on_target += side == Side::kTarget;
  }
  CHECK(on_target > 500);
  CHECK(on_target < 900);
}

int OnTarget(const ServiceRollouts& rollouts, TimePoint now) {
  int on_target = 0;
  for (int i = 0; i < 1000; ++i) {
    on_target += rollouts.SideFor("chat", SessionName(i), now) == Side::kTarget;
  }
  return on_target;
}

TEST_CASE("the target is not used before its step is known and has settled") {
  ServiceRollouts rollouts({});
  CHECK(rollouts.SideFor("chat", "s", kStart) == Side::kAny);
  rollouts.Ordered("chat", "v2", seconds(20), kStart);
  CHECK(OnTarget(rollouts, kStart + seconds(9)) == 0);
  TimePoint recorded = kStart + seconds(1);
  rollouts.Learned(At(RolloutStep::kCanary), recorded);
  // What the others have told since is not known: this box may be cut off.
  rollouts.Heard(recorded - milliseconds(1));
  CHECK(OnTarget(rollouts, kStart + seconds(9)) == 0);
  rollouts.Heard(recorded);
  CHECK(OnTarget(rollouts, SettledAt(recorded) - milliseconds(1)) == 0);
  CHECK(OnTarget(rollouts, SettledAt(recorded)) > 30);
}

TEST_CASE("a session that another box has just served stays where it is") {
  ServiceRollouts served({});
  ServiceRollouts other({});
  for (int i = 0; i < 1000; ++i) {
    served.Began("chat", SessionName(i), kStart);
    served.Ended("chat", SessionName(i), kStart);
  }
  TimePoint ordered = kStart + seconds(2);
  served.Ordered("chat", "v2", seconds(20), ordered);
  other.Ordered("chat", "v2", seconds(20), ordered);
  CHECK(served.TakeUntold("chat").empty());
  Settle(&served, ordered);
  Settle(&other, ordered);
  auto recent = served.TakeUntold("chat");
  CHECK(recent.size() > 30);
  CHECK(recent.size() < 120);
  CHECK(served.TakeUntold("chat").empty());
  other.Pin("chat", "v2", recent);
  TimePoint settled = SettledAt(ordered);
  CHECK(OnTarget(served, settled) == 0);
  CHECK(OnTarget(other, settled) == 0);
  // In the second half it may move.
  TimePoint half = ordered + seconds(11);
  other.Learned(At(RolloutStep::kWider), half);
  CHECK(OnTarget(other, half) == static_cast<int>(recent.size()));
}

TEST_CASE("sessions are told while they are served and for a pause after") {
  ServiceRollouts rollouts({});
  for (int i = 0; i < 1000; ++i) {
    rollouts.Began("chat", SessionName(i), kStart);
    bool open = i >= 500;
    if (!open) rollouts.Ended("chat", SessionName(i), kStart);
  }
  TimePoint ordered = kStart + seconds(6);
  rollouts.Expire(ordered);
  rollouts.Ordered("chat", "v2", seconds(20), ordered);
  rollouts.Learned(At(RolloutStep::kCanary), ordered);
  // Only the open ones: the others have paused for too long.
  auto told = rollouts.TakeUntold("chat");
  CHECK(told.size() > 15);
  CHECK(told.size() < 60);
}

TEST_CASE("a session that is sent to the old version later is told as well") {
  ServiceRollouts rollouts({});
  rollouts.Ordered("chat", "v2", seconds(20), kStart);
  Settle(&rollouts, kStart);
  TimePoint settled = SettledAt(kStart);
  int in_share = OnTarget(rollouts, settled);
  // The target's endpoints are beyond reach, say.
  for (int i = 0; i < 1000; ++i) rollouts.Sent("chat", SessionName(i), "v1");
  auto told = rollouts.TakeUntold("chat");
  CHECK(static_cast<int>(told.size()) == in_share);
  CHECK(OnTarget(rollouts, settled) == 0);
  rollouts.Retell("chat", "v2", told);
  CHECK(rollouts.TakeUntold("chat").size() == told.size());
  rollouts.Retell("chat", "v3", told);
  CHECK(rollouts.TakeUntold("chat").empty());
}

TEST_CASE("steps are proposed one after the other, in the order's time") {
  ServiceRollouts rollouts({});
  rollouts.Ordered("chat", "v2", seconds(100), kStart);
  auto next = [&](double at) {
    auto proposals = rollouts.Proposals(kStart + FromSeconds(at));
    return proposals.empty() ? -1 : static_cast<int>(proposals[0].step);
  };
  auto learn = [&](RolloutStep step, double at) {
    rollouts.Learned(At(step), kStart + FromSeconds(at));
  };
  CHECK(next(0) == static_cast<int>(RolloutStep::kCanary));
  learn(RolloutStep::kCanary, 0);
  CHECK(next(50) == -1);
  CHECK(next(54) == static_cast<int>(RolloutStep::kWider));
  learn(RolloutStep::kWider, 54);
  CHECK(next(91) == -1);
  CHECK(next(92) == static_cast<int>(RolloutStep::kAll));
  learn(RolloutStep::kAll, 92);
  CHECK(next(95) == -1);
  CHECK(next(97) == static_cast<int>(RolloutStep::kCompleted));
  learn(RolloutStep::kCompleted, 97);
  CHECK(next(200) == -1);
  CHECK_FALSE(rollouts.AnyActive());
  CHECK(rollouts.SideFor("chat", "s", kStart) == Side::kTarget);
}

TEST_CASE("late steps don't come at once") {
  // The store was away past the times of two steps.
  ServiceRollouts rollouts({});
  rollouts.Ordered("chat", "v2", seconds(100), kStart);
  rollouts.Learned(At(RolloutStep::kWider), kStart + seconds(60));
  TimePoint back = kStart + seconds(120);
  rollouts.Learned(At(RolloutStep::kAll), back);
  CHECK(rollouts.Proposals(back + seconds(4)).empty());
  CHECK_FALSE(rollouts.Proposals(back + seconds(5)).empty());
}

TEST_CASE("a step never goes back, and a trip is never undone") {
  ServiceRollouts rollouts({});
  rollouts.Ordered("chat", "v2", seconds(100), kStart);
  rollouts.Learned(At(RolloutStep::kAll), kStart);
  rollouts.Learned(At(RolloutStep::kCanary), kStart);
  CHECK(rollouts.SideFor("chat", "s", kStart) == Side::kTarget);
  rollouts.Trip("chat", "more errors");
  CHECK(rollouts.SideFor("chat", "s", kStart) == Side::kBaseline);
  CHECK_FALSE(rollouts.MayUseTarget("chat"));
  REQUIRE(rollouts.Proposals(kStart).size() == 1);
  CHECK(rollouts.Proposals(kStart)[0].step == RolloutStep::kRolledBack);
  rollouts.Learned(At(RolloutStep::kCompleted), kStart);
  CHECK_FALSE(rollouts.MayUseTarget("chat"));
  // Only another order starts anew.
  rollouts.Ordered("chat", "v3", seconds(100), kStart);
  CHECK(rollouts.MayUseTarget("chat"));
}

TEST_CASE("with few answers to compare with, a bad version still trips") {
  GuardLimits limits{0.3, 1.0, 0, 10, 0.1};
  VersionStats few;
  few.answers = 5;
  Guard guard("box", 9);
  int answers = 0;
  while (!guard.Tripped("s", nullptr) && answers < 100) {
    Observation observation;
    observation.error = answers++ % 2 == 0;
    guard.Answered("s", limits, few, observation);
  }
  CHECK(answers < 40);
}

TEST_CASE("one failure in seven, as before, does not trip") {
  GuardLimits limits{0.3, 1.0, 0, 10, 0.1};
  VersionStats before;
  before.answers = 200;
  before.errors = 28;
  Guard guard("box", 9);
  for (int i = 0; i < 2000; ++i) {
    Observation observation;
    observation.error = i % 7 == 0;
    guard.Answered("s", limits, before, observation);
  }
  CHECK_FALSE(guard.Tripped("s", nullptr));
  CHECK(guard.Suspicion("s") < 0.5);
}

// Ninety boxes that tell each other only what speaks against the version. Each
// times an answer of it in turn, of which `slow` are slow. How many answers in
// all until a box trips it; `most` if none does.
int AnswersUntilTripped(double slow, int most, uint32_t seed) {
  constexpr size_t kBoxes = 90;
  std::mt19937 random(seed);
  std::bernoulli_distribution is_slow(slow);
  std::vector<std::unique_ptr<Guard>> guards;
  for (size_t i = 0; i < kBoxes; ++i) {
    guards.push_back(std::make_unique<Guard>("box" + std::to_string(i), 9));
  }
  std::vector<double> told(kBoxes, 0);
  for (int i = 0; i < most; ++i) {
    size_t at = std::uniform_int_distribution<size_t>(0, kBoxes - 1)(random);
    for (auto& guard : guards) guard->Presume("s", kBoxes, i / double{kBoxes});
    guards[at]->Timed("s", is_slow(random));
    GuardSum sum = guards[at]->own().at(0);
    bool against = sum.latency() > told[at] + 1.2;
    told[at] = against ? sum.latency() : std::min(told[at], sum.latency());
    for (auto& guard : guards) {
      if (against) guard->Merge(sum);
      if (guard->Tripped("s", nullptr)) return i;
    }
  }
  return most;
}

TEST_CASE("a few slow answers of a sound version don't stop it in a fleet") {
  int stopped = 0;
  for (uint32_t seed = 1; seed <= 20; ++seed) {
    CAPTURE(seed);
    stopped += AnswersUntilTripped(0.03, 300, seed) < 300;
    // All slow, or those of one kind of request in eight.
    CHECK(AnswersUntilTripped(0.9, 600, seed) < 15);
    CHECK(AnswersUntilTripped(0.12, 600, seed) < 600);
  }
  // Seed 3 has five slow ones among its first twenty answers.
  CHECK(stopped <= 1);
}

TEST_CASE("slow answers add up over boxes") {
  Guard a("a", 9);
  Guard b("b", 9);
  for (int i = 0; i < 2; ++i) a.Timed("s", true);
  for (int i = 0; i < 2; ++i) b.Timed("s", true);
  CHECK_FALSE(b.Tripped("s", nullptr));
  CHECK(b.Suspicion("s") > 0.5);
  b.Merge(a.own().at(0));
  CHECK(b.Tripped("s", nullptr));
  CHECK(b.Suspicion("s") == 1);
}

// All boxes started again in the middle of a roll-out, and a bad version was
// used for longer than the users allow: a box told its evidence under its name
// with the number of answers that it rested on, others kept the sum with more
// of them, and so dropped what the box found after its start.
TEST_CASE("what a box finds after it has started again counts") {
  const GuardLimits kErrorsOnly{0.3, 1.0, 0, 10, 0.1};
  VersionStats baseline;
  baseline.answers = 100;
  auto answer = [&](Guard* guard, bool slow) {
    guard->Answered("s", kErrorsOnly, baseline, {});
    guard->Timed("s", slow);
  };
  Guard before("a", 9);
  for (int i = 0; i < 30; ++i) answer(&before, false);
  Guard other("b", 9);
  other.Merge(before.own().at(0));
  Guard after("a", 9);
  for (int i = 0; i < 3; ++i) answer(&after, true);
  CHECK_FALSE(after.Tripped("s", nullptr));
  other.Merge(after.own().at(0));
  answer(&other, true);
  CHECK(other.Tripped("s", nullptr));
}

TEST_CASE("evidence that is read at once counts as a whole") {
  Guard against("a", 9);
  for (int i = 0; i < 4; ++i) against.Timed("s", true);
  Guard for_it("b", 9);
  for (int i = 0; i < 20; ++i) for_it.Timed("s", false);
  Guard reader("c", 9);
  reader.Merge({against.own().at(0), for_it.own().at(0)});
  CHECK_FALSE(reader.Tripped("s", nullptr));
}

// Of a service's requests, what a target has had by the end of its time that
// shows nothing until it is completed.
double Exposed(const RolloutOptions& options) {
  return options.target_share * options.all_from + (1 - options.all_from);
}

TEST_CASE("a target that shows nothing stays within the bound on exposure") {
  for (double bound : {0.01, 0.02, 0.05, 0.0975, 0.15, 0.3, 1.0}) {
    RolloutOptions options = RolloutOptions::ForExposure(bound);
    CHECK(Exposed(options) <= bound);
    // And the steps keep their order, with time for each.
    CHECK(options.target_share > 0);
    CHECK(options.wider_from < options.all_from);
    CHECK(options.all_from + options.all_lasts <=
          doctest::Approx(options.completed_from));
    CHECK(options.completed_from < 1);
  }
  // What was tuned for 0.15 is what it yields, and no more for a wider bound.
  CHECK(RolloutOptions::ForExposure(0.15).all_from == doctest::Approx(0.92));
  CHECK(RolloutOptions::ForExposure(0.15).target_share ==
        doctest::Approx(0.07).epsilon(0.01));
  CHECK(RolloutOptions::ForExposure(1).target_share == 0.07);
}

}  // namespace
}  // namespace leverwick
