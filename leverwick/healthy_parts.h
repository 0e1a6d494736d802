// Counts the requests with a prompt part that have lately completed at an
// endpoint that survived them, by version of the service.
//
//   HealthyParts healthy;
//   healthy.RecordHealthyRun(part, version, ended_at, now);
//   if (healthy.LastRunAt(part, version) >= crashed_at) ...  // not the cause

#ifndef LEVERWICK_HEALTHY_PARTS_H_
#define LEVERWICK_HEALTHY_PARTS_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>

#include "leverwick/part_digest.h"
#include "leverwick/time.h"

namespace leverwick {

// Not thread-safe.
class HealthyParts {
 public:
  // A part is kept for one to two generations. A generation ends after this
  // time or at this number of parts, of some 60 bytes each.
  static constexpr std::chrono::minutes kGenerationTime{5};
  static constexpr size_t kMaxPerGeneration = 8192;

  void RecordHealthyRun(PartDigest part, const std::string& version,
                        TimePoint ended_at, TimePoint now);
  // Returns the number of runs that are kept.
  uint32_t CountRuns(PartDigest part, const std::string& version) const;
  // Returns when the latest run ended; the clock's epoch if none is kept.
  TimePoint LastRunAt(PartDigest part, const std::string& version) const;

  size_t size() const { return current_.size() + previous_.size(); }

 private:
  struct Runs {
    uint32_t count = 0;
    TimePoint last_at{};
  };
  using RunsByPart = std::unordered_map<uint64_t, Runs>;  // by ComputeKey

  static uint64_t ComputeKey(PartDigest part, const std::string& version);

  // Two generations. When the current one is full or old, it replaces the
  // previous one.
  RunsByPart current_;
  RunsByPart previous_;
  TimePoint current_started_at_{};
};

}  // namespace leverwick

#endif  // LEVERWICK_HEALTHY_PARTS_H_
