// A request ended endpoint after endpoint and was sent on each time it came
// back. Its runs ended their endpoints 45 to 110 ms after they had begun, also
// where they had been given up after 1 to 3 ms for a larger model's answer at
// another endpoint: of five recorded ends two came when the request was not
// there any more, while up to 48 others were. Evidence: the times of the
// endpoints' ends, of the runs' begins and of the breaks in the record.

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

TEST_CASE("a request is the same by path, caller and body, not by its id") {
  RequestDigest request = ComputeRequestDigest({"h", "/p", "o", "body"});
  CHECK(request == ComputeRequestDigest({"h", "/p", "o", "body"}));
  CHECK_FALSE(request == ComputeRequestDigest({"g", "/p", "o", "body"}));
  CHECK_FALSE(request == ComputeRequestDigest({"h", "/q", "o", "body"}));
  CHECK_FALSE(request == ComputeRequestDigest({"h", "/p", "other", "body"}));
  CHECK_FALSE(request == ComputeRequestDigest({"h", "/p", "o", "bodies"}));
  // Where one field ends and the next begins counts.
  CHECK_FALSE(ComputeRequestDigest({"a", "bc", "o", ""}) ==
              ComputeRequestDigest({"ab", "c", "o", ""}));
  CHECK(request.ShortHex().size() == 8);
  CHECK(request.bytes().size() == 20);
  CHECK(request.organisation_hash() ==
        ComputeRequestDigest({"h", "/q", "o", "x"}).organisation_hash());
  CHECK(request.organisation_hash() !=
        ComputeRequestDigest({"h", "/p", "other", "body"}).organisation_hash());
}

TEST_CASE("a run that was given up counts suspects an end that follows it") {
  RecentRuns runs;
  uint64_t given_up = runs.RecordStart(Request("ends"), "e", "v1", At(0));
  runs.RecordStart(Request("beside"), "e", "v1", At(0));
  runs.RecordStart(Request("elsewhere"), "f", "v1", At(0));
  runs.RecordEnd("e", given_up, RunOutcome::kAbandoned, At(3));
  std::vector<EndpointRun> suspects = runs.TakeCrashSuspects("e", At(60));
  CHECK(suspects.size() == 2);
  CHECK(Has(suspects, Request("ends")));
  CHECK(Has(suspects, Request("beside")));
  // The endpoint's runs are forgotten with it.
  CHECK(runs.TakeCrashSuspects("e", At(61)).empty());
  CHECK(runs.size() == 1);
}

TEST_CASE(
    "runs that ended long before, or began after, are not suspects an end") {
  RecentRuns runs;
  uint64_t before = runs.RecordStart(Request("before"), "e", "v1", At(0));
  runs.RecordEnd("e", before, RunOutcome::kComplete, At(10));
  runs.RecordStart(Request("after"), "e", "v1", At(2000));
  CHECK(runs.TakeCrashSuspects("e", At(1500)).empty());
}

TEST_CASE("a refused connection tells of runs that were given up only") {
  RecentRuns runs;
  uint64_t whole = runs.RecordStart(Request("whole"), "e", "v1", At(0));
  uint64_t given_up = runs.RecordStart(Request("given up"), "e", "v1", At(0));
  runs.RecordEnd("e", whole, RunOutcome::kComplete, At(10));
  runs.RecordEnd("e", given_up, RunOutcome::kAbandoned, At(10));
  std::vector<EndpointRun> suspects = runs.TakeAbandonedSuspects("e", At(200));
  REQUIRE(suspects.size() == 1);
  CHECK(suspects[0].request == Request("given up"));
}

TEST_CASE("a call that is still open shows that the endpoint has not ended") {
  RecentRuns runs;
  uint64_t broken = runs.RecordStart(Request("broken"), "e", "v1", At(0));
  uint64_t open = runs.RecordStart(Request("open"), "e", "v1", At(0));
  runs.RecordEnd("e", broken, RunOutcome::kDisconnected, At(50));
  CHECK(runs.HasRunInFlightAt("e", At(50)));
  runs.RecordEnd("e", open, RunOutcome::kDisconnected, At(55));
  CHECK_FALSE(runs.HasRunInFlightAt("e", At(50)));
  // One that was sent after the break shows nothing.
  runs.RecordStart(Request("later"), "e", "v1", At(60));
  CHECK_FALSE(runs.HasRunInFlightAt("e", At(50)));
}

TEST_CASE("an answer is sound once its endpoint has lived on") {
  RecentRuns runs;
  uint64_t sound = runs.RecordStart(Request("sound"), "e", "v1", At(0));
  uint64_t ends = runs.RecordStart(Request("ends"), "f", "v1", At(0));
  uint64_t given_up = runs.RecordStart(Request("given up"), "e", "v1", At(0));
  runs.RecordEnd("e", sound, RunOutcome::kComplete, At(10));
  runs.RecordEnd("f", ends, RunOutcome::kComplete, At(10));
  runs.RecordEnd("e", given_up, RunOutcome::kAbandoned, At(10));
  auto alive = [](const std::string& endpoint) { return endpoint == "e"; };
  CHECK(runs.TakeSurvivedRuns(alive, At(300)).empty());
  std::vector<EndpointRun> survived = runs.TakeSurvivedRuns(alive, At(310));
  REQUIRE(survived.size() == 1);
  CHECK(survived[0].request == Request("sound"));
  // That nothing is known of an end shows nothing.
  CHECK(Has(runs.TakeCrashSuspects("f", At(80)), Request("ends")));
  // What nobody can be blamed for any more is forgotten.
  CHECK(runs.TakeSurvivedRuns(alive, At(1011)).empty());
  CHECK(runs.size() == 0);
}

TEST_CASE("what is remembered of one endpoint is bounded") {
  RecentRuns runs;
  for (int i = 0; i < 1000; ++i) {
    uint64_t run =
        runs.RecordStart(Request(std::to_string(i)), "e", "v1", At(i));
    runs.RecordEnd("e", run, RunOutcome::kComplete, At(i));
  }
  CHECK(runs.size() <= 256);
  CHECK(Has(runs.TakeCrashSuspects("e", At(1000)), Request("999")));
}

TEST_CASE("a run that has not begun is forgotten") {
  RecentRuns runs;
  uint64_t run = runs.RecordStart(Request("refused"), "e", "v1", At(0));
  runs.Discard("e", run);
  CHECK(runs.TakeCrashSuspects("e", At(1)).empty());
}

}  // namespace
}  // namespace leverwick
