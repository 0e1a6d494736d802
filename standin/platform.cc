// Everything under one lock: it is small and slow on purpose. A lost answer is
// played by closing the connection with a 502, which no real answer has.

#include "standin/platform.h"

#include <json/json.h>

#include <algorithm>
#include <thread>

#include "leverwick/digest.h"
#include "net/json.h"
#include "standin/reply.h"

namespace leverwick {
namespace {

constexpr char kJson[] = "application/json";

void SendStatus(HttpResponder* responder, int status) {
  responder->Send(status, {{"Content-Type", "text/plain"}}, "");
}

// An answer that can't be understood stands for one that never came.
void LoseAnswer(HttpResponder* responder) {
  responder->Send(200, {{"Connection", "close"}}, "");
}

uint64_t Number(const HttpRequest& request, const char* name) {
  return std::strtoull(request.Parameter(name).c_str(), nullptr, 10);
}

std::string After(const std::string& path, const char* prefix) {
  return path.substr(std::string(prefix).size());
}

// Engines write "unsure" into poor answers.
double RateAnswer(const std::string& answer, const std::string& id) {
  double noise = 0.1 * (UnitHash("noise/" + id) - 0.5);
  bool poor = answer.find("unsure") != std::string::npos;
  return std::clamp((poor ? 0.2 : 0.92) + noise, 0.0, 1.0);
}

}  // namespace

void PlatformStandIn::Handle(const HttpRequest& request,
                             HttpResponder* responder) {
  static const Route routes[] = {
      {"POST", "/admin", &PlatformStandIn::Admin},
      {"GET", "/admin", &PlatformStandIn::Admin},
      {"POST", "/log/", &PlatformStandIn::Append},
      {"GET", "/log/", &PlatformStandIn::ReadLog},
      {"POST", "/boxes", &PlatformStandIn::Announce},
      {"POST", "/endpoints", &PlatformStandIn::Announce},
      {"GET", "/boxes", &PlatformStandIn::ReadList},
      {"PUT", "/store/", &PlatformStandIn::Put},
      {"GET", "/store/", &PlatformStandIn::Get},
      {"POST", "/ratings", &PlatformStandIn::Rate},
      {"GET", "/ratings", &PlatformStandIn::ReadRatings},
  };
  Faults faults;
  {
    std::lock_guard<std::mutex> lock(mutex_);
    faults = faults_;
  }
  bool admin = request.path == "/admin";
  if (!admin && faults.slow.count() > 0) {
    std::this_thread::sleep_for(faults.slow);
  }
  if (!admin && faults.down) return SendStatus(responder, 503);
  for (const Route& route : routes) {
    bool matches = request.method == route.method &&
                   request.path.rfind(route.prefix, 0) == 0;
    if (!matches) continue;
    (this->*route.handler)(request, responder);
    return;
  }
  SendStatus(responder, 404);
}

bool PlatformStandIn::TakeAppend(TimePoint now) {
  double passed = ToSeconds(now - tokens_filled_);
  tokens_filled_ = now;
  append_tokens_ =
      std::min(options_.appends_per_second,
               append_tokens_ + passed * options_.appends_per_second);
  store_tokens_ =
      std::min(options_.store_puts_per_second,
               store_tokens_ + passed * options_.store_puts_per_second);
  if (append_tokens_ < 1) return false;
  append_tokens_ -= 1;
  return true;
}

void PlatformStandIn::Append(const HttpRequest& request,
                             HttpResponder* responder) {
  std::unique_lock<std::mutex> lock(mutex_);
  if (faults_.fail_appends > 0 || !TakeAppend(Clock::now())) {
    faults_.fail_appends = std::max(0, faults_.fail_appends - 1);
    ++refused_appends_;
    lock.unlock();
    return SendStatus(responder, 503);
  }
  Stream& stream = streams_[After(request.path, "/log/")];
  stream.records.push_back(
      Record{std::chrono::system_clock::now(), request.body});
  uint64_t offset = stream.first + stream.records.size() - 1;
  while (stream.records.size() > options_.retained_records) {
    stream.records.pop_front();
    ++stream.first;
  }
  ++appends_;
  bool lose = faults_.lose_appends > 0;
  if (lose) --faults_.lose_appends;
  appended_.notify_all();
  lock.unlock();
  if (lose) return LoseAnswer(responder);
  Json::Value answer;
  answer["offset"] = Json::UInt64(offset);
  SendJson(responder, 200, answer);
}

void PlatformStandIn::ReadLog(const HttpRequest& request,
                              HttpResponder* responder) {
  uint64_t from = Number(request, "from");
  uint64_t most = std::max<uint64_t>(1, Number(request, "max"));
  std::unique_lock<std::mutex> lock(mutex_);
  Stream& stream = streams_[After(request.path, "/log/")];
  appended_.wait_for(lock, milliseconds(Number(request, "wait_ms")), [&] {
    return faults_.down || stream.first + stream.records.size() > from;
  });
  if (faults_.down) {
    lock.unlock();
    return SendStatus(responder, 503);
  }
  Json::Value answer;
  answer["first"] = Json::UInt64(stream.first);
  answer["next"] = Json::UInt64(stream.first + stream.records.size());
  answer["records"] = Json::Value(Json::arrayValue);
  bool expired = from < stream.first;
  for (uint64_t offset = from;
       !expired && offset < stream.first + stream.records.size() &&
       offset < from + most;
       ++offset) {
    const Record& record = stream.records[offset - stream.first];
    Json::Value entry;
    entry["offset"] = Json::UInt64(offset);
    entry["time_ms"] = Json::Int64(SinceEpoch(record.time).count());
    entry["data"] = record.data;
    answer["records"].append(entry);
  }
  lock.unlock();
  SendJson(responder, expired ? 410 : 200, answer);
}

void PlatformStandIn::Announce(const HttpRequest& request,
                               HttpResponder* responder) {
  Json::Value value;
  if (!ReadJson(request.body, &value)) return SendStatus(responder, 400);
  bool is_box = request.path == "/boxes";
  std::string id = value[is_box ? "life" : "address"].asString();
  TimePoint now = Clock::now();
  std::lock_guard<std::mutex> lock(mutex_);
  Listed& listed = (is_box ? boxes_ : endpoints_)[id];
  if (listed.text != request.body) {
    listed.before = listed.text;
    listed.text = request.body;
    listed.changed = now;
  }
  listed.announced = now;
  SendStatus(responder, 200);
}

void PlatformStandIn::AddList(const std::map<std::string, Listed>& entries,
                              const char* name, const std::string& data_centre,
                              Json::Value* list) {
  TimePoint now = Clock::now();
  (*list)[name] = Json::Value(Json::arrayValue);
  for (const auto& entry : entries) {
    const Listed& listed = entry.second;
    if (now - listed.announced > options_.list_expiry) continue;
    bool lagging = now - listed.changed < options_.list_lag;
    const std::string& text = lagging ? listed.before : listed.text;
    Json::Value value;
    if (text.empty() || !ReadJson(text, &value)) continue;
    bool wanted =
        data_centre.empty() || value["data_centre"].asString() == data_centre;
    if (wanted) (*list)[name].append(value);
  }
}

void PlatformStandIn::ReadList(const HttpRequest& request,
                               HttpResponder* responder) {
  std::string data_centre = request.Parameter("data_centre");
  std::unique_lock<std::mutex> lock(mutex_);
  std::string& frozen = frozen_lists_[data_centre];
  if (!faults_.list_frozen || frozen.empty()) {
    Json::Value list;
    AddList(boxes_, "boxes", data_centre, &list);
    AddList(endpoints_, "endpoints", data_centre, &list);
    frozen = WriteJson(list);
  }
  std::string text = frozen;
  lock.unlock();
  responder->Send(200, {{"Content-Type", kJson}}, text);
}

void PlatformStandIn::Put(const HttpRequest& request,
                          HttpResponder* responder) {
  std::unique_lock<std::mutex> lock(mutex_);
  TakeAppend(Clock::now());
  append_tokens_ += 1;
  bool allowed = store_tokens_ >= 1;
  if (allowed) {
    store_tokens_ -= 1;
    store_[After(request.path, "/store/")] = request.body;
  }
  lock.unlock();
  SendStatus(responder, allowed ? 200 : 429);
}

void PlatformStandIn::Get(const HttpRequest& request,
                          HttpResponder* responder) {
  std::unique_lock<std::mutex> lock(mutex_);
  auto found = store_.find(After(request.path, "/store/"));
  bool known = found != store_.end();
  std::string value = known ? found->second : "";
  lock.unlock();
  responder->Send(known ? 200 : 404, {{"Content-Type", kJson}}, value);
}

void PlatformStandIn::Rate(const HttpRequest& request,
                           HttpResponder* responder) {
  Json::Value value;
  if (!ReadJson(request.body, &value)) return SendStatus(responder, 400);
  std::string id = value["request_id"].asString();
  std::lock_guard<std::mutex> lock(mutex_);
  bool rated =
      !faults_.ratings_out && UnitHash("rated/" + id) < options_.rated_share;
  if (rated) {
    ratings_[value["life"].asString()].push_back(
        Rating{id, RateAnswer(value["answer"].asString(), id),
               Clock::now() + options_.rating_delay});
  }
  SendStatus(responder, 200);
}

void PlatformStandIn::ReadRatings(const HttpRequest& request,
                                  HttpResponder* responder) {
  uint64_t from = Number(request, "from");
  Json::Value answer;
  answer["ratings"] = Json::Value(Json::arrayValue);
  std::unique_lock<std::mutex> lock(mutex_);
  const std::vector<Rating>& ratings = ratings_[request.Parameter("life")];
  uint64_t next = from;
  TimePoint now = Clock::now();
  while (next < ratings.size() && ratings[next].ready <= now) {
    Json::Value entry;
    entry["request_id"] = ratings[next].request_id;
    entry["rating"] = ratings[next].rating;
    answer["ratings"].append(entry);
    ++next;
  }
  lock.unlock();
  answer["next"] = Json::UInt64(next);
  SendJson(responder, 200, answer);
}

void PlatformStandIn::Admin(const HttpRequest& request,
                            HttpResponder* responder) {
  std::unique_lock<std::mutex> lock(mutex_);
  Json::Value value;
  if (request.method == "POST" && ReadJson(request.body, &value)) {
    if (value.isMember("down")) faults_.down = value["down"].asBool();
    if (value.isMember("slow_ms")) {
      faults_.slow = milliseconds(value["slow_ms"].asInt64());
    }
    if (value.isMember("lose_appends")) {
      faults_.lose_appends = value["lose_appends"].asInt();
    }
    if (value.isMember("fail_appends")) {
      faults_.fail_appends = value["fail_appends"].asInt();
    }
    if (value.isMember("ratings_out")) {
      faults_.ratings_out = value["ratings_out"].asBool();
    }
    if (value.isMember("list_frozen")) {
      faults_.list_frozen = value["list_frozen"].asBool();
    }
    if (value.isMember("expire")) {
      Stream& stream = streams_[value["expire"].asString()];
      uint64_t keep = value["keep"].asUInt64();
      while (stream.records.size() > keep) {
        stream.records.pop_front();
        ++stream.first;
      }
    }
    appended_.notify_all();
  }
  Json::Value answer;
  answer["appends"] = Json::UInt64(appends_);
  answer["refused_appends"] = Json::UInt64(refused_appends_);
  lock.unlock();
  SendJson(responder, 200, answer);
}

}  // namespace leverwick
