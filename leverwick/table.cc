// Rows are stored by (kind, key). A row's revision is the offset of its last
// accepted edit plus one; 0 stands for a row that never existed. Removed rows
// remain as tombstones, so that a replay of the record that created the row is
// rejected. All rows of an edit are validated, with references resolved against
// the table as the edit would leave it, before any of them is stored: an edit
// is applied atomically.

#include "leverwick/table.h"

#include <algorithm>

#include "google/protobuf/util/message_differencer.h"
#include "leverwick/fields.h"

namespace leverwick {
namespace {

using google::protobuf::FieldDescriptor;
using google::protobuf::Message;

// Per data centre. Earlier rosters are needed until every slot has moved to its
// new owner; see claims.h.
constexpr size_t kMaxRosterHistory = 32;

Table::ApplyResult Reject(Result result, std::string detail) {
  return Table::ApplyResult{result, std::move(detail), false};
}

std::string DescribeRow(const RowEdit& edit) {
  return edit.kind() + " " + edit.key();
}

// Returns the name of the first immutable field in which the rows differ, or
// "".
std::string FirstChangedImmutableField(const Message& before,
                                       const Message& after) {
  const auto* descriptor = before.GetDescriptor();
  for (int i = 0; i < descriptor->field_count(); ++i) {
    const FieldDescriptor& field = *descriptor->field(i);
    if (!RuleFor(field).immutable()) continue;
    if (FormatField(before, field, true) != FormatField(after, field, true)) {
      return field.name();
    }
  }
  return "";
}

bool HasAscendingSteps(const Rollout& rollout) {
  const auto& steps = rollout.steps();
  return !steps.empty() && std::is_sorted(steps.begin(), steps.end());
}

// Checks the rules that a field's Rule can't express. Returns the violated one,
// or "".
std::string CheckRowRules(const Row& row) {
  if (row.has_rollout() && !HasAscendingSteps(row.rollout())) {
    return "steps must be a list of shares in ascending order";
  }
  constexpr size_t kMinSecretBytes = 16;
  if (row.has_signing_key() &&
      row.signing_key().secret().size() < kMinSecretBytes) {
    return "secret must have at least 16 characters";
  }
  return "";
}

// The row that another row refers to.
struct Reference {
  std::string kind;
  std::string key;
};

std::vector<Reference> FindReferences(const Row& row) {
  if (row.has_organisation()) {
    return {{"data_centre", row.organisation().home()}};
  }
  if (row.has_rollout()) {
    const Rollout& rollout = row.rollout();
    return {{"version", VersionKey(rollout.model(), rollout.from_version())},
            {"version", VersionKey(rollout.model(), rollout.to_version())}};
  }
  if (row.has_session()) {
    const Session& session = row.session();
    return {{"organisation", session.organisation()},
            {"version", VersionKey(session.model(), session.version())}};
  }
  return {};
}

}  // namespace

std::string VersionKey(const std::string& model, const std::string& version) {
  return model + "@" + version;
}

std::string RowKey(const Message& row) {
  std::string key;
  const auto* descriptor = row.GetDescriptor();
  for (int i = 0; i < descriptor->field_count(); ++i) {
    const FieldDescriptor& field = *descriptor->field(i);
    if (!RuleFor(field).key()) continue;
    if (!key.empty()) key += '@';
    key += FormatField(row, field, true);
  }
  return key;
}

const Message* RowMessage(const Row& row) {
  const auto* oneof = Row::descriptor()->oneof_decl(0);
  const auto* reflection = row.GetReflection();
  const FieldDescriptor* field =
      reflection->GetOneofFieldDescriptor(row, oneof);
  return field == nullptr ? nullptr : &reflection->GetMessage(row, field);
}

Message* MakeRow(const std::string& kind, Row* row) {
  row->Clear();
  const FieldDescriptor* field = Row::descriptor()->FindFieldByName(kind);
  if (field == nullptr) return nullptr;
  return row->GetReflection()->MutableMessage(row, field);
}

Table::Table(const TableState& state) : next_offset_(state.next_offset()) {
  for (const StoredRow& row : state.rows()) StoreRow(row);
  for (const Roster& roster : state.rosters()) {
    rosters_by_data_centre_[roster.data_centre()].push_back(roster);
  }
  for (const RolloutProgress& progress : state.rollouts()) {
    rollout_progress_[progress.rollout()] = progress;
  }
  RebuildKeyIndex();
}

Table::ApplyResult Table::Apply(uint64_t offset, const ConfigRecord& record) {
  if (offset < next_offset_) return ApplyResult{};
  next_offset_ = offset + 1;
  switch (record.change_case()) {
    case ConfigRecord::kEdit:
      return ApplyEdit(offset, record.edit());
    case ConfigRecord::kRoster:
      return ApplyRoster(offset, record.roster());
    case ConfigRecord::kAdvance:
      return ApplyAdvance(record.advance());
    case ConfigRecord::kTrip:
      return ApplyTrip(record.trip());
    case ConfigRecord::kSnapshot:
      return ApplyResult{{}, "", true};
    case ConfigRecord::CHANGE_NOT_SET:
      break;
  }
  return Reject(Result::kUnusableRecord, "the record contains no change");
}

Table::ApplyResult Table::ApplyEdit(uint64_t offset, const Edit& edit) {
  for (const RowEdit& row : edit.rows()) {
    ApplyResult result = CheckEdit(row);
    if (result.error) return result;
  }
  ApplyResult result = CheckReferences(edit);
  if (result.error) return result;
  for (const RowEdit& row : edit.rows()) {
    StoredRow stored;
    stored.set_kind(row.kind());
    stored.set_key(row.key());
    stored.set_revision(offset + 1);
    if (row.has_row()) *stored.mutable_row() = row.row();
    StoreRow(std::move(stored));
  }
  RebuildKeyIndex();
  return ApplyResult{};
}

Table::ApplyResult Table::CheckEdit(const RowEdit& edit) const {
  const StoredRow* stored = FindRow(edit.kind(), edit.key());
  uint64_t revision = stored == nullptr ? 0 : stored->revision();
  if (revision != edit.base_revision()) {
    return Reject(Result::kStaleRevision,
                  DescribeRow(edit) + " is at revision " +
                      std::to_string(revision) + ", the edit was based on " +
                      std::to_string(edit.base_revision()));
  }
  return edit.has_row() ? CheckRow(edit) : ApplyResult{};
}

Table::ApplyResult Table::CheckRow(const RowEdit& edit) const {
  const Message* row = RowMessage(edit.row());
  Row expected;
  if (row == nullptr || MakeRow(edit.kind(), &expected) == nullptr ||
      expected.kind_case() != edit.row().kind_case()) {
    return Reject(Result::kUnknownKind, DescribeRow(edit));
  }
  if (RowKey(*row) != edit.key()) {
    return Reject(
        Result::kInvalidRow,
        DescribeRow(edit) + ": the edit's key differs from the key of its row");
  }
  for (const std::string& problem : CheckRules(*row)) {
    return Reject(Result::kInvalidRow, DescribeRow(edit) + ": " + problem);
  }
  std::string problem = CheckRowRules(edit.row());
  if (!problem.empty()) {
    return Reject(Result::kInvalidRow, DescribeRow(edit) + ": " + problem);
  }
  const StoredRow* stored = FindRow(edit.kind(), edit.key());
  if (stored == nullptr || !stored->has_row()) return ApplyResult{};
  std::string changed =
      FirstChangedImmutableField(*RowMessage(stored->row()), *row);
  if (changed.empty()) return ApplyResult{};
  return Reject(Result::kImmutableCell, DescribeRow(edit) + ": " + changed);
}

Table::ApplyResult Table::CheckReferences(const Edit& edit) const {
  for (const RowEdit& row : edit.rows()) {
    for (const Reference& reference : FindReferences(row.row())) {
      if (ExistsAfterEdit(edit, reference.kind, reference.key)) continue;
      return Reject(Result::kUnknownReference,
                    DescribeRow(row) + ": there is no " + reference.kind + " " +
                        reference.key);
    }
  }
  return ApplyResult{};
}

bool Table::Exists(const std::string& kind, const std::string& key) const {
  const StoredRow* stored = FindRow(kind, key);
  return stored != nullptr && stored->has_row();
}

bool Table::ExistsAfterEdit(const Edit& edit, const std::string& kind,
                            const std::string& key) const {
  for (const RowEdit& row : edit.rows()) {
    if (row.kind() == kind && row.key() == key) return row.has_row();
  }
  return Exists(kind, key);
}

Table::ApplyResult Table::ApplyRoster(uint64_t offset,
                                      const RosterChange& change) {
  std::vector<Roster>& history = rosters_by_data_centre_[change.data_centre()];
  uint64_t epoch = history.empty() ? 0 : history.back().epoch();
  if (epoch != change.base_epoch()) {
    return Reject(Result::kStaleRoster, change.data_centre() + " is at epoch " +
                                            std::to_string(epoch));
  }
  Roster roster;
  roster.set_data_centre(change.data_centre());
  roster.set_epoch(offset + 1);
  *roster.mutable_members() = change.members();
  history.push_back(std::move(roster));
  if (history.size() > kMaxRosterHistory) history.erase(history.begin());
  return ApplyResult{};
}

Table::ApplyResult Table::ApplyAdvance(const RolloutAdvance& advance) {
  const Rollout* rollout = FindRollout(advance.rollout());
  RolloutProgress progress = ProgressFor(advance.rollout());
  if (rollout == nullptr || progress.tripped() || rollout->paused()) {
    return Reject(Result::kRolloutStopped, advance.rollout());
  }
  if (advance.step() != progress.step() + 1 ||
      advance.step() >= rollout->steps_size()) {
    return Reject(Result::kStepOutOfOrder, advance.rollout() + " is at step " +
                                               std::to_string(progress.step()));
  }
  progress.set_step(advance.step());
  rollout_progress_[advance.rollout()] = progress;
  return ApplyResult{};
}

Table::ApplyResult Table::ApplyTrip(const RolloutTrip& trip) {
  RolloutProgress progress = ProgressFor(trip.rollout());
  if (FindRollout(trip.rollout()) == nullptr || progress.tripped()) {
    return Reject(Result::kRolloutStopped, trip.rollout());
  }
  progress.set_tripped(true);
  progress.set_reason(trip.reason());
  rollout_progress_[trip.rollout()] = progress;
  return ApplyResult{};
}

TableState Table::ToState() const {
  TableState state;
  state.set_next_offset(next_offset_);
  for (const auto& entry : rows_) *state.add_rows() = entry.second;
  for (const auto& entry : rosters_by_data_centre_) {
    for (const Roster& roster : entry.second) *state.add_rosters() = roster;
  }
  for (const auto& entry : rollout_progress_)
    *state.add_rollouts() = entry.second;
  return state;
}

void Table::StoreRow(StoredRow row) {
  auto id = std::make_pair(row.kind(), row.key());
  rows_[std::move(id)] = std::move(row);
}

void Table::RebuildKeyIndex() {
  organisation_by_key_hash_.clear();
  for (const Organisation* organisation : organisations()) {
    for (const std::string& key_hash : organisation->key_sha256()) {
      organisation_by_key_hash_[key_hash] = organisation->name();
    }
  }
}

const StoredRow* Table::FindRow(const std::string& kind,
                                const std::string& key) const {
  auto found = rows_.find(std::make_pair(kind, key));
  return found == rows_.end() ? nullptr : &found->second;
}

namespace {

// Returns the message of a stored row; null when there is no row or it is a
// tombstone.
template <typename Message>
const Message* TypedRow(const StoredRow* stored,
                        const Message& (Row::*field)() const) {
  if (stored == nullptr || !stored->has_row()) return nullptr;
  return &(stored->row().*field)();
}

}  // namespace

const Organisation* Table::FindOrganisation(const std::string& name) const {
  return TypedRow(FindRow("organisation", name), &Row::organisation);
}

const Organisation* Table::FindOrganisationByKeyHash(
    const std::string& key_sha256) const {
  auto found = organisation_by_key_hash_.find(key_sha256);
  if (found == organisation_by_key_hash_.end()) return nullptr;
  return FindOrganisation(found->second);
}

const Version* Table::FindVersion(const std::string& model,
                                  const std::string& version) const {
  return TypedRow(FindRow("version", VersionKey(model, version)),
                  &Row::version);
}

const Service* Table::FindService(const std::string& name) const {
  return TypedRow(FindRow("service", name), &Row::service);
}

const Session* Table::FindSession(const std::string& organisation,
                                  const std::string& name) const {
  return TypedRow(FindRow("session", name + "@" + organisation), &Row::session);
}

const Rollout* Table::FindRollout(const std::string& name) const {
  return TypedRow(FindRow("rollout", name), &Row::rollout);
}

namespace {

template <typename Message, typename RowMap>
std::vector<const Message*> RowsOfKind(const RowMap& rows, const char* kind,
                                       const Message& (Row::*field)() const) {
  std::vector<const Message*> all;
  auto row = rows.lower_bound(std::make_pair(std::string(kind), std::string()));
  for (; row != rows.end() && row->first.first == kind; ++row) {
    const Message* message = TypedRow(&row->second, field);
    if (message != nullptr) all.push_back(message);
  }
  return all;
}

}  // namespace

std::vector<const Version*> Table::versions() const {
  return RowsOfKind(rows_, "version", &Row::version);
}

std::vector<const Organisation*> Table::organisations() const {
  return RowsOfKind(rows_, "organisation", &Row::organisation);
}

std::vector<const Rollout*> Table::rollouts() const {
  return RowsOfKind(rows_, "rollout", &Row::rollout);
}

std::vector<const SigningKey*> Table::signing_keys() const {
  return RowsOfKind(rows_, "signing_key", &Row::signing_key);
}

std::vector<const DataCentre*> Table::data_centres() const {
  return RowsOfKind(rows_, "data_centre", &Row::data_centre);
}

std::vector<const Version*> Table::VersionsFor(const std::string& model) const {
  std::vector<const Version*> matching;
  for (const Version* version : versions()) {
    if (version->model() == model) matching.push_back(version);
  }
  return matching;
}

RolloutProgress Table::ProgressFor(const std::string& rollout) const {
  auto found = rollout_progress_.find(rollout);
  if (found != rollout_progress_.end()) return found->second;
  RolloutProgress progress;
  progress.set_rollout(rollout);
  return progress;
}

const std::vector<Roster>& Table::RostersFor(
    const std::string& data_centre) const {
  static const std::vector<Roster> none;
  auto found = rosters_by_data_centre_.find(data_centre);
  return found == rosters_by_data_centre_.end() ? none : found->second;
}

std::vector<const StoredRow*> Table::rows() const {
  std::vector<const StoredRow*> all;
  for (const auto& entry : rows_) all.push_back(&entry.second);
  return all;
}

std::shared_ptr<const Table> TableHolder::table() const {
  std::lock_guard<std::mutex> lock(mutex_);
  return table_;
}

void TableHolder::Replace(std::shared_ptr<const Table> table) {
  std::lock_guard<std::mutex> lock(mutex_);
  table_ = std::move(table);
}

}  // namespace leverwick
