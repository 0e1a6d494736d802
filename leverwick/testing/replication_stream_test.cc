#include "leverwick/replication_stream.h"

#include <doctest/doctest.h>

#include <random>
#include <set>

#include "leverwick/bills.h"

namespace leverwick {
namespace {

constexpr char kLife[] = "a1-0123";

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

// What a life has open and unappended; the plain truth that the receiver's
// book is held against.
struct Truth {
  std::map<uint64_t, std::vector<Intent>> open;
  std::map<uint64_t, BillLine> billed;

  IntentBatch State() const {
    IntentBatch state;
    for (const auto& entry : open) {
      for (const Intent& intent : entry.second) *state.add_opened() = intent;
    }
    for (const auto& entry : billed) *state.add_billed() = entry.second;
    return state;
  }
};

bool Same(const IntentBook::Held& held, const Truth& truth) {
  if (held.open.size() != truth.open.size()) return false;
  if (held.billed.size() != truth.billed.size()) return false;
  for (const auto& entry : truth.open) {
    auto found = held.open.find(entry.first);
    if (found == held.open.end()) return false;
    if (found->second.size() != entry.second.size()) return false;
    for (size_t i = 0; i < entry.second.size(); ++i) {
      bool same = found->second[i].SerializeAsString() ==
                  entry.second[i].SerializeAsString();
      if (!same) return false;
    }
  }
  for (const BillLine& line : held.billed) {
    auto found = truth.billed.find(line.sequence());
    if (found == truth.billed.end()) return false;
    if (found->second.SerializeAsString() != line.SerializeAsString()) {
      return false;
    }
  }
  return true;
}

// A stream over a link that loses messages and answers, repeats and delays.
class Link {
 public:
  explicit Link(uint32_t seed) : random_(seed), sender_(kLife) {}

  bool Chance(int percent) {
    return static_cast<int>(random_() % 100) < percent;
  }

  // Something happens to a request, and the stream is told.
  void Change() {
    IntentBatch news;
    if (Chance(45) || truth_.open.empty()) {
      ++sequence_;
      truth_.open[sequence_] = {MakeIntent(sequence_, 1)};
      *news.add_opened() = truth_.open[sequence_][0];
    } else if (Chance(20)) {
      auto entry = truth_.open.begin();
      auto attempt = static_cast<uint32_t>(entry->second.size() + 1);
      entry->second.push_back(MakeIntent(entry->first, attempt));
      *news.add_opened() = entry->second.back();
    } else if (Chance(60) || truth_.billed.empty()) {
      uint64_t sequence = truth_.open.begin()->first;
      truth_.open.erase(sequence);
      truth_.billed[sequence] = MakeLine(sequence, Chance(80));
      *news.add_billed() = truth_.billed[sequence];
    } else {
      uint64_t sequence = truth_.billed.begin()->first;
      truth_.billed.erase(sequence);
      news.add_appended(sequence);
    }
    sender_.Add(news);
  }

  // Sends one message; `bad` percent of them meet a fault.
  void Send(int bad) {
    if (!sender_.begun()) {
      sender_.Begin(++generation_);
      if (Chance(50)) Change();  // between the beginning and its state
      sender_.AddState(truth_.State());
    }
    CopyBatch message = sender_.Next(3);
    sent_.push_back(message);
    bool lost = Chance(bad);
    bool accepted = !lost && book_.TakeCopies(message);
    if (accepted) Acknowledged();
    if (Chance(bad)) book_.TakeCopies(sent_[random_() % sent_.size()]);
    if (!accepted || Chance(bad)) sender_.Failed();
  }

  // Everything that was acknowledged open and is so still must be held.
  bool HoldsAcknowledged() const {
    IntentBook::Held held = book_.HeldOf(kLife);
    std::set<uint64_t> known;
    for (const auto& entry : held.open) known.insert(entry.first);
    for (const BillLine& line : held.billed) known.insert(line.sequence());
    for (uint64_t sequence : acknowledged_) {
      bool over = truth_.open.count(sequence) == 0 &&
                  truth_.billed.count(sequence) == 0;
      if (!over && known.count(sequence) == 0) return false;
    }
    return true;
  }

  bool Agrees() const { return Same(book_.HeldOf(kLife), truth_); }
  bool quiet() const { return sender_.idle(); }

 private:
  void Acknowledged() {
    for (const auto& entry : book_.HeldOf(kLife).open) {
      acknowledged_.insert(entry.first);
    }
  }

  std::mt19937 random_;
  CopySender sender_;
  IntentBook book_;
  Truth truth_;
  uint64_t sequence_ = 0;
  uint64_t generation_ = 0;
  std::vector<CopyBatch> sent_;
  std::set<uint64_t> acknowledged_;
};

TEST_CASE("a peer's book comes to agree, whatever the link does") {
  for (uint32_t seed = 1; seed <= 300; ++seed) {
    CAPTURE(seed);
    Link link(seed);
    for (int i = 0; i < 200; ++i) {
      link.Change();
      if (link.Chance(60)) link.Send(15);
      REQUIRE(link.HoldsAcknowledged());
    }
    for (int i = 0; i < 1000 && !link.quiet(); ++i) link.Send(0);
    REQUIRE(link.quiet());
    REQUIRE(link.Agrees());
  }
}

TEST_CASE("a message out of order is refused, a repeated one accepted") {
  CopySender sender(kLife);
  CHECK(!sender.begun());
  sender.Begin(1);
  sender.AddState(IntentBatch());
  CopyBatch first = sender.Next(10);
  IntentBatch news;
  *news.add_opened() = MakeIntent(1, 1);
  sender.Add(news);
  CopyBatch second = sender.Next(10);
  CHECK(sender.idle());
  IntentBook book;
  CHECK(!book.TakeCopies(second));
  CHECK(book.TakeCopies(first));
  CopyBatch third = second;
  third.set_number(3);
  CHECK(!book.TakeCopies(third));  // the second is missing
  CHECK(book.TakeCopies(second));
  CHECK(book.TakeCopies(second));
  CHECK(book.size() == 1);
  second.set_number(3);
  second.set_opened_targets(0, 99);  // of a target never named
  CHECK(!book.TakeCopies(second));
  CHECK(!book.TakeCopies(second));
  CHECK(book.size() == 1);
}

TEST_CASE("a request costs a peer few bytes") {
  CopySender sender(kLife);
  sender.Begin(1);
  sender.AddState(IntentBatch());
  constexpr uint64_t kRequests = 100;
  IntentBatch opened;
  IntentBatch billed;
  constexpr uint64_t kFirst = 1000000;
  for (uint64_t sequence = kFirst; sequence < kFirst + kRequests; ++sequence) {
    *opened.add_opened() = MakeIntent(sequence, 1);
    *billed.add_billed() = MakeLine(sequence, true);
  }
  sender.Add(opened);
  size_t bytes = sender.Next(kRequests).ByteSizeLong();
  sender.Add(billed);
  bytes += sender.Next(kRequests).ByteSizeLong();
  CHECK(bytes / kRequests < 32);
}

}  // namespace
}  // namespace leverwick
