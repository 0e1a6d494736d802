// jsoncpp and protobuf do the work; this only fixes their options.

#include "net/json.h"

#include <google/protobuf/util/json_util.h>
#include <json/json.h>

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <memory>
#include <sstream>

namespace leverwick {
namespace {

// Deep nesting would otherwise overflow the parser's stack.
constexpr int kDepth = 64;
constexpr int kMaxBoundedDepth = kDepth / 2;

Json::CharReaderBuilder MakeReaderBuilder(bool refuses_duplicate_keys) {
  Json::CharReaderBuilder builder;
  Json::CharReaderBuilder::strictMode(&builder.settings_);
  builder["stackLimit"] = kDepth;
  builder["rejectDupKeys"] = refuses_duplicate_keys;
  return builder;
}

bool Parse(const std::string& text, Json::CharReader* reader,
           Json::Value* value) {
  std::string errors;
  try {
    return reader->parse(text.data(), text.data() + text.size(), value,
                         &errors);
  } catch (const std::exception&) {
    return false;  // jsoncpp throws past its stack limit
  }
}

Json::StreamWriterBuilder MakeWriterBuilder() {
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  builder["emitUTF8"] = true;
  return builder;
}

bool BeginsNumber(char c) { return c == '-' || (c >= '0' && c <= '9'); }

bool IsOfNumber(char c) {
  return BeginsNumber(c) || c == '+' || c == '.' || c == 'e' || c == 'E';
}

// The end of the text in quotes that begins at `at`.
size_t EndOfString(const std::string& text, size_t at) {
  for (++at; at < text.size() && text[at] != '"'; ++at) {
    if (text[at] == '\\') ++at;
  }
  return std::min(at + 1, text.size());
}

size_t EndOfNumber(const std::string& text, size_t at) {
  while (at < text.size() && IsOfNumber(text[at])) ++at;
  return at;
}

// The text with values that are nested too deep as null, and numbers that are
// out of range as text: the parser refuses the whole document for either.
std::string BoundJson(const std::string& text) {
  std::string bounded;
  int depth = 0;
  for (size_t at = 0; at < text.size();) {
    char c = text[at];
    bool opens = c == '{' || c == '[';
    bool closes = c == '}' || c == ']';
    size_t end = at + 1;
    if (c == '"') end = EndOfString(text, at);
    if (BeginsNumber(c)) end = EndOfNumber(text, at);
    std::string token = text.substr(at, end - at);
    at = end;
    if (opens && ++depth == kMaxBoundedDepth + 1) bounded += "null";
    bool is_kept = depth <= kMaxBoundedDepth;
    if (closes) --depth;
    if (!is_kept) continue;
    bool is_out_of_range =
        BeginsNumber(c) && !std::isfinite(std::strtod(token.c_str(), nullptr));
    bounded += is_out_of_range ? '"' + token + '"' : token;
  }
  return bounded;
}

}  // namespace

std::string WriteJson(const Json::Value& value) {
  thread_local const std::unique_ptr<Json::StreamWriter> writer(
      MakeWriterBuilder().newStreamWriter());
  std::ostringstream text;
  writer->write(value, &text);
  return text.str();
}

bool ReadJson(const std::string& text, Json::Value* value) {
  // Making a reader costs more than reading a short text with it.
  thread_local const std::unique_ptr<Json::CharReader> reader(
      MakeReaderBuilder(true).newCharReader());
  return Parse(text, reader.get(), value);
}

bool ReadListJson(const std::string& text, Json::Value* value) {
  if (ReadJson(text, value)) return true;
  std::unique_ptr<Json::CharReader> reader(
      MakeReaderBuilder(false).newCharReader());
  return Parse(BoundJson(text), reader.get(), value);
}

std::string MessageToJson(const google::protobuf::Message& message) {
  std::string text;
  google::protobuf::util::JsonPrintOptions options;
  options.preserve_proto_field_names = true;
  google::protobuf::util::MessageToJsonString(message, &text, options);
  return text;
}

bool MessageFromJson(const std::string& text,
                     google::protobuf::Message* message) {
  google::protobuf::util::JsonParseOptions options;
  options.ignore_unknown_fields = true;
  message->Clear();
  return google::protobuf::util::JsonStringToMessage(text, message, options)
      .ok();
}

}  // namespace leverwick
