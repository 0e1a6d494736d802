#include "leverwick/bills.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <random>

#include "leverwick/bill_encoding.h"

namespace leverwick {
namespace {

BillLine MakeLine(uint64_t sequence, BillLine::Outcome outcome) {
  BillLine line;
  line.set_sequence(sequence);
  line.set_outcome(outcome);
  line.set_organisation("acme");
  return line;
}

TEST_CASE("request ids round-trip through ParseRequestId") {
  std::string incarnation;
  uint64_t sequence = 0;
  CHECK(ParseRequestId(RequestId("box-1.a", 17), &incarnation, &sequence));
  CHECK(incarnation == "box-1.a");
  CHECK(sequence == 17);
  CHECK(!ParseRequestId("nodot", &incarnation, &sequence));
  CHECK(!ParseRequestId("a.b", &incarnation, &sequence));
  CHECK(!ParseRequestId(".1", &incarnation, &sequence));
}

TEST_CASE(
    "the ledger keeps one line per id, and a later line replaces a void one") {
  Ledger ledger;
  BillRecord record;
  record.set_life("a");
  *record.add_lines() = MakeLine(1, BillLine::VOID);
  *record.add_lines() = MakeLine(1, BillLine::ANSWERED);
  *record.add_lines() = MakeLine(1, BillLine::UNKNOWN);
  ledger.Apply(record);
  CHECK(ledger.lines().at("a.1").outcome() == BillLine::ANSWERED);
  CHECK(ledger.duplicates() == 1);
  ledger.Apply(record);
  CHECK(ledger.lines().size() == 1);
  CHECK(ledger.lines().at("a.1").outcome() == BillLine::ANSWERED);
}

TEST_CASE("records that are repeated in any order bill each id once") {
  CHECK(rc::check("ledger", [](const std::vector<uint8_t>& order) {
    Ledger ledger;
    std::set<std::string> billed;
    for (uint8_t number : order) {
      BillRecord record;
      record.set_life("life" + std::to_string(number % 3));
      auto outcome = number % 5 == 0 ? BillLine::VOID : BillLine::ANSWERED;
      *record.add_lines() = MakeLine(number / 8, outcome);
      ledger.Apply(record);
      if (outcome != BillLine::VOID) {
        billed.insert(RequestId(record.life(), number / 8));
      }
    }
    size_t counted = 0;
    for (const auto& line : ledger.lines()) {
      counted += line.second.outcome() != BillLine::VOID ? 1u : 0u;
    }
    RC_ASSERT(counted == billed.size());
  }));
}

TEST_CASE("the bill queue keeps lines until they are removed as appended") {
  BillQueue queue(3);
  for (uint64_t i = 1; i <= 3; ++i) queue.Add(MakeLine(i, BillLine::ANSWERED));
  CHECK(queue.full());
  CHECK(queue.PeekOldest(2).size() == 2);
  CHECK(queue.size() == 3);
  queue.RemoveAppended(2);
  CHECK(!queue.full());
  CHECK(queue.PeekOldest(10).front().sequence() == 3);
}

Intent MakeIntent(uint64_t sequence) {
  Intent intent;
  intent.set_sequence(sequence);
  intent.set_organisation("acme");
  intent.set_endpoint("127.0.0.1:1");
  return intent;
}

TEST_CASE("the intent store applies batches in any order") {
  IntentStore store;
  IntentBatch open;
  open.set_life("a");
  *open.add_opened() = MakeIntent(1);
  *open.add_opened() = MakeIntent(2);
  IntentBatch billed;
  billed.set_life("a");
  *billed.add_billed() = MakeLine(1, BillLine::ANSWERED);
  store.Apply(billed);
  store.Apply(open);
  IntentStore::Records records = store.RecordsFor("a");
  CHECK(records.open.size() == 1);
  CHECK(records.open.count(2) == 1);
  CHECK(records.billed.size() == 1);
  store.RemoveSettled("a", {1, 2});
  CHECK(store.size() == 0);
  CHECK(store.incarnations().empty());
}

DispatchState MakeState(DispatchState::State state) {
  DispatchState result;
  result.state = state;
  result.completion_tokens = 5;
  return result;
}

TEST_CASE("a lost request is settled by the reports of its endpoints") {
  std::vector<Intent> two = {MakeIntent(1), MakeIntent(1)};
  using S = DispatchState;
  BillLine line;
  auto settle = [&](S::State a, S::State b, bool give_up) {
    return BuildSettlementLine(1, two, {MakeState(a), MakeState(b)}, give_up,
                               &line);
  };
  CHECK(settle(S::kNeverSeen, S::kNeverSeen, false));
  CHECK(line.outcome() == BillLine::VOID);
  CHECK(settle(S::kNeverSeen, S::kFinished, false));
  CHECK(line.outcome() == BillLine::FAILED);
  CHECK(line.legs_size() == 1);
  CHECK(!settle(S::kFinished, S::kRunning, false));
  CHECK(!settle(S::kUnreachable, S::kFinished, false));
  CHECK(settle(S::kUnreachable, S::kFinished, true));
  CHECK(line.outcome() == BillLine::UNKNOWN);
  CHECK(line.legs_size() == 2);
}

TEST_CASE("an encoded record decodes to the same record, but for the reason") {
  CHECK(rc::check("compact", [](const std::vector<uint32_t>& numbers) {
    BillRecord record;
    record.set_life("a1-0123");
    record.set_author_life("a2-4567");
    for (uint32_t number : numbers) {
      BillLine* line = record.add_lines();
      *line = MakeLine(number, static_cast<BillLine::Outcome>(number % 4));
      for (uint32_t leg = 0; leg < number % 3; ++leg) {
        BillLeg* result = line->add_legs();
        result->set_endpoint("127.0.0.1:" + std::to_string(number % 7));
        result->set_model("swift");
        result->set_version(std::to_string(number % 2));
        result->set_prompt_tokens(number);
        result->set_completion_tokens(number / 2);
        result->set_cost(static_cast<double>(number) / 1e9);
      }
    }
    BillRecord decoded;
    RC_ASSERT(DecodeRecord(EncodeRecord(record), &decoded));
    RC_ASSERT(decoded.SerializeAsString() == record.SerializeAsString());
  }));
  BillRecord record;
  CHECK(!DecodeRecord("{\"life\":\"a\"}", &record));
  CHECK(!DecodeRecord("////", &record));
}

}  // namespace
}  // namespace leverwick
