// Callers' requests of a scenario and what became of each.

#ifndef SCENARIO_TRAFFIC_H_
#define SCENARIO_TRAFFIC_H_

#include <yaml-cpp/yaml.h>

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "net/endpoint_client.h"
#include "scenario/world.h"

namespace leverwick {

// One request as its caller saw it.
struct CallerRecord {
  std::string batch;
  std::string box;
  std::string key;     // Idempotency-Key, or empty
  std::string prompt;  // or the body of a service call
  int max_tokens = 0;
  bool service = false;
  bool streamed = false;
  bool may_repeat = true;
  int status = 0;         // 0: no answer
  int code = 0;           // our result code, of errors
  std::string run_state;  // of errors
  std::string id;
  std::string version;
  std::string session;
  std::string text;  // of the answer
  bool whole = false;
  bool replayed = false;
  bool left = false;  // the caller closed before the end
  milliseconds retry_after{0};
  milliseconds took{0};
};

class Traffic {
 public:
  explicit Traffic(World* world) : world_(world) {}
  ~Traffic();

  // Sends the batch that a `send` step describes; returns at once.
  void Send(const YAML::Node& step);

  // Waits until every request of a batch has ended.
  void Wait(const std::string& batch);
  void WaitAll();

  std::vector<CallerRecord> Records(const std::string& batch) const;
  std::vector<CallerRecord> All() const;

  // Whether at least `count` requests of the batch have ended.
  bool HasEnded(const std::string& batch, size_t count) const;

 private:
  struct Batch {
    std::vector<std::thread> threads;
  };

  CallerRecord Plan(const YAML::Node& step, int number) const;
  void Run(CallerRecord record, const YAML::Node& step);
  static void Read(const EndpointAnswer& answer, const std::string& stream,
                   CallerRecord* record);

  World* const world_;
  EndpointClient client_;
  mutable std::mutex mutex_;
  std::map<std::string, Batch> batches_;
  std::vector<CallerRecord> records_;
  std::map<std::string, std::string> sessions_;  // by batch
};

}  // namespace leverwick

#endif  // SCENARIO_TRAFFIC_H_
