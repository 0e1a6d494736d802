// Keys are 64-bit hashes. Two requests with the same key would excuse each
// other from crashes, which is as unlikely as it is harmless.

#include "leverwick/healthy_requests.h"

#include <utility>

#include "leverwick/digest.h"

namespace leverwick {

uint64_t HealthyRequests::ComputeKey(const RequestDigest& request,
                                     const std::string& version) {
  return StableHash(version, StableHash(request.bytes()));
}

void HealthyRequests::RecordHealthyRun(const RequestDigest& request,
                                       const std::string& version,
                                       TimePoint now) {
  if (current_.size() >= kMaxPerGeneration ||
      now - current_started_at_ >= kGenerationTime) {
    previous_ = std::exchange(current_, {});
    current_started_at_ = now;
  }
  current_[ComputeKey(request, version)] = 0;
}

bool HealthyRequests::Contains(const RequestDigest& request,
                               const std::string& version) const {
  uint64_t key = ComputeKey(request, version);
  return current_.count(key) > 0 || previous_.count(key) > 0;
}

bool HealthyRequests::ExcuseCrash(const RequestDigest& request,
                                  const std::string& version) {
  uint64_t key = ComputeKey(request, version);
  auto in_current = current_.find(key);
  auto in_previous = previous_.find(key);
  bool is_recorded =
      in_current != current_.end() || in_previous != previous_.end();
  if (!is_recorded) return false;
  int& crashes =
      in_current != current_.end() ? in_current->second : in_previous->second;
  if (++crashes > kMaxExcusedCrashes) {
    current_.erase(key);
    previous_.erase(key);
    return false;
  }
  return true;
}

}  // namespace leverwick
