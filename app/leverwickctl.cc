// The operators' tool. Run `leverwickctl --help` for its commands.
//
// Exit codes: 0 done, 1 refused or failed, 2 usage, 3 accepted but not in
// force on every box that can be reached.

#include <json/json.h>
#include <signal.h>

#include <CLI/CLI.hpp>
#include <ctime>
#include <fstream>
#include <iostream>
#include <sstream>

#include "daemon/relay_state.h"
#include "leverwick/bills.h"
#include "leverwick/fields.h"
#include "net/csv.h"
#include "net/http_client.h"
#include "net/json.h"
#include "net/operator_client.h"

namespace leverwick {
namespace {

using google::protobuf::FieldDescriptor;
using google::protobuf::Message;

constexpr int kFailed = 1;
constexpr int kBehind = 3;
constexpr char kRevisionColumn[] = "revision";

struct Options {
  std::string platform = "127.0.0.1:7000";
  std::string author = "operator";
  int timeout_ms = 3000;
  int wait_ms = 10000;
  std::string kind;
  std::string key;
  std::vector<std::string> cells;
  std::string file;
  std::string organisation;
  std::string id;
  std::string address;
};

OperatorClient MakeClient(const Options& options) {
  return OperatorClient(options.platform, options.author,
                        milliseconds(options.timeout_ms));
}

int Fail(const std::error_code& error, const std::string& detail) {
  std::cerr << "leverwickctl: " << error.value() << " " << error.message();
  if (!detail.empty()) std::cerr << " " << detail;
  std::cerr << "\n";
  return kFailed;
}

void PrintRow(const StoredRow& stored) {
  const Message* message = RowMessage(stored.row());
  std::cout << stored.kind() << " " << stored.key() << " revision "
            << stored.revision() << "\n";
  for (int i = 0; i < message->GetDescriptor()->field_count(); ++i) {
    const FieldDescriptor& field = *message->GetDescriptor()->field(i);
    std::cout << "  " << field.name() << ": " << FormatField(*message, field)
              << "\n";
  }
}

int Show(const Options& options) {
  OperatorClient client = MakeClient(options);
  Table table;
  std::error_code error = client.Read(&table);
  if (error) return Fail(error, "");
  for (const StoredRow* row : table.rows()) {
    if (!row->has_row()) continue;
    if (!options.kind.empty() && row->kind() != options.kind) continue;
    if (!options.key.empty() && row->key() != options.key) continue;
    PrintRow(*row);
  }
  for (const Rollout* rollout : table.rollouts()) {
    RolloutProgress progress = table.ProgressFor(rollout->name());
    std::cout << "roll-out " << rollout->name() << " step "
              << progress.step() + 1 << " of " << rollout->steps_size();
    if (progress.tripped()) std::cout << ", stopped: " << progress.reason();
    std::cout << "\n";
  }
  return 0;
}

// Appends the edit and tells what became of it on every box.
int Apply(OperatorClient* client, const Edit& edit, const Options& options) {
  EditOutcome outcome = client->Apply(edit);
  if (outcome.error) return Fail(outcome.error, outcome.detail);
  std::vector<BoxState> states;
  std::error_code error = client->WaitInForce(
      outcome.offset, milliseconds(options.wait_ms), &states);
  if (error) {
    std::cerr << "leverwickctl: accepted at offset " << outcome.offset
              << ", but the boxes can't be listed: " << error.message() << "\n";
    return kBehind;
  }
  size_t in_force = 0;
  bool behind = false;
  for (const BoxState& state : states) {
    in_force += state.in_force ? 1 : 0;
    if (state.in_force) continue;
    behind = behind || state.reached;
    std::cerr << "leverwickctl: " << state.box.life
              << (state.reached ? " is behind\n" : " can't be reached\n");
  }
  std::cout << "accepted at offset " << outcome.offset << ", in force on "
            << in_force << " of " << states.size() << " boxes\n";
  return behind ? kBehind : 0;
}

// A row edit based on the row as it is now.
RowEdit BasedOn(const Table& table, const std::string& kind,
                const std::string& key) {
  RowEdit edit;
  edit.set_kind(kind);
  edit.set_key(key);
  const StoredRow* stored = table.FindRow(kind, key);
  if (stored != nullptr) edit.set_base_revision(stored->revision());
  return edit;
}

// Sets the key's cells of a new row from "a@b".
bool SetKeyCells(Message* message, const std::string& key) {
  std::string rest = key;
  std::string why;
  for (int i = 0; i < message->GetDescriptor()->field_count(); ++i) {
    const FieldDescriptor& field = *message->GetDescriptor()->field(i);
    if (!RuleFor(field).key()) continue;
    size_t at = rest.find('@');
    if (!SetField(message, field.name(), rest.substr(0, at), &why)) {
      return false;
    }
    rest = at == std::string::npos ? "" : rest.substr(at + 1);
  }
  return rest.empty();
}

bool SetCells(Message* message, const std::vector<std::string>& cells,
              std::vector<std::string>* problems) {
  for (const std::string& cell : cells) {
    size_t equals = cell.find('=');
    std::string name = cell.substr(0, equals);
    std::string why = "expected name=value";
    if (equals == std::string::npos ||
        !SetField(message, name, cell.substr(equals + 1), &why)) {
      problems->push_back(name + ": " + why);
    }
  }
  for (const std::string& problem : CheckRules(*message)) {
    problems->push_back(problem);
  }
  return problems->empty();
}

int Set(const Options& options) {
  OperatorClient client = MakeClient(options);
  Table table;
  std::error_code error = client.Read(&table);
  if (error) return Fail(error, "");
  Edit edit;
  RowEdit* row = edit.add_rows();
  *row = BasedOn(table, options.kind, options.key);
  const StoredRow* stored = table.FindRow(options.kind, options.key);
  Message* message = MakeRow(options.kind, row->mutable_row());
  if (message == nullptr) return Fail(Result::kUnknownKind, options.kind);
  SetDefaults(message);
  if (stored != nullptr && stored->has_row()) {
    message->CopyFrom(*RowMessage(stored->row()));
  } else if (!SetKeyCells(message, options.key)) {
    return Fail(Result::kInvalidRow, "the key has other parts");
  }
  std::vector<std::string> problems;
  if (!SetCells(message, options.cells, &problems)) {
    for (const std::string& problem : problems) std::cerr << problem << "\n";
    return Fail(Result::kInvalidRow, "nothing was changed");
  }
  return Apply(&client, edit, options);
}

int Remove(const Options& options) {
  OperatorClient client = MakeClient(options);
  Table table;
  std::error_code error = client.Read(&table);
  if (error) return Fail(error, "");
  Edit edit;
  *edit.add_rows() = BasedOn(table, options.kind, options.key);
  return Apply(&client, edit, options);
}

int Export(const Options& options) {
  OperatorClient client = MakeClient(options);
  Table table;
  std::error_code error = client.Read(&table);
  if (error) return Fail(error, "");
  Row empty;
  const Message* message = MakeRow(options.kind, &empty);
  if (message == nullptr) return Fail(Result::kUnknownKind, options.kind);
  const auto* descriptor = message->GetDescriptor();
  CsvRow header = {kRevisionColumn};
  for (int i = 0; i < descriptor->field_count(); ++i) {
    header.push_back(descriptor->field(i)->name());
  }
  std::cout << FormatCsv(header);
  for (const StoredRow* stored : table.rows()) {
    if (stored->kind() != options.kind || !stored->has_row()) continue;
    CsvRow line = {std::to_string(stored->revision())};
    for (int i = 0; i < descriptor->field_count(); ++i) {
      line.push_back(
          FormatField(*RowMessage(stored->row()), *descriptor->field(i), true));
    }
    std::cout << FormatCsv(line);
  }
  return 0;
}

// Turns CSV lines into one edit; every problem is collected.
Edit EditFromCsv(const Table& table, const std::string& kind,
                 const std::vector<CsvRow>& rows,
                 std::vector<std::string>* problems) {
  Edit edit;
  for (size_t line = 1; line < rows.size(); ++line) {
    std::string where = "line " + std::to_string(line + 1) + ": ";
    Row row;
    Message* message = MakeRow(kind, &row);
    SetDefaults(message);
    if (rows[line].size() != rows[0].size()) {
      problems->push_back(where + "has another number of cells");
      continue;
    }
    std::string revision;
    for (size_t i = 0; i < rows[line].size(); ++i) {
      std::string why;
      if (rows[0][i] == kRevisionColumn) {
        revision = rows[line][i];
      } else if (!SetField(message, rows[0][i], rows[line][i], &why)) {
        problems->push_back(where + rows[0][i] + ": " + why);
      }
    }
    for (const std::string& problem : CheckRules(*message)) {
      problems->push_back(where + problem);
    }
    RowEdit based = BasedOn(table, kind, RowKey(*message));
    if (!revision.empty()) {
      based.set_base_revision(std::strtoull(revision.c_str(), nullptr, 10));
    }
    *based.mutable_row() = row;
    *edit.add_rows() = based;
  }
  return edit;
}

int Import(const Options& options) {
  std::ifstream input(options.file);
  std::stringstream text;
  text << input.rdbuf();
  std::vector<CsvRow> rows;
  Row empty;
  if (MakeRow(options.kind, &empty) == nullptr) {
    return Fail(Result::kUnknownKind, options.kind);
  }
  if (!input || !ParseCsv(text.str(), &rows) || rows.empty()) {
    return Fail(Result::kInvalidRow, options.file + " is not readable CSV");
  }
  OperatorClient client = MakeClient(options);
  Table table;
  std::error_code error = client.Read(&table);
  if (error) return Fail(error, "");
  std::vector<std::string> problems;
  Edit edit = EditFromCsv(table, options.kind, rows, &problems);
  for (const std::string& problem : problems) std::cerr << problem << "\n";
  if (!problems.empty()) {
    return Fail(Result::kInvalidRow, "nothing was changed");
  }
  return Apply(&client, edit, options);
}

std::string TimeText(int64_t time_ms) {
  std::time_t seconds = time_ms / 1000;
  char text[32];
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  std::strftime(text, sizeof text, "%Y-%m-%dT%H:%M:%SZ", &parts);
  return text;
}

std::string Describe(const ConfigRecord& record) {
  std::string text;
  switch (record.change_case()) {
    case ConfigRecord::kEdit:
      for (const RowEdit& row : record.edit().rows()) {
        text += (text.empty() ? "" : ", ") +
                std::string(row.has_row() ? "set " : "remove ") + row.kind() +
                " " + row.key();
      }
      return text;
    case ConfigRecord::kRoster:
      return "roster " + record.roster().data_centre() + " " +
             std::to_string(record.roster().members_size()) + " boxes";
    case ConfigRecord::kAdvance:
      return "roll-out " + record.advance().rollout() + " to step " +
             std::to_string(record.advance().step() + 1);
    case ConfigRecord::kTrip:
      return "roll-out " + record.trip().rollout() +
             " stopped: " + record.trip().reason();
    case ConfigRecord::kSnapshot:
      return "snapshot";
    case ConfigRecord::CHANGE_NOT_SET:
      break;
  }
  return "unreadable record";
}

// Whether a record touches the row asked for; all do when none is named.
bool Touches(const ConfigRecord& record, const Options& options) {
  if (options.kind.empty()) return true;
  for (const RowEdit& row : record.edit().rows()) {
    bool key = options.key.empty() || row.key() == options.key;
    if (row.kind() == options.kind && key) return true;
  }
  return false;
}

int History(const Options& options) {
  OperatorClient client = MakeClient(options);
  Table table;
  std::error_code error = client.Read(
      &table, [&options](const TailRecord& tail, const ConfigRecord& record,
                         const Table::ApplyResult& verdict) {
        if (!Touches(record, options)) return;
        std::cout << tail.offset() << " " << TimeText(tail.time_ms()) << " "
                  << record.author() << " " << Describe(record) << " ";
        if (verdict.error) {
          std::cout << "rejected " << verdict.error.value() << " "
                    << verdict.detail << "\n";
        } else {
          std::cout << "accepted\n";
        }
      });
  return error ? Fail(error, "") : 0;
}

int Status(const Options& options) {
  OperatorClient client = MakeClient(options);
  Table table;
  std::error_code error = client.Read(&table);
  if (error) return Fail(error, "");
  uint64_t last = table.next_offset() > 0 ? table.next_offset() - 1 : 0;
  std::vector<BoxState> states;
  error = client.WaitInForce(last, nanoseconds(0), &states);
  if (error) return Fail(error, "");
  bool behind = false;
  for (const BoxState& state : states) {
    behind = behind || (state.reached && !state.in_force);
    std::cout << state.box.life << " " << state.box.data_centre << " "
              << (!state.reached   ? "can't be reached"
                  : state.in_force ? "up to date"
                                   : "behind")
              << " offset " << state.next_offset << " of "
              << table.next_offset() << "\n";
  }
  return behind ? kBehind : 0;
}

int Explain(const Options& options) {
  OperatorClient client = MakeClient(options);
  std::string life;
  uint64_t sequence = 0;
  if (!ParseRequestId(options.id, &life, &sequence)) {
    return Fail(Result::kUnknownRequest, options.id);
  }
  BoxList list;
  std::error_code error = client.Boxes(&list);
  if (error) return Fail(error, "");
  for (const ListedBox& box : list.boxes) {
    if (box.life != life) continue;
    HttpClient control(box.control);
    HttpResult result = control.Call("GET", "/explain?id=" + options.id, "",
                                     milliseconds(options.timeout_ms));
    if (result.error || result.status != 200) break;
    Json::Value value;
    ReadJson(result.body, &value);
    std::cout << value.toStyledString();
    return 0;
  }
  return Fail(Result::kUnknownRequest, options.id);
}

int Bills(const Options& options) {
  OperatorClient client = MakeClient(options);
  Ledger ledger;
  std::error_code error = client.ReadLedger(&ledger);
  if (error) return Fail(error, "");
  for (const auto& entry : ledger.lines()) {
    const BillLine& line = entry.second;
    if (!options.organisation.empty() &&
        line.organisation() != options.organisation) {
      continue;
    }
    std::cout << entry.first << " " << line.organisation() << " "
              << BillLine::Outcome_Name(line.outcome());
    for (const BillLeg& leg : line.legs()) {
      std::cout << " " << VersionKey(leg.model(), leg.version()) << " "
                << leg.prompt_tokens() << "+" << leg.completion_tokens()
                << " cost " << leg.cost();
    }
    std::cout << "\n";
  }
  std::cerr << "repeated lines dropped: " << ledger.duplicates() << "\n";
  return 0;
}

// The state of a relay before a keyed store, from its metrics address.
int ShowRelay(const Options& options) {
  HttpClient client(options.address);
  HttpResult result =
      client.Call("GET", "/metrics", "", milliseconds(options.timeout_ms));
  if (result.error) return Fail(result.error, options.address);
  PrintRelayState(result.body, &std::cout);
  return 0;
}

struct Command {
  const char* name;
  const char* help;
  int (*run)(const Options&);
  bool row;  // takes KIND and KEY
  bool row_optional;
};

const Command kCommands[] = {
    {"show", "Show rows of the table.", &Show, true, true},
    {"set", "Set cells of a row: name=value ...", &Set, true, false},
    {"remove", "Remove a row.", &Remove, true, false},
    {"export", "Write all rows of a kind as CSV.", &Export, false, false},
    {"import", "Read rows of a kind from CSV.", &Import, false, false},
    {"history", "Who changed what when, with verdicts.", &History, true, true},
    {"status", "Which boxes have the table in force.", &Status, false, false},
    {"explain", "How a request was answered.", &Explain, false, false},
    {"relay", "The state of one relay.", &ShowRelay, false, false},
    {"bills", "The bills in the log, once an id.", &Bills, false, false},
};

void AddArguments(const Command& command, CLI::App* sub, Options* options) {
  std::string name = command.name;
  if (command.row) {
    auto* kind = sub->add_option("kind", options->kind, "Kind of row.");
    auto* key = sub->add_option("key", options->key, "Key, parts joined by @.");
    if (!command.row_optional) {
      kind->required();
      key->required();
    }
  }
  if (name == "set") {
    sub->add_option("cells", options->cells, "name=value ...")->required();
  }
  if (name == "export" || name == "import") {
    sub->add_option("kind", options->kind, "Kind of row.")->required();
  }
  if (name == "import") {
    sub->add_option("file", options->file, "CSV file.")->required();
  }
  if (name == "explain") {
    sub->add_option("id", options->id, "Request id.")->required();
  }
  if (name == "relay") {
    sub->add_option("address", options->address, "ip:port of its metrics.")
        ->required();
  }
  if (name == "bills") {
    sub->add_option("--organisation", options->organisation, "Only its lines.");
  }
}

int Main(int argc, char** argv) {
  signal(SIGPIPE, SIG_IGN);
  CLI::App app{"leverwickctl edits the table and shows what is in force."};
  app.require_subcommand(1);
  Options options;
  app.add_option("--platform", options.platform, "ip:port of the platform.")
      ->envname("LEVERWICK_PLATFORM");
  app.add_option("--as", options.author, "Operator's name for the audit trail.")
      ->envname("LEVERWICK_OPERATOR");
  app.add_option("--timeout-ms", options.timeout_ms, "Of one call.");
  app.add_option("--wait-ms", options.wait_ms,
                 "Longest wait until a change is in force.");
  int code = 0;
  for (const Command& command : kCommands) {
    CLI::App* sub = app.add_subcommand(command.name, command.help);
    sub->fallthrough();
    AddArguments(command, sub, &options);
    sub->callback([&code, &command, &options] { code = command.run(options); });
  }
  CLI11_PARSE(app, argc, argv);
  return code;
}

}  // namespace
}  // namespace leverwick

int main(int argc, char** argv) { return leverwick::Main(argc, argv); }
