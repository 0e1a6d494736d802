// Builds tables and configuration records for tests.
//
//   TableBuilder builder = TableBuilder::WithSampleRows();
//   builder.Add("service", {{"name", "receipts"}});
//   Table& table = builder.table();

#ifndef LEVERWICK_TESTING_TABLE_BUILDER_H_
#define LEVERWICK_TESTING_TABLE_BUILDER_H_

#include <string>
#include <utility>
#include <vector>

#include "leverwick/fields.h"
#include "leverwick/table.h"

namespace leverwick {

// Pairs of field name and text.
using Cells = std::vector<std::pair<std::string, std::string>>;

class TableBuilder {
 public:
  // Applies an edit that sets a row. last_result() says whether it was
  // accepted.
  TableBuilder& Add(const std::string& kind, const Cells& cells) {
    last_result_ = table_.Apply(next_offset_++, MakeEdit(table_, kind, cells));
    return *this;
  }

  // Applies a roster change, based on the current roster.
  TableBuilder& AddRoster(const std::string& data_centre,
                          const std::vector<std::string>& incarnations) {
    const std::vector<Roster>& rosters = table_.RostersFor(data_centre);
    ConfigRecord record;
    RosterChange* change = record.mutable_roster();
    change->set_data_centre(data_centre);
    change->set_base_epoch(rosters.empty() ? 0 : rosters.back().epoch());
    for (const std::string& incarnation : incarnations) {
      Member* member = change->add_members();
      member->set_life(incarnation);
      member->set_address(incarnation + ":1");
    }
    last_result_ = table_.Apply(next_offset_++, record);
    return *this;
  }

  Table& table() { return table_; }
  const Table::ApplyResult& last_result() const { return last_result_; }
  uint64_t next_offset() const { return next_offset_; }

  // Returns an edit that sets a row, based on its current revision in `table`.
  static ConfigRecord MakeEdit(const Table& table, const std::string& kind,
                               const Cells& cells) {
    ConfigRecord record;
    RowEdit* edit = record.mutable_edit()->add_rows();
    auto* message = MakeRow(kind, edit->mutable_row());
    SetDefaults(message);
    std::string error;
    for (const auto& cell : cells) {
      SetField(message, cell.first, cell.second, &error);
    }
    edit->set_kind(kind);
    edit->set_key(RowKey(*message));
    const StoredRow* stored = table.FindRow(kind, edit->key());
    if (stored != nullptr) edit->set_base_revision(stored->revision());
    return record;
  }

  // Returns a table of two data centres, two models and two organisations.
  static TableBuilder WithSampleRows() {
    TableBuilder builder;
    builder.Add("data_centre", {{"name", "dc1"}})
        .Add("data_centre", {{"name", "dc2"}})
        .Add("version", {{"model", "swift"}, {"version", "1"}})
        .Add("version", {{"model", "swift"}, {"version", "2"}})
        .Add("version", {{"model", "sage"}, {"version", "1"}})
        .Add("organisation", {{"name", "acme"},
                              {"home", "dc1"},
                              {"key_sha256", "aa"},
                              {"allowed", "swift;sage@1"}})
        .Add("organisation", {{"name", "globex"},
                              {"home", "dc2"},
                              {"key_sha256", "bb"},
                              {"allowed", "swift@1"}});
    return builder;
  }

 private:
  Table table_;
  Table::ApplyResult last_result_;
  uint64_t next_offset_ = 0;
};

}  // namespace leverwick

#endif  // LEVERWICK_TESTING_TABLE_BUILDER_H_
