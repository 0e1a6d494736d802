// Fields that nobody knows are refused rather than passed on: an engine might
// take them for something else.

#include "daemon/chat_request.h"

#include <algorithm>
#include <set>

#include "net/json.h"

namespace leverwick {
namespace {

constexpr size_t kCharactersPerToken = 4;
constexpr size_t kPrefixCharacters = 512;
constexpr int64_t kMostTokens = 1000000;

const std::set<std::string>& KnownFields() {
  static const std::set<std::string> fields = {"model",
                                               "messages",
                                               "stream",
                                               "max_tokens",
                                               "temperature",
                                               "top_p",
                                               "n",
                                               "stop",
                                               "presence_penalty",
                                               "seed",
                                               "frequency_penalty",
                                               "user",
                                               "logit_bias",
                                               "response_format",
                                               "stream_options",
                                               "tools",
                                               "tool_choice",
                                               "max_completion_tokens"};
  return fields;
}

bool ReadMessages(const Json::Value& messages, ChatRequest* request,
                  std::string* why) {
  *why = "messages must be a list of objects with role and content";
  if (!messages.isArray() || messages.empty()) return false;
  size_t characters = 0;
  for (const Json::Value& message : messages) {
    if (!message.isObject() || !message["role"].isString() ||
        !message["content"].isString()) {
      return false;
    }
    const std::string content = message["content"].asString();
    characters += content.size();
    if (request->prefix.size() < kPrefixCharacters) {
      request->prefix += content.substr(0, kPrefixCharacters);
    }
  }
  request->prompt_tokens = EstimateTokens(characters);
  return true;
}

bool ReadMaxTokens(const Json::Value& body, ChatRequest* request,
                   std::string* why) {
  for (const char* name : {"max_tokens", "max_completion_tokens"}) {
    if (!body.isMember(name)) continue;
    const Json::Value& value = body[name];
    *why = std::string(name) + " must be a whole number from 1";
    if (!value.isInt64() || value.asInt64() < 1) return false;
    request->max_tokens = std::min(kMostTokens, value.asInt64());
  }
  return true;
}

bool FieldsKnown(const Json::Value& body, std::string* why) {
  for (const std::string& name : body.getMemberNames()) {
    if (KnownFields().count(name) > 0) continue;
    *why = "unknown field '" + name.substr(0, 64) + "'";
    return false;
  }
  return true;
}

}  // namespace

int64_t EstimateTokens(size_t characters) {
  return static_cast<int64_t>(characters / kCharactersPerToken + 1);
}

bool ReadChatRequest(const std::string& text, ChatRequest* request,
                     std::string* why) {
  Json::Value& body = request->body;
  *why = "the body must be one JSON object";
  if (!ReadJson(text, &body) || !body.isObject()) return false;
  if (!FieldsKnown(body, why)) return false;
  *why = "model must be a name";
  if (!body["model"].isString() || body["model"].asString().empty()) {
    return false;
  }
  request->model = body["model"].asString();
  *why = "stream must be true or false";
  if (body.isMember("stream") && !body["stream"].isBool()) return false;
  request->streamed = body["stream"].isBool() && body["stream"].asBool();
  if (!ReadMaxTokens(body, request, why)) return false;
  *why = "n must be 1";
  if (body.isMember("n") && body["n"] != 1) return false;
  return ReadMessages(body["messages"], request, why);
}

}  // namespace leverwick
