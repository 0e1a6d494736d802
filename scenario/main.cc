// Runs scripted scenarios: leverwick-scenario --binaries build FILE...
//
// A scenario is a YAML file: the platform, engines, boxes and table it starts
// with, and a list of steps, see docs/SCENARIOS.md. Ends with a line
// "N passed, N failed".

#include <signal.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <filesystem>
#include <iostream>
#include <thread>

#include "scenario/checks.h"
#include "scenario/raw_caller.h"
#include "scenario/traffic.h"
#include "scenario/world.h"

namespace leverwick {
namespace {

constexpr std::chrono::seconds kPatience(30);
constexpr milliseconds kRawPatience(5000);
constexpr milliseconds kPause(50);

class Scenario {
 public:
  Scenario(const YAML::Node& script, const WorldOptions& options)
      : script_(script),
        world_(script, options),
        traffic_(&world_),
        checks_(&world_, &traffic_) {}

  // What went wrong, or "".
  std::string Run() {
    if (!world_.Start()) return "the start failed";
    int number = 0;
    for (const YAML::Node& step : script_["steps"]) {
      ++number;
      std::string problem = RunStep(step);
      if (!problem.empty()) {
        return "step " + std::to_string(number) + ": " + problem;
      }
    }
    traffic_.WaitAll();
    summary_ = checks_.Summary();
    return "";
  }

  const std::string& summary() const { return summary_; }

 private:
  using Step = std::string (Scenario::*)(const YAML::Node&);

  std::string RunStep(const YAML::Node& step) {
    static const std::map<std::string, Step> steps = {
        {"start", &Scenario::Start},    {"kill", &Scenario::Kill},
        {"freeze", &Scenario::Freeze},  {"thaw", &Scenario::Thaw},
        {"stop", &Scenario::Stop},      {"exit", &Scenario::Exit},
        {"cut", &Scenario::Cut},        {"heal", &Scenario::Heal},
        {"faults", &Scenario::Faults},  {"send", &Scenario::Send},
        {"wait", &Scenario::Wait},      {"ended", &Scenario::Ended},
        {"edit", &Scenario::Edit},      {"race", &Scenario::Race},
        {"mark", &Scenario::Mark},      {"expect", &Scenario::Expect},
        {"pause_ms", &Scenario::Pause}, {"raw", &Scenario::Raw},
    };
    for (const auto& entry : step) {
      auto found = steps.find(entry.first.as<std::string>());
      if (found == steps.end()) {
        return "there is no step " + entry.first.as<std::string>();
      }
      std::string problem = (this->*found->second)(entry.second);
      if (!problem.empty()) return problem;
    }
    return "";
  }

  // Applies a change to one process or to a list of them.
  std::string Each(const YAML::Node& names,
                   void (World::*change)(const std::string&)) {
    if (names.IsScalar()) {
      (world_.*change)(names.as<std::string>());
      return "";
    }
    for (const YAML::Node& name : names) {
      (world_.*change)(name.as<std::string>());
    }
    return "";
  }

  std::string Start(const YAML::Node& names) {
    return Each(names, &World::StartOne);
  }
  std::string Kill(const YAML::Node& names) {
    return Each(names, &World::Kill);
  }
  std::string Freeze(const YAML::Node& names) {
    return Each(names, &World::Freeze);
  }
  std::string Thaw(const YAML::Node& names) {
    return Each(names, &World::Thaw);
  }
  std::string Stop(const YAML::Node& names) {
    return Each(names, &World::Terminate);
  }

  std::string Exit(const YAML::Node& exits) {
    for (const auto& entry : exits) {
      int code = world_.WaitExit(entry.first.as<std::string>());
      if (code == entry.second.as<int>()) continue;
      return entry.first.as<std::string>() + " ended with " +
             std::to_string(code);
    }
    return "";
  }

  std::string Cut(const YAML::Node& cut) {
    std::string from = cut["from"].as<std::string>();
    std::string to = cut["to"].as<std::string>();
    world_.Cut(from, to);
    if (!cut["one_way"].as<bool>(false)) world_.Cut(to, from);
    return "";
  }

  std::string Heal(const YAML::Node&) {
    world_.Heal();
    return "";
  }

  std::string Faults(const YAML::Node& faults) {
    for (const auto& entry : faults) {
      std::string json = "{";
      for (const auto& fault : entry.second) {
        std::string value = fault.second.as<std::string>();
        bool word =
            value != "true" && value != "false" &&
            value.find_first_not_of("0123456789.-") != std::string::npos;
        json += (json.size() > 1 ? ",\"" : "\"") +
                fault.first.as<std::string>() +
                "\":" + (word ? "\"" + value + "\"" : value);
      }
      if (!world_.SetFaults(entry.first.as<std::string>(), json + "}")) {
        return "faults were not taken";
      }
    }
    return "";
  }

  std::string Send(const YAML::Node& send) {
    traffic_.Send(send);
    return "";
  }

  std::string Wait(const YAML::Node& batch) {
    traffic_.Wait(batch.as<std::string>());
    return "";
  }

  // Waits until some requests of a running batch have ended.
  std::string Ended(const YAML::Node& ended) {
    auto count = ended["count"].as<size_t>();
    TimePoint until = Clock::now() + kPatience;
    while (!traffic_.HasEnded(ended["of"].as<std::string>(), count)) {
      if (Clock::now() > until) return "too few requests ended";
      std::this_thread::sleep_for(kPause / 10);
    }
    return "";
  }

  std::string Edit(const YAML::Node& row) {
    EditOutcome outcome = world_.EditRow(row);
    int wanted = row["code"].as<int>(0);
    if (outcome.error.value() == wanted) return "";
    return "the edit's code is " + std::to_string(outcome.error.value()) + " " +
           outcome.detail;
  }

  // Several operators edit at once; just one may be accepted.
  std::string Race(const YAML::Node& rows) {
    std::vector<YAML::Node> copies;
    for (const YAML::Node& row : rows) copies.push_back(YAML::Clone(row));
    std::vector<int> codes(copies.size());
    std::vector<std::thread> threads;
    for (size_t i = 0; i < copies.size(); ++i) {
      threads.emplace_back([this, i, &copies, &codes] {
        codes[i] = world_.EditRow(copies[i]).error.value();
      });
    }
    for (std::thread& thread : threads) thread.join();
    for (int code : codes) {
      bool fair = code == 0 || code == static_cast<int>(Result::kStaleRevision);
      if (!fair) return "an edit ended with " + std::to_string(code);
    }
    return "";
  }

  // Requests that no client would write, and the status each must get.
  std::string Raw(const YAML::Node& raw) {
    std::string box = raw["box"].as<std::string>();
    std::string address = world_.CallersOf(box);
    std::string problems;
    for (const YAML::Node& request : raw["requests"]) {
      std::string bytes = request["send"].as<std::string>();
      std::string answer = SendRaw(address, bytes, kRawPatience);
      int status = StatusOfRaw(answer);
      if (status == request["status"].as<int>()) continue;
      problems += "'" + bytes.substr(0, bytes.find('\r')) + "' got " +
                  std::to_string(status) + "; ";
    }
    return problems;
  }

  std::string Mark(const YAML::Node& name) {
    checks_.Mark(name.as<std::string>());
    return "";
  }

  // Only for faults whose length is the point, never to wait for an effect.
  std::string Pause(const YAML::Node& time) {
    std::this_thread::sleep_for(milliseconds(time.as<int>()));
    return "";
  }

  std::string Expect(const YAML::Node& expect) {
    TimePoint until = Clock::now() + kPatience;
    for (;;) {
      std::string problem = checks_.Run(expect);
      if (problem.empty() || Clock::now() > until) return problem;
      std::this_thread::sleep_for(kPause);
    }
  }

  const YAML::Node script_;
  World world_;
  Traffic traffic_;
  Checks checks_;
  std::string summary_;
};

// Common parts (`use: FILE`) are filled in where the script has none.
YAML::Node LoadScript(const std::string& file) {
  YAML::Node script = YAML::LoadFile(file);
  if (!script["use"]) return script;
  std::string folder = std::filesystem::path(file).parent_path().string();
  YAML::Node common =
      YAML::LoadFile(folder + "/" + script["use"].as<std::string>());
  for (const auto& entry : common) {
    std::string name = entry.first.as<std::string>();
    if (!script[name]) script[name] = entry.second;
  }
  return script;
}

bool RunFile(const std::string& file, const std::string& binaries, int port) {
  std::string name = std::filesystem::path(file).stem().string();
  std::string pattern = std::filesystem::temp_directory_path().string() +
                        "/leverwick-" + name + "-XXXXXX";
  if (mkdtemp(&pattern[0]) == nullptr) return false;
  WorldOptions options;
  options.binaries = binaries;
  options.folder = pattern;
  options.first_port = port;
  std::string problem;
  std::string summary;
  try {
    Scenario scenario(LoadScript(file), options);
    problem = scenario.Run();
    summary = scenario.summary();
  } catch (const YAML::Exception& error) {
    problem = error.what();
  }
  if (problem.empty()) {
    std::cout << "passed " << name << ": " << summary << std::endl;
    std::filesystem::remove_all(pattern);
    return true;
  }
  std::cout << "FAILED " << name << ": " << problem << "\n  logs in " << pattern
            << std::endl;
  return false;
}

}  // namespace
}  // namespace leverwick

int main(int argc, char** argv) {
  signal(SIGPIPE, SIG_IGN);
  CLI::App app{"leverwick-scenario runs scripted scenarios."};
  std::string binaries = "build";
  int port = 20000;
  std::vector<std::string> files;
  app.add_option("--binaries", binaries, "Folder of the programs.");
  app.add_option("--first-port", port, "First of the ports used.");
  app.add_option("files", files, "Scenario files.")->required();
  CLI11_PARSE(app, argc, argv);
  int passed = 0;
  int failed = 0;
  for (const std::string& file : files) {
    bool good = leverwick::RunFile(file, binaries, port);
    ++(good ? passed : failed);
  }
  std::cout << passed << " passed, " << failed << " failed" << std::endl;
  return failed == 0 ? 0 : 1;
}
