// Walks the YAML tree against the message's descriptor: maps are nested
// messages, lists are repeated fields, everything else is text that
// leverwick/fields.h parses.

#include "net/settings.h"

#include <yaml-cpp/yaml.h>

#include <fstream>
#include <set>
#include <sstream>

#include "leverwick/fields.h"

namespace leverwick {
namespace {

using google::protobuf::FieldDescriptor;
using google::protobuf::Message;

bool IsGroup(const FieldDescriptor& field) {
  return field.cpp_type() == FieldDescriptor::CPPTYPE_MESSAGE &&
         !IsDuration(field);
}

std::string Join(const std::string& path, const std::string& key) {
  return path.empty() ? key : path + "." + key;
}

std::string KnownKeys(const Message& message) {
  std::string keys;
  for (int i = 0; i < message.GetDescriptor()->field_count(); ++i) {
    keys += (i > 0 ? ", " : "") + message.GetDescriptor()->field(i)->name();
  }
  return keys;
}

class Loader {
 public:
  Loader(std::string file, SettingsReport* report)
      : file_(std::move(file)), report_(report) {}

  void Problem(const YAML::Mark& mark, const std::string& path,
               const std::string& text) {
    std::string line = file_ + ":" + std::to_string(mark.line + 1) + ":" +
                       std::to_string(mark.column + 1) + ": ";
    if (!path.empty()) line += path + ": ";
    report_->problems.push_back(line + text);
  }

  void ReadGroup(const YAML::Node& node, const std::string& path,
                 Message* message) {
    if (!node.IsMap()) {
      Problem(node.Mark(), path, "expected a group of settings");
      return;
    }
    std::set<std::string> seen;
    for (const auto& entry : node) {
      std::string key = entry.first.as<std::string>("");
      if (!seen.insert(key).second) {
        Problem(entry.first.Mark(), Join(path, key), "duplicate key");
        continue;
      }
      ReadField(entry.first, entry.second, Join(path, key), key, message);
    }
    CheckGroup(node, path, seen, *message);
  }

 private:
  void ReadField(const YAML::Node& name, const YAML::Node& value,
                 const std::string& path, const std::string& key,
                 Message* message) {
    const FieldDescriptor* field =
        message->GetDescriptor()->FindFieldByName(key);
    if (field == nullptr) {
      Problem(name.Mark(), path,
              "unknown key; expected one of " + KnownKeys(*message));
      return;
    }
    if (IsGroup(*field)) {
      ReadGroup(value, path,
                message->GetReflection()->MutableMessage(message, field));
      return;
    }
    report_->sources[path] = file_ + ":" + std::to_string(name.Mark().line + 1);
    if (field->is_repeated()) {
      ReadList(value, path, *field, message);
    } else {
      ReadScalar(value, path, *field, message);
    }
  }

  void ReadScalar(const YAML::Node& value, const std::string& path,
                  const FieldDescriptor& field, Message* message) {
    std::string why = "expected " + DescribeExpected(field);
    if (!value.IsScalar() ||
        !SetField(message, field.name(), value.Scalar(), &why)) {
      Problem(value.Mark(), path, why);
      bad_.insert(path);
    }
  }

  void ReadList(const YAML::Node& value, const std::string& path,
                const FieldDescriptor& field, Message* message) {
    if (!value.IsSequence()) {
      Problem(value.Mark(), path, "expected a list");
      return;
    }
    for (const YAML::Node& entry : value) {
      std::string why = "expected " + DescribeExpected(field);
      if (!entry.IsScalar() ||
          !AppendToField(message, field.name(), entry.Scalar(), &why)) {
        Problem(entry.Mark(), path, why);
      }
    }
  }

  void CheckGroup(const YAML::Node& node, const std::string& path,
                  const std::set<std::string>& seen, const Message& message) {
    for (const std::string& problem : CheckRules(message)) {
      std::string key = problem.substr(0, problem.find(' '));
      if (bad_.count(Join(path, key)) > 0) continue;
      YAML::Mark mark = seen.count(key) > 0 ? node[key].Mark() : node.Mark();
      Problem(mark, Join(path, key), problem.substr(key.size() + 1));
    }
    // A group that is left out may still have required keys.
    const auto* descriptor = message.GetDescriptor();
    for (int i = 0; i < descriptor->field_count(); ++i) {
      const FieldDescriptor& field = *descriptor->field(i);
      if (!IsGroup(field) || seen.count(field.name()) > 0) continue;
      const Message& group =
          message.GetReflection()->GetMessage(message, &field);
      for (const std::string& problem : CheckRules(group)) {
        Problem(node.Mark(), Join(path, field.name()), problem);
      }
    }
  }

  const std::string file_;
  SettingsReport* const report_;
  std::set<std::string> bad_;  // reported already
};

void Print(const Message& message, const std::string& path,
           const std::string& indent, const SettingsReport& report,
           std::string* text) {
  const auto* descriptor = message.GetDescriptor();
  for (int i = 0; i < descriptor->field_count(); ++i) {
    const FieldDescriptor& field = *descriptor->field(i);
    std::string field_path = Join(path, field.name());
    if (IsGroup(field)) {
      *text += indent + field.name() + ":\n";
      Print(message.GetReflection()->GetMessage(message, &field), field_path,
            indent + "  ", report, text);
      continue;
    }
    auto source = report.sources.find(field_path);
    std::string value = FormatField(message, field);
    if (field.is_repeated()) value = "[" + value + "]";
    if (value.empty()) value = "\"\"";
    *text += indent + field.name() + ": " + value + "  # " +
             (source == report.sources.end() ? "default" : source->second) +
             "\n";
  }
}

void Reference(const Message& message, const std::string& path,
               std::string* text) {
  const auto* descriptor = message.GetDescriptor();
  for (int i = 0; i < descriptor->field_count(); ++i) {
    const FieldDescriptor& field = *descriptor->field(i);
    std::string field_path = Join(path, field.name());
    if (IsGroup(field)) {
      Reference(message.GetReflection()->GetMessage(message, &field),
                field_path, text);
      continue;
    }
    const Rule& rule = RuleFor(field);
    std::string fallback = rule.default_value();
    if (fallback.empty()) fallback = rule.required() ? "required" : "none";
    std::string expected =
        field.is_repeated() ? "list" : DescribeExpected(field);
    *text += "| `" + field_path + "` | " + expected + " | " + fallback + " | " +
             rule.help() + " |\n";
  }
}

}  // namespace

SettingsReport ParseSettings(const std::string& text, const std::string& file,
                             Message* settings) {
  SettingsReport report;
  SetDefaults(settings);
  Loader loader(file, &report);
  try {
    YAML::Node root = YAML::Load(text);
    loader.ReadGroup(root, "", settings);
  } catch (const YAML::Exception& error) {
    loader.Problem(error.mark, "", "malformed YAML: " + error.msg);
  }
  return report;
}

SettingsReport LoadSettings(const std::string& file, Message* settings) {
  std::ifstream input(file);
  if (!input) {
    SettingsReport report;
    report.problems.push_back(file + ": can't be read");
    return report;
  }
  std::stringstream text;
  text << input.rdbuf();
  return ParseSettings(text.str(), file, settings);
}

std::string PrintSettings(const Message& settings,
                          const SettingsReport& report) {
  std::string text;
  Print(settings, "", "", report, &text);
  return text;
}

std::string SettingsReference(const Message& settings) {
  std::string text =
      "| key | expected | default | meaning |\n|---|---|---|---|\n";
  Reference(settings, "", &text);
  return text;
}

}  // namespace leverwick
