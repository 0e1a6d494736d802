// Each call is one HTTP exchange. Any status but 200 means that the platform
// did not do it, except where the answer was lost.

#include "net/platform_client.h"

#include <json/json.h>

#include <utility>

#include "leverwick/result.h"
#include "net/json.h"
#include "net/json_fields.h"
#include "net/log.h"

namespace leverwick {
namespace {

constexpr int kOk = 200;
constexpr int kGone = 410;

const Log kLog("platform-client");

// An answer of the platform. False when it can't be read.
bool ReadRecords(const Json::Value& value, TailReply* reply) {
  std::string problem;
  JsonFields fields(value, &problem);
  reply->set_first(fields.Whole("first"));
  reply->set_next(fields.Whole("next"));
  for (const Json::Value& item : fields.List("records")) {
    JsonFields record(item, &problem);
    TailRecord* tail = reply->add_records();
    tail->set_offset(record.Whole("offset"));
    tail->set_time_ms(static_cast<int64_t>(record.Whole("time_ms")));
    tail->set_data(record.Text("data"));
  }
  return problem.empty();
}

ListedBox ReadBox(JsonFields* fields) {
  ListedBox box;
  box.life = fields->Text("life");
  box.data_centre = fields->Text("data_centre");
  box.callers = fields->Text("callers");
  box.control = fields->Text("control");
  box.leaving = fields->Flag("leaving", false);
  return box;
}

ListedEndpoint ReadEndpoint(JsonFields* fields) {
  ListedEndpoint endpoint;
  endpoint.address = fields->Text("address");
  endpoint.target = fields->Text("target");
  endpoint.data_centre = fields->Text("data_centre");
  endpoint.max_in_flight = static_cast<unsigned>(fields->Number("places", 0));
  endpoint.leaving = fields->Flag("leaving", false);
  return endpoint;
}

RatingResult ReadRating(JsonFields* fields) {
  std::string request_id = fields->Text("request_id");
  return {request_id, fields->Number("rating", 0)};
}

// Others write these lists, so one entry that can't be read costs no other.
template <typename Entry>
void ReadEntries(const Json::Value& items, Entry (*read)(JsonFields*),
                 std::vector<Entry>* entries) {
  for (const Json::Value& item : items) {
    std::string problem;
    JsonFields fields(item, &problem);
    Entry entry = read(&fields);
    if (problem.empty()) {
      entries->push_back(std::move(entry));
      continue;
    }
    kLog.Warning("A listed entry can't be read; it is left out.",
                 {{"why", problem}});
  }
}

}  // namespace

std::error_code PlatformClient::Json(const std::string& method,
                                     const std::string& path,
                                     const std::string& body,
                                     milliseconds timeout,
                                     std::string* answer) {
  HttpResult result = http_.Call(method, path, body, timeout);
  if (result.error) return result.error;
  *answer = result.body;
  if (result.status == kGone) return Result::kExpired;
  return result.status == kOk ? std::error_code() : Result::kRefused;
}

std::error_code PlatformClient::Append(const std::string& stream,
                                       const std::string& data,
                                       uint64_t* offset) {
  HttpResult result =
      http_.Call("POST", "/log/" + stream, data, timeout_, {}, false);
  if (result.error) {
    return result.sent ? Result::kAppendUnknown : Result::kUnreachable;
  }
  if (result.status != kOk) return Result::kRefused;
  ::Json::Value value;
  if (!ReadJson(result.body, &value)) return Result::kAppendUnknown;
  std::string problem;
  *offset = JsonFields(value, &problem).Whole("offset");
  if (!problem.empty()) return Result::kAppendUnknown;
  return {};
}

std::error_code PlatformClient::Read(const std::string& stream, uint64_t from,
                                     uint32_t max_records, milliseconds wait,
                                     TailReply* reply) {
  std::string path = "/log/" + stream + "?from=" + std::to_string(from) +
                     "&max=" + std::to_string(max_records) +
                     "&wait_ms=" + std::to_string(wait.count());
  std::string answer;
  std::error_code error = Json("GET", path, "", timeout_ + wait, &answer);
  bool expired = error == make_error_code(Result::kExpired);
  if (error && !expired) return error;
  ::Json::Value value;
  if (!ReadJson(answer, &value)) return Result::kBadResponse;
  reply->Clear();
  if (!ReadRecords(value, reply)) return Result::kBadResponse;
  return error;
}

std::error_code PlatformClient::Announce(const ListedBox& box) {
  ::Json::Value value;
  value["life"] = box.life;
  value["data_centre"] = box.data_centre;
  value["callers"] = box.callers;
  value["control"] = box.control;
  value["leaving"] = box.leaving;
  std::string answer;
  return Json("POST", "/boxes", WriteJson(value), timeout_, &answer);
}

std::error_code PlatformClient::ReadList(const std::string& data_centre,
                                         BoxList* list) {
  std::string answer;
  std::string path = "/boxes";
  if (!data_centre.empty()) path += "?data_centre=" + data_centre;
  std::error_code error = Json("GET", path, "", timeout_, &answer);
  if (error) return error;
  ::Json::Value value;
  if (!ReadListJson(answer, &value)) return Result::kBadResponse;
  std::string problem;
  JsonFields fields(value, &problem);
  const ::Json::Value& boxes = fields.List("boxes");
  const ::Json::Value& endpoints = fields.List("endpoints");
  if (!fields.ok()) return Result::kBadResponse;
  ReadEntries(boxes, &ReadBox, &list->boxes);
  ReadEntries(endpoints, &ReadEndpoint, &list->endpoints);
  return {};
}

std::error_code PlatformClient::StorePut(const std::string& key,
                                         const std::string& value) {
  std::string answer;
  return Json("PUT", "/store/" + key, value, timeout_, &answer);
}

std::error_code PlatformClient::StoreGet(const std::string& key,
                                         std::string* value) {
  return Json("GET", "/store/" + key, "", timeout_, value);
}

std::error_code PlatformClient::OfferForRating(const std::string& life,
                                               const std::string& request_id,
                                               const std::string& answer) {
  ::Json::Value value;
  value["life"] = life;
  value["request_id"] = request_id;
  value["answer"] = answer;
  std::string reply;
  return Json("POST", "/ratings", WriteJson(value), timeout_, &reply);
}

std::error_code PlatformClient::ReadRatings(const std::string& life,
                                            uint64_t from,
                                            std::vector<RatingResult>* results,
                                            uint64_t* next) {
  std::string answer;
  std::string path = "/ratings?life=" + life + "&from=" + std::to_string(from);
  std::error_code error = Json("GET", path, "", timeout_, &answer);
  if (error) return error;
  ::Json::Value value;
  if (!ReadListJson(answer, &value)) return Result::kBadResponse;
  std::string problem;
  JsonFields fields(value, &problem);
  *next = fields.Whole("next");
  const ::Json::Value& ratings = fields.List("ratings");
  if (!fields.ok()) return Result::kBadResponse;
  ReadEntries(ratings, &ReadRating, results);
  return {};
}

}  // namespace leverwick
