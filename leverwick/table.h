// The operators' table, as every box computes it from the configuration log.
//
// Table is a reducer: it takes the records of the log in the order of their
// offsets and gives a verdict on each. Equal records give equal tables and
// verdicts on every box, so nothing else need be agreed. A row edit is
// accepted exactly if it names the revision the row has at that offset: of
// two racing edits the first wins, and the same record appended twice is
// rejected the second time.
//
//   Table table;
//   Table::ApplyResult verdict = table.Apply(offset, record);
//   const Organisation* organisation = table.FindOrganisation("acme");
//
// Table is a plain value. Readers share a `const Table` that is replaced as a
// whole, see TableHolder.

#ifndef LEVERWICK_TABLE_H_
#define LEVERWICK_TABLE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <system_error>
#include <utility>
#include <vector>

#include "leverwick/result.h"
#include "schema/table.pb.h"

namespace leverwick {

// "model@version".
std::string VersionKey(const std::string& model, const std::string& version);

// The key of a row's message: its key fields joined by '@'.
std::string RowKey(const google::protobuf::Message& row);

// The message inside `row`, or null when it is empty.
const google::protobuf::Message* RowMessage(const Row& row);

// Sets `row` to an empty message of `kind` and returns it; null when there is
// no such kind.
google::protobuf::Message* MakeRow(const std::string& kind, Row* row);

class Table {
 public:
  struct ApplyResult {
    std::error_code error;     // none: accepted
    std::string detail;        // which row, and why
    bool is_snapshot = false;  // a snapshot changes nothing
  };

  Table() = default;
  explicit Table(const TableState& state);

  // Applies the record at `offset`. Records below next_offset() are ignored.
  ApplyResult Apply(uint64_t offset, const ConfigRecord& record);

  // The offset up to which (exclusive) records have been applied.
  uint64_t next_offset() const { return next_offset_; }

  TableState ToState() const;

  const Organisation* FindOrganisation(const std::string& name) const;
  // The organisation that a bearer key of this SHA-256 belongs to.
  const Organisation* FindOrganisationByKeyHash(
      const std::string& key_sha256) const;
  const Version* FindVersion(const std::string& model,
                             const std::string& version) const;
  const Service* FindService(const std::string& name) const;
  const Session* FindSession(const std::string& organisation,
                             const std::string& name) const;
  const Rollout* FindRollout(const std::string& name) const;

  // Versions of a model, by name.
  std::vector<const Version*> VersionsFor(const std::string& model) const;
  std::vector<const Version*> versions() const;
  std::vector<const Organisation*> organisations() const;
  std::vector<const Rollout*> rollouts() const;
  std::vector<const SigningKey*> signing_keys() const;
  std::vector<const DataCentre*> data_centres() const;

  // The progress of a roll-out; step 0 and untripped when nothing is known.
  RolloutProgress ProgressFor(const std::string& rollout) const;

  // Rosters of a data centre, oldest first; empty when it never had one.
  const std::vector<Roster>& RostersFor(const std::string& data_centre) const;

  // A row with its revision, tombstones included; null when never seen.
  const StoredRow* FindRow(const std::string& kind,
                           const std::string& key) const;

  // All rows, tombstones included, by kind and key.
  std::vector<const StoredRow*> rows() const;

 private:
  using RowMap = std::map<std::pair<std::string, std::string>, StoredRow>;

  ApplyResult ApplyEdit(uint64_t offset, const Edit& edit);
  ApplyResult ApplyRoster(uint64_t offset, const RosterChange& change);
  ApplyResult ApplyAdvance(const RolloutAdvance& advance);
  ApplyResult ApplyTrip(const RolloutTrip& trip);
  ApplyResult CheckEdit(const RowEdit& edit) const;
  ApplyResult CheckRow(const RowEdit& edit) const;
  ApplyResult CheckReferences(const Edit& edit) const;
  bool Exists(const std::string& kind, const std::string& key) const;
  bool ExistsAfter(const Edit& edit, const std::string& kind,
                   const std::string& key) const;
  void Store(StoredRow row);
  void Index();

  RowMap rows_;
  std::map<std::string, std::string> organisation_by_key_;
  std::map<std::string, std::vector<Roster>> rosters_;
  std::map<std::string, RolloutProgress> progress_;
  uint64_t next_offset_ = 0;
};

// Hands readers the table in force. Thread-safe.
class TableHolder {
 public:
  TableHolder() : table_(std::make_shared<const Table>()) {}

  std::shared_ptr<const Table> table() const;
  void Replace(std::shared_ptr<const Table> table);

 private:
  mutable std::mutex mutex_;
  std::shared_ptr<const Table> table_;
};

}  // namespace leverwick

#endif  // LEVERWICK_TABLE_H_
