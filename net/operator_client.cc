// Verdicts are computed here by the same reducer that the boxes use.

#include "net/operator_client.h"

#include <json/json.h>

#include <thread>

#include "leverwick/bill_encoding.h"
#include "leverwick/digest.h"
#include "net/json.h"
#include "net/json_fields.h"

namespace leverwick {
namespace {

constexpr uint32_t kBatch = 512;  // records in one read

constexpr int kTries = 5;
constexpr milliseconds kPause(100);

std::string NewEditId(const std::string& author) {
  auto now = std::chrono::system_clock::now().time_since_epoch().count();
  static uint64_t counter = 0;
  return author + "/" +
         Sha256Hex(std::to_string(now) + "/" + std::to_string(++counter))
             .substr(0, 16);
}

}  // namespace

OperatorClient::OperatorClient(std::string platform, std::string author,
                               milliseconds timeout)
    : platform_(platform, timeout),
      author_(std::move(author)),
      timeout_(timeout) {}

std::error_code OperatorClient::Read(Table* table, const RecordSeen& seen) {
  return ReadTable(&platform_, table, seen);
}

bool OperatorClient::FindEdit(const std::string& edit_id,
                              EditOutcome* outcome) {
  Table table;
  bool found = false;
  std::error_code error =
      Read(&table, [&](const TailRecord& tail, const ConfigRecord& record,
                       const Table::ApplyResult& verdict) {
        if (found || record.edit_id() != edit_id) return;
        found = true;
        outcome->error = verdict.error;
        outcome->detail = verdict.detail;
        outcome->offset = tail.offset();
      });
  if (error) outcome->error = error;
  return found;
}

std::error_code OperatorClient::ReadLedger(Ledger* ledger) {
  uint64_t from = 0;
  for (;;) {
    TailReply reply;
    std::error_code error =
        platform_.Read(kBillStream, from, kBatch, milliseconds(0), &reply);
    if (error == make_error_code(Result::kExpired)) {
      from = reply.first();
      continue;
    }
    if (error || reply.records().empty()) return error;
    for (const TailRecord& tail : reply.records()) {
      BillRecord record;
      if (DecodeRecord(tail.data(), &record)) ledger->Apply(record);
      from = tail.offset() + 1;
    }
  }
}

EditOutcome OperatorClient::Apply(const Edit& edit) {
  ConfigRecord record;
  record.set_edit_id(NewEditId(author_));
  record.set_author(author_);
  *record.mutable_edit() = edit;
  std::string text = MessageToJson(record);
  EditOutcome outcome;
  for (int i = 0; i < kTries; ++i) {
    uint64_t offset = 0;
    std::error_code error = platform_.Append(kConfigStream, text, &offset);
    bool maybe = !error || error == make_error_code(Result::kAppendUnknown);
    if (maybe && FindEdit(record.edit_id(), &outcome)) return outcome;
    outcome.error = error ? error : outcome.error;
    std::this_thread::sleep_for(kPause * (i + 1));
  }
  return outcome;
}

BoxState OperatorClient::StateOf(const ListedBox& box, uint64_t offset) {
  BoxState state;
  state.box = box;
  HttpClient client(box.control);
  HttpResult result = client.Call("GET", "/status", "", timeout_);
  Json::Value value;
  if (result.error || !ReadJson(result.body, &value)) return state;
  std::string problem;
  state.next_offset = JsonFields(value, &problem).Whole("next_offset");
  if (!problem.empty()) return state;
  state.reached = true;
  state.in_force = state.next_offset > offset;
  return state;
}

std::error_code OperatorClient::WaitInForce(uint64_t offset, nanoseconds bound,
                                            std::vector<BoxState>* states) {
  TimePoint until = Clock::now() + bound;
  for (;;) {
    BoxList list;
    states->clear();
    std::error_code error = platform_.ReadList("", &list);
    bool all = !error;
    for (const ListedBox& box : list.boxes) {
      if (box.leaving) continue;
      states->push_back(StateOf(box, offset));
      all = all && (states->back().in_force || !states->back().reached);
    }
    if (all || Clock::now() >= until) return error;
    std::this_thread::sleep_for(kPause);
  }
}

}  // namespace leverwick
