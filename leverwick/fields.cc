// Reflection over the message descriptors. Each field is parsed into a small
// Value first and stored only if the whole text was good, so a failed set
// leaves the message as it was.

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
  constexpr double kExact = 9007199254740992.0;  // 2^53
  if (!ParseNumber(text, &value)) return false;
  if (value != std::floor(value) || std::fabs(value) > kExact) return false;
  *number = static_cast<int64_t>(value);
  return true;
}

std::string Lower(std::string text) {
  for (char& c : text) c = static_cast<char>(std::tolower(c));
  return text;
}

std::string FormatNumber(double number) {
  char text[40];
  std::snprintf(text, sizeof text, "%.15g", number);
  return text;
}

// One parsed entry of a field.
struct Value {
  double number = 0;
  int64_t integer = 0;
  bool truth = false;
  nanoseconds duration{0};
  std::string text;
  const google::protobuf::EnumValueDescriptor* word = nullptr;
};

bool ParseWord(const FieldDescriptor& field, std::string_view text,
               Value* value) {
  const auto* words = field.enum_type();
  for (int i = 0; i < words->value_count(); ++i) {
    if (Lower(words->value(i)->name()) != text) continue;
    value->word = words->value(i);
    return true;
  }
  return false;
}

bool ParseTruth(std::string_view text, bool* truth) {
  *truth = text == "true";
  return *truth || text == "false";
}

bool Parse(const FieldDescriptor& field, std::string_view text, Value* value) {
  if (IsDuration(field)) return ParseDuration(text, &value->duration);
  switch (field.cpp_type()) {
    case FieldDescriptor::CPPTYPE_STRING:
      value->text = std::string(text);
      return true;
    case FieldDescriptor::CPPTYPE_BOOL:
      return ParseTruth(text, &value->truth);
    case FieldDescriptor::CPPTYPE_DOUBLE:
      return ParseNumber(text, &value->number);
    case FieldDescriptor::CPPTYPE_INT32:
      return ParseInteger(text, &value->integer) &&
             std::abs(value->integer) <= std::numeric_limits<int32_t>::max();
    case FieldDescriptor::CPPTYPE_ENUM:
      return ParseWord(field, text, value);
    default:
      return false;
  }
}

void StoreDuration(Message* message, const FieldDescriptor& field,
                   nanoseconds duration) {
  const Reflection* reflection = message->GetReflection();
  auto* stored =
      static_cast<Duration*>(reflection->MutableMessage(message, &field));
  auto whole = std::chrono::duration_cast<std::chrono::seconds>(duration);
  stored->set_seconds(whole.count());
  stored->set_nanos(static_cast<int32_t>((duration - whole).count()));
}

void Store(Message* message, const FieldDescriptor& field, const Value& value) {
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
      reflection->SetBool(message, &field, value.truth);
      break;
    case FieldDescriptor::CPPTYPE_DOUBLE:
      reflection->SetDouble(message, &field, value.number);
      break;
    case FieldDescriptor::CPPTYPE_INT32:
      reflection->SetInt32(message, &field,
                           static_cast<int32_t>(value.integer));
      break;
    case FieldDescriptor::CPPTYPE_ENUM:
      reflection->SetEnum(message, &field, value.word);
      break;
    default:
      break;
  }
}

void Append(Message* message, const FieldDescriptor& field,
            const Value& value) {
  const Reflection* reflection = message->GetReflection();
  if (field.cpp_type() == FieldDescriptor::CPPTYPE_STRING) {
    reflection->AddString(message, &field, value.text);
  } else {
    reflection->AddDouble(message, &field, value.number);
  }
}

const FieldDescriptor* Find(const Message& message, const std::string& name,
                            std::string* why) {
  const FieldDescriptor* field = message.GetDescriptor()->FindFieldByName(name);
  if (field == nullptr) *why = "there is no field '" + name + "'";
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
             std::string_view text, std::string* why) {
  std::vector<Value> values;
  for (std::string_view part : Split(text, ';')) {
    values.emplace_back();
    if (part.empty() || !Parse(field, part, &values.back())) {
      *why = "expected " + DescribeExpected(field);
      return false;
    }
  }
  message->GetReflection()->ClearField(message, &field);
  for (const Value& value : values) Append(message, field, value);
  return true;
}

std::string ScalarText(const Message& message, const FieldDescriptor& field) {
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
      return Lower(reflection->GetEnum(message, &field)->name());
    default:
      return "";
  }
}

std::string ListText(const Message& message, const FieldDescriptor& field) {
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

bool InRange(const Rule& rule, double number) {
  return number >= rule.min() && (rule.max() == 0 || number <= rule.max());
}

bool WordAllowed(const Rule& rule, const std::string& text) {
  if (rule.one_of().empty()) return true;
  for (const std::string& word : rule.one_of()) {
    if (word == text) return true;
  }
  return false;
}

bool ListInRange(const Message& message, const FieldDescriptor& field) {
  if (field.cpp_type() != FieldDescriptor::CPPTYPE_DOUBLE) return true;
  const Reflection* reflection = message.GetReflection();
  for (int i = 0; i < reflection->FieldSize(message, &field); ++i) {
    if (!InRange(RuleFor(field),
                 reflection->GetRepeatedDouble(message, &field, i))) {
      return false;
    }
  }
  return true;
}

bool ScalarInRange(const Message& message, const FieldDescriptor& field) {
  const Rule& rule = RuleFor(field);
  std::string text = ScalarText(message, field);
  if (IsDuration(field)) {
    nanoseconds duration{0};
    ParseDuration(text, &duration);
    return InRange(rule, ToSeconds(duration));
  }
  if (IsNumber(field)) return InRange(rule, std::strtod(text.c_str(), nullptr));
  return WordAllowed(rule, text);
}

// "" when the field keeps its rule.
std::string Broken(const Message& message, const FieldDescriptor& field) {
  std::string text = FormatField(message, field, true);
  if (RuleFor(field).required() && text.empty()) return "is missing";
  bool good = field.is_repeated() ? ListInRange(message, field)
                                  : ScalarInRange(message, field);
  return good ? "" : "is '" + text + "', expected " + DescribeExpected(field);
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
    constexpr double kLongest = 9e18;
    if (length > kLongest) return false;
    *duration = nanoseconds(std::llround(length));
    return true;
  }
  return false;
}

std::string FormatDuration(nanoseconds duration) {
  static const Unit kExact[] = {{"s", std::chrono::seconds(1)},
                                {"ms", milliseconds(1)},
                                {"us", std::chrono::microseconds(1)}};
  for (const Unit& unit : kExact) {
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
    std::string why;
    const std::string& text = RuleFor(field).default_value();
    if (!text.empty()) SetField(message, field.name(), text, &why);
  }
}

bool SetField(Message* message, const std::string& name, std::string_view text,
              std::string* why) {
  const FieldDescriptor* field = Find(*message, name, why);
  if (field == nullptr) return false;
  if (field->is_repeated()) return SetList(message, *field, text, why);
  Value value;
  if (!Parse(*field, text, &value)) {
    *why = "expected " + DescribeExpected(*field);
    return false;
  }
  Store(message, *field, value);
  return true;
}

bool AppendToField(Message* message, const std::string& name,
                   std::string_view text, std::string* why) {
  const FieldDescriptor* field = Find(*message, name, why);
  if (field == nullptr) return false;
  Value value;
  if (!field->is_repeated() || !Parse(*field, text, &value)) {
    *why = "expected " + DescribeExpected(*field);
    return false;
  }
  Append(message, *field, value);
  return true;
}

std::string FormatField(const Message& message, const FieldDescriptor& field,
                        bool reveal) {
  if (IsNested(field)) return "";
  if (field.is_repeated()) return ListText(message, field);
  std::string text = ScalarText(message, field);
  return RuleFor(field).secret() && !reveal && !text.empty() ? "***" : text;
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
    bool whole = field.cpp_type() == FieldDescriptor::CPPTYPE_INT32;
    std::string text = whole ? "a whole number" : "a number";
    text += " from " + FormatNumber(rule.min());
    return rule.max() == 0 ? text : text + " to " + FormatNumber(rule.max());
  }
  std::string words;
  if (field.cpp_type() == FieldDescriptor::CPPTYPE_ENUM) {
    for (int i = 0; i < field.enum_type()->value_count(); ++i) {
      words += (i > 0 ? ", " : "") + Lower(field.enum_type()->value(i)->name());
    }
  }
  for (const std::string& word : rule.one_of()) {
    words += (words.empty() ? "" : ", ") + word;
  }
  if (IsNested(field)) return "a group of settings";
  return words.empty() ? "text" : "one of " + words;
}

std::vector<std::string> CheckRules(const Message& message) {
  std::vector<std::string> problems;
  const auto* descriptor = message.GetDescriptor();
  for (int i = 0; i < descriptor->field_count(); ++i) {
    const FieldDescriptor& field = *descriptor->field(i);
    if (IsNested(field)) continue;
    std::string broken = Broken(message, field);
    if (!broken.empty()) problems.push_back(field.name() + " " + broken);
  }
  return problems;
}

}  // namespace leverwick
