// Guards against a poison request that crashes one endpoint after another and
// is retried each time. A run may crash its endpoint 45 to 110 ms after its
// start, and thus after it has been abandoned (within 1 to 3 ms, for the
// response of a larger model elsewhere) while dozens of other requests are in
// flight there.

#include "leverwick/recent_runs.h"

#include <doctest/doctest.h>

namespace leverwick {
namespace {

constexpr TimePoint kStart{std::chrono::hours(1)};

TimePoint At(int64_t ms) { return kStart + milliseconds(ms); }

RequestDigest Request(const std::string& body) {
  return ComputeRequestDigest({"a.example", "/chat/1", "t", body});
}

bool Has(const std::vector<EndpointRun>& runs, const RequestDigest& request) {
  for (const EndpointRun& run : runs) {
    if (run.request == request) return true;
  }
  return false;
}

TEST_CASE("a request is identified by host, target, organisation and body") {
  RequestDigest request = ComputeRequestDigest({"h", "/p", "o", "body"});
  CHECK(request == ComputeRequestDigest({"h", "/p", "o", "body"}));
  CHECK_FALSE(request == ComputeRequestDigest({"g", "/p", "o", "body"}));
  CHECK_FALSE(request == ComputeRequestDigest({"h", "/q", "o", "body"}));
  CHECK_FALSE(request == ComputeRequestDigest({"h", "/p", "other", "body"}));
  CHECK_FALSE(request == ComputeRequestDigest({"h", "/p", "o", "bodies"}));
  // The boundary between two fields counts.
  CHECK_FALSE(ComputeRequestDigest({"a", "bc", "o", ""}) ==
              ComputeRequestDigest({"ab", "c", "o", ""}));
  CHECK(request.ShortHex().size() == 8);
  CHECK(request.bytes().size() == 20);
  CHECK(request.organisation_hash() ==
        ComputeRequestDigest({"h", "/q", "o", "x"}).organisation_hash());
  CHECK(request.organisation_hash() !=
        ComputeRequestDigest({"h", "/p", "other", "body"}).organisation_hash());
}

TEST_CASE("an abandoned run is a suspect of a crash shortly after") {
  RecentRuns runs;
  uint64_t abandoned = runs.RecordStart(Request("crashes"), "e", "v1", At(0));
  runs.RecordStart(Request("beside"), "e", "v1", At(0));
  runs.RecordStart(Request("elsewhere"), "f", "v1", At(0));
  runs.RecordEnd("e", abandoned, RunOutcome::kAbandoned, At(3));
  std::vector<EndpointRun> suspects = runs.TakeCrashSuspects("e", At(60));
  CHECK(suspects.size() == 2);
  CHECK(Has(suspects, Request("crashes")));
  CHECK(Has(suspects, Request("beside")));
  // The runs of the crashed endpoint have been removed.
  CHECK(runs.TakeCrashSuspects("e", At(61)).empty());
  CHECK(runs.size() == 1);
}

TEST_CASE(
    "runs that ended long before a crash or started after it are no suspects") {
  RecentRuns runs;
  uint64_t before = runs.RecordStart(Request("before"), "e", "v1", At(0));
  runs.RecordEnd("e", before, RunOutcome::kComplete, At(10));
  runs.RecordStart(Request("after"), "e", "v1", At(2000));
  CHECK(runs.TakeCrashSuspects("e", At(1500)).empty());
}

TEST_CASE("a refused connection makes only abandoned runs suspects") {
  RecentRuns runs;
  uint64_t complete = runs.RecordStart(Request("complete"), "e", "v1", At(0));
  uint64_t abandoned = runs.RecordStart(Request("abandoned"), "e", "v1", At(0));
  runs.RecordEnd("e", complete, RunOutcome::kComplete, At(10));
  runs.RecordEnd("e", abandoned, RunOutcome::kAbandoned, At(10));
  std::vector<EndpointRun> suspects = runs.TakeAbandonedSuspects("e", At(200));
  REQUIRE(suspects.size() == 1);
  CHECK(suspects[0].request == Request("abandoned"));
}

TEST_CASE(
    "a run that is still in flight shows that the endpoint has not crashed") {
  RecentRuns runs;
  uint64_t disconnected =
      runs.RecordStart(Request("disconnected"), "e", "v1", At(0));
  uint64_t in_flight = runs.RecordStart(Request("in flight"), "e", "v1", At(0));
  runs.RecordEnd("e", disconnected, RunOutcome::kDisconnected, At(50));
  CHECK(runs.HasRunInFlightAt("e", At(50)));
  runs.RecordEnd("e", in_flight, RunOutcome::kDisconnected, At(55));
  CHECK_FALSE(runs.HasRunInFlightAt("e", At(50)));
  // A run that started after the disconnection shows nothing.
  runs.RecordStart(Request("later"), "e", "v1", At(60));
  CHECK_FALSE(runs.HasRunInFlightAt("e", At(50)));
}

TEST_CASE("a complete run is healthy once its endpoint has survived it") {
  RecentRuns runs;
  uint64_t healthy = runs.RecordStart(Request("healthy"), "e", "v1", At(0));
  uint64_t crashes = runs.RecordStart(Request("crashes"), "f", "v1", At(0));
  uint64_t abandoned = runs.RecordStart(Request("abandoned"), "e", "v1", At(0));
  runs.RecordEnd("e", healthy, RunOutcome::kComplete, At(10));
  runs.RecordEnd("f", crashes, RunOutcome::kComplete, At(10));
  runs.RecordEnd("e", abandoned, RunOutcome::kAbandoned, At(10));
  auto is_alive = [](const std::string& endpoint) { return endpoint == "e"; };
  CHECK(runs.TakeSurvivedRuns(is_alive, At(300)).empty());
  std::vector<EndpointRun> survived = runs.TakeSurvivedRuns(is_alive, At(310));
  REQUIRE(survived.size() == 1);
  CHECK(survived[0].request == Request("healthy"));
  // An endpoint that is not known to be alive may have crashed.
  CHECK(Has(runs.TakeCrashSuspects("f", At(80)), Request("crashes")));
  // Runs that ended too long ago to be suspects are removed.
  CHECK(runs.TakeSurvivedRuns(is_alive, At(1011)).empty());
  CHECK(runs.size() == 0);
}

TEST_CASE("the number of runs kept per endpoint is bounded") {
  RecentRuns runs;
  for (int i = 0; i < 1000; ++i) {
    uint64_t run =
        runs.RecordStart(Request(std::to_string(i)), "e", "v1", At(i));
    runs.RecordEnd("e", run, RunOutcome::kComplete, At(i));
  }
  CHECK(runs.size() <= 256);
  CHECK(Has(runs.TakeCrashSuspects("e", At(1000)), Request("999")));
}

TEST_CASE("a run that never started is discarded") {
  RecentRuns runs;
  uint64_t run = runs.RecordStart(Request("refused"), "e", "v1", At(0));
  runs.Discard("e", run);
  CHECK(runs.TakeCrashSuspects("e", At(1)).empty());
}

}  // namespace
}  // namespace leverwick
