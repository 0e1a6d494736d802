// Events end with an empty line; only "data:" lines count, comments are
// skipped.

#include "daemon/sse.h"

#include <json/json.h>

#include "net/json.h"

namespace leverwick {
namespace {

constexpr char kEnd[] = "\n\n";
constexpr char kData[] = "data:";
// An engine's event is a few hundred bytes; more is not one.
constexpr size_t kLargestEvent = 1 << 20;

}  // namespace

bool SseReader::Add(const char* data, size_t size,
                    std::vector<ChatChunk>* chunks) {
  pending_.append(data, size);
  size_t begin = 0;
  for (;;) {
    size_t end = pending_.find(kEnd, begin);
    if (end == std::string::npos) break;
    ChatChunk chunk;
    std::string event = pending_.substr(begin, end - begin);
    begin = end + 2;
    if (event.empty() || event[0] == ':') continue;
    if (!Parse(event, &chunk)) return false;
    chunks->push_back(std::move(chunk));
  }
  pending_.erase(0, begin);
  return pending_.size() <= kLargestEvent;
}

bool SseReader::Parse(const std::string& event, ChatChunk* chunk) {
  if (event.rfind(kData, 0) != 0) return false;
  size_t begin = event.find_first_not_of(' ', sizeof kData - 1);
  if (begin == std::string::npos) return false;
  chunk->data = event.substr(begin);
  chunk->done = chunk->data == "[DONE]";
  if (chunk->done) return true;
  Json::Value value;
  if (!ReadJson(chunk->data, &value) || !value.isObject()) return false;
  chunk->id = value["id"].asString();
  const Json::Value& usage = value["usage"];
  chunk->has_usage = usage.isObject();
  if (chunk->has_usage) {
    chunk->prompt_tokens = usage["prompt_tokens"].asInt64();
    chunk->completion_tokens = usage["completion_tokens"].asInt64();
  }
  if (!value["choices"].isArray() || value["choices"].empty()) return true;
  const Json::Value& choice = value["choices"][0];
  chunk->content = choice["delta"]["content"].asString();
  chunk->finished = choice["finish_reason"].isString();
  return true;
}

}  // namespace leverwick
