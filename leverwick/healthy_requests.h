// Records which requests have recently completed at an endpoint that survived
// them, by version of the service.
//
// A popular request is in flight wherever an endpoint crashes, whichever
// request caused the crash. Its earlier healthy runs distinguish it from a
// request that crashes every endpoint, even when no endpoint is left to run it
// again. The request is excused from a few consecutive crashes only, because it
// may have started to crash endpoints since.
//
//   HealthyRequests healthy;
//   healthy.RecordHealthyRun(request, version, now);
//   if (healthy.ExcuseCrash(request, version)) ...  // the crash does not count

#ifndef LEVERWICK_HEALTHY_REQUESTS_H_
#define LEVERWICK_HEALTHY_REQUESTS_H_

#include <cstdint>
#include <string>
#include <unordered_map>

#include "leverwick/request_digest.h"
#include "leverwick/time.h"

namespace leverwick {

// Not thread-safe.
class HealthyRequests {
 public:
  // The number of consecutive crashes that a request is excused from: as many
  // as quarantine a request without a healthy run.
  static constexpr int kMaxExcusedCrashes = 3;
  // A request is kept for one to two generations. A generation ends after this
  // time or at this number of requests, of some 50 bytes each.
  static constexpr std::chrono::minutes kGenerationTime{5};
  static constexpr size_t kMaxPerGeneration = 4096;

  void RecordHealthyRun(const RequestDigest& request,
                        const std::string& version, TimePoint now);
  bool Contains(const RequestDigest& request, const std::string& version) const;
  // Called when an endpoint has crashed while running the request. Returns
  // whether the request is excused from that crash. The request is removed at
  // the first crash that it is not excused from.
  bool ExcuseCrash(const RequestDigest& request, const std::string& version);

  size_t size() const { return current_.size() + previous_.size(); }

 private:
  using CrashCounts = std::unordered_map<uint64_t, int>;  // by ComputeKey

  static uint64_t ComputeKey(const RequestDigest& request,
                             const std::string& version);

  // Two generations. When the current one is full or old, it replaces the
  // previous one.
  CrashCounts current_;
  CrashCounts previous_;
  TimePoint current_started_at_{};
};

}  // namespace leverwick

#endif  // LEVERWICK_HEALTHY_REQUESTS_H_
