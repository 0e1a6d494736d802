// Structured logs: short sentences with a fixed prefix for each part.
//
//   const Log log("claims");
//   log.Info("Slot is active.", {{"slot", "12"}, {"epoch", "90"}});
//
// gives: 2026-01-01T00:00:00.000 INFO claims: Slot is active. slot=12 epoch=90
// A caller's text and keys are never logged.

#ifndef NET_LOG_H_
#define NET_LOG_H_

#include <string>
#include <utility>
#include <vector>

#include "schema/settings.pb.h"

namespace leverwick {

using LogFields = std::vector<std::pair<std::string, std::string>>;

class Log {
 public:
  explicit Log(const char* part) : part_(part) {}

  void Debug(const std::string& sentence, const LogFields& fields = {}) const;
  void Info(const std::string& sentence, const LogFields& fields = {}) const;
  void Warning(const std::string& sentence, const LogFields& fields = {}) const;
  void Error(const std::string& sentence, const LogFields& fields = {}) const;

 private:
  const char* const part_;
};

// Must be called once before the first line. Without a file, lines go to
// standard output and never wait for its reader.
void StartLogging(const LogSettings& settings);

// Writes what the reader of standard output did not take before.
void FlushLog();
// Lines that were dropped because it took none for too long.
uint64_t DroppedLogLines();

}  // namespace leverwick

#endif  // NET_LOG_H_
