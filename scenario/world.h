// The processes and links of one scenario: platform, engines, boxes.
//
// Every link between boxes and to the platform runs through a link, so that
// it can be cut, one way too.

#ifndef SCENARIO_WORLD_H_
#define SCENARIO_WORLD_H_

#include <json/forwards.h>
#include <yaml-cpp/yaml.h>

#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "net/operator_client.h"
#include "process/process.h"
#include "scenario/tcp_link.h"

namespace leverwick {

struct WorldOptions {
  std::string binaries;  // folder of the programs
  std::string folder;    // for settings and logs
  int first_port = 20000;
};

class World {
 public:
  World(const YAML::Node& scenario, WorldOptions options);
  ~World();

  // Starts the platform, the engines and the boxes, and applies the table.
  bool Start();

  // Starts one process; a box gets a new life.
  void StartOne(const std::string& name);
  void Kill(const std::string& name);
  void Freeze(const std::string& name);
  void Thaw(const std::string& name);
  void Terminate(const std::string& name);
  int WaitExit(const std::string& name);

  // Cuts or heals the way from one process to another; "*" is everyone.
  void Cut(const std::string& from, const std::string& to);
  void Heal();

  // POST /admin of the platform or an engine.
  bool SetFaults(const std::string& name, const std::string& json);

  std::vector<std::string> boxes() const;
  std::vector<std::string> engines() const;
  std::string CallersOf(const std::string& box) const;
  std::string DirectControlOf(const std::string& box) const;
  std::string AddressOf(const std::string& engine) const;
  OperatorClient& operators() { return *operators_; }

  // GET /status of a box; null when it doesn't answer.
  bool Status(const std::string& box, Json::Value* status) const;

  // How many engines the scenario has in the data centre of a box's status.
  int EnginesIn(const Json::Value& status) const;

  // Applies one row of the scenario's table; tells why it could not.
  EditOutcome EditRow(const YAML::Node& row);

 private:
  struct Part {
    std::vector<std::string> command;
    std::unique_ptr<Process> process;
    int port = 0;          // platform, engine: its own; box: callers
    int control_port = 0;  // box: its own control server
    int link_port = 0;     // where others reach it
    std::unique_ptr<TcpLink> link;
  };

  int NextPort() { return next_port_++; }
  void AddPlatform(const YAML::Node& node);
  void AddEngine(const YAML::Node& node);
  void AddBox(const std::string& name, const std::string& data_centre);
  void AddLink(const std::string& name, int target_port);
  std::string NameOfConnection(int client_port, const std::string& to);
  bool IsOpen(const std::string& from, const std::string& to);
  std::string WriteSettings(const std::string& name,
                            const std::string& data_centre);

  const YAML::Node scenario_;
  const WorldOptions options_;
  int next_port_;
  std::vector<std::string> box_names_;
  std::vector<std::string> engine_names_;
  mutable std::mutex mutex_;  // guards what relays look at
  std::map<std::string, Part> parts_;
  std::set<std::pair<std::string, std::string>> cuts_;
  std::unique_ptr<OperatorClient> operators_;
};

std::string LoopbackAddress(int port);

}  // namespace leverwick

#endif  // SCENARIO_WORLD_H_
