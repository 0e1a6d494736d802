// A batch's requests are spread over its threads and boxes in order, so that
// a seed gives the same requests every time.

#include "scenario/traffic.h"

#include <json/json.h>

#include <algorithm>
#include <atomic>

#include "net/json.h"

namespace leverwick {
namespace {

std::string Text(const YAML::Node& step, const char* name,
                 const std::string& fallback) {
  return step[name] ? step[name].as<std::string>() : fallback;
}

int Number(const YAML::Node& step, const char* name, int fallback) {
  return step[name] ? step[name].as<int>() : fallback;
}

bool Truth(const YAML::Node& step, const char* name, bool fallback) {
  return step[name] ? step[name].as<bool>() : fallback;
}

// The text of all chunks of a stream, and whether its marker came.
std::string TextOfStream(const std::string& stream, bool* done, int* code,
                         std::string* run_state, std::string* id) {
  std::string text;
  size_t begin = 0;
  for (size_t end = 0; (end = stream.find("\n\n", begin)) != std::string::npos;
       begin = end + 2) {
    std::string event = stream.substr(begin, end - begin);
    if (event.rfind("data: ", 0) != 0) continue;
    if (event == "data: [DONE]") {
      *done = true;
      continue;
    }
    Json::Value chunk;
    if (!ReadJson(event.substr(6), &chunk)) continue;
    if (chunk.isMember("error")) {
      *code = chunk["error"]["code"].asInt();
      *run_state = chunk["error"]["run_state"].asString();
      *id = chunk["error"]["request_id"].asString();
    } else if (chunk["choices"].isArray()) {
      text += chunk["choices"][0]["delta"]["content"].asString();
    }
  }
  return text;
}

}  // namespace

Traffic::~Traffic() { WaitAll(); }

CallerRecord Traffic::Plan(const YAML::Node& step, int number) const {
  CallerRecord record;
  record.batch = step["name"].as<std::string>();
  std::vector<std::string> boxes = world_->boxes();
  if (step["boxes"]) boxes = step["boxes"].as<std::vector<std::string>>();
  record.box = boxes[static_cast<size_t>(number) % boxes.size()];
  record.service = static_cast<bool>(step["service"]);
  record.streamed = Truth(step, "stream", false);
  record.may_repeat = Truth(step, "repeatable", !record.service);
  record.max_tokens = Number(step, "max_tokens", 0);
  std::string stem = Text(step, "prompt", record.batch);
  bool same = Truth(step, "same", false);
  std::string suffix = same ? "" : " " + std::to_string(number);
  record.prompt =
      record.service ? "{\"call\":\"" + stem + suffix + "\"}" : stem + suffix;
  if (step["key"]) record.key = step["key"].as<std::string>() + suffix;
  return record;
}

void Traffic::Send(const YAML::Node& step) {
  int count = Number(step, "count", 1);
  int threads = std::min(count, Number(step, "threads", 8));
  double rate = step["rate"] ? step["rate"].as<double>() : 0;
  auto next = std::make_shared<std::atomic<int>>(0);
  TimePoint begin = Clock::now();
  YAML::Node copy = YAML::Clone(step);
  std::lock_guard<std::mutex> lock(mutex_);
  Batch& batch = batches_[step["name"].as<std::string>()];
  for (int i = 0; i < threads; ++i) {
    // yaml-cpp nodes share state: each thread has its own.
    YAML::Node own = YAML::Clone(copy);
    batch.threads.emplace_back([this, own, count, rate, next, begin] {
      for (int number = (*next)++; number < count; number = (*next)++) {
        if (rate > 0) {
          std::this_thread::sleep_until(begin + FromSeconds(number / rate));
        }
        Run(Plan(own, number), own);
      }
    });
  }
}

void Traffic::Run(CallerRecord record, const YAML::Node& step) {
  EndpointCall call;
  call.address = world_->CallersOf(record.box);
  call.timeout = milliseconds(Number(step, "timeout_ms", 20000));
  call.connect_timeout = milliseconds(1000);
  call.keep_headers = true;
  call.fresh_connection = true;
  call.headers = {"Content-Type: application/json",
                  "Authorization: Bearer " + Text(step, "bearer", "acme-key")};
  if (!record.key.empty()) {
    call.headers.push_back("Idempotency-Key: " + record.key);
  }
  if (!record.may_repeat) {
    call.headers.push_back("X-Leverwick-Repeatable: false");
  }
  if (step["deadline_ms"]) {
    call.headers.push_back("X-Leverwick-Deadline-Ms: " +
                           step["deadline_ms"].as<std::string>());
  }
  std::string session = Text(step, "session", "");
  if (step["session_of"]) {
    std::lock_guard<std::mutex> lock(mutex_);
    session = sessions_[step["session_of"].as<std::string>()];
  }
  if (!session.empty()) {
    call.headers.push_back("X-Leverwick-Session: " + session);
  }
  if (record.service) {
    call.path = "/v1/services/" + step["service"].as<std::string>() + "/call";
    call.body = record.prompt;
  } else {
    call.path = "/v1/chat/completions";
    Json::Value body;
    body["model"] = Text(step, "model", "auto");
    body["stream"] = record.streamed;
    if (record.max_tokens > 0) body["max_tokens"] = record.max_tokens;
    body["messages"][0]["role"] = "user";
    body["messages"][0]["content"] = record.prompt;
    call.body = WriteJson(body);
  }
  std::string stream;
  if (record.streamed) {
    int leave_after = Number(step, "leave_after_bytes", 0);
    call.on_data = [&stream, &record, leave_after](const char* data,
                                                   size_t size) {
      stream.append(data, size);
      record.left =
          leave_after > 0 && stream.size() >= static_cast<size_t>(leave_after);
      return !record.left;
    };
  }
  TimePoint begin = Clock::now();
  EndpointAnswer answer = client_.Call(call);
  record.took = std::chrono::duration_cast<milliseconds>(Clock::now() - begin);
  Read(answer, stream, &record);
  std::lock_guard<std::mutex> lock(mutex_);
  if (!record.session.empty()) sessions_[record.batch] = record.session;
  records_.push_back(std::move(record));
}

void Traffic::Read(const EndpointAnswer& answer, const std::string& stream,
                   CallerRecord* record) {
  bool answered = answer.kind == EndpointAnswer::kAnswered;
  record->status = answered ? answer.status : 0;
  auto header = [&answer](const char* name) {
    auto found = answer.headers.find(name);
    return found == answer.headers.end() ? "" : found->second;
  };
  record->id = header("x-request-id");
  record->version = header("x-leverwick-version");
  record->session = header("x-leverwick-session");
  record->replayed = !header("x-leverwick-replayed").empty();
  if (record->streamed && !stream.empty()) {
    record->text = TextOfStream(stream, &record->whole, &record->code,
                                &record->run_state, &record->id);
    return;
  }
  Json::Value body;
  if (!answered || !ReadJson(answer.body, &body)) return;
  if (body.isMember("error")) {
    record->code = body["error"]["code"].asInt();
    record->run_state = body["error"]["run_state"].asString();
    record->id = body["error"]["request_id"].asString();
    record->retry_after =
        milliseconds(body["error"]["retry_after_ms"].asInt64());
    return;
  }
  record->whole = record->status == 200;
  record->text = record->service
                     ? answer.body
                     : body["choices"][0]["message"]["content"].asString();
}

void Traffic::Wait(const std::string& batch) {
  std::vector<std::thread> threads;
  {
    std::lock_guard<std::mutex> lock(mutex_);
    threads.swap(batches_[batch].threads);
  }
  for (std::thread& thread : threads) thread.join();
}

void Traffic::WaitAll() {
  std::vector<std::string> names;
  {
    std::lock_guard<std::mutex> lock(mutex_);
    for (const auto& batch : batches_) names.push_back(batch.first);
  }
  for (const std::string& name : names) Wait(name);
}

std::vector<CallerRecord> Traffic::Records(const std::string& batch) const {
  std::vector<CallerRecord> chosen;
  for (const CallerRecord& record : All()) {
    if (record.batch == batch) chosen.push_back(record);
  }
  return chosen;
}

std::vector<CallerRecord> Traffic::All() const {
  std::lock_guard<std::mutex> lock(mutex_);
  return records_;
}

bool Traffic::HasEnded(const std::string& batch, size_t count) const {
  return Records(batch).size() >= count;
}

}  // namespace leverwick
