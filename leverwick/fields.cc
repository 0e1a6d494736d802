// Uses reflection over the message descriptors. The text of a field is parsed
// into a Value first and stored only if all of it is valid, so that a failed
// call leaves the message unchanged.

#include "leverwick/fields.h"

#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <limits>

namespace leverwick {
namespace {

using google::protobuf::Duration;
using google::protobuf::FieldDescriptor;
using google::protobuf::Message;
using google::protobuf::Reflection;

struct Unit {
  const char* suffix;
  nanoseconds length;
};

const Unit kUnits[] = {
    {"ms", milliseconds(1)},        {"us", std::chrono::microseconds(1)},
    {"ns", nanoseconds(1)},         {"h", std::chrono::hours(1)},
    {"m", std::chrono::minutes(1)}, {"s", std::chrono::seconds(1)},
};

bool EndsWith(std::string_view text, std::string_view suffix) {
  return text.size() >= suffix.size() &&
         text.substr(text.size() - suffix.size()) == suffix;
}

bool ParseNumber(std::string_view text, double* number) {
  std::string copy(text);
  if (copy.empty() || std::isspace(static_cast<unsigned char>(copy[0]))) {
    return false;
  }
  char* end = nullptr;
  *number = std::strtod(copy.c_str(), &end);
  return *end == '\0' && std::isfinite(*number);
}

bool ParseInteger(std::string_view text, int64_t* number) {
  double value = 0;
  // 2^53; above it, doubles can't represent every integer.
  constexpr double kMaxExactInteger = 9007199254740992.0;
  if (!ParseNumber(text, &value)) return false;
  if (value != std::floor(value) || std::fabs(value) > kMaxExactInteger)
    return false;
  *number = static_cast<int64_t>(value);
  return true;
}

std::string ToLower(std::string text) {
  for (char& c : text) c = static_cast<char>(std::tolower(c));
  return text;
}

std::string FormatNumber(double number) {
  char text[40];
  std::snprintf(text, sizeof text, "%.15g", number);
  return text;
}

// A parsed scalar, or one parsed entry of a list. Only the member that matches
// the field's type is set.
struct Value {
  double number = 0;
  int64_t integer = 0;
  bool boolean = false;
  nanoseconds duration{0};
  std::string text;
  const google::protobuf::EnumValueDescriptor* enum_value = nullptr;
};

bool ParseEnum(const FieldDescriptor& field, std::string_view text,
               Value* value) {
  const auto* type = field.enum_type();
  for (int i = 0; i < type->value_count(); ++i) {
    if (ToLower(type->value(i)->name()) != text) continue;
    value->enum_value = type->value(i);
    return true;
  }
  return false;
}

bool ParseBool(std::string_view text, bool* boolean) {
  *boolean = text == "true";
  return *boolean || text == "false";
}

bool ParseValue(const FieldDescriptor& field, std::string_view text,
                Value* value) {
  if (IsDuration(field)) return ParseDuration(text, &value->duration);
  switch (field.cpp_type()) {
    case FieldDescriptor::CPPTYPE_STRING:
      value->text = std::string(text);
      return true;
    case FieldDescriptor::CPPTYPE_BOOL:
      return ParseBool(text, &value->boolean);
    case FieldDescriptor::CPPTYPE_DOUBLE:
      return ParseNumber(text, &value->number);
    case FieldDescriptor::CPPTYPE_INT32:
      return ParseInteger(text, &value->integer) &&
             std::abs(value->integer) <= std::numeric_limits<int32_t>::max();
    case FieldDescriptor::CPPTYPE_ENUM:
      return ParseEnum(field, text, value);
    default:
      return false;
  }
}

void StoreDuration(Message* message, const FieldDescriptor& field,
                   nanoseconds duration) {
  const Reflection* reflection = message->GetReflection();
  auto* stored =
      static_cast<Duration*>(reflection->MutableMessage(message, &field));
  auto whole_seconds =
      std::chrono::duration_cast<std::chrono::seconds>(duration);
  stored->set_seconds(whole_seconds.count());
  stored->set_nanos(static_cast<int32_t>((duration - whole_seconds).count()));
}

void StoreValue(Message* message, const FieldDescriptor& field,
                const Value& value) {
  const Reflection* reflection = message->GetReflection();
  if (IsDuration(field)) {
    StoreDuration(message, field, value.duration);
    return;
  }
  switch (field.cpp_type()) {
    case FieldDescriptor::CPPTYPE_STRING:
      reflection->SetString(message, &field, value.text);
      break;
    case FieldDescriptor::CPPTYPE_BOOL:
      reflection->SetBool(message, &field, value.boolean);
      break;
    case FieldDescriptor::CPPTYPE_DOUBLE:
      reflection->SetDouble(message, &field, value.number);
      break;
    case FieldDescriptor::CPPTYPE_INT32:
      reflection->SetInt32(message, &field,
                           static_cast<int32_t>(value.integer));
      break;
    case FieldDescriptor::CPPTYPE_ENUM:
      reflection->SetEnum(message, &field, value.enum_value);
      break;
    default:
      break;
  }
}

void AppendValue(Message* message, const FieldDescriptor& field,
                 const Value& value) {
  const Reflection* reflection = message->GetReflection();
  if (field.cpp_type() == FieldDescriptor::CPPTYPE_STRING) {
    reflection->AddString(message, &field, value.text);
  } else {
    reflection->AddDouble(message, &field, value.number);
  }
}

const FieldDescriptor* FindField(const Message& message,
                                 const std::string& name, std::string* error) {
  const FieldDescriptor* field = message.GetDescriptor()->FindFieldByName(name);
  if (field == nullptr) *error = "there is no field '" + name + "'";
  return field;
}

std::vector<std::string_view> Split(std::string_view text, char separator) {
  std::vector<std::string_view> parts;
  while (!text.empty()) {
    size_t end = text.find(separator);
    parts.push_back(text.substr(0, end));
    if (end == std::string_view::npos) break;
    text.remove_prefix(end + 1);
  }
  return parts;
}

bool SetList(Message* message, const FieldDescriptor& field,
             std::string_view text, std::string* error) {
  std::vector<Value> values;
  for (std::string_view part : Split(text, ';')) {
    values.emplace_back();
    if (part.empty() || !ParseValue(field, part, &values.back())) {
      *error = "expected " + DescribeExpected(field);
      return false;
    }
  }
  message->GetReflection()->ClearField(message, &field);
  for (const Value& value : values) AppendValue(message, field, value);
  return true;
}

std::string FormatScalar(const Message& message, const FieldDescriptor& field) {
  const Reflection* reflection = message.GetReflection();
  if (IsDuration(field)) {
    return FormatDuration(FromProto(
        static_cast<const Duration&>(reflection->GetMessage(message, &field))));
  }
  switch (field.cpp_type()) {
    case FieldDescriptor::CPPTYPE_STRING:
      return reflection->GetString(message, &field);
    case FieldDescriptor::CPPTYPE_BOOL:
      return reflection->GetBool(message, &field) ? "true" : "false";
    case FieldDescriptor::CPPTYPE_DOUBLE:
      return FormatNumber(reflection->GetDouble(message, &field));
    case FieldDescriptor::CPPTYPE_INT32:
      return std::to_string(reflection->GetInt32(message, &field));
    case FieldDescriptor::CPPTYPE_ENUM:
      return ToLower(reflection->GetEnum(message, &field)->name());
    default:
      return "";
  }
}

std::string FormatList(const Message& message, const FieldDescriptor& field) {
  const Reflection* reflection = message.GetReflection();
  std::string text;
  for (int i = 0; i < reflection->FieldSize(message, &field); ++i) {
    if (i > 0) text += ';';
    text +=
        field.cpp_type() == FieldDescriptor::CPPTYPE_STRING
            ? reflection->GetRepeatedString(message, &field, i)
            : FormatNumber(reflection->GetRepeatedDouble(message, &field, i));
  }
  return text;
}

bool IsNumber(const FieldDescriptor& field) {
  return field.cpp_type() == FieldDescriptor::CPPTYPE_DOUBLE ||
         field.cpp_type() == FieldDescriptor::CPPTYPE_INT32;
}

bool IsInRange(const Rule& rule, double number) {
  return number >= rule.min() && (rule.max() == 0 || number <= rule.max());
}

bool IsAllowedText(const Rule& rule, const std::string& text) {
  if (rule.one_of().empty()) return true;
  for (const std::string& option : rule.one_of()) {
    if (option == text) return true;
  }
  return false;
}

bool IsListValid(const Message& message, const FieldDescriptor& field) {
  if (field.cpp_type() != FieldDescriptor::CPPTYPE_DOUBLE) return true;
  const Reflection* reflection = message.GetReflection();
  for (int i = 0; i < reflection->FieldSize(message, &field); ++i) {
    if (!IsInRange(RuleFor(field),
                   reflection->GetRepeatedDouble(message, &field, i))) {
      return false;
    }
  }
  return true;
}

bool IsScalarValid(const Message& message, const FieldDescriptor& field) {
  const Rule& rule = RuleFor(field);
  std::string text = FormatScalar(message, field);
  if (IsDuration(field)) {
    nanoseconds duration{0};
    ParseDuration(text, &duration);
    return IsInRange(rule, ToSeconds(duration));
  }
  if (IsNumber(field))
    return IsInRange(rule, std::strtod(text.c_str(), nullptr));
  return IsAllowedText(rule, text);
}

// Returns why the field violates its rule, or "" when it does not.
std::string DescribeViolation(const Message& message,
                              const FieldDescriptor& field) {
  std::string text = FormatField(message, field, true);
  if (RuleFor(field).required() && text.empty()) return "is missing";
  bool is_valid = field.is_repeated() ? IsListValid(message, field)
                                      : IsScalarValid(message, field);
  return is_valid ? ""
                  : "is '" + text + "', expected " + DescribeExpected(field);
}

bool IsNested(const FieldDescriptor& field) {
  return field.cpp_type() == FieldDescriptor::CPPTYPE_MESSAGE &&
         !IsDuration(field);
}

}  // namespace

bool ParseDuration(std::string_view text, nanoseconds* duration) {
  for (const Unit& unit : kUnits) {
    if (!EndsWith(text, unit.suffix)) continue;
    text.remove_suffix(std::string_view(unit.suffix).size());
    double number = 0;
    if (!ParseNumber(text, &number) || number < 0) return false;
    double length = number * static_cast<double>(unit.length.count());
    constexpr double kMaxNanoseconds = 9e18;  // just below the int64_t limit
    if (length > kMaxNanoseconds) return false;
    *duration = nanoseconds(std::llround(length));
    return true;
  }
  return false;
}

std::string FormatDuration(nanoseconds duration) {
  static const Unit kPrintedUnits[] = {{"s", std::chrono::seconds(1)},
                                       {"ms", milliseconds(1)},
                                       {"us", std::chrono::microseconds(1)}};
  for (const Unit& unit : kPrintedUnits) {
    if (duration % unit.length == nanoseconds(0)) {
      return std::to_string(duration / unit.length) + unit.suffix;
    }
  }
  return std::to_string(duration.count()) + "ns";
}

const Rule& RuleFor(const FieldDescriptor& field) {
  return field.options().GetExtension(rule);
}

bool IsDuration(const FieldDescriptor& field) {
  return field.cpp_type() == FieldDescriptor::CPPTYPE_MESSAGE &&
         field.message_type() == Duration::descriptor();
}

void SetDefaults(Message* message) {
  const auto* descriptor = message->GetDescriptor();
  for (int i = 0; i < descriptor->field_count(); ++i) {
    const FieldDescriptor& field = *descriptor->field(i);
    if (IsNested(field)) {
      if (field.is_repeated()) continue;
      SetDefaults(message->GetReflection()->MutableMessage(message, &field));
      continue;
    }
    std::string error;
    const std::string& text = RuleFor(field).default_value();
    if (!text.empty()) SetField(message, field.name(), text, &error);
  }
}

bool SetField(Message* message, const std::string& name, std::string_view text,
              std::string* error) {
  const FieldDescriptor* field = FindField(*message, name, error);
  if (field == nullptr) return false;
  if (field->is_repeated()) return SetList(message, *field, text, error);
  Value value;
  if (!ParseValue(*field, text, &value)) {
    *error = "expected " + DescribeExpected(*field);
    return false;
  }
  StoreValue(message, *field, value);
  return true;
}

bool AppendToField(Message* message, const std::string& name,
                   std::string_view text, std::string* error) {
  const FieldDescriptor* field = FindField(*message, name, error);
  if (field == nullptr) return false;
  Value value;
  if (!field->is_repeated() || !ParseValue(*field, text, &value)) {
    *error = "expected " + DescribeExpected(*field);
    return false;
  }
  AppendValue(message, *field, value);
  return true;
}

std::string FormatField(const Message& message, const FieldDescriptor& field,
                        bool reveal_secrets) {
  if (IsNested(field)) return "";
  if (field.is_repeated()) return FormatList(message, field);
  std::string text = FormatScalar(message, field);
  return RuleFor(field).secret() && !reveal_secrets && !text.empty() ? "***"
                                                                     : text;
}

std::string DescribeExpected(const FieldDescriptor& field) {
  const Rule& rule = RuleFor(field);
  if (IsDuration(field)) {
    return "a duration such as 250ms or 2s, from " +
           FormatDuration(FromSeconds(rule.min())) + " to " +
           FormatDuration(FromSeconds(rule.max()));
  }
  if (field.cpp_type() == FieldDescriptor::CPPTYPE_BOOL) {
    return "true or false";
  }
  if (IsNumber(field)) {
    bool is_integer = field.cpp_type() == FieldDescriptor::CPPTYPE_INT32;
    std::string text = is_integer ? "a whole number" : "a number";
    text += " from " + FormatNumber(rule.min());
    return rule.max() == 0 ? text : text + " to " + FormatNumber(rule.max());
  }
  std::string allowed;
  if (field.cpp_type() == FieldDescriptor::CPPTYPE_ENUM) {
    for (int i = 0; i < field.enum_type()->value_count(); ++i) {
      allowed +=
          (i > 0 ? ", " : "") + ToLower(field.enum_type()->value(i)->name());
    }
  }
  for (const std::string& option : rule.one_of()) {
    allowed += (allowed.empty() ? "" : ", ") + option;
  }
  if (IsNested(field)) return "a group of settings";
  return allowed.empty() ? "text" : "one of " + allowed;
}

std::vector<std::string> CheckRules(const Message& message) {
  std::vector<std::string> problems;
  const auto* descriptor = message.GetDescriptor();
  for (int i = 0; i < descriptor->field_count(); ++i) {
    const FieldDescriptor& field = *descriptor->field(i);
    if (IsNested(field)) continue;
    std::string violation = DescribeViolation(message, field);
    if (!violation.empty()) problems.push_back(field.name() + " " + violation);
  }
  return problems;
}

}  // namespace leverwick
