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

Roster MakeRoster(uint64_t epoch, const std::vector<std::string>& lives) {
  Roster roster;
  roster.set_data_centre("dc1");
  roster.set_epoch(epoch);
  for (const std::string& life : lives) {
    Member* member = roster.add_members();
    member->set_life(life);
    member->set_address(life + ":1");
  }
  return roster;
}

MembershipOptions OptionsOf(const std::string& life) {
  MembershipOptions options;
  options.self.set_life(life);
  options.self.set_address(life + ":1");
  options.data_centre = "dc1";
  options.dead_after = std::chrono::seconds(3);
  return options;
}

std::vector<std::string> LivesOf(const std::optional<RosterChange>& change) {
  std::vector<std::string> lives;
  if (!change.has_value()) return lives;
  for (const Member& member : change->members()) {
    lives.push_back(member.life());
  }
  return lives;
}

TEST_CASE("a box proposes itself, and takes a silent one out") {
  Membership membership(OptionsOf("a"));
  membership.Tick(Roster(), At(0));
  CHECK(LivesOf(membership.Propose(false, At(0))) ==
        std::vector<std::string>{"a"});
  membership.Tick(MakeRoster(1, {"a", "b"}), At(0.1));
  CHECK(!membership.Propose(false, At(0.1)).has_value());
  Member b = MakeRoster(1, {"b"}).members(0);
  for (int i = 1; i < 40; ++i) {
    membership.Tick(MakeRoster(1, {"a", "b"}), At(0.1 + i * 0.1));
    if (i < 10) membership.Heard(b, 1, false, At(0.1 + i * 0.1));
  }
  CHECK(!membership.Propose(false, At(4.0)).has_value());
  CHECK(LivesOf(membership.Propose(false, At(4.1))) ==
        std::vector<std::string>{"a"});
}

TEST_CASE("a box that was paused does not take the others for dead") {
  Membership membership(OptionsOf("a"));
  membership.Tick(MakeRoster(1, {"a", "b"}), At(0));
  membership.Tick(MakeRoster(1, {"a", "b"}), At(60));
  CHECK(!membership.Propose(false, At(60)).has_value());
}

TEST_CASE("a stopping box proposes to go") {
  Membership membership(OptionsOf("a"));
  membership.Tick(MakeRoster(1, {"a", "b"}), At(0));
  CHECK(LivesOf(membership.Propose(true, At(0))) ==
        std::vector<std::string>{"b"});
}

TEST_CASE("a box that was taken out waits before it comes back") {
  Membership membership(OptionsOf("a"));
  membership.Tick(MakeRoster(1, {"a", "b"}), At(0));
  membership.Tick(MakeRoster(2, {"b"}), At(0.1));
  CHECK(!membership.Propose(false, At(0.2)).has_value());
  membership.Tick(MakeRoster(2, {"b"}), At(1.5));
  membership.Heard(MakeRoster(2, {"b"}).members(0), 2, false, At(3.0));
  CHECK(LivesOf(membership.Propose(false, At(3.2))).size() == 2);
}

TEST_CASE("a life is gone only when the list, read since, lacks it") {
  Membership membership(OptionsOf("a"));
  membership.Listed({"a", "b"}, At(0));
  CHECK(!membership.IsGone("b", At(1)));
  CHECK(!membership.IsGone("b", At(10)));  // the list is not read any more
  membership.Listed({"a"}, At(10));
  CHECK(membership.IsGone("b", At(10)));
  CHECK(!membership.IsGone("a", At(10)));
}

TEST_CASE("the roster is settled once every member has applied it") {
  Membership membership(OptionsOf("a"));
  membership.Tick(MakeRoster(7, {"a", "b", "c"}), At(0));
  membership.Heard(MakeRoster(7, {"b"}).members(0), 9, false, At(0));
  CHECK(!membership.Settled());
  membership.HeardOf(LifeHash("c"), 6);
  CHECK(!membership.Settled());
  membership.HeardOf(LifeHash("c"), 7);
  CHECK(membership.Settled());
}

TEST_CASE("heartbeats go to a few members, and everyone is watched") {
  std::vector<std::string> lives;
  for (int i = 0; i < 26; ++i) lives.push_back("box" + std::to_string(i));
  std::map<std::string, int> watchers;
  for (const std::string& life : lives) {
    Membership membership(OptionsOf(life));
    membership.Tick(MakeRoster(1, lives), At(0));
    std::vector<Member> targets = membership.Targets();
    CHECK(targets.size() == 4);
    for (const Member& target : targets) ++watchers[target.life()];
  }
  for (const std::string& life : lives) CHECK(watchers[life] == 4);
}

TEST_CASE("few slots move when a box joins") {
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

TEST_CASE("equal placements in a row are one") {
  std::vector<Roster> rosters = {
      MakeRoster(1, {"a"}), MakeRoster(5, {"a", "b"}),
      MakeRoster(9, {"a", "b"}), MakeRoster(12, {"b"})};
  std::vector<Placement> placements = PlacementsOf(rosters, 3);
  REQUIRE(placements.size() == 3);
  CHECK(placements[0].epoch == 12);
  CHECK(placements[1].epoch == 5);
  CHECK(placements[2].epoch == 1);
}

TEST_CASE("freshness tells paused from cut off from behind") {
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

std::vector<std::string> TargetsOf(const std::string& life,
                                   const Roster& roster) {
  Membership membership(OptionsOf(life));
  membership.Tick(roster, At(0));
  std::vector<std::string> lives;
  for (const Member& member : membership.Targets()) {
    lives.push_back(member.life());
  }
  return lives;
}

TEST_CASE("a box outside the roster has the targets it would have in it") {
  Roster with = MakeRoster(2, {"a", "b", "c", "d", "e", "f"});
  Roster without = MakeRoster(1, {"a", "b", "d", "e", "f"});
  CHECK(!TargetsOf("c", without).empty());
  CHECK(TargetsOf("c", without) == TargetsOf("c", with));
  CHECK(TargetsOf("c", Roster()).empty());
}

Member MemberOf(const std::string& life) {
  return MakeRoster(1, {life}).members(0);
}

TEST_CASE("a member adds the newcomers it hears from, but none that leaves") {
  Membership membership(OptionsOf("a"));
  Roster roster = MakeRoster(1, {"a"});
  membership.Tick(roster, At(0));
  membership.Heard(MemberOf("b"), 1, false, At(0.1));
  membership.Heard(MemberOf("c"), 1, false, At(0.1));
  membership.Heard(MemberOf("d"), 1, true, At(0.1));
  CHECK(LivesOf(membership.Propose(false, At(0.2))) ==
        std::vector<std::string>{"a", "b", "c"});
  // Not a stopping box, and not those that fell silent meanwhile.
  CHECK(LivesOf(membership.Propose(true, At(0.2))).empty());
  membership.Tick(roster, At(1));
  membership.Heard(MemberOf("c"), 1, false, At(1.9));
  membership.Tick(roster, At(2));
  CHECK(LivesOf(membership.Propose(false, At(2))) ==
        std::vector<std::string>{"a", "c"});
}

TEST_CASE("a life that was at a member's address before is not added") {
  Membership membership(OptionsOf("a"));
  Member old = MemberOf("b");
  old.set_life("b-old");
  membership.Tick(MakeRoster(1, {"a", "b"}), At(0));
  membership.Heard(old, 1, false, At(0.1));
  CHECK(!membership.Propose(false, At(0.2)).has_value());
}

TEST_CASE("a box that was taken out is not added again at once") {
  Membership membership(OptionsOf("a"));
  membership.Tick(MakeRoster(1, {"a", "b"}), At(0));
  membership.Tick(MakeRoster(2, {"a"}), At(0.1));
  membership.Heard(MemberOf("b"), 2, false, At(0.2));
  CHECK(!membership.Propose(false, At(0.3)).has_value());
  for (int i = 1; i <= 4; ++i) {
    membership.Tick(MakeRoster(2, {"a"}), At(0.1 + i));
    membership.Heard(MemberOf("b"), 2, false, At(0.1 + i));
  }
  CHECK(LivesOf(membership.Propose(false, At(4.2))).size() == 2);
}

TEST_CASE("a box that was paused adds nobody it heard of before") {
  Membership membership(OptionsOf("a"));
  membership.Tick(MakeRoster(1, {"a"}), At(0));
  membership.Heard(MemberOf("b"), 1, false, At(0.1));
  membership.Tick(MakeRoster(1, {"a"}), At(60));
  CHECK(!membership.Propose(false, At(60)).has_value());
}

TEST_CASE("a member that sends to this box only now is not silent yet") {
  std::vector<std::string> all;
  for (int i = 0; i < 9; ++i) all.push_back("box" + std::to_string(i));
  // Among the six first, somebody sends to box0 who no longer does among all.
  std::vector<std::string> few(all.begin(), all.begin() + 6);
  auto sends = [](const std::string& life, const Roster& roster) {
    std::vector<std::string> targets = TargetsOf(life, roster);
    return std::count(targets.begin(), targets.end(), "box0") > 0;
  };
  std::string changing;
  for (const std::string& life : few) {
    bool stops =
        sends(life, MakeRoster(1, few)) && !sends(life, MakeRoster(1, all));
    if (stops) changing = life;
  }
  REQUIRE(!changing.empty());
  Membership membership(OptionsOf("box0"));
  auto beat = [&](uint64_t epoch, const std::vector<std::string>& lives,
                  double from, double until) {
    Roster roster = MakeRoster(epoch, lives);
    for (double at = from; at < until; at += 0.5) {
      membership.Tick(roster, At(at));
      for (const std::string& life : lives) {
        if (!sends(life, roster)) continue;
        membership.Heard(MemberOf(life), epoch, false, At(at));
      }
    }
  };
  beat(1, few, 0, 2);
  beat(2, all, 2, 10);
  membership.Tick(MakeRoster(3, few), At(10));
  CHECK(!membership.Propose(false, At(10.1)).has_value());
}

TEST_CASE("boxes that start together need few records") {
  constexpr int kBoxes = 64;
  std::vector<std::unique_ptr<Membership>> boxes;
  for (int i = 0; i < kBoxes; ++i) {
    std::string life = "box" + std::to_string(i);
    boxes.push_back(std::make_unique<Membership>(OptionsOf(life)));
  }
  Roster roster;
  roster.set_data_centre("dc1");
  int records = 0;
  // Every box beats once a second at a time of its own; the log is at once.
  for (int beat = 0; beat < 10 && roster.members_size() < kBoxes; ++beat) {
    for (int i = 0; i < kBoxes; ++i) {
      TimePoint now = At(beat + static_cast<double>(i) / kBoxes);
      auto index = static_cast<size_t>(i);
      boxes[index]->Tick(roster, now);
      for (const Member& target : boxes[index]->Targets()) {
        size_t to = std::stoul(target.life().substr(3));
        boxes[to]->Tick(roster, now);
        boxes[to]->Heard(MemberOf("box" + std::to_string(i)), 1, false, now);
      }
      // A box proposes at its next beat, after it was heard.
      if (beat == 0 && i > 0) continue;
      std::optional<RosterChange> change = boxes[index]->Propose(false, now);
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
