// easylogging++ formats and writes; levels by part are decided here, because
// its own are per logger and its loggers are created on first use.

#include "net/log.h"

#include <easylogging++.h>
#include <unistd.h>

#include <atomic>
#include <set>

#include "net/log_sink.h"

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

// Lines held while the reader of standard output takes none: some seconds of
// the bound on requests' lines.
constexpr size_t kMostHeld = 256UL * 1024;

LogSink& StandardOutput() {
  static LogSink sink(STDOUT_FILENO, kMostHeld);
  return sink;
}

// Takes the formatted lines from easylogging++, which would wait in a write.
class SinkDispatch : public el::LogDispatchCallback {
 protected:
  void handle(const el::LogDispatchData* data) override {
    const el::LogMessage* message = data->logMessage();
    StandardOutput().Write(
        message->logger()->logBuilder()->build(message, true));
  }
};

}  // namespace

void FlushLog() { StandardOutput().Flush(); }

uint64_t DroppedLogLines() { return StandardOutput().dropped(); }

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
  configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "false");
  if (!to_file) {
    el::Helpers::uninstallLogDispatchCallback<
        el::base::DefaultLogDispatchCallback>("DefaultLogDispatchCallback");
    el::Helpers::installLogDispatchCallback<SinkDispatch>("SinkDispatch");
  }
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
