// The engines' own count of what ran is the truth that bills, "not run" and
// "at most once" are held against.

#include "scenario/checks.h"

#include <json/json.h>

#include <algorithm>
#include <set>

#include "net/json.h"
#include "standin/engine.h"

namespace leverwick {
namespace {

constexpr milliseconds kCallTimeout(2000);

// "life.sequence" of "life.sequence.attempt".
std::string RequestOf(const std::string& run_id) {
  return run_id.substr(0, run_id.rfind('.'));
}

std::string Compare(const YAML::Node& arguments, const char* name, int found) {
  if (!arguments[name]) return "";
  int wanted = arguments[name].as<int>();
  if (wanted == found) return "";
  return std::string(name) + " is " + std::to_string(found) + ", not " +
         std::to_string(wanted) + "; ";
}

std::string AtLeast(const YAML::Node& arguments, const char* name, int found) {
  std::string key = std::string("min_") + name;
  if (!arguments[key] || arguments[key].as<int>() <= found) return "";
  return std::string(name) + " is only " + std::to_string(found) + "; ";
}

}  // namespace

std::string Checks::Run(const YAML::Node& expect) {
  static const std::map<std::string, Check> checks = {
      {"results", &Checks::Results},
      {"bills_match", &Checks::BillsMatch},
      {"at_most_once", &Checks::AtMostOnce},
      {"not_run_did_not_run", &Checks::NotRunDidNotRun},
      {"whole", &Checks::Whole},
      {"no_runs", &Checks::NoRuns},
      {"status", &Checks::BoxStatus},
      {"versions", &Checks::Versions},
      {"in_force", &Checks::InForce},
      {"idle", &Checks::Idle},
      {"ready", &Checks::Ready},
      {"rollout", &Checks::Rollout},
      {"faster", &Checks::Faster},
      {"verdicts", &Checks::Verdicts},
  };
  std::string problems;
  for (const auto& entry : expect) {
    std::string name = entry.first.as<std::string>();
    auto check = checks.find(name);
    if (check == checks.end()) return "there is no check " + name;
    std::string problem = (this->*check->second)(entry.second);
    if (!problem.empty()) problems += name + ": " + problem + " ";
  }
  return problems;
}

void Checks::Mark(const std::string& name) {
  marks_[name] = std::chrono::system_clock::now();
}

bool Checks::ReadRuns(std::vector<EngineRun>* runs) const {
  for (const std::string& engine : world_->engines()) {
    HttpClient client(world_->AddressOf(engine));
    HttpResult result = client.Call("GET", "/admin/runs", "", kCallTimeout);
    Json::Value value;
    // A killed engine took its count with it.
    if (result.error || !ReadJson(result.body, &value)) continue;
    for (const Json::Value& run : value["runs"]) {
      runs->push_back(
          EngineRun{engine, run["id"].asString(), run["tag"].asString(),
                    run["times"].asInt(),
                    WallTime(milliseconds(run["started_ms"].asInt64()))});
    }
  }
  return true;
}

bool Checks::ReadLedger(Ledger* ledger) {
  return !world_->operators().ReadLedger(ledger);
}

std::string Checks::Results(const YAML::Node& arguments) {
  std::string batch = arguments["of"].as<std::string>();
  traffic_->Wait(batch);
  int answered = 0;
  int not_run = 0;
  int unknown = 0;
  int ran = 0;
  int lost = 0;
  int left = 0;
  std::map<int, int> codes;
  std::vector<CallerRecord> records = traffic_->Records(batch);
  for (const CallerRecord& record : records) {
    answered += record.whole ? 1 : 0;
    not_run += record.run_state == "not_run" ? 1 : 0;
    unknown += record.run_state == "unknown" ? 1 : 0;
    ran += !record.whole && record.run_state == "ran" ? 1 : 0;
    lost += !record.whole && !record.left && record.code == 0 ? 1 : 0;
    left += record.left ? 1 : 0;
    ++codes[record.code];
  }
  std::string problem =
      Compare(arguments, "sent", static_cast<int>(records.size())) +
      Compare(arguments, "answered", answered) +
      Compare(arguments, "not_run", not_run) +
      Compare(arguments, "unknown", unknown) + Compare(arguments, "ran", ran) +
      Compare(arguments, "lost", lost) + Compare(arguments, "left", left) +
      AtLeast(arguments, "answered", answered) +
      AtLeast(arguments, "not_run", not_run);
  for (const auto& code : arguments["codes"]) {
    int found = codes[code.first.as<int>()];
    if (found == code.second.as<int>()) continue;
    problem += "code " + code.first.as<std::string>() + " came " +
               std::to_string(found) + " times; ";
  }
  if (problem.empty()) return "";
  for (const auto& code : codes) {
    problem +=
        std::to_string(code.second) + "x" + std::to_string(code.first) + " ";
  }
  return problem;
}

std::string Checks::BillsMatch(const YAML::Node&) {
  std::vector<EngineRun> runs;
  Ledger ledger;
  if (!ReadRuns(&runs) || !ReadLedger(&ledger)) return "can't read";
  std::set<std::string> ran;
  for (const EngineRun& run : runs) ran.insert(RequestOf(run.id));
  size_t unbilled = 0;
  std::string example;
  for (const std::string& id : ran) {
    auto line = ledger.lines().find(id);
    bool billed = line != ledger.lines().end() &&
                  line->second.outcome() != BillLine::VOID;
    if (billed) continue;
    ++unbilled;
    example = id;
  }
  size_t without_run = 0;
  for (const auto& line : ledger.lines()) {
    bool counts = line.second.outcome() == BillLine::ANSWERED ||
                  line.second.outcome() == BillLine::FAILED;
    if (!counts || ran.count(line.first) > 0) continue;
    ++without_run;
    example = line.first;
  }
  if (unbilled == 0 && without_run == 0) return "";
  return std::to_string(unbilled) + " ran and are not billed, " +
         std::to_string(without_run) + " billed and did not run, e.g. " +
         example;
}

std::string Checks::AtMostOnce(const YAML::Node&) {
  std::vector<EngineRun> runs;
  if (!ReadRuns(&runs)) return "can't read";
  std::set<std::string> once;
  for (const CallerRecord& record : traffic_->All()) {
    if (!record.may_repeat) once.insert(record.prompt);
  }
  std::map<std::string, int> times;
  for (const EngineRun& run : runs) {
    std::string tag = run.tag;
    if (!tag.empty() && tag.back() == '\n') tag.pop_back();
    if (once.count(tag) > 0) times[tag] += run.times;
  }
  for (const auto& entry : times) {
    if (entry.second > 1) {
      return entry.first + " ran " + std::to_string(entry.second) + " times";
    }
  }
  return "";
}

std::string Checks::NotRunDidNotRun(const YAML::Node&) {
  std::vector<EngineRun> runs;
  if (!ReadRuns(&runs)) return "can't read";
  std::set<std::string> ran;
  for (const EngineRun& run : runs) ran.insert(RequestOf(run.id));
  for (const CallerRecord& record : traffic_->All()) {
    if (record.run_state == "not_run" && ran.count(record.id) > 0) {
      return record.id + " was told not run, and ran";
    }
  }
  return "";
}

std::string Checks::Whole(const YAML::Node& arguments) {
  int64_t mean = arguments["mean_tokens"].as<int64_t>(24);
  for (const CallerRecord& record : traffic_->All()) {
    if (record.service || record.status != 200) continue;
    if (!record.whole) {
      if (record.code != 0 || record.left) continue;
      return record.id + " ended short without an error";
    }
    std::string text = record.text;
    std::string reference = EngineStandIn::ReferenceText(
        record.prompt + "\n", mean, record.max_tokens);
    // A poor answer differs in its first word only.
    if (text.rfind("unsure ", 0) == 0) {
      text.erase(0, text.find(' '));
      reference.erase(0, reference.find(' '));
    }
    if (text != reference) {
      return record.id + " got '" + text.substr(0, 60) + "' for '" +
             record.prompt + "'";
    }
  }
  return "";
}

std::string Checks::NoRuns(const YAML::Node& arguments) {
  std::vector<EngineRun> runs;
  if (!ReadRuns(&runs)) return "can't read";
  std::string engine = arguments["engine"].as<std::string>();
  WallTime since = marks_[arguments["since"].as<std::string>()];
  for (const EngineRun& run : runs) {
    if (run.engine == engine && run.started > since) {
      return run.id + " ran on " + engine + " " +
             std::to_string(SinceEpoch(run.started).count() -
                            SinceEpoch(since).count()) +
             " ms after the mark";
    }
  }
  return "";
}

std::string Checks::BoxStatus(const YAML::Node& arguments) {
  Json::Value status;
  if (!world_->Status(arguments["box"].as<std::string>(), &status)) {
    return "no answer";
  }
  std::string problem;
  for (const auto& entry : arguments) {
    std::string name = entry.first.as<std::string>();
    if (name == "box") continue;
    std::string found = status[name].asString();
    if (found == entry.second.as<std::string>()) continue;
    problem += name + " is " + found + "; ";
  }
  return problem;
}

std::string Checks::Versions(const YAML::Node& arguments) {
  std::string batch = arguments["of"].as<std::string>();
  traffic_->Wait(batch);
  std::string only = arguments["only"].as<std::string>("");
  std::string never = arguments["never"].as<std::string>("");
  for (const CallerRecord& record : traffic_->Records(batch)) {
    if (record.version.empty()) continue;
    if (!only.empty() && record.version != only) {
      return record.id + " ran on " + record.version;
    }
    if (!never.empty() && record.version == never) {
      return record.id + " ran on " + record.version;
    }
  }
  return "";
}

std::string Checks::Idle(const YAML::Node& arguments) {
  std::string engine = arguments["engine"].as<std::string>();
  HttpClient client(world_->AddressOf(engine));
  HttpResult result = client.Call("GET", "/load", "", kCallTimeout);
  Json::Value load;
  if (result.error || !ReadJson(result.body, &load)) return "no answer";
  int running = load["running"].asInt();
  return running == 0 ? "" : std::to_string(running) + " run on " + engine;
}

std::string Checks::InForce(const YAML::Node& arguments) {
  Table table;
  if (world_->operators().Read(&table)) return "can't read";
  for (const YAML::Node& box : arguments["boxes"]) {
    Json::Value status;
    if (!world_->Status(box.as<std::string>(), &status)) return "no answer";
    if (status["next_offset"].asUInt64() < table.next_offset()) {
      return box.as<std::string>() + " is behind";
    }
  }
  return "";
}

std::string Checks::Ready(const YAML::Node& arguments) {
  for (const YAML::Node& box : arguments) {
    Json::Value status;
    if (!world_->Status(box.as<std::string>(), &status)) {
      return box.as<std::string>() + " does not answer";
    }
    bool ready = status["ready"].asBool() && status["slots_active"].asBool() &&
                 status["endpoints"].asInt() >= world_->EnginesIn(status);
    if (!ready) return box.as<std::string>() + " is not ready";
  }
  return "";
}

std::string Checks::Rollout(const YAML::Node& arguments) {
  Table table;
  if (world_->operators().Read(&table)) return "can't read";
  RolloutProgress progress =
      table.ProgressFor(arguments["name"].as<std::string>());
  if (arguments["tripped"] &&
      progress.tripped() != arguments["tripped"].as<bool>()) {
    return progress.tripped() ? "tripped: " + progress.reason() : "not tripped";
  }
  return Compare(arguments, "step", progress.step());
}

std::string Checks::Faster(const YAML::Node& arguments) {
  std::string batch = arguments["of"].as<std::string>();
  traffic_->Wait(batch);
  auto bound = milliseconds(arguments["ms"].as<int>());
  for (const CallerRecord& record : traffic_->Records(batch)) {
    if (record.took > bound) {
      return record.id + " took " + std::to_string(record.took.count()) + " ms";
    }
  }
  return "";
}

std::string Checks::Verdicts(const YAML::Node& arguments) {
  Table table;
  std::map<int, int> codes;
  std::string author = arguments["author"].as<std::string>();
  std::error_code error = world_->operators().Read(
      &table, [&](const TailRecord&, const ConfigRecord& record,
                  const Table::ApplyResult& verdict) {
        if (record.author() == author) ++codes[verdict.error.value()];
      });
  if (error) return "can't read";
  std::string problem;
  for (const auto& code : arguments["codes"]) {
    int found = codes[code.first.as<int>()];
    if (found == code.second.as<int>()) continue;
    problem += code.first.as<std::string>() + " came " + std::to_string(found) +
               " times; ";
  }
  return problem;
}

std::string Checks::Summary() {
  std::vector<EngineRun> runs;
  Ledger ledger;
  ReadRuns(&runs);
  ReadLedger(&ledger);
  int answered = 0;
  int not_run = 0;
  int unknown = 0;
  int lost = 0;
  std::vector<CallerRecord> records = traffic_->All();
  for (const CallerRecord& record : records) {
    answered += record.whole ? 1 : 0;
    not_run += record.run_state == "not_run" ? 1 : 0;
    unknown += record.run_state == "unknown" ? 1 : 0;
    lost += !record.whole && record.code == 0 ? 1 : 0;
  }
  size_t voids = 0;
  for (const auto& line : ledger.lines()) {
    voids += line.second.outcome() == BillLine::VOID ? 1 : 0;
  }
  return "sent " + std::to_string(records.size()) + ", answered " +
         std::to_string(answered) + ", not run " + std::to_string(not_run) +
         ", unknown " + std::to_string(unknown) + ", no answer " +
         std::to_string(lost) + ", runs " + std::to_string(runs.size()) +
         ", bills " + std::to_string(ledger.lines().size() - voids) +
         ", repeated lines dropped " + std::to_string(ledger.duplicates());
}

}  // namespace leverwick
