#include "leverwick/fleet_agreement.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <deque>
#include <memory>
#include <random>

namespace leverwick {
namespace {

BoxLocation LocationOf(size_t number) {
  return {"box-" + std::to_string(number), "dc" + std::to_string(number % 3)};
}

// Boxes that probe each other in rounds. Messages are lost with a given
// probability, and some listed boxes have stopped.
class Fleet {
 public:
  Fleet(size_t boxes, double message_loss, uint64_t seed)
      : message_loss_(message_loss), random_(seed) {
    for (size_t i = 0; i < boxes; ++i) {
      boxes_.push_back(std::make_unique<FleetAgreement>(LocationOf(i)));
      stopped_.push_back(false);
    }
  }

  // The box reads a list of the first `listed` boxes.
  void ReadList(size_t box, size_t listed) {
    std::vector<BoxLocation> others;
    for (size_t i = 0; i < listed; ++i) {
      if (i != box) others.push_back(LocationOf(i));
    }
    boxes_[box]->SetListedBoxes(others);
  }
  void Stop(size_t box) { stopped_[box] = true; }

  void SendProbes(size_t box) {
    if (stopped_[box]) return;
    for (const std::string& name : boxes_[box]->BoxesToProbe()) {
      size_t other = std::stoul(name.substr(4));
      boxes_[box]->RecordProbe(name);
      uint64_t digest = boxes_[box]->digest();
      if (!SendDigest(box, other) || !SendDigest(other, box)) continue;
      if (boxes_[other]->MatchesDigest(digest)) continue;
      for (const BoxLocation& new_box : boxes_[other]->new_boxes()) {
        boxes_[box]->AddReportedBox(new_box);
      }
    }
  }
  void RunRound() {
    for (size_t box = 0; box < boxes_.size(); ++box) SendProbes(box);
  }

  FleetAgreement& at(size_t box) { return *boxes_[box]; }
  bool AllAgree() const {
    for (size_t box = 0; box < boxes_.size(); ++box) {
      if (!stopped_[box] && !boxes_[box]->is_agreed()) return false;
    }
    return true;
  }
  bool IsAwareOf(size_t box, size_t other) const {
    std::vector<BoxLocation> others = boxes_[box]->others();
    return std::find(others.begin(), others.end(), LocationOf(other)) !=
           others.end();
  }

 private:
  bool SendDigest(size_t from, size_t to) {
    std::bernoulli_distribution is_lost(message_loss_);
    if (stopped_[from] || stopped_[to] || is_lost(random_)) return false;
    boxes_[to]->RecordPeerDigest(LocationOf(from), boxes_[from]->digest());
    return true;
  }

  const double message_loss_;
  std::mt19937_64 random_;
  std::vector<std::unique_ptr<FleetAgreement>> boxes_;
  std::vector<bool> stopped_;
};

// Rounds of probes in 2 s.
constexpr int kMaxRounds = 5;

TEST_CASE("boxes that start together agree whatever lists they have read") {
  for (size_t boxes : {2, 7, 65, 195}) {
    for (double message_loss : {0.0, 0.1}) {
      for (uint64_t seed = 1; seed <= 5; ++seed) {
        CAPTURE(boxes);
        CAPTURE(message_loss);
        CAPTURE(seed);
        Fleet fleet(boxes, message_loss, seed);
        // Each list contains the boxes that were added before the reader.
        for (size_t box = 0; box < boxes; ++box) fleet.ReadList(box, box + 1);
        int rounds = 0;
        while (!fleet.AllAgree() && rounds < 3 * kMaxRounds) {
          fleet.RunRound();
          ++rounds;
        }
        CHECK(fleet.AllAgree());
        if (message_loss == 0) CHECK(rounds <= kMaxRounds);
      }
    }
  }
}

TEST_CASE("a new box agrees only once all responsive boxes are aware of it") {
  Fleet fleet(7, 0, 1);
  for (size_t box = 0; box < 6; ++box) fleet.ReadList(box, 6);
  fleet.ReadList(6, 7);
  CHECK_FALSE(fleet.at(6).is_agreed());
  fleet.SendProbes(6);
  for (size_t box = 0; box < 6; ++box) CHECK(fleet.IsAwareOf(box, 6));
  fleet.SendProbes(6);
  CHECK(fleet.at(6).is_agreed());
}

TEST_CASE("listed boxes that have stopped delay agreement only briefly") {
  Fleet fleet(7, 0, 1);
  for (size_t box = 0; box < 7; ++box) fleet.ReadList(box, 7);
  for (size_t box : {0, 1, 2}) fleet.Stop(box);
  for (int round = 0; round < FleetAgreement::kMaxUnansweredProbes; ++round) {
    fleet.RunRound();
    CHECK_FALSE(fleet.at(6).is_agreed());
  }
  fleet.RunRound();
  CHECK(fleet.AllAgree());
}

TEST_CASE("a box without replies from half of the fleet never agrees") {
  Fleet fleet(7, 0, 1);
  for (size_t box = 0; box < 7; ++box) fleet.ReadList(box, 7);
  for (size_t box : {0, 1, 2, 3}) fleet.Stop(box);
  for (int round = 0; round < 100; ++round) fleet.RunRound();
  CHECK_FALSE(fleet.at(6).is_agreed());
  // Nor does a box that is aware of no other.
  Fleet alone(1, 0, 1);
  alone.ReadList(0, 1);
  for (int round = 0; round < 100; ++round) alone.RunRound();
  CHECK_FALSE(alone.at(0).is_agreed());
}

TEST_CASE("a box that the others dropped must reach agreement again") {
  Fleet fleet(3, 0, 1);
  for (size_t box = 0; box < 3; ++box) fleet.ReadList(box, 3);
  fleet.RunRound();
  fleet.RunRound();
  CHECK(fleet.at(0).is_agreed());
  TimePoint now = TimePoint() + std::chrono::hours(1);
  fleet.at(0).SetKnownToAllSince(now);
  CHECK(fleet.at(0).is_agreed());
  fleet.at(0).SetKnownToAllSince(now + std::chrono::seconds(45));
  fleet.ReadList(0, 3);
  CHECK_FALSE(fleet.at(0).is_agreed());
  fleet.SendProbes(0);
  CHECK(fleet.at(0).is_agreed());
}

TEST_CASE("a box that sent a probe is kept until the list should contain it") {
  FleetAgreement agreement(LocationOf(0));
  agreement.SetListedBoxes({LocationOf(1)});
  CHECK(agreement.RecordPeerDigest(LocationOf(2), 0));
  CHECK_FALSE(agreement.RecordPeerDigest(LocationOf(2), 0));
  agreement.SetListedBoxes({LocationOf(1)});
  CHECK(agreement.others().size() == 2);
  for (int read = 0; read < FleetAgreement::kMaxUnlistedReads; ++read) {
    agreement.SetListedBoxes({LocationOf(1)});
  }
  CHECK(agreement.others().size() == 1);
}

TEST_CASE("a delisted box is removed once it is unresponsive") {
  FleetAgreement agreement(LocationOf(0));
  agreement.SetListedBoxes({LocationOf(1), LocationOf(2)});
  agreement.SetListedBoxes({LocationOf(2)});
  CHECK(agreement.NeedsProbes(TimePoint()));
  for (int probe = 0; probe < FleetAgreement::kMaxUnansweredProbes; ++probe) {
    agreement.RecordProbe("box-1");
  }
  CHECK(agreement.others().size() == 2);
  // A box that replies is kept: the list may have been lost.
  agreement.RecordPeerDigest(LocationOf(1), 0);
  agreement.RecordProbe("box-1");
  CHECK(agreement.others().size() == 2);
  for (int probe = 0; probe < FleetAgreement::kMaxUnansweredProbes; ++probe) {
    agreement.RecordProbe("box-1");
  }
  CHECK(agreement.others() == std::vector<BoxLocation>{LocationOf(2)});
}

TEST_CASE("a box with an outdated list receives the boxes added since") {
  Fleet fleet(4, 0, 1);
  for (size_t box = 0; box < 2; ++box) fleet.ReadList(box, 2);
  fleet.ReadList(2, 3);
  fleet.RunRound();
  fleet.RunRound();
  CHECK(fleet.at(2).is_agreed());
  // Its list is as old as that of the first two boxes.
  fleet.at(3).SetListedBoxes({LocationOf(0), LocationOf(1)});
  fleet.RunRound();
  CHECK(fleet.IsAwareOf(3, 2));
  fleet.RunRound();
  fleet.RunRound();
  CHECK(fleet.at(3).is_agreed());
  CHECK(fleet.IsAwareOf(2, 3));
}

}  // namespace
}  // namespace leverwick
