// A field that is null counts as left out.

#include "net/json_fields.h"

#include <cmath>

namespace leverwick {
namespace {

// No limit, weight or time of a record comes near it, and it fits every type
// that a number is turned into.
constexpr double kLargestNumber = 1e9;

}  // namespace

JsonFields::JsonFields(const Json::Value& object, std::string* problem)
    : object_(object), problem_(problem) {
  if (!object.isObject()) Fail("expected an object");
}

std::string JsonFields::Text(const char* name, bool required) {
  const Json::Value* value = Find(name, required);
  if (value == nullptr) return "";
  if (value->isString()) return value->asString();
  Fail(std::string(name) + ": expected text");
  return "";
}

double JsonFields::Number(const char* name, double fallback) {
  const Json::Value* value = Find(name, false);
  if (value == nullptr) return fallback;
  bool usable = value->isNumeric() && std::isfinite(value->asDouble()) &&
                value->asDouble() >= 0 && value->asDouble() <= kLargestNumber;
  if (usable) return value->asDouble();
  Fail(std::string(name) + ": expected a number from 0 to 1e9");
  return fallback;
}

uint64_t JsonFields::Whole(const char* name) {
  const Json::Value* value = Find(name, false);
  if (value == nullptr) return 0;
  if (value->isUInt64()) return value->asUInt64();
  Fail(std::string(name) + ": expected a whole number");
  return 0;
}

milliseconds JsonFields::Time(const char* name, milliseconds fallback) {
  double number = Number(name, static_cast<double>(fallback.count()));
  return milliseconds(std::llround(number));
}

bool JsonFields::Flag(const char* name, bool fallback) {
  const Json::Value* value = Find(name, false);
  if (value == nullptr) return fallback;
  if (value->isBool()) return value->asBool();
  Fail(std::string(name) + ": expected true or false");
  return fallback;
}

const Json::Value& JsonFields::List(const char* name) {
  static const Json::Value none(Json::arrayValue);
  const Json::Value* value = Find(name, false);
  if (value == nullptr) return none;
  if (value->isArray()) return *value;
  Fail(std::string(name) + ": expected a list");
  return none;
}

std::vector<std::string> JsonFields::Texts(const char* name) {
  std::vector<std::string> texts;
  for (const Json::Value& value : List(name)) {
    if (!value.isString()) {
      Fail(std::string(name) + ": expected texts");
      break;
    }
    texts.push_back(value.asString());
  }
  return texts;
}

const Json::Value& JsonFields::Object(const char* name) {
  static const Json::Value none(Json::objectValue);
  const Json::Value* value = Find(name, false);
  if (value == nullptr) return none;
  if (value->isObject()) return *value;
  Fail(std::string(name) + ": expected an object");
  return none;
}

void JsonFields::Fail(const std::string& problem) {
  if (problem_->empty()) *problem_ = problem;
}

const Json::Value* JsonFields::Find(const char* name, bool required) {
  if (!ok()) return nullptr;
  const Json::Value& value = object_[name];
  if (!value.isNull()) return &value;
  if (required) Fail(std::string(name) + " is missing");
  return nullptr;
}

}  // namespace leverwick
