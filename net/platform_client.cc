// Each call is one HTTP exchange. Any status but 200 means that the platform
// did not do it, except where the answer was lost.

#include "net/platform_client.h"

#include <json/json.h>

#include "leverwick/result.h"
#include "net/json.h"

namespace leverwick {
namespace {

constexpr int kOk = 200;
constexpr int kGone = 410;

void ReadRecords(const Json::Value& value, TailReply* reply) {
  reply->set_first(value["first"].asUInt64());
  reply->set_next(value["next"].asUInt64());
  for (const Json::Value& record : value["records"]) {
    TailRecord* tail = reply->add_records();
    tail->set_offset(record["offset"].asUInt64());
    tail->set_time_ms(record["time_ms"].asInt64());
    tail->set_data(record["data"].asString());
  }
}

ListedBox ReadBox(const Json::Value& value) {
  ListedBox box;
  box.life = value["life"].asString();
  box.data_centre = value["data_centre"].asString();
  box.callers = value["callers"].asString();
  box.control = value["control"].asString();
  box.leaving = value["leaving"].asBool();
  return box;
}

ListedEndpoint ReadEndpoint(const Json::Value& value) {
  ListedEndpoint endpoint;
  endpoint.address = value["address"].asString();
  endpoint.target = value["target"].asString();
  endpoint.data_centre = value["data_centre"].asString();
  endpoint.max_in_flight = value["places"].asUInt();
  endpoint.leaving = value["leaving"].asBool();
  return endpoint;
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
  *offset = value["offset"].asUInt64();
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
  ReadRecords(value, reply);
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
  if (!ReadJson(answer, &value)) return Result::kBadResponse;
  for (const ::Json::Value& box : value["boxes"]) {
    list->boxes.push_back(ReadBox(box));
  }
  for (const ::Json::Value& endpoint : value["endpoints"]) {
    list->endpoints.push_back(ReadEndpoint(endpoint));
  }
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
  if (!ReadJson(answer, &value)) return Result::kBadResponse;
  *next = value["next"].asUInt64();
  for (const ::Json::Value& rating : value["ratings"]) {
    results->push_back(RatingResult{rating["request_id"].asString(),
                                    rating["rating"].asDouble()});
  }
  return {};
}

}  // namespace leverwick
