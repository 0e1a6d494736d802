// Records the recent runs of requests at each endpoint, to find out which
// requests may have crashed it.
//
// A run is one execution of a request at an endpoint. A request that crashes
// its endpoint does so some time after its run has started, even if the run has
// been abandoned or completed in the meantime; 45 to 110 ms have been observed.
// A run therefore remains a suspect for kCrashAttributionWindow after its end.
// For the same reason, a complete response shows that a request is healthy only
// if the endpoint is seen alive kMinSurvivalTime later.
//
//   RecentRuns runs;
//   uint64_t run = runs.RecordStart(request, endpoint, version, now);
//   runs.RecordEnd(endpoint, run, RunOutcome::kComplete, now);  // or Discard
//   if (!runs.HasRunInFlightAt(endpoint, disconnected_at)) {
//     for (const EndpointRun& suspect : runs.TakeCrashSuspects(endpoint, now))
//       ...
//   }
//   for (const EndpointRun& run : runs.TakeSurvivedRuns(is_alive, now)) ...

#ifndef LEVERWICK_RECENT_RUNS_H_
#define LEVERWICK_RECENT_RUNS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "leverwick/part_digest.h"
#include "leverwick/request_digest.h"
#include "leverwick/time.h"

namespace leverwick {

enum class RunOutcome {
  kComplete,      // the complete response was received
  kFailed,        // a complete response that reports a failure
  kAbandoned,     // this box or its caller cancelled the run
  kDisconnected,  // the connection closed before the response was complete
};

struct EndpointRun {
  RequestDigest request;
  PartDigests parts;  // of the request's prompt
  std::string endpoint;
  std::string version;
  TimePoint started_at{};
  std::optional<TimePoint> ended_at;               // empty: still in flight
  RunOutcome outcome = RunOutcome::kDisconnected;  // valid if the run has ended
};

// Not thread-safe.
class RecentRuns {
 public:
  // How long after the end of a run a crash of its endpoint may still be due to
  // that run: nine times the longest delay that has been observed.
  static constexpr milliseconds kCrashAttributionWindow{1000};
  // How long after a complete response its endpoint must be seen alive before
  // the request counts as healthy: nearly three times the longest delay that
  // has been observed. With a longer time, a popular request that is in flight
  // wherever endpoints crash at random is not found healthy soon enough.
  static constexpr milliseconds kMinSurvivalTime{300};

  // Records the start of a run and returns the id of the run.
  uint64_t RecordStart(const RequestDigest& request,
                       const std::string& endpoint, const std::string& version,
                       TimePoint now, PartDigests parts = nullptr);
  // Discards a run that never started at the endpoint.
  void Discard(const std::string& endpoint, uint64_t run);
  void RecordEnd(const std::string& endpoint, uint64_t run, RunOutcome outcome,
                 TimePoint now);

  // Returns whether a crash of the endpoint could be due to a run of this box.
  bool HasRuns(const std::string& endpoint) const {
    return runs_by_endpoint_.count(endpoint) > 0;
  }
  // Returns whether a run that started before `time` is still in flight, which
  // shows that the endpoint did not crash at `time`.
  bool HasRunInFlightAt(const std::string& endpoint, TimePoint time) const;

  // Returns the runs that may have caused the endpoint's crash at `crashed_at`,
  // and removes all runs of the endpoint.
  std::vector<EndpointRun> TakeCrashSuspects(const std::string& endpoint,
                                             TimePoint crashed_at);
  // Like TakeCrashSuspects, but returns only abandoned runs. To be used when a
  // connection is refused, which may be due to a network partition.
  std::vector<EndpointRun> TakeAbandonedSuspects(const std::string& endpoint,
                                                 TimePoint crashed_at);

  // Returns and removes the complete runs whose endpoints have been seen alive
  // since. The absence of a crash report is not enough, since the report may
  // still be in transit. Also removes runs that ended too long ago to be
  // suspects.
  std::vector<EndpointRun> TakeSurvivedRuns(
      const std::function<bool(const std::string& endpoint)>& is_alive,
      TimePoint now);

  size_t size() const;

 private:
  using Runs = std::map<uint64_t, EndpointRun>;  // by id, in order of start

  // The number of runs kept for one endpoint, unless more are in flight. The
  // largest deployed endpoints run 64 requests and queue 134.
  static constexpr size_t kMaxRunsPerEndpoint = 256;

  std::map<std::string, Runs> runs_by_endpoint_;
  uint64_t next_run_ = 1;
};

}  // namespace leverwick

#endif  // LEVERWICK_RECENT_RUNS_H_
