// All retained records are read first; then the newest usable snapshot among
// them is the start, and the records from its offset on are applied to it.

#include "net/config_log.h"

#include <vector>

#include "net/json.h"

namespace leverwick {
namespace {

constexpr uint32_t kBatch = 512;

std::error_code ReadAll(LogSource* source, uint64_t* first,
                        std::vector<TailRecord>* records) {
  *first = 0;
  uint64_t from = 0;
  for (;;) {
    TailReply reply;
    std::error_code error =
        source->Read(kConfigStream, from, kBatch, milliseconds(0), &reply);
    if (error == make_error_code(Result::kExpired)) {
      // Also when records expire while we read.
      *first = from = reply.first();
      records->clear();
      continue;
    }
    if (error) return error;
    if (reply.records().empty()) return {};
    for (const TailRecord& record : reply.records()) {
      records->push_back(record);
      from = record.offset() + 1;
    }
  }
}

// The newest snapshot from which the retained records go on without a gap.
bool FindSnapshot(const std::vector<TailRecord>& records, uint64_t first,
                  Table* table) {
  for (auto tail = records.rbegin(); tail != records.rend(); ++tail) {
    ConfigRecord record = ParseConfigRecord(tail->data());
    bool usable = record.has_snapshot() &&
                  record.snapshot().state().next_offset() >= first;
    if (!usable) continue;
    *table = Table(record.snapshot().state());
    return true;
  }
  return false;
}

}  // namespace

ConfigRecord ParseConfigRecord(const std::string& data) {
  ConfigRecord record;
  if (!MessageFromJson(data, &record)) record.Clear();
  return record;
}

std::error_code ReadTable(LogSource* source, Table* table,
                          const RecordSeen& seen) {
  uint64_t first = 0;
  std::vector<TailRecord> records;
  std::error_code error = ReadAll(source, &first, &records);
  if (error) return error;
  *table = Table();
  if (first > 0 && !FindSnapshot(records, first, table)) {
    return Result::kExpired;
  }
  for (const TailRecord& tail : records) {
    if (tail.offset() < table->next_offset()) continue;
    ConfigRecord record = ParseConfigRecord(tail.data());
    Table::ApplyResult verdict = table->Apply(tail.offset(), record);
    if (seen) seen(tail, record, verdict);
  }
  return {};
}

}  // namespace leverwick
