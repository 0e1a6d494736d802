// The operators' configuration table, a replicated state machine over the
// configuration log.
//
// Table applies the records of the log in the order of their offsets and
// accepts or rejects each. It is deterministic: the same records give the same
// table and the same results on every box, so the boxes need no further
// agreement. Edits use optimistic concurrency control: a row edit is accepted
// only if its base revision is the row's revision at that offset. Of two
// concurrent edits the first in the log wins, and a record that was appended
// twice is rejected the second time.
//
//   Table table;
//   Table::ApplyResult result = table.Apply(offset, record);
//   const Organisation* organisation = table.FindOrganisation("acme");
//
// Table is a plain value. Not thread-safe. Readers share a `const Table` that
// is replaced as a whole; see TableHolder.

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

// Returns the key of a version's row, "model@version".
std::string VersionKey(const std::string& model, const std::string& version);

// Returns the key of a row: its key fields joined by '@'.
std::string RowKey(const google::protobuf::Message& row);

// Returns the message inside `row`, or null when `row` is empty.
const google::protobuf::Message* RowMessage(const Row& row);

// Sets `row` to an empty message of `kind` and returns the message. Returns
// null and leaves `row` empty when there is no such kind.
google::protobuf::Message* MakeRow(const std::string& kind, Row* row);

class Table {
 public:
  struct ApplyResult {
    std::error_code error;     // not set when the record was accepted
    std::string detail;        // the rejected row and the reason
    bool is_snapshot = false;  // a snapshot record; it changes nothing
  };

  Table() = default;
  explicit Table(const TableState& state);

  // Applies the record at `offset`. Records below next_offset() are ignored.
  ApplyResult Apply(uint64_t offset, const ConfigRecord& record);

  // The offset after the last applied record.
  uint64_t next_offset() const { return next_offset_; }

  // Returns the whole table, for a snapshot. Table(state) restores it.
  TableState ToState() const;

  // The Find methods return null for an absent or removed row.
  const Organisation* FindOrganisation(const std::string& name) const;
  // Returns the organisation that owns the bearer key with this SHA-256 hash.
  const Organisation* FindOrganisationByKeyHash(
      const std::string& key_sha256) const;
  const Version* FindVersion(const std::string& model,
                             const std::string& version) const;
  const Service* FindService(const std::string& name) const;
  const Session* FindSession(const std::string& organisation,
                             const std::string& name) const;
  const Rollout* FindRollout(const std::string& name) const;

  // Returns the versions of a model, ordered by name.
  std::vector<const Version*> VersionsFor(const std::string& model) const;
  std::vector<const Version*> versions() const;
  std::vector<const Organisation*> organisations() const;
  std::vector<const Rollout*> rollouts() const;
  std::vector<const SigningKey*> signing_keys() const;
  std::vector<const DataCentre*> data_centres() const;

  // Returns the progress of a roll-out; step 0 and not tripped when no record
  // has changed it.
  RolloutProgress ProgressFor(const std::string& rollout) const;

  // Returns the most recent rosters of a data centre, oldest first; empty when
  // none was recorded.
  const std::vector<Roster>& RostersFor(const std::string& data_centre) const;

  // Returns a row with its revision, also if it is a tombstone; null when the
  // row never existed.
  const StoredRow* FindRow(const std::string& kind,
                           const std::string& key) const;

  // Returns all rows, including tombstones, ordered by kind and key.
  std::vector<const StoredRow*> rows() const;

 private:
  // By kind and key.
  using RowMap = std::map<std::pair<std::string, std::string>, StoredRow>;

  ApplyResult ApplyEdit(uint64_t offset, const Edit& edit);
  ApplyResult ApplyRoster(uint64_t offset, const RosterChange& change);
  ApplyResult ApplyAdvance(const RolloutAdvance& advance);
  ApplyResult ApplyTrip(const RolloutTrip& trip);
  ApplyResult CheckEdit(const RowEdit& edit) const;
  ApplyResult CheckRow(const RowEdit& edit) const;
  ApplyResult CheckReferences(const Edit& edit) const;
  bool Exists(const std::string& kind, const std::string& key) const;
  bool ExistsAfterEdit(const Edit& edit, const std::string& kind,
                       const std::string& key) const;
  void StoreRow(StoredRow row);
  void RebuildKeyIndex();

  RowMap rows_;
  // SHA-256 of a bearer key to the organisation's name.
  std::map<std::string, std::string> organisation_by_key_hash_;
  std::map<std::string, std::vector<Roster>> rosters_by_data_centre_;
  std::map<std::string, RolloutProgress> rollout_progress_;
  uint64_t next_offset_ = 0;
};

// Holds the current table and shares it with readers. Thread-safe.
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
