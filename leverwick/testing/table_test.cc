#include "leverwick/table.h"

#include <doctest/doctest.h>

#include <random>

#include "leverwick/testing/table_builder.h"

namespace leverwick {
namespace {

Result ResultCode(const Table::ApplyResult& result) {
  return ToResult(result.error);
}

TEST_CASE("of two edits with the same base revision the first wins") {
  TableBuilder site = TableBuilder::WithSampleRows();
  Table& table = site.table();
  Cells base = {{"name", "acme"}, {"home", "dc1"}, {"weight", "2"}};
  ConfigRecord first = TableBuilder::MakeEdit(table, "organisation", base);
  base[2].second = "3";
  ConfigRecord second = TableBuilder::MakeEdit(table, "organisation", base);
  CHECK(!table.Apply(site.next_offset(), first).error);
  CHECK(ResultCode(table.Apply(site.next_offset() + 1, second)) ==
        Result::kStaleRevision);
  CHECK(table.FindOrganisation("acme")->weight() == 2);
}

TEST_CASE("a record appended twice is accepted once") {
  TableBuilder site = TableBuilder::WithSampleRows();
  Table& table = site.table();
  ConfigRecord record = TableBuilder::MakeEdit(
      table, "service", {{"name", "receipts"}, {"repeatable", "true"}});
  CHECK(!table.Apply(site.next_offset(), record).error);
  CHECK(ResultCode(table.Apply(site.next_offset() + 1, record)) ==
        Result::kStaleRevision);
}

TEST_CASE("a replayed record does not restore a removed row") {
  TableBuilder site = TableBuilder::WithSampleRows();
  Table& table = site.table();
  ConfigRecord create =
      TableBuilder::MakeEdit(table, "service", {{"name", "receipts"}});
  CHECK(!table.Apply(site.next_offset(), create).error);
  ConfigRecord remove = create;
  RowEdit* edit = remove.mutable_edit()->mutable_rows(0);
  edit->clear_row();
  edit->set_base_revision(table.FindRow("service", "receipts")->revision());
  CHECK(!table.Apply(site.next_offset() + 1, remove).error);
  CHECK(table.FindService("receipts") == nullptr);
  CHECK(ResultCode(table.Apply(site.next_offset() + 2, create)) ==
        Result::kStaleRevision);
  CHECK(table.FindService("receipts") == nullptr);
}

TEST_CASE("the rows of an edit are applied atomically") {
  TableBuilder site = TableBuilder::WithSampleRows();
  Table& table = site.table();
  ConfigRecord record =
      TableBuilder::MakeEdit(table, "service", {{"name", "good"}});
  ConfigRecord bad = TableBuilder::MakeEdit(
      table, "organisation", {{"name", "initech"}, {"home", "nowhere"}});
  *record.mutable_edit()->add_rows() = bad.edit().rows(0);
  CHECK(ResultCode(table.Apply(site.next_offset(), record)) ==
        Result::kUnknownReference);
  CHECK(table.FindService("good") == nullptr);
}

TEST_CASE("a row that violates a rule is rejected") {
  TableBuilder site = TableBuilder::WithSampleRows();
  auto code = [&site](const std::string& kind, const Cells& cells) {
    return ResultCode(site.Add(kind, cells).last_result());
  };
  CHECK(code("organisation", {{"name", "acme"}, {"home", "dc2"}}) ==
        Result::kImmutableCell);
  CHECK(code("organisation",
             {{"name", "x"}, {"home", "dc1"}, {"quality_target", "1.5"}}) ==
        Result::kInvalidRow);
  CHECK(code("organisation", {{"name", ""}, {"home", "dc1"}}) ==
        Result::kInvalidRow);
  CHECK(code("signing_key", {{"name", "k"}, {"secret", "short"}}) ==
        Result::kInvalidRow);
  CHECK(code("rollout", {{"name", "r"},
                         {"model", "swift"},
                         {"from_version", "1"},
                         {"to_version", "2"},
                         {"steps", "0.5;0.1"}}) == Result::kInvalidRow);
  CHECK(code("rollout", {{"name", "r"},
                         {"model", "swift"},
                         {"from_version", "1"},
                         {"to_version", "9"},
                         {"steps", "0.1;0.5"}}) == Result::kUnknownReference);
}

TEST_CASE("a roll-out advances one step at a time and a trip is permanent") {
  TableBuilder site = TableBuilder::WithSampleRows();
  site.Add("rollout", {{"name", "r"},
                       {"model", "swift"},
                       {"from_version", "1"},
                       {"to_version", "2"},
                       {"steps", "0.1;0.5;1"}});
  Table& table = site.table();
  uint64_t offset = site.next_offset();
  auto advance = [&](int step) {
    ConfigRecord record;
    record.mutable_advance()->set_rollout("r");
    record.mutable_advance()->set_step(step);
    return ResultCode(table.Apply(offset++, record));
  };
  CHECK(advance(2) == Result::kStepOutOfOrder);
  CHECK(advance(1) == Result::kOk);
  CHECK(advance(1) == Result::kStepOutOfOrder);
  ConfigRecord trip;
  trip.mutable_trip()->set_rollout("r");
  CHECK(!table.Apply(offset++, trip).error);
  CHECK(advance(2) == Result::kRolloutStopped);
  CHECK(ResultCode(table.Apply(offset++, trip)) == Result::kRolloutStopped);
  CHECK(table.ProgressFor("r").tripped());
}

TEST_CASE("of two roster changes with the same base epoch the first wins") {
  TableBuilder site = TableBuilder::WithSampleRows();
  site.AddRoster("dc1", {"a"});
  CHECK(!site.last_result().error);
  ConfigRecord stale;
  stale.mutable_roster()->set_data_centre("dc1");
  CHECK(ResultCode(site.table().Apply(site.next_offset(), stale)) ==
        Result::kStaleRoster);
}

// Returns a random edit of one of three organisations, often with a stale base
// revision.
ConfigRecord RandomRecord(const Table& table, std::mt19937* random) {
  auto pick = [random](int n) { return static_cast<int>((*random)() % n); };
  std::string name = "org" + std::to_string(pick(3));
  ConfigRecord record =
      TableBuilder::MakeEdit(table, "organisation",
                             {{"name", name},
                              {"home", pick(10) == 0 ? "nowhere" : "dc1"},
                              {"weight", std::to_string(pick(2000))}});
  RowEdit* edit = record.mutable_edit()->mutable_rows(0);
  if (pick(3) == 0) edit->set_base_revision(static_cast<uint64_t>(pick(40)));
  if (pick(6) == 0) edit->clear_row();
  return record;
}

// A reference model of the table: checks base revision and field range only.
struct ReferenceTable {
  // By key: revision and weight; a weight of -1 stands for a tombstone.
  std::map<std::string, std::pair<uint64_t, double>> rows;

  bool Apply(uint64_t offset, const RowEdit& edit) {
    auto found = rows.find(edit.key());
    uint64_t revision = found == rows.end() ? 0 : found->second.first;
    if (revision != edit.base_revision()) return false;
    const Organisation& row = edit.row().organisation();
    bool valid =
        row.weight() >= 0.01 && row.weight() <= 1000 && row.home() == "dc1";
    if (edit.has_row() && !valid) return false;
    rows[edit.key()] = {offset + 1, edit.has_row() ? row.weight() : -1};
    return true;
  }
};

TEST_CASE(
    "the table agrees with a reference model and with a restored replica") {
  for (unsigned seed = 1; seed <= 40; ++seed) {
    std::mt19937 random(seed);
    TableBuilder site;
    site.Add("data_centre", {{"name", "dc1"}});
    Table& table = site.table();
    ReferenceTable reference;
    Table replica(table.ToState());
    for (uint64_t offset = 1; offset < 120; ++offset) {
      ConfigRecord record = RandomRecord(table, &random);
      bool accepted = !table.Apply(offset, record).error;
      REQUIRE(accepted == reference.Apply(offset, record.edit().rows(0)));
      REQUIRE(accepted == !replica.Apply(offset, record).error);
      // The replica restarts from a snapshot at random offsets.
      if (random() % 10 == 0) replica = Table(table.ToState());
    }
    REQUIRE(table.ToState().SerializeAsString() ==
            replica.ToState().SerializeAsString());
    for (const auto& row : reference.rows) {
      const Organisation* organisation = table.FindOrganisation(row.first);
      REQUIRE((organisation != nullptr) == (row.second.second >= 0));
      if (organisation != nullptr) {
        REQUIRE(organisation->weight() == row.second.second);
      }
    }
  }
}

TEST_CASE("records below the next offset are ignored") {
  TableBuilder site = TableBuilder::WithSampleRows();
  std::string before = site.table().ToState().SerializeAsString();
  ConfigRecord record =
      TableBuilder::MakeEdit(site.table(), "service", {{"name", "late"}});
  site.table().Apply(0, record);
  CHECK(site.table().ToState().SerializeAsString() == before);
}

}  // namespace
}  // namespace leverwick
