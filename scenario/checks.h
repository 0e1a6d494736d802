// What a scenario may expect. Each check is tried until it holds or its time
// is over; a check returns what is wrong, or "" when it holds.

#ifndef SCENARIO_CHECKS_H_
#define SCENARIO_CHECKS_H_

#include <yaml-cpp/yaml.h>

#include <map>
#include <string>
#include <vector>

#include "leverwick/bills.h"
#include "scenario/traffic.h"
#include "scenario/world.h"

namespace leverwick {

// One dispatch as an engine counted it.
struct EngineRun {
  std::string engine;
  std::string id;   // request id and attempt
  std::string tag;  // prompt or body
  int times = 0;
  WallTime started{};
};

class Checks {
 public:
  Checks(World* world, Traffic* traffic) : world_(world), traffic_(traffic) {}

  // Runs the check that `expect` describes.
  std::string Run(const YAML::Node& expect);

  // Remembers now, under a name, for `no_runs`.
  void Mark(const std::string& name);

  // A line with the numbers that an operator asks for.
  std::string Summary();

 private:
  using Check = std::string (Checks::*)(const YAML::Node& arguments);

  std::string Results(const YAML::Node& arguments);
  std::string BillsMatch(const YAML::Node& arguments);
  std::string AtMostOnce(const YAML::Node& arguments);
  std::string NotRunDidNotRun(const YAML::Node& arguments);
  std::string Whole(const YAML::Node& arguments);
  std::string NoRuns(const YAML::Node& arguments);
  std::string BoxStatus(const YAML::Node& arguments);
  std::string Versions(const YAML::Node& arguments);
  std::string Idle(const YAML::Node& arguments);
  std::string InForce(const YAML::Node& arguments);
  std::string Ready(const YAML::Node& arguments);
  std::string Rollout(const YAML::Node& arguments);
  std::string Faster(const YAML::Node& arguments);
  std::string Verdicts(const YAML::Node& arguments);

  bool ReadRuns(std::vector<EngineRun>* runs) const;
  bool ReadLedger(Ledger* ledger);

  World* const world_;
  Traffic* const traffic_;
  std::map<std::string, WallTime> marks_;
};

}  // namespace leverwick

#endif  // SCENARIO_CHECKS_H_
