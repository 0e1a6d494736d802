// A stand-in for a model engine, and for a plain service beside it.
//
// It speaks the protocol of docs/ENDPOINTS.md: chat completions, whole or
// streamed, a fixed number of places with a queue by priority, a prefix cache,
// dispatch states, streams that can be resumed and cancelled, lagging load
// reports and fenced orders. Text is a function of the prompt, so that a
// continued answer can be compared word by word. POST /admin changes how it
// fails, GET /admin/runs is its own count of what ran.

#ifndef STANDIN_ENGINE_H_
#define STANDIN_ENGINE_H_

#include <condition_variable>
#include <list>
#include <map>
#include <mutex>
#include <set>
#include <string>

#include "leverwick/time.h"
#include "net/http_server.h"

namespace Json {
class Value;
}

namespace leverwick {

struct EngineStandInOptions {
  std::string target;  // "model@version" or "service/NAME"
  size_t places = 8;
  nanoseconds token_time{milliseconds(5)};
  nanoseconds first_token_time{milliseconds(10)};
  nanoseconds report_lag{milliseconds(500)};
  int64_t mean_tokens = 24;
  double quality = 0.9;  // share of answers that are not poor
  size_t cached_prefixes = 64;
  bool checks_fence = true;
};

class EngineStandIn {
 public:
  explicit EngineStandIn(EngineStandInOptions options)
      : options_(std::move(options)) {}

  void Handle(const HttpRequest& request, HttpResponder* responder);

  // The whole text that an engine gives for a prompt, unless it is a poor
  // answer: the reference that scenarios hold answers against.
  static std::string ReferenceText(const std::string& prompt,
                                   int64_t mean_tokens, int64_t max_tokens);

  // Whether it tells callers and the platform that it is leaving.
  bool leaving() const;

 private:
  enum class RunState { kWaiting, kRunning, kFinished };
  struct Run {
    RunState state = RunState::kWaiting;
    int64_t prompt_tokens = 0;
    int64_t tokens = 0;       // generated
    int64_t total = 0;        // to be generated
    int64_t first_index = 0;  // of a continued answer
    uint64_t seed = 0;
    int times = 0;  // how often a dispatch of this id ran
    bool cancelled = false;
    bool poor = false;
    WallTime started{};
    std::string tag;  // the prompt or body, to tell runs apart
  };
  struct Faults {
    double error_share = 0;  // started, then failed
    bool hang = false;
    bool hang_after = false;  // runs, then never answers
    bool refuse = false;      // not started, and says so
    int short_streams = 0;    // streams that break off, once each
    int wrong_ids = 0;        // answers for another request
    int drop_answers = 0;     // ran, then the connection closes
    bool leaving = false;
    milliseconds late{0};  // added to every answer
    double slow_factor = 1;
    double quality = -1;  // overrides the option
  };
  struct Route {
    const char* method;
    const char* prefix;
    void (EngineStandIn::*handler)(const HttpRequest&, HttpResponder*);
  };

  void Chat(const HttpRequest& request, HttpResponder* responder);
  void Plain(const HttpRequest& request, HttpResponder* responder);
  void State(const HttpRequest& request, HttpResponder* responder);
  void Resume(const std::string& id, int64_t from, HttpResponder* responder);
  void Cancel(const HttpRequest& request, HttpResponder* responder);
  void Load(const HttpRequest& request, HttpResponder* responder);
  void Order(const HttpRequest& request, HttpResponder* responder);
  void Admin(const HttpRequest& request, HttpResponder* responder);
  void Runs(const HttpRequest& request, HttpResponder* responder);

  Run MakeRun(const Json::Value& body);
  bool TakePlace(const std::string& id, int priority);
  void LeavePlace(const std::string& id);
  bool Generate(const std::string& id, HttpResponder* stream);
  bool Wait(const std::string& id, nanoseconds time);
  std::string Chunk(const std::string& id, const Run& run, int64_t index,
                    bool last) const;
  static std::string Word(const Run& run, int64_t index);
  static int64_t TotalTokens(uint64_t seed, int64_t mean_tokens);
  Json::Value Whole(const std::string& id, const Run& run) const;
  bool CachePrefix(uint64_t prefix);

  const EngineStandInOptions options_;
  mutable std::mutex mutex_;
  std::condition_variable changed_;
  Faults faults_;
  std::map<std::string, Run> runs_;
  std::set<std::pair<int, uint64_t>> queue_;  // negative priority, arrival
  uint64_t arrivals_ = 0;
  size_t running_ = 0;
  std::list<uint64_t> prefixes_;
  uint64_t fence_ = 0;
  TimePoint reported_{};
  size_t reported_running_ = 0;
  size_t reported_queued_ = 0;
  uint64_t late_orders_ = 0;
};

}  // namespace leverwick

#endif  // STANDIN_ENGINE_H_
