// Keys are 64-bit hashes of part and version.

#include "leverwick/healthy_parts.h"

#include <algorithm>
#include <utility>

#include "leverwick/digest.h"

namespace leverwick {

uint64_t HealthyParts::ComputeKey(PartDigest part, const std::string& version) {
  return StableHash(version, part);
}

void HealthyParts::RecordHealthyRun(PartDigest part, const std::string& version,
                                    TimePoint ended_at, TimePoint now) {
  if (current_.size() >= kMaxPerGeneration ||
      now - current_started_at_ >= kGenerationTime) {
    previous_ = std::exchange(current_, {});
    current_started_at_ = now;
  }
  Runs& runs = current_[ComputeKey(part, version)];
  ++runs.count;
  runs.last_at = std::max(runs.last_at, ended_at);
}

uint32_t HealthyParts::CountRuns(PartDigest part,
                                 const std::string& version) const {
  uint64_t key = ComputeKey(part, version);
  uint32_t count = 0;
  for (const RunsByPart* generation : {&current_, &previous_}) {
    auto found = generation->find(key);
    if (found != generation->end()) count += found->second.count;
  }
  return count;
}

TimePoint HealthyParts::LastRunAt(PartDigest part,
                                  const std::string& version) const {
  uint64_t key = ComputeKey(part, version);
  TimePoint last_at{};
  for (const RunsByPart* generation : {&current_, &previous_}) {
    auto found = generation->find(key);
    if (found != generation->end()) {
      last_at = std::max(last_at, found->second.last_at);
    }
  }
  return last_at;
}

}  // namespace leverwick
