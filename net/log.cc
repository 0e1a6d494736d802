// easylogging++ formats and writes; levels by part are decided here, because
// its own are per logger and its loggers are created on first use.

#include "net/log.h"

#include <easylogging++.h>

#include <atomic>
#include <set>

INITIALIZE_EASYLOGGINGPP

namespace leverwick {
namespace {

enum Severity { kDebug, kInfo, kWarning, kError };

struct Levels {
  std::atomic<int> least{kInfo};
  std::set<std::string> debug_parts;
};

Levels& levels() {
  static Levels levels;
  return levels;
}

int SeverityOf(const std::string& word) {
  if (word == "debug") return kDebug;
  if (word == "warning") return kWarning;
  return word == "error" ? kError : kInfo;
}

bool Wanted(Severity severity, const char* part) {
  if (severity >= levels().least) return true;
  return levels().debug_parts.count(part) > 0;
}

std::string Line(const char* part, const std::string& sentence,
                 const LogFields& fields) {
  std::string line = std::string(part) + ": " + sentence;
  for (const auto& field : fields) {
    line += " " + field.first + "=" + field.second;
  }
  return line;
}

}  // namespace

void StartLogging(const LogSettings& settings) {
  levels().least = SeverityOf(settings.level());
  levels().debug_parts.insert(settings.debug_parts().begin(),
                              settings.debug_parts().end());
  el::Configurations configuration;
  configuration.setToDefault();
  configuration.setGlobally(el::ConfigurationType::Format,
                            "%datetime{%Y-%M-%dT%H:%m:%s.%g} %level %msg");
  bool to_file = !settings.file().empty();
  configuration.setGlobally(el::ConfigurationType::ToFile,
                            to_file ? "true" : "false");
  configuration.setGlobally(el::ConfigurationType::ToStandardOutput,
                            to_file ? "false" : "true");
  if (to_file) {
    configuration.setGlobally(el::ConfigurationType::Filename, settings.file());
  }
  el::Loggers::reconfigureAllLoggers(configuration);
  el::Loggers::addFlag(el::LoggingFlag::DisableApplicationAbortOnFatalLog);
}

void Log::Debug(const std::string& sentence, const LogFields& fields) const {
  if (Wanted(kDebug, part_)) LOG(INFO) << Line(part_, sentence, fields);
}

void Log::Info(const std::string& sentence, const LogFields& fields) const {
  if (Wanted(kInfo, part_)) LOG(INFO) << Line(part_, sentence, fields);
}

void Log::Warning(const std::string& sentence, const LogFields& fields) const {
  if (Wanted(kWarning, part_)) LOG(WARNING) << Line(part_, sentence, fields);
}

void Log::Error(const std::string& sentence, const LogFields& fields) const {
  if (Wanted(kError, part_)) LOG(ERROR) << Line(part_, sentence, fields);
}

}  // namespace leverwick
