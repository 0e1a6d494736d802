// Builds tables and records for tests.

#ifndef LEVERWICK_TESTING_TABLE_BUILDER_H_
#define LEVERWICK_TESTING_TABLE_BUILDER_H_

#include <string>
#include <utility>
#include <vector>

#include "leverwick/fields.h"
#include "leverwick/table.h"

namespace leverwick {

using Cells = std::vector<std::pair<std::string, std::string>>;

class TableBuilder {
 public:
  // Adds a row; its edit must be accepted.
  TableBuilder& Add(const std::string& kind, const Cells& cells) {
    last_result_ = table_.Apply(offset_++, MakeEdit(table_, kind, cells));
    return *this;
  }

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
    last_result_ = table_.Apply(offset_++, record);
    return *this;
  }

  Table& table() { return table_; }
  const Table::ApplyResult& last_result() const { return last_result_; }
  uint64_t offset() const { return offset_; }

  // An edit of a row, based on the row as it is in `table`.
  static ConfigRecord MakeEdit(const Table& table, const std::string& kind,
                               const Cells& cells) {
    ConfigRecord record;
    RowEdit* edit = record.mutable_edit()->add_rows();
    auto* message = MakeRow(kind, edit->mutable_row());
    SetDefaults(message);
    std::string why;
    for (const auto& cell : cells) {
      SetField(message, cell.first, cell.second, &why);
    }
    edit->set_kind(kind);
    edit->set_key(RowKey(*message));
    const StoredRow* stored = table.FindRow(kind, edit->key());
    if (stored != nullptr) edit->set_base_revision(stored->revision());
    return record;
  }

  // Two data centres, two models and two organisations.
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
  uint64_t offset_ = 0;
};

}  // namespace leverwick

#endif  // LEVERWICK_TESTING_TABLE_BUILDER_H_
