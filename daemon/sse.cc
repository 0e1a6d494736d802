// Events end with an empty line; only "data:" lines count, comments are
// skipped. A text without quotes, backslashes and control characters stands in
// JSON as it is, so it can be cut out between the known bytes around it.

#include "daemon/sse.h"

#include <json/json.h>

#include <algorithm>

#include "net/json.h"
#include "net/json_fields.h"

namespace leverwick {
namespace {

constexpr std::string_view kEnd = "\n\n";
constexpr std::string_view kData = "data:";
// An engine's event is a few hundred bytes; more is not one.
constexpr size_t kLargestEvent = 1 << 20;

bool IsPlain(std::string_view text) {
  return std::none_of(text.begin(), text.end(), [](unsigned char c) {
    return c < ' ' || c == '"' || c == '\\';
  });
}

bool StartsWith(std::string_view text, std::string_view start) {
  return text.substr(0, start.size()) == start;
}

bool EndsWith(std::string_view text, std::string_view end) {
  return text.size() >= end.size() &&
         text.substr(text.size() - end.size()) == end;
}

}  // namespace

bool ParseChunk(std::string_view data, ChatChunk* chunk) {
  chunk->data = std::string(data);
  chunk->done = data == "[DONE]";
  if (chunk->done) return true;
  Json::Value value;
  if (!ReadJson(chunk->data, &value) || !value.isObject()) return false;
  std::string problem;
  JsonFields fields(value, &problem);
  chunk->id = fields.Text("id");
  chunk->has_usage = value["usage"].isObject();
  JsonFields usage(fields.Object("usage"), &problem);
  chunk->prompt_tokens = static_cast<int64_t>(usage.Whole("prompt_tokens"));
  chunk->completion_tokens =
      static_cast<int64_t>(usage.Whole("completion_tokens"));
  const Json::Value& choices = fields.List("choices");
  if (choices.empty()) return problem.empty();
  JsonFields choice(choices[0], &problem);
  JsonFields delta(choice.Object("delta"), &problem);
  chunk->content = delta.Text("content");
  if (!problem.empty()) return false;
  chunk->finished = choices[0]["finish_reason"].isString();
  return true;
}

bool SseReader::Add(const char* data, size_t size,
                    std::vector<ChatChunk>* chunks) {
  pending_.append(data, size);
  std::string_view rest = pending_;
  for (;;) {
    size_t end = rest.find(kEnd);
    if (end == std::string_view::npos) break;
    std::string_view event = rest.substr(0, end);
    rest.remove_prefix(end + kEnd.size());
    if (event.empty() || event[0] == ':') continue;
    chunks->emplace_back();
    if (!Parse(event, &chunks->back())) return false;
  }
  pending_.erase(0, pending_.size() - rest.size());
  return pending_.size() <= kLargestEvent;
}

bool SseReader::Parse(std::string_view event, ChatChunk* chunk) {
  if (!StartsWith(event, kData)) return false;
  size_t begin = event.find_first_not_of(' ', kData.size());
  if (begin == std::string_view::npos) return false;
  std::string_view data = event.substr(begin);
  if (ParseLikeLast(data, chunk)) return true;
  if (!ParseChunk(data, chunk)) return false;
  Learn(*chunk);
  return true;
}

bool SseReader::ParseLikeLast(std::string_view data, ChatChunk* chunk) const {
  size_t around = before_.size() + after_.size();
  bool alike = !before_.empty() && data.size() > around &&
               StartsWith(data, before_) && EndsWith(data, after_);
  if (!alike) return false;
  std::string_view text = data.substr(before_.size(), data.size() - around);
  if (!IsPlain(text)) return false;
  chunk->data = std::string(data);
  chunk->id = id_;
  chunk->content = std::string(text);
  return true;
}

void SseReader::Learn(const ChatChunk& chunk) {
  before_.clear();
  bool plain = !chunk.content.empty() && IsPlain(chunk.content) &&
               !chunk.finished && !chunk.has_usage;
  std::string quoted = "\"content\":\"" + chunk.content + "\"";
  size_t at = chunk.data.find(quoted);
  // Twice the same words: which of them is the text can't be told.
  if (!plain || at == std::string::npos ||
      chunk.data.find(quoted, at + 1) != std::string::npos) {
    return;
  }
  size_t text_at = at + quoted.size() - 1 - chunk.content.size();
  before_ = chunk.data.substr(0, text_at);
  after_ = chunk.data.substr(text_at + chunk.content.size());
  id_ = chunk.id;
}

}  // namespace leverwick
