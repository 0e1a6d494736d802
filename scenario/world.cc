// Ports are handed out in order, so that the same scenario always gets the
// same ones from its first.

#include "scenario/world.h"

#include <json/json.h>
#include <signal.h>

#include <fstream>
#include <thread>

#include "leverwick/fields.h"
#include "net/json.h"

namespace leverwick {
namespace {

constexpr char kPlatform[] = "platform";
constexpr milliseconds kCallTimeout(3000);

std::string Flag(const std::string& name) {
  std::string flag = "--" + name;
  for (char& c : flag) {
    if (c == '_') c = '-';
  }
  return flag;
}

}  // namespace

std::string LoopbackAddress(int port) {
  return "127.0.0.1:" + std::to_string(port);
}

World::World(const YAML::Node& scenario, WorldOptions options)
    : scenario_(scenario),
      options_(std::move(options)),
      next_port_(options_.first_port) {
  AddPlatform(scenario_[kPlatform]);
  for (const YAML::Node& engine : scenario_["engines"]) AddEngine(engine);
  for (const auto& box : scenario_["boxes"]) {
    box_names_.push_back(box.first.as<std::string>());
    Part& part = parts_[box_names_.back()];
    part.port = NextPort();
    part.control_port = NextPort();
    part.link_port = NextPort();
  }
  for (const auto& box : scenario_["boxes"]) {
    AddBox(box.first.as<std::string>(), box.second.as<std::string>());
  }
  operators_ = std::make_unique<OperatorClient>(
      LoopbackAddress(parts_[kPlatform].port), "scenario", kCallTimeout);
}

World::~World() {
  for (auto& part : parts_) part.second.process.reset();
  for (auto& part : parts_) part.second.link.reset();
}

void World::AddLink(const std::string& name, int target_port) {
  parts_[name].link = std::make_unique<TcpLink>(
      parts_[name].link_port, target_port,
      [this, name](int port) { return NameOfConnection(port, name); },
      [this, name](const std::string& from) { return IsOpen(from, name); });
}

void World::AddPlatform(const YAML::Node& node) {
  Part& part = parts_[kPlatform];
  part.port = NextPort();
  part.link_port = NextPort();
  part.command = {options_.binaries + "/standin-platform", "--address",
                  LoopbackAddress(part.port)};
  for (const auto& option : node) {
    part.command.push_back(Flag(option.first.as<std::string>()));
    part.command.push_back(option.second.as<std::string>());
  }
  AddLink(kPlatform, part.port);
}

void World::AddEngine(const YAML::Node& node) {
  std::string name = node["name"].as<std::string>();
  engine_names_.push_back(name);
  Part& part = parts_[name];
  part.port = NextPort();
  part.command = {options_.binaries + "/standin-engine", "--address",
                  LoopbackAddress(part.port), "--platform",
                  LoopbackAddress(parts_[kPlatform].port)};
  for (const auto& option : node) {
    if (option.first.as<std::string>() == "name") continue;
    part.command.push_back(Flag(option.first.as<std::string>()));
    part.command.push_back(option.second.as<std::string>());
  }
}

std::string World::WriteSettings(const std::string& name,
                                 const std::string& data_centre) {
  const Part& part = parts_[name];
  YAML::Node settings = YAML::Clone(scenario_["settings"]);
  settings["box"]["name"] = name;
  settings["box"]["data_centre"] = data_centre;
  settings["listen"]["callers"] = LoopbackAddress(part.port);
  settings["listen"]["control"] = LoopbackAddress(part.control_port);
  settings["listen"]["advertised_control"] = LoopbackAddress(part.link_port);
  settings["platform"]["address"] =
      LoopbackAddress(parts_[kPlatform].link_port);
  for (const std::string& box : box_names_) {
    if (box == name) continue;
    settings["peers"]["seeds"].push_back(
        LoopbackAddress(parts_[box].link_port));
  }
  std::string file = options_.folder + "/" + name + ".yaml";
  std::ofstream(file) << settings << "\n";
  return file;
}

void World::AddBox(const std::string& name, const std::string& data_centre) {
  Part& part = parts_[name];
  part.command = {options_.binaries + "/leverwickd", "--config",
                  WriteSettings(name, data_centre)};
  AddLink(name, part.control_port);
}

bool World::Start() {
  StartOne(kPlatform);
  for (const std::string& engine : engine_names_) StartOne(engine);
  TimePoint until = Clock::now() + std::chrono::seconds(10);
  Table table;
  while (operators_->Read(&table)) {
    if (Clock::now() > until) return false;
    std::this_thread::sleep_for(milliseconds(50));
  }
  for (const YAML::Node& row : scenario_["table"]) {
    if (EditRow(row).error) return false;
  }
  for (const std::string& box : box_names_) StartOne(box);
  return true;
}

void World::StartOne(const std::string& name) {
  Part& part = parts_.at(name);
  auto process = std::make_unique<Process>(
      part.command, options_.folder + "/" + name + ".log");
  std::lock_guard<std::mutex> lock(mutex_);
  part.process = std::move(process);
}

void World::Kill(const std::string& name) { parts_.at(name).process->Kill(); }

void World::Freeze(const std::string& name) {
  parts_.at(name).process->Signal(SIGSTOP);
}

void World::Thaw(const std::string& name) {
  parts_.at(name).process->Signal(SIGCONT);
}

void World::Terminate(const std::string& name) {
  parts_.at(name).process->Signal(SIGTERM);
}

int World::WaitExit(const std::string& name) {
  return parts_.at(name).process->Wait();
}

void World::Cut(const std::string& from, const std::string& to) {
  std::lock_guard<std::mutex> lock(mutex_);
  cuts_.insert({from, to});
}

void World::Heal() {
  std::lock_guard<std::mutex> lock(mutex_);
  cuts_.clear();
}

std::string World::NameOfConnection(int client_port, const std::string& to) {
  std::lock_guard<std::mutex> lock(mutex_);
  std::vector<int> pids;
  for (auto& part : parts_) {
    if (part.second.process != nullptr) {
      pids.push_back(part.second.process->pid());
    }
  }
  int pid = ProcessOfPort(client_port, parts_.at(to).link_port, pids);
  for (auto& part : parts_) {
    if (part.second.process != nullptr && part.second.process->pid() == pid) {
      return part.first;
    }
  }
  return "";
}

bool World::IsOpen(const std::string& from, const std::string& to) {
  std::lock_guard<std::mutex> lock(mutex_);
  return cuts_.count({from, to}) == 0 && cuts_.count({"*", to}) == 0 &&
         cuts_.count({from, "*"}) == 0;
}

bool World::SetFaults(const std::string& name, const std::string& json) {
  HttpClient client(LoopbackAddress(parts_.at(name).port));
  HttpResult result = client.Call("POST", "/admin", json, kCallTimeout);
  return !result.error && result.status == 200;
}

std::vector<std::string> World::boxes() const { return box_names_; }

std::vector<std::string> World::engines() const { return engine_names_; }

std::string World::CallersOf(const std::string& box) const {
  return LoopbackAddress(parts_.at(box).port);
}

std::string World::DirectControlOf(const std::string& box) const {
  return LoopbackAddress(parts_.at(box).control_port);
}

std::string World::AddressOf(const std::string& engine) const {
  return LoopbackAddress(parts_.at(engine).port);
}

bool World::Status(const std::string& box, Json::Value* status) const {
  HttpClient client(DirectControlOf(box));
  HttpResult result = client.Call("GET", "/status", "", milliseconds(1000));
  return !result.error && ReadJson(result.body, status);
}

int World::EnginesIn(const Json::Value& status) const {
  int count = 0;
  for (const YAML::Node& engine : scenario_["engines"]) {
    bool here = engine["data_centre"].as<std::string>() ==
                status["data_centre"].asString();
    count += here ? 1 : 0;
  }
  return count;
}

EditOutcome World::EditRow(const YAML::Node& row) {
  EditOutcome outcome;
  Table table;
  outcome.error = operators_->Read(&table);
  if (outcome.error) return outcome;
  std::string kind = row["kind"].as<std::string>();
  Edit edit;
  RowEdit* change = edit.add_rows();
  auto* message = MakeRow(kind, change->mutable_row());
  SetDefaults(message);
  std::string key = row["key"].as<std::string>("");
  const StoredRow* stored = table.FindRow(kind, key);
  if (stored != nullptr && stored->has_row()) {
    message->CopyFrom(*RowMessage(stored->row()));
  }
  for (const auto& cell : row["cells"]) {
    std::string why;
    if (!SetField(message, cell.first.as<std::string>(),
                  cell.second.as<std::string>(), &why)) {
      outcome.error = Result::kInvalidRow;
      outcome.detail = cell.first.as<std::string>() + " " + why;
      return outcome;
    }
  }
  change->set_kind(kind);
  change->set_key(RowKey(*message));
  stored = table.FindRow(kind, change->key());
  change->set_base_revision(stored == nullptr ? 0 : stored->revision());
  return operators_->Apply(edit);
}

}  // namespace leverwick
