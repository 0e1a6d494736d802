#include "leverwick/replication_stream.h"

#include <doctest/doctest.h>

#include <random>
#include <set>

#include "leverwick/bills.h"

namespace leverwick {
namespace {

constexpr char kIncarnation[] = "a1-0123";

Intent MakeIntent(uint64_t sequence, uint32_t attempt) {
  Intent intent;
  intent.set_sequence(sequence);
  intent.set_organisation("acme");
  intent.set_endpoint("127.0.0." + std::to_string(sequence % 5) + ":1");
  intent.set_model("swift");
  intent.set_version("2");
  intent.set_attempt(attempt);
  return intent;
}

BillLine MakeLine(uint64_t sequence, bool with_leg) {
  BillLine line;
  line.set_sequence(sequence);
  line.set_organisation("acme");
  line.set_outcome(with_leg ? BillLine::ANSWERED : BillLine::VOID);
  if (!with_leg) return line;
  BillLeg* leg = line.add_legs();
  leg->set_endpoint("127.0.0." + std::to_string(sequence % 5) + ":1");
  leg->set_model("swift");
  leg->set_version("2");
  leg->set_prompt_tokens(100);
  leg->set_completion_tokens(static_cast<int64_t>(sequence));
  leg->set_cost(0.000321);
  return line;
}

// The open requests and unappended lines of an incarnation, with which the
// records of the receiver are compared.
struct ExpectedRecords {
  std::map<uint64_t, std::vector<Intent>> open;
  std::map<uint64_t, BillLine> billed;

  IntentBatch Snapshot() const {
    IntentBatch snapshot;
    for (const auto& entry : open) {
      for (const Intent& intent : entry.second) *snapshot.add_opened() = intent;
    }
    for (const auto& entry : billed) *snapshot.add_billed() = entry.second;
    return snapshot;
  }
};

bool Matches(const IntentStore::Records& records,
             const ExpectedRecords& expected) {
  if (records.open.size() != expected.open.size()) return false;
  if (records.billed.size() != expected.billed.size()) return false;
  for (const auto& entry : expected.open) {
    auto found = records.open.find(entry.first);
    if (found == records.open.end()) return false;
    if (found->second.size() != entry.second.size()) return false;
    for (size_t i = 0; i < entry.second.size(); ++i) {
      bool same = found->second[i].SerializeAsString() ==
                  entry.second[i].SerializeAsString();
      if (!same) return false;
    }
  }
  for (const BillLine& line : records.billed) {
    auto found = expected.billed.find(line.sequence());
    if (found == expected.billed.end()) return false;
    if (found->second.SerializeAsString() != line.SerializeAsString()) {
      return false;
    }
  }
  return true;
}

// A replication stream over a link that loses messages and replies, repeats
// messages and delays them.
class FaultyLink {
 public:
  explicit FaultyLink(uint32_t seed) : random_(seed), sender_(kIncarnation) {}

  bool Chance(int percent) {
    return static_cast<int>(random_() % 100) < percent;
  }

  // Changes the state of a random request and adds the delta to the stream.
  void ApplyRandomChange() {
    IntentBatch delta;
    if (Chance(45) || expected_.open.empty()) {
      ++sequence_;
      expected_.open[sequence_] = {MakeIntent(sequence_, 1)};
      *delta.add_opened() = expected_.open[sequence_][0];
    } else if (Chance(20)) {
      auto entry = expected_.open.begin();
      auto attempt = static_cast<uint32_t>(entry->second.size() + 1);
      entry->second.push_back(MakeIntent(entry->first, attempt));
      *delta.add_opened() = entry->second.back();
    } else if (Chance(60) || expected_.billed.empty()) {
      uint64_t sequence = expected_.open.begin()->first;
      expected_.open.erase(sequence);
      expected_.billed[sequence] = MakeLine(sequence, Chance(80));
      *delta.add_billed() = expected_.billed[sequence];
    } else {
      uint64_t sequence = expected_.billed.begin()->first;
      expected_.billed.erase(sequence);
      delta.add_appended(sequence);
    }
    sender_.AddDelta(delta);
  }

  // Sends one message; each kind of fault has a probability of `fault_percent`
  // percent.
  void SendMessage(int fault_percent) {
    if (!sender_.has_begun()) {
      sender_.BeginGeneration(++generation_);
      if (Chance(50))
        ApplyRandomChange();  // after BeginGeneration, before the snapshot
      sender_.AddSnapshot(expected_.Snapshot());
    }
    CopyBatch message = sender_.NextMessage(3);
    sent_.push_back(message);
    bool lost = Chance(fault_percent);
    bool accepted = !lost && store_.ApplyMessage(message);
    if (accepted) RecordAcknowledged();
    if (Chance(fault_percent))
      store_.ApplyMessage(sent_[random_() % sent_.size()]);
    if (!accepted || Chance(fault_percent)) sender_.RecordFailure();
  }

  // Returns true if every request that was acknowledged and is still open or
  // unappended is held by the receiver.
  bool HasAcknowledged() const {
    IntentStore::Records records = store_.RecordsFor(kIncarnation);
    std::set<uint64_t> held;
    for (const auto& entry : records.open) held.insert(entry.first);
    for (const BillLine& line : records.billed) held.insert(line.sequence());
    for (uint64_t sequence : acknowledged_) {
      bool is_appended = expected_.open.count(sequence) == 0 &&
                         expected_.billed.count(sequence) == 0;
      if (!is_appended && held.count(sequence) == 0) return false;
    }
    return true;
  }

  bool MatchesExpected() const {
    return Matches(store_.RecordsFor(kIncarnation), expected_);
  }
  bool is_idle() const { return sender_.is_idle(); }

 private:
  void RecordAcknowledged() {
    for (const auto& entry : store_.RecordsFor(kIncarnation).open) {
      acknowledged_.insert(entry.first);
    }
  }

  std::mt19937 random_;
  ReplicationSender sender_;
  IntentStore store_;
  ExpectedRecords expected_;
  uint64_t sequence_ = 0;
  uint64_t generation_ = 0;
  std::vector<CopyBatch> sent_;
  std::set<uint64_t> acknowledged_;
};

TEST_CASE("the records of a peer converge despite faults of the link") {
  for (uint32_t seed = 1; seed <= 300; ++seed) {
    CAPTURE(seed);
    FaultyLink link(seed);
    for (int i = 0; i < 200; ++i) {
      link.ApplyRandomChange();
      if (link.Chance(60)) link.SendMessage(15);
      REQUIRE(link.HasAcknowledged());
    }
    for (int i = 0; i < 1000 && !link.is_idle(); ++i) link.SendMessage(0);
    REQUIRE(link.is_idle());
    REQUIRE(link.MatchesExpected());
  }
}

TEST_CASE("a message out of order is rejected, a repeated one accepted") {
  ReplicationSender sender(kIncarnation);
  CHECK(!sender.has_begun());
  sender.BeginGeneration(1);
  sender.AddSnapshot(IntentBatch());
  CopyBatch first = sender.NextMessage(10);
  IntentBatch delta;
  *delta.add_opened() = MakeIntent(1, 1);
  sender.AddDelta(delta);
  CopyBatch second = sender.NextMessage(10);
  CHECK(sender.is_idle());
  IntentStore store;
  CHECK(!store.ApplyMessage(second));
  CHECK(store.ApplyMessage(first));
  CopyBatch third = second;
  third.set_number(3);
  CHECK(!store.ApplyMessage(third));  // the second message is missing
  CHECK(store.ApplyMessage(second));
  CHECK(store.ApplyMessage(second));
  CHECK(store.size() == 1);
  second.set_number(3);
  second.set_opened_targets(0, 99);  // an unknown target
  CHECK(!store.ApplyMessage(second));
  CHECK(!store.ApplyMessage(second));
  CHECK(store.size() == 1);
}

TEST_CASE("replication of a request takes less than 32 bytes") {
  ReplicationSender sender(kIncarnation);
  sender.BeginGeneration(1);
  sender.AddSnapshot(IntentBatch());
  constexpr uint64_t kRequests = 100;
  IntentBatch opened;
  IntentBatch billed;
  constexpr uint64_t kFirst = 1000000;
  for (uint64_t sequence = kFirst; sequence < kFirst + kRequests; ++sequence) {
    *opened.add_opened() = MakeIntent(sequence, 1);
    *billed.add_billed() = MakeLine(sequence, true);
  }
  sender.AddDelta(opened);
  size_t bytes = sender.NextMessage(kRequests).ByteSizeLong();
  sender.AddDelta(billed);
  bytes += sender.NextMessage(kRequests).ByteSizeLong();
  CHECK(bytes / kRequests < 32);
}

}  // namespace
}  // namespace leverwick
