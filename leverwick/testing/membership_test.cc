#include "leverwick/membership.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include "leverwick/slots.h"
#include "leverwick/table_freshness.h"
#include "leverwick/testing/table_builder.h"

namespace leverwick {
namespace {

TimePoint At(double seconds) {
  return TimePoint() + FromSeconds(1e6 + seconds);
}

Roster MakeRoster(uint64_t epoch,
                  const std::vector<std::string>& incarnations) {
  Roster roster;
  roster.set_data_centre("dc1");
  roster.set_epoch(epoch);
  for (const std::string& incarnation : incarnations) {
    Member* member = roster.add_members();
    member->set_life(incarnation);
    member->set_address(incarnation + ":1");
  }
  return roster;
}

MembershipOptions MakeOptions(const std::string& incarnation) {
  MembershipOptions options;
  options.self.set_life(incarnation);
  options.self.set_address(incarnation + ":1");
  options.data_centre = "dc1";
  options.failure_timeout = std::chrono::seconds(3);
  return options;
}

std::vector<std::string> IncarnationsOf(
    const std::optional<RosterChange>& change) {
  std::vector<std::string> incarnations;
  if (!change.has_value()) return incarnations;
  for (const Member& member : change->members()) {
    incarnations.push_back(member.life());
  }
  return incarnations;
}

TEST_CASE("a box proposes to add itself and to remove a silent member") {
  Membership membership(MakeOptions("a"));
  membership.Tick(Roster(), At(0));
  CHECK(IncarnationsOf(membership.ProposeChange(false, At(0))) ==
        std::vector<std::string>{"a"});
  membership.Tick(MakeRoster(1, {"a", "b"}), At(0.1));
  CHECK(!membership.ProposeChange(false, At(0.1)).has_value());
  Member b = MakeRoster(1, {"b"}).members(0);
  for (int i = 1; i < 40; ++i) {
    membership.Tick(MakeRoster(1, {"a", "b"}), At(0.1 + i * 0.1));
    if (i < 10) membership.RecordHeartbeat(b, 1, false, At(0.1 + i * 0.1));
  }
  CHECK(!membership.ProposeChange(false, At(4.0)).has_value());
  CHECK(IncarnationsOf(membership.ProposeChange(false, At(4.1))) ==
        std::vector<std::string>{"a"});
}

TEST_CASE("a box that was paused does not propose to remove the others") {
  Membership membership(MakeOptions("a"));
  membership.Tick(MakeRoster(1, {"a", "b"}), At(0));
  membership.Tick(MakeRoster(1, {"a", "b"}), At(60));
  CHECK(!membership.ProposeChange(false, At(60)).has_value());
}

TEST_CASE("a stopping box proposes its own removal") {
  Membership membership(MakeOptions("a"));
  membership.Tick(MakeRoster(1, {"a", "b"}), At(0));
  CHECK(IncarnationsOf(membership.ProposeChange(true, At(0))) ==
        std::vector<std::string>{"b"});
}

TEST_CASE(
    "a removed box waits for failure_timeout before it proposes itself again") {
  Membership membership(MakeOptions("a"));
  membership.Tick(MakeRoster(1, {"a", "b"}), At(0));
  membership.Tick(MakeRoster(2, {"b"}), At(0.1));
  CHECK(!membership.ProposeChange(false, At(0.2)).has_value());
  membership.Tick(MakeRoster(2, {"b"}), At(1.5));
  membership.RecordHeartbeat(MakeRoster(2, {"b"}).members(0), 2, false,
                             At(3.0));
  CHECK(IncarnationsOf(membership.ProposeChange(false, At(3.2))).size() == 2);
}

TEST_CASE("an incarnation is gone only if a current list lacks it") {
  Membership membership(MakeOptions("a"));
  membership.RecordListedBoxes({"a", "b"}, At(0));
  CHECK(!membership.IsGone("b", At(1)));
  CHECK(!membership.IsGone("b", At(10)));  // the list is stale
  membership.RecordListedBoxes({"a"}, At(10));
  CHECK(membership.IsGone("b", At(10)));
  CHECK(!membership.IsGone("a", At(10)));
}

TEST_CASE("the roster is applied once every member has reported its offset") {
  Membership membership(MakeOptions("a"));
  membership.Tick(MakeRoster(7, {"a", "b", "c"}), At(0));
  membership.RecordHeartbeat(MakeRoster(7, {"b"}).members(0), 9, false, At(0));
  CHECK(!membership.HaveAllMembersApplied());
  membership.RecordAppliedOffset(IncarnationHash("c"), 6);
  CHECK(!membership.HaveAllMembersApplied());
  membership.RecordAppliedOffset(IncarnationHash("c"), 7);
  CHECK(membership.HaveAllMembersApplied());
}

TEST_CASE("heartbeats go to a few members, and every member is monitored") {
  std::vector<std::string> incarnations;
  for (int i = 0; i < 26; ++i)
    incarnations.push_back("box" + std::to_string(i));
  std::map<std::string, int> watchers;
  for (const std::string& incarnation : incarnations) {
    Membership membership(MakeOptions(incarnation));
    membership.Tick(MakeRoster(1, incarnations), At(0));
    std::vector<Member> targets = membership.HeartbeatTargets();
    CHECK(targets.size() == 4);
    for (const Member& target : targets) ++watchers[target.life()];
  }
  for (const std::string& incarnation : incarnations)
    CHECK(watchers[incarnation] == 4);
}

TEST_CASE("a box that joins moves few slots") {
  Roster before = MakeRoster(1, {"a", "b", "c", "d", "e", "f"});
  Roster after = MakeRoster(2, {"a", "b", "c", "d", "e", "f", "g"});
  int moved = 0;
  constexpr uint32_t kSlots = 700;
  for (uint32_t slot = 0; slot < kSlots; ++slot) {
    Member owner = RankMembers(after, slot).front();
    if (owner.life() == RankMembers(before, slot).front().life()) continue;
    CHECK(owner.life() == "g");
    ++moved;
  }
  CHECK(moved > 60);
  CHECK(moved < 140);
}

TEST_CASE("consecutive equal placements are merged") {
  std::vector<Roster> rosters = {
      MakeRoster(1, {"a"}), MakeRoster(5, {"a", "b"}),
      MakeRoster(9, {"a", "b"}), MakeRoster(12, {"b"})};
  std::vector<Placement> placements = ComputePlacements(rosters, 3);
  REQUIRE(placements.size() == 3);
  CHECK(placements[0].epoch == 12);
  CHECK(placements[1].epoch == 5);
  CHECK(placements[2].epoch == 1);
}

TEST_CASE("freshness distinguishes paused, cut off and behind") {
  TableFreshness freshness({std::chrono::seconds(4), std::chrono::seconds(6)});
  CHECK(freshness.StateAt(At(0)) == TableFreshness::kStalled);
  freshness.RecordRead(true, 10, At(0));
  CHECK(freshness.StateAt(At(1)) == TableFreshness::kFresh);
  CHECK(freshness.StateAt(At(5)) == TableFreshness::kStalled);
  freshness.RecordRead(false, 10, At(5));
  CHECK(freshness.StateAt(At(5)) == TableFreshness::kFresh);
  freshness.RecordRead(false, 10, At(7));
  CHECK(freshness.StateAt(At(7)) == TableFreshness::kCutOff);
  freshness.RecordRead(true, 10, At(8));
  CHECK(freshness.StateAt(At(8)) == TableFreshness::kFresh);
  freshness.RecordPeerOffset(12, At(8));
  CHECK(freshness.StateAt(At(9)) == TableFreshness::kFresh);
  freshness.RecordRead(true, 11, At(13));
  freshness.RecordPeerOffset(13, At(13));
  CHECK(freshness.StateAt(At(13)) == TableFreshness::kBehind);
  freshness.RecordRead(true, 13, At(13.5));
  CHECK(freshness.StateAt(At(13.5)) == TableFreshness::kFresh);
}

std::vector<std::string> TargetsOf(const std::string& incarnation,
                                   const Roster& roster) {
  Membership membership(MakeOptions(incarnation));
  membership.Tick(roster, At(0));
  std::vector<std::string> incarnations;
  for (const Member& member : membership.HeartbeatTargets()) {
    incarnations.push_back(member.life());
  }
  return incarnations;
}

TEST_CASE("a box outside the roster has the heartbeat targets of a member") {
  Roster with = MakeRoster(2, {"a", "b", "c", "d", "e", "f"});
  Roster without = MakeRoster(1, {"a", "b", "d", "e", "f"});
  CHECK(!TargetsOf("c", without).empty());
  CHECK(TargetsOf("c", without) == TargetsOf("c", with));
  CHECK(TargetsOf("c", Roster()).empty());
}

Member MakeMember(const std::string& incarnation) {
  return MakeRoster(1, {incarnation}).members(0);
}

TEST_CASE(
    "a member adds new boxes that send heartbeats, but none that is leaving") {
  Membership membership(MakeOptions("a"));
  Roster roster = MakeRoster(1, {"a"});
  membership.Tick(roster, At(0));
  membership.RecordHeartbeat(MakeMember("b"), 1, false, At(0.1));
  membership.RecordHeartbeat(MakeMember("c"), 1, false, At(0.1));
  membership.RecordHeartbeat(MakeMember("d"), 1, true, At(0.1));
  CHECK(IncarnationsOf(membership.ProposeChange(false, At(0.2))) ==
        std::vector<std::string>{"a", "b", "c"});
  // A stopping box adds no box, and a box that has fallen silent is not added.
  CHECK(IncarnationsOf(membership.ProposeChange(true, At(0.2))).empty());
  membership.Tick(roster, At(1));
  membership.RecordHeartbeat(MakeMember("c"), 1, false, At(1.9));
  membership.Tick(roster, At(2));
  CHECK(IncarnationsOf(membership.ProposeChange(false, At(2))) ==
        std::vector<std::string>{"a", "c"});
}

TEST_CASE("an older incarnation at the address of a member is not added") {
  Membership membership(MakeOptions("a"));
  Member old = MakeMember("b");
  old.set_life("b-old");
  membership.Tick(MakeRoster(1, {"a", "b"}), At(0));
  membership.RecordHeartbeat(old, 1, false, At(0.1));
  CHECK(!membership.ProposeChange(false, At(0.2)).has_value());
}

TEST_CASE("a removed box is not added again before failure_timeout") {
  Membership membership(MakeOptions("a"));
  membership.Tick(MakeRoster(1, {"a", "b"}), At(0));
  membership.Tick(MakeRoster(2, {"a"}), At(0.1));
  membership.RecordHeartbeat(MakeMember("b"), 2, false, At(0.2));
  CHECK(!membership.ProposeChange(false, At(0.3)).has_value());
  for (int i = 1; i <= 4; ++i) {
    membership.Tick(MakeRoster(2, {"a"}), At(0.1 + i));
    membership.RecordHeartbeat(MakeMember("b"), 2, false, At(0.1 + i));
  }
  CHECK(IncarnationsOf(membership.ProposeChange(false, At(4.2))).size() == 2);
}

TEST_CASE("a paused box adds no box whose heartbeats came before the pause") {
  Membership membership(MakeOptions("a"));
  membership.Tick(MakeRoster(1, {"a"}), At(0));
  membership.RecordHeartbeat(MakeMember("b"), 1, false, At(0.1));
  membership.Tick(MakeRoster(1, {"a"}), At(60));
  CHECK(!membership.ProposeChange(false, At(60)).has_value());
}

TEST_CASE("a member that has just become monitored is not silent yet") {
  std::vector<std::string> all;
  for (int i = 0; i < 9; ++i) all.push_back("box" + std::to_string(i));
  // Finds a member that sends heartbeats to box0 in the small roster but not in
  // the large one.
  std::vector<std::string> few(all.begin(), all.begin() + 6);
  auto sends = [](const std::string& incarnation, const Roster& roster) {
    std::vector<std::string> targets = TargetsOf(incarnation, roster);
    return std::count(targets.begin(), targets.end(), "box0") > 0;
  };
  std::string changing;
  for (const std::string& incarnation : few) {
    bool stops = sends(incarnation, MakeRoster(1, few)) &&
                 !sends(incarnation, MakeRoster(1, all));
    if (stops) changing = incarnation;
  }
  REQUIRE(!changing.empty());
  Membership membership(MakeOptions("box0"));
  auto send_heartbeats = [&](uint64_t epoch,
                             const std::vector<std::string>& incarnations,
                             double from, double until) {
    Roster roster = MakeRoster(epoch, incarnations);
    for (double at = from; at < until; at += 0.5) {
      membership.Tick(roster, At(at));
      for (const std::string& incarnation : incarnations) {
        if (!sends(incarnation, roster)) continue;
        membership.RecordHeartbeat(MakeMember(incarnation), epoch, false,
                                   At(at));
      }
    }
  };
  send_heartbeats(1, few, 0, 2);
  send_heartbeats(2, all, 2, 10);
  membership.Tick(MakeRoster(3, few), At(10));
  CHECK(!membership.ProposeChange(false, At(10.1)).has_value());
}

TEST_CASE("boxes that start together need few roster records") {
  constexpr int kBoxes = 64;
  std::vector<std::unique_ptr<Membership>> boxes;
  for (int i = 0; i < kBoxes; ++i) {
    std::string incarnation = "box" + std::to_string(i);
    boxes.push_back(std::make_unique<Membership>(MakeOptions(incarnation)));
  }
  Roster roster;
  roster.set_data_centre("dc1");
  int records = 0;
  // Each box sends heartbeats once per second, at a phase of its own. Appends
  // take effect at once.
  for (int beat = 0; beat < 10 && roster.members_size() < kBoxes; ++beat) {
    for (int i = 0; i < kBoxes; ++i) {
      TimePoint now = At(beat + static_cast<double>(i) / kBoxes);
      auto index = static_cast<size_t>(i);
      boxes[index]->Tick(roster, now);
      for (const Member& target : boxes[index]->HeartbeatTargets()) {
        size_t to = std::stoul(target.life().substr(3));
        boxes[to]->Tick(roster, now);
        boxes[to]->RecordHeartbeat(MakeMember("box" + std::to_string(i)), 1,
                                   false, now);
      }
      // A box proposes from its second heartbeat on, when others have received
      // its first one.
      if (beat == 0 && i > 0) continue;
      std::optional<RosterChange> change =
          boxes[index]->ProposeChange(false, now);
      if (!change.has_value()) continue;
      ++records;
      roster.set_epoch(roster.epoch() + 1);
      *roster.mutable_members() = change->members();
    }
  }
  CHECK(roster.members_size() == kBoxes);
  CHECK(records <= 3);
}

}  // namespace
}  // namespace leverwick
