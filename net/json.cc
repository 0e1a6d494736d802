// jsoncpp and protobuf do the work; this only fixes their options.

#include "net/json.h"

#include <google/protobuf/util/json_util.h>
#include <json/json.h>

#include <memory>
#include <sstream>

namespace leverwick {
namespace {

// Deep nesting would otherwise overflow the parser's stack.
constexpr int kDepth = 64;

Json::CharReaderBuilder MakeReaderBuilder() {
  Json::CharReaderBuilder builder;
  Json::CharReaderBuilder::strictMode(&builder.settings_);
  builder["stackLimit"] = kDepth;
  return builder;
}

Json::StreamWriterBuilder MakeWriterBuilder() {
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  builder["emitUTF8"] = true;
  return builder;
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
      MakeReaderBuilder().newCharReader());
  std::string errors;
  try {
    return reader->parse(text.data(), text.data() + text.size(), value,
                         &errors);
  } catch (const std::exception&) {
    return false;  // jsoncpp throws past its stack limit
  }
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
