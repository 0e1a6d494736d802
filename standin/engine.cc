// A request's thread waits for a place, then sleeps once a token. When its
// connection breaks, the generation goes on to its end, as an engine's does;
// a resumed stream is read from the run, token by token as they come.

#include "standin/engine.h"

#include <json/json.h>

#include <algorithm>
#include <thread>

#include "leverwick/digest.h"
#include "net/json.h"
#include "standin/reply.h"

namespace leverwick {
namespace {

constexpr char kJson[] = "application/json";
constexpr int64_t kCharactersPerToken = 4;
constexpr milliseconds kResumePoll(2);

const char* const kWords[] = {
    "the",    "tanker", "left",     "depot", "at",     "seven",  "with",
    "twelve", "orders", "meter",    "reads", "four",   "tonnes", "of",
    "oil",    "and",    "company",  "filed", "its",    "annual", "report",
    "before", "court",  "register", "notes", "change", "in",     "board"};
constexpr size_t kWordCount = sizeof kWords / sizeof *kWords;

void Refuse(HttpResponder* responder) {
  responder->Send(503, {{"Content-Type", kJson}, {"X-Started", "false"}},
                  "{\"error\":\"not started\"}");
}

std::string PromptOf(const Json::Value& body) {
  std::string prompt;
  for (const Json::Value& message : body["messages"]) {
    prompt += message["content"].asString() + "\n";
  }
  return prompt;
}

std::string IdIn(const std::string& path) {
  static const std::string kPrefix = "/v1/requests/";
  std::string rest = path.substr(kPrefix.size());
  return rest.substr(0, rest.find('/'));
}

}  // namespace

bool EngineStandIn::leaving() const {
  std::lock_guard<std::mutex> lock(mutex_);
  return faults_.leaving;
}

void EngineStandIn::Handle(const HttpRequest& request,
                           HttpResponder* responder) {
  static const Route routes[] = {
      {"POST", "/v1/chat/completions", &EngineStandIn::Chat},
      {"GET", "/v1/requests/", &EngineStandIn::State},
      {"DELETE", "/v1/requests/", &EngineStandIn::Cancel},
      {"GET", "/load", &EngineStandIn::Load},
      {"POST", "/orders", &EngineStandIn::Order},
      {"GET", "/admin/runs", &EngineStandIn::Runs},
      {"POST", "/admin", &EngineStandIn::Admin},
  };
  for (const Route& route : routes) {
    bool matches = request.method == route.method &&
                   request.path.rfind(route.prefix, 0) == 0;
    if (!matches) continue;
    (this->*route.handler)(request, responder);
    return;
  }
  Plain(request, responder);
}

int64_t EngineStandIn::TotalTokens(uint64_t seed, int64_t mean_tokens) {
  int64_t spread = std::max<int64_t>(1, mean_tokens);
  return 1 + spread / 2 +
         static_cast<int64_t>(seed % static_cast<uint64_t>(spread));
}

std::string EngineStandIn::ReferenceText(const std::string& prompt,
                                         int64_t mean_tokens,
                                         int64_t max_tokens) {
  Run run;
  run.seed = StableHash(prompt);
  int64_t total = TotalTokens(run.seed, mean_tokens);
  if (max_tokens > 0) total = std::min(total, max_tokens);
  std::string text;
  for (int64_t i = 0; i < total; ++i) text += Word(run, i);
  return text;
}

EngineStandIn::Run EngineStandIn::MakeRun(const Json::Value& body) {
  std::string prompt = PromptOf(body);
  Run run;
  run.tag = prompt;
  run.seed = StableHash(prompt);
  run.prompt_tokens =
      static_cast<int64_t>(prompt.size()) / kCharactersPerToken + 1;
  run.total = TotalTokens(run.seed, options_.mean_tokens);
  int64_t most =
      body["max_tokens"].isInt64() ? body["max_tokens"].asInt64() : run.total;
  run.first_index = body["prefix_tokens"].asInt64();
  run.total = std::max<int64_t>(0, std::min(run.total, most) - run.first_index);
  std::lock_guard<std::mutex> lock(mutex_);
  double quality = faults_.quality >= 0 ? faults_.quality : options_.quality;
  run.poor = UnitHash("poor/" + options_.target + prompt) >= quality;
  return run;
}

std::string EngineStandIn::Word(const Run& run, int64_t index) {
  if (index == 0 && run.poor) return "unsure ";
  uint64_t word = StableHash(std::to_string(index), run.seed) % kWordCount;
  return std::string(kWords[word]) + " ";
}

std::string EngineStandIn::Chunk(const std::string& id, const Run& run,
                                 int64_t index, bool last) const {
  Json::Value chunk;
  chunk["id"] = id;
  chunk["object"] = "chat.completion.chunk";
  chunk["model"] = options_.target;
  Json::Value& choice = chunk["choices"][0];
  choice["index"] = 0;
  choice["delta"] = Json::Value(Json::objectValue);
  choice["finish_reason"] = Json::Value();
  if (last) {
    choice["finish_reason"] = "stop";
    chunk["usage"]["prompt_tokens"] = Json::Int64(run.prompt_tokens);
    chunk["usage"]["completion_tokens"] = Json::Int64(run.tokens);
  } else {
    choice["delta"]["content"] = Word(run, run.first_index + index);
  }
  return "data: " + WriteJson(chunk) + "\n\n";
}

Json::Value EngineStandIn::Whole(const std::string& id, const Run& run) const {
  std::string text;
  for (int64_t i = 0; i < run.tokens; ++i) {
    text += Word(run, run.first_index + i);
  }
  Json::Value body;
  body["id"] = id;
  body["object"] = "chat.completion";
  body["model"] = options_.target;
  Json::Value& choice = body["choices"][0];
  choice["index"] = 0;
  choice["message"]["role"] = "assistant";
  choice["message"]["content"] = text;
  choice["finish_reason"] = "stop";
  body["usage"]["prompt_tokens"] = Json::Int64(run.prompt_tokens);
  body["usage"]["completion_tokens"] = Json::Int64(run.tokens);
  // A real engine's mean token probability; poor answers tend to be low.
  body["confidence"] = run.poor ? 0.3 : 0.9;
  return body;
}

bool EngineStandIn::TakePlace(const std::string& id, int priority) {
  std::unique_lock<std::mutex> lock(mutex_);
  auto entry = std::make_pair(-priority, ++arrivals_);
  queue_.insert(entry);
  changed_.wait(lock, [&] {
    return runs_[id].cancelled ||
           (running_ < options_.places && *queue_.begin() == entry);
  });
  queue_.erase(entry);
  if (runs_[id].cancelled) return false;
  ++running_;
  runs_[id].state = RunState::kRunning;
  runs_[id].started = std::chrono::system_clock::now();
  ++runs_[id].times;
  changed_.notify_all();
  return true;
}

void EngineStandIn::LeavePlace(const std::string& id) {
  std::lock_guard<std::mutex> lock(mutex_);
  --running_;
  runs_[id].state = RunState::kFinished;
  changed_.notify_all();
}

bool EngineStandIn::Wait(const std::string& id, nanoseconds time) {
  double slow_factor = 1;
  {
    std::lock_guard<std::mutex> lock(mutex_);
    slow_factor = faults_.slow_factor;
  }
  std::this_thread::sleep_for(
      std::chrono::duration_cast<nanoseconds>(time * slow_factor));
  std::lock_guard<std::mutex> lock(mutex_);
  return !runs_[id].cancelled;
}

bool EngineStandIn::CachePrefix(uint64_t prefix) {
  std::lock_guard<std::mutex> lock(mutex_);
  auto found = std::find(prefixes_.begin(), prefixes_.end(), prefix);
  bool cached = found != prefixes_.end();
  if (cached) prefixes_.erase(found);
  prefixes_.push_front(prefix);
  if (prefixes_.size() > options_.cached_prefixes) prefixes_.pop_back();
  return cached;
}

bool EngineStandIn::Generate(const std::string& id, HttpResponder* stream) {
  bool connected = true;
  for (;;) {
    Run run;
    int break_off = 0;
    {
      std::lock_guard<std::mutex> lock(mutex_);
      Run& state = runs_[id];
      if (state.cancelled || state.tokens >= state.total) break;
      ++state.tokens;
      run = state;
      break_off = faults_.short_streams;
      bool now = stream != nullptr && connected && break_off > 0 &&
                 run.tokens == std::max<int64_t>(1, run.total / 2);
      if (now) --faults_.short_streams;
      if (now) connected = false;
    }
    if (stream != nullptr && connected) {
      connected = stream->Write(Chunk(id, run, run.tokens - 1, false));
    }
    if (!Wait(id, options_.token_time)) break;
  }
  return connected;
}

void EngineStandIn::Chat(const HttpRequest& request, HttpResponder* responder) {
  Json::Value body;
  std::string id = request.Header("x-request-id");
  if (!ReadJson(request.body, &body) || id.empty()) {
    return SendJson(responder, 400, Json::Value(Json::objectValue));
  }
  Run made = MakeRun(body);
  Faults faults;
  {
    std::lock_guard<std::mutex> lock(mutex_);
    faults = faults_;
    if (faults.refuse || faults.leaving) {
      return Refuse(responder);
    }
    Run& run = runs_[id];
    made.times = run.times;
    run = made;
  }
  int priority = std::atoi(request.Header("x-priority").c_str());
  if (!TakePlace(id, priority)) return Refuse(responder);
  bool cached = CachePrefix(StableHash(PromptOf(body).substr(0, 256)));
  bool streamed = body["stream"].asBool();
  while (faults.hang && Wait(id, milliseconds(200))) {
    std::lock_guard<std::mutex> lock(mutex_);
    faults.hang = faults_.hang;
  }
  Wait(id, cached ? options_.first_token_time / 2 : options_.first_token_time);
  bool fails = UnitHash("error/" + id) < faults.error_share;
  bool connected = true;
  if (streamed && !fails) {
    responder->StartStream(200, {{"Content-Type", "text/event-stream"}});
  }
  if (!fails) connected = Generate(id, streamed ? responder : nullptr);
  LeavePlace(id);
  if (faults.late.count() > 0) std::this_thread::sleep_for(faults.late);
  if (fails) return SendJson(responder, 500, Json::Value(Json::objectValue));
  Run run;
  {
    std::unique_lock<std::mutex> lock(mutex_);
    run = runs_[id];
    if (faults_.wrong_ids > 0 && !streamed) {
      --faults_.wrong_ids;
      id += "-other";
    }
    if (faults_.drop_answers > 0 && !streamed) {
      --faults_.drop_answers;
      lock.unlock();
      // Headers of an answer that never comes whole.
      return responder->BreakOff();
    }
  }
  if (!streamed) return SendJson(responder, 200, Whole(id, run));
  if (!connected) return responder->BreakOff();
  responder->Write(Chunk(id, run, 0, true) + "data: [DONE]\n\n");
  responder->EndStream();
}

void EngineStandIn::Resume(const std::string& id, int64_t from,
                           HttpResponder* responder) {
  std::unique_lock<std::mutex> lock(mutex_);
  if (runs_.count(id) == 0) {
    lock.unlock();
    return SendJson(responder, 404, Json::Value(Json::objectValue));
  }
  lock.unlock();
  responder->StartStream(200, {{"Content-Type", "text/event-stream"}});
  for (int64_t index = from;; ++index) {
    lock.lock();
    // Tokens notify nobody: a thousand streams would wake one another.
    while (runs_[id].tokens <= index &&
           runs_[id].state != RunState::kFinished) {
      changed_.wait_for(lock, kResumePoll);
    }
    Run run = runs_[id];
    lock.unlock();
    if (index >= run.tokens) {
      responder->Write(Chunk(id, run, 0, true) + "data: [DONE]\n\n");
      responder->EndStream();
      return;
    }
    if (!responder->Write(Chunk(id, run, index, false))) return;
  }
}

void EngineStandIn::Plain(const HttpRequest& request,
                          HttpResponder* responder) {
  std::string id = request.Header("x-request-id");
  Faults faults;
  {
    std::lock_guard<std::mutex> lock(mutex_);
    faults = faults_;
    if (faults.refuse || faults.leaving) return Refuse(responder);
    Run& run = runs_[id];
    run.tag = request.body;
    ++run.times;
    ++running_;
    run.state = RunState::kRunning;
    run.started = std::chrono::system_clock::now();
  }
  Wait(id, options_.first_token_time);
  while (faults.hang && Wait(id, milliseconds(200))) {
    std::lock_guard<std::mutex> lock(mutex_);
    faults.hang = faults_.hang;
  }
  LeavePlace(id);
  if (faults.late.count() > 0) std::this_thread::sleep_for(faults.late);
  {
    std::lock_guard<std::mutex> lock(mutex_);
    if (faults_.drop_answers > 0) {
      --faults_.drop_answers;
      faults.hang_after = true;
    }
  }
  if (faults.hang_after) {
    return responder->BreakOff();
  }
  Json::Value body;
  body["receipt"] = id;
  body["bytes"] = Json::UInt64(request.body.size());
  SendJson(responder, 200, body);
}

void EngineStandIn::State(const HttpRequest& request,
                          HttpResponder* responder) {
  std::string id = IdIn(request.path);
  if (request.path.find("/stream") != std::string::npos) {
    return Resume(id, std::atoll(request.Parameter("from").c_str()), responder);
  }
  Json::Value value;
  std::unique_lock<std::mutex> lock(mutex_);
  auto found = runs_.find(id);
  bool known = found != runs_.end() && found->second.times > 0;
  if (known) {
    const Run& run = found->second;
    bool finished = run.state == RunState::kFinished;
    value["state"] = finished ? "finished" : "running";
    value["prompt_tokens"] = Json::Int64(run.prompt_tokens);
    value["completion_tokens"] = Json::Int64(run.tokens);
  }
  lock.unlock();
  SendJson(responder, known ? 200 : 404, value);
}

void EngineStandIn::Cancel(const HttpRequest& request,
                           HttpResponder* responder) {
  {
    std::lock_guard<std::mutex> lock(mutex_);
    auto found = runs_.find(IdIn(request.path));
    if (found != runs_.end()) found->second.cancelled = true;
    changed_.notify_all();
  }
  SendJson(responder, 200, Json::Value(Json::objectValue));
}

void EngineStandIn::Load(const HttpRequest&, HttpResponder* responder) {
  Json::Value value;
  {
    std::lock_guard<std::mutex> lock(mutex_);
    TimePoint now = Clock::now();
    if (now - reported_ > options_.report_lag) {
      reported_ = now;
      reported_running_ = running_;
      reported_queued_ = queue_.size();
    }
    value["running"] = Json::UInt64(reported_running_);
    value["queued"] = Json::UInt64(reported_queued_);
    value["leaving"] = faults_.leaving;
  }
  SendJson(responder, 200, value);
}

void EngineStandIn::Order(const HttpRequest& request,
                          HttpResponder* responder) {
  Json::Value value;
  bool good = ReadJson(request.body, &value);
  {
    std::lock_guard<std::mutex> lock(mutex_);
    uint64_t fence = value["fence"].asUInt64();
    bool old = fence < fence_;
    if (old) ++late_orders_;
    good = good && !(old && options_.checks_fence);
    fence_ = std::max(fence_, fence);
  }
  SendJson(responder, good ? 200 : 409, Json::Value(Json::objectValue));
}

void EngineStandIn::Admin(const HttpRequest& request,
                          HttpResponder* responder) {
  Json::Value value;
  if (!ReadJson(request.body, &value)) {
    return SendJson(responder, 400, Json::Value(Json::objectValue));
  }
  std::lock_guard<std::mutex> lock(mutex_);
  auto truth = [&value](const char* name, bool* out) {
    if (value.isMember(name)) *out = value[name].asBool();
  };
  auto number = [&value](const char* name, double* out) {
    if (value.isMember(name)) *out = value[name].asDouble();
  };
  auto count = [&value](const char* name, int* out) {
    if (value.isMember(name)) *out = value[name].asInt();
  };
  truth("hang", &faults_.hang);
  truth("hang_after", &faults_.hang_after);
  truth("refuse", &faults_.refuse);
  truth("leaving", &faults_.leaving);
  number("error_share", &faults_.error_share);
  number("slow_factor", &faults_.slow_factor);
  number("quality", &faults_.quality);
  count("short_streams", &faults_.short_streams);
  count("wrong_ids", &faults_.wrong_ids);
  count("drop_answers", &faults_.drop_answers);
  if (value.isMember("late_ms")) {
    faults_.late = milliseconds(value["late_ms"].asInt64());
  }
  changed_.notify_all();
  SendJson(responder, 200, Json::Value(Json::objectValue));
}

void EngineStandIn::Runs(const HttpRequest&, HttpResponder* responder) {
  Json::Value value;
  value["target"] = options_.target;
  value["runs"] = Json::Value(Json::arrayValue);
  {
    std::lock_guard<std::mutex> lock(mutex_);
    value["running"] = Json::UInt64(running_);
    for (const auto& entry : runs_) {
      if (entry.second.times == 0) continue;
      Json::Value run;
      run["id"] = entry.first;
      run["times"] = entry.second.times;
      run["tag"] = entry.second.tag;
      run["tokens"] = Json::Int64(entry.second.tokens);
      run["started_ms"] = Json::Int64(SinceEpoch(entry.second.started).count());
      value["runs"].append(run);
    }
  }
  SendJson(responder, 200, value);
}

}  // namespace leverwick
