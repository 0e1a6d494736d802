// Loads YAML settings into a schema message and checks them.
//
// Every problem is found in one pass and told with file, line, column, the
// key's path and what was expected. Nothing is started on a problem.
//
//   DaemonSettings settings;
//   SettingsReport report = LoadSettings("etc/box.yaml", &settings);
//   if (!report.problems.empty()) ...

#ifndef NET_SETTINGS_H_
#define NET_SETTINGS_H_

#include <map>
#include <string>
#include <vector>

#include "google/protobuf/message.h"

namespace leverwick {

struct SettingsReport {
  std::vector<std::string> problems;
  std::map<std::string, std::string> sources;  // key path to "file:line"
};

SettingsReport LoadSettings(const std::string& file,
                            google::protobuf::Message* settings);

// The same from text; `file` is used in messages only.
SettingsReport ParseSettings(const std::string& text, const std::string& file,
                             google::protobuf::Message* settings);

// YAML with every key, defaults included, each with its source as a comment.
std::string PrintSettings(const google::protobuf::Message& settings,
                          const SettingsReport& report);

// The reference page of a settings message, as Markdown.
std::string SettingsReference(const google::protobuf::Message& settings);

}  // namespace leverwick

#endif  // NET_SETTINGS_H_
