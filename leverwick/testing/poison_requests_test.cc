// Simulates boxes without a network: what each box observes, and when it
// receives the reports of the others. platform/testing/front_poison_test.cc
// tests the same behaviour with real connections.

#include "leverwick/poison_requests.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <deque>
#include <random>
#include <string>

namespace leverwick {
namespace {

using Kind = PoisonVerdict::Kind;

constexpr TimePoint kStart{std::chrono::hours(10)};
constexpr WallTime kWall{std::chrono::hours(100)};

TimePoint At(int64_t ms) { return kStart + milliseconds(ms); }

RequestDigest Request(const std::string& body,
                      const std::string& organisation = "t") {
  return ComputeRequestDigest({"a.example", "/chat/1", organisation, body});
}

EndpointRun Run(const RequestDigest& request, const std::string& endpoint,
                int64_t start_ms, const std::string& version = "v1") {
  EndpointRun run;
  run.request = request;
  run.endpoint = endpoint;
  run.version = version;
  run.started_at = At(start_ms);
  return run;
}

bool Always(const std::string&) { return true; }
bool Never(const std::string&) { return false; }

Kind KindAt(const PoisonRequests& poison, const RequestDigest& request,
            int64_t ms, const std::string& target = "") {
  return poison.Evaluate(request, target, Always, At(ms)).kind;
}

// Records crashes of three endpoints, one second apart, each 60 ms after the
// start of the run.
void CrashThree(PoisonRequests* poison, const RequestDigest& request,
                const std::string& version = "v1") {
  for (int i = 0; i < 3; ++i) {
    int64_t crash_ms = int64_t{1000} * (i + 1);
    std::string endpoint = version + "-e" + std::to_string(i);
    poison->RecordCrash({Run(request, endpoint, crash_ms - 60, version)},
                        At(crash_ms));
  }
}

TEST_CASE("a request is quarantined after three crashes and not before") {
  PoisonRequests poison("a");
  RequestDigest request = Request("x");
  poison.RecordCrash({Run(request, "e1", 0)}, At(50));
  poison.RecordCrash({Run(request, "e2", 400)}, At(450));
  CHECK(KindAt(poison, request, 500) == Kind::kSend);
  poison.RecordCrash({Run(request, "e3", 800)}, At(850));
  CHECK(KindAt(poison, request, 900) == Kind::kQuarantine);
  CHECK(poison.quarantined_count() == 1);
  auto changes = poison.TakeQuarantineChanges();
  REQUIRE(changes.size() == 1);
  CHECK(changes[0].quarantined);
  CHECK(changes[0].endpoints.size() == 3);
  // Another body, or the same body of another organisation, is not quarantined.
  CHECK(KindAt(poison, Request("y"), 900) == Kind::kSend);
  CHECK(KindAt(poison, Request("x", "other"), 900) == Kind::kSend);
}

TEST_CASE("three crashes within the attempts of one request count as three") {
  PoisonRequests poison("a");
  RequestDigest request = Request("x");
  poison.RecordCrash({Run(request, "e1", 0)}, At(10));
  poison.RecordCrash({Run(request, "e2", 11)}, At(20));
  poison.RecordCrash({Run(request, "e3", 21)}, At(30));
  CHECK(KindAt(poison, request, 40) == Kind::kQuarantine);
}

TEST_CASE("simultaneous crashes count as one") {
  PoisonRequests poison("a");
  RequestDigest request = Request("popular");
  for (const char* endpoint : {"e1", "e2", "e3", "e4"}) {
    poison.RecordCrash({Run(request, endpoint, 0)}, At(100));
  }
  CHECK(KindAt(poison, request, 200) == Kind::kSend);
}

TEST_CASE("the transit times of a box's reports do not change their order") {
  PoisonRequests a("a");
  PoisonRequests b("b");
  RequestDigest request = Request("x");
  a.RecordCrash({Run(request, "e1", 0)}, At(50));
  b.Merge(a.BuildNotes(At(60), kWall), At(160), false);
  // Each run starts when the one before has crashed its endpoint.
  a.RecordCrash({Run(request, "e2", 50)}, At(100));
  a.RecordCrash({Run(request, "e3", 100)}, At(150));
  CHECK(KindAt(a, request, 400) == Kind::kQuarantine);
  b.Merge(a.BuildNotes(At(360), kWall), At(365), false);
  CHECK(KindAt(b, request, 400) == Kind::kQuarantine);
}

TEST_CASE("a healthy run clears crashes on its version only") {
  PoisonRequests poison("a");
  RequestDigest request = Request("x");
  CrashThree(&poison, request);
  REQUIRE(KindAt(poison, request, 3100) == Kind::kQuarantine);
  poison.RecordSurvivedRun(Run(request, "w", 0, "v2"), At(3200));
  CHECK(KindAt(poison, request, 3300) == Kind::kQuarantine);
  poison.RecordSurvivedRun(Run(request, "w", 0, "v1"), At(3400));
  CHECK(KindAt(poison, request, 3500) == Kind::kSend);
  CHECK(poison.quarantined_count() == 0);
  CHECK(poison.TakeQuarantineChanges().back().quarantined == false);
}

// If a poison request crashes all endpoints within a short time, none is left
// to show that popular requests in flight there are healthy. Without an excuse
// for earlier healthy runs, these would be quarantined until their trials, and
// most requests would be refused with status 503.
TEST_CASE(
    "a request with an earlier healthy run is excused from three crashes") {
  PoisonRequests poison("a");
  RequestDigest popular = Request("popular");
  poison.RecordSurvivedRun(Run(popular, "w", 0), At(500));
  CrashThree(&poison, popular);
  CHECK(KindAt(poison, popular, 3100) == Kind::kSend);
  // The request has no healthy run on another version, and is excused from no
  // more than three crashes.
  CrashThree(&poison, popular, "v2");
  CHECK(KindAt(poison, popular, 3100, "v2") == Kind::kAvoidTarget);
  for (int i = 0; i < 3; ++i) {
    CHECK(KindAt(poison, popular, 5000 + 1000 * i, "v2") != Kind::kQuarantine);
    std::string endpoint = "later-" + std::to_string(i);
    poison.RecordCrash({Run(popular, endpoint, 5000 + 1000 * i)},
                       At(5060 + 1000 * i));
  }
  CHECK(KindAt(poison, popular, 7100, "v2") == Kind::kQuarantine);
}

TEST_CASE(
    "a box with a healthy run of a request clears it on the other boxes") {
  PoisonRequests a("a");
  PoisonRequests b("b");
  PoisonRequests c("c");
  RequestDigest popular = Request("popular");
  b.RecordSurvivedRun(Run(popular, "w", 0), At(500));
  CrashThree(&a, popular);
  PoisonNotes from_a = a.BuildNotes(At(3000), kWall);
  b.Merge(from_a, At(3000), false);
  c.Merge(from_a, At(3000), false);
  CHECK(KindAt(b, popular, 3100) == Kind::kSend);
  REQUIRE(KindAt(c, popular, 3100) == Kind::kQuarantine);
  REQUIRE(b.TakeChangeFlag());
  c.Merge(b.BuildNotes(At(3100), kWall), At(3200), false);
  a.Merge(b.BuildNotes(At(3100), kWall), At(3200), false);
  CHECK(KindAt(c, popular, 3300) == Kind::kSend);
  CHECK(KindAt(a, popular, 3300) == Kind::kSend);
}

TEST_CASE("the number of healthy requests kept is bounded") {
  HealthyRequests healthy;
  for (size_t i = 0; i < 3 * HealthyRequests::kMaxPerGeneration; ++i) {
    healthy.RecordHealthyRun(Request(std::to_string(i)), "v1", At(0));
  }
  CHECK(healthy.size() <= 2 * HealthyRequests::kMaxPerGeneration);
  RequestDigest request = Request("x");
  healthy.RecordHealthyRun(request, "v1", At(1));
  CHECK(healthy.Contains(request, "v1"));
  CHECK_FALSE(healthy.Contains(request, "v2"));
  TimePoint later = At(1) + 2 * HealthyRequests::kGenerationTime;
  healthy.RecordHealthyRun(Request("y"), "v1", later);
  healthy.RecordHealthyRun(Request("y"), "v1",
                           later + HealthyRequests::kGenerationTime);
  CHECK_FALSE(healthy.Contains(request, "v1"));
}

TEST_CASE("an endpoint that responds later has not crashed") {
  PoisonRequests poison("a");
  RequestDigest request = Request("x");
  CrashThree(&poison, request);
  // A response to a call that was sent before the crash shows nothing.
  poison.RecordResponse("v1-e1", At(1900));
  CHECK(KindAt(poison, request, 3100) == Kind::kQuarantine);
  poison.RecordResponse("v1-e1", At(2100));
  CHECK(KindAt(poison, request, 3200) == Kind::kSend);
  // A later crash of the endpoint counts.
  poison.RecordCrash({Run(request, "v1-e1", 3940)}, At(4000));
  CHECK(KindAt(poison, request, 4100) == Kind::kQuarantine);
}

TEST_CASE("a response under the id of a removed endpoint clears no crash") {
  PoisonRequests poison("a");
  RequestDigest request = Request("x");
  CrashThree(&poison, request);
  poison.RecordEndpointRemoved("v1-e1");
  poison.RecordResponse("v1-e1", At(2100));
  CHECK(KindAt(poison, request, 3200) == Kind::kQuarantine);
  // The other endpoints are still registered: a response clears a crash.
  poison.RecordResponse("v1-e2", At(3300));
  CHECK(KindAt(poison, request, 3400) == Kind::kSend);
}

TEST_CASE("a request present at only some of the crashes is not quarantined") {
  PoisonRequests poison("a");
  RequestDigest crashing = Request("crashing");
  RequestDigest innocent = Request("innocent");
  for (int i = 0; i < 5; ++i) {
    int64_t crash_ms = int64_t{1000} * (i + 1);
    std::string endpoint = "e" + std::to_string(i);
    std::vector<EndpointRun> suspects = {
        Run(crashing, endpoint, crash_ms - 60)};
    if (i > 2) suspects.push_back(Run(innocent, endpoint, crash_ms - 60));
    poison.RecordCrash(suspects, At(crash_ms));
  }
  CHECK(KindAt(poison, crashing, 6000) == Kind::kQuarantine);
  CHECK(KindAt(poison, innocent, 6000) == Kind::kSend);
}

// A crash must not be attributed to one request rather than another while
// neither is known to be healthy: a popular request is in flight at more
// crashes than the poison request, and would hide it.
TEST_CASE("a request with more crashes does not hide the poison request") {
  PoisonRequests poison("a");
  RequestDigest crashing = Request("crashing");
  RequestDigest popular = Request("popular");
  for (int i = 0; i < 6; ++i) {
    int64_t crash_ms = int64_t{1000} * (i + 1);
    std::string endpoint = "e" + std::to_string(i);
    std::vector<EndpointRun> suspects = {Run(popular, endpoint, crash_ms - 60)};
    if (i > 2) suspects.push_back(Run(crashing, endpoint, crash_ms - 60));
    poison.RecordCrash(suspects, At(crash_ms));
  }
  CHECK(KindAt(poison, crashing, 6100) == Kind::kQuarantine);
  poison.RecordSurvivedRun(Run(popular, "w", 6000), At(6400));
  CHECK(KindAt(poison, popular, 6500) == Kind::kSend);
  CHECK(KindAt(poison, crashing, 6500) == Kind::kQuarantine);
}

TEST_CASE("indistinguishable requests are quarantined until one has a trial") {
  PoisonRequests poison("a");
  RequestDigest crashing = Request("crashing");
  RequestDigest innocent = Request("innocent");
  for (int i = 0; i < 3; ++i) {
    int64_t crash_ms = int64_t{1000} * (i + 1);
    std::string endpoint = "e" + std::to_string(i);
    poison.RecordCrash({Run(crashing, endpoint, crash_ms - 60),
                        Run(innocent, endpoint, crash_ms - 60)},
                       At(crash_ms));
  }
  CHECK(KindAt(poison, crashing, 3100) == Kind::kQuarantine);
  CHECK(KindAt(poison, innocent, 3100) == Kind::kQuarantine);
  // Ten seconds after the last crash, and at most four more for the stagger.
  CHECK(KindAt(poison, innocent, 12900) == Kind::kQuarantine);
  REQUIRE(KindAt(poison, innocent, 17100) == Kind::kTrial);
  poison.RecordTrial(innocent, At(17100));
  CHECK(KindAt(poison, innocent, 17200) == Kind::kQuarantine);
  poison.RecordSurvivedRun(Run(innocent, "w", 17100), At(18700));
  CHECK(KindAt(poison, innocent, 18800) == Kind::kSend);
  CHECK(KindAt(poison, crashing, 3200) == Kind::kQuarantine);
}

TEST_CASE("trial intervals increase, also with trials of other boxes") {
  PoisonRequests a("a");
  PoisonRequests b("b");
  RequestDigest request = Request("x");
  CrashThree(&a, request);
  b.Merge(a.BuildNotes(At(3000), kWall), At(3000), false);
  CHECK(KindAt(b, request, 3100) == Kind::kQuarantine);
  REQUIRE(KindAt(a, request, 17100) == Kind::kTrial);
  a.RecordTrial(request, At(17100));
  a.RecordCrash({Run(request, "e9", 17100)}, At(17160));
  b.Merge(a.BuildNotes(At(17200), kWall), At(17300), false);
  int trials = 0;
  for (int64_t second = 18; second < 75; ++second) {
    if (KindAt(b, request, second * 1000) == Kind::kTrial) ++trials;
  }
  CHECK(trials == 0);
  CHECK(KindAt(b, request, 82000) == Kind::kTrial);
}

TEST_CASE("a box that is disconnected from its peers sends no trials") {
  PoisonRequests poison("a");
  RequestDigest request = Request("x");
  CrashThree(&poison, request);
  poison.SetConnectedToPeers(false);
  CHECK(KindAt(poison, request, 60000) == Kind::kQuarantine);
  poison.SetConnectedToPeers(true);
  CHECK(KindAt(poison, request, 60000) == Kind::kTrial);
}

TEST_CASE("a version that the request has not crashed gets an early trial") {
  PoisonRequests poison("a");
  RequestDigest request = Request("x");
  CrashThree(&poison, request);
  CHECK(poison.Evaluate(request, "", Always, At(9500)).kind ==
        Kind::kQuarantine);
  CHECK(poison.Evaluate(request, "", Never, At(9500)).kind == Kind::kTrial);
}

TEST_CASE(
    "a request that crashes only the target version goes to the baseline") {
  PoisonRequests poison("a");
  RequestDigest request = Request("x");
  CrashThree(&poison, request, "v2");
  CHECK(KindAt(poison, request, 3100, "v2") == Kind::kAvoidTarget);
  CHECK(KindAt(poison, request, 3100, "v3") == Kind::kQuarantine);
  CHECK(KindAt(poison, request, 3100) == Kind::kQuarantine);
  CrashThree(&poison, request, "v1");
  CHECK(KindAt(poison, request, 3100, "v2") == Kind::kQuarantine);
}

TEST_CASE("reports of several boxes add up, in any order and with repeats") {
  RequestDigest request = Request("x");
  std::vector<PoisonNotes> notes;
  for (int i = 0; i < 3; ++i) {
    PoisonRequests box("b" + std::to_string(i));
    int64_t crash_ms = int64_t{1000} * (i + 1);
    box.RecordCrash({Run(request, "e" + std::to_string(i), crash_ms - 60)},
                    At(crash_ms));
    notes.push_back(box.BuildNotes(At(crash_ms), kWall));
  }
  std::vector<size_t> order = {0, 1, 2};
  do {
    PoisonRequests poison("c");
    for (size_t i : order) {
      auto new_crashes = poison.Merge(notes[i], At(1000 * (i + 1)), false);
      CHECK(new_crashes.size() == 1);
      CHECK(poison.Merge(notes[i], At(1000 * (i + 1)), false).empty());
    }
    CHECK(KindAt(poison, request, 3100) == Kind::kQuarantine);
  } while (std::next_permutation(order.begin(), order.end()));
}

TEST_CASE("a restarted box restores the quarantine from its own report") {
  PoisonRequests before("a");
  RequestDigest request = Request("x");
  CrashThree(&before, request);
  PoisonNotes notes = before.BuildNotes(At(3000), kWall);
  PoisonRequests after("a");
  after.Merge(notes, At(3000), true);
  CHECK(KindAt(after, request, 5000) == Kind::kQuarantine);
  // It continues to report the crashes, since its next report replaces this
  // one.
  CHECK(after.BuildNotes(At(5000), kWall).requests_size() == 1);
}

TEST_CASE("a request that one box releases is released on all boxes") {
  PoisonRequests a("a");
  PoisonRequests b("b");
  RequestDigest request = Request("x");
  CrashThree(&a, request);
  b.Merge(a.BuildNotes(At(3000), kWall), At(3000), false);
  REQUIRE(KindAt(b, request, 3100) == Kind::kQuarantine);
  CHECK(a.TakeChangeFlag());
  a.RecordSurvivedRun(Run(request, "w", 3000), At(4600));
  CHECK(a.TakeChangeFlag());
  PoisonNotes earlier = b.BuildNotes(At(4600), kWall);
  b.Merge(a.BuildNotes(At(4600), kWall), At(4700), false);
  CHECK(KindAt(b, request, 4800) == Kind::kSend);
  // An outdated report that arrives later changes nothing.
  a.Merge(earlier, At(4700), false);
  CHECK(KindAt(a, request, 4800) == Kind::kSend);
}

TEST_CASE("there is nothing to report without a crash") {
  PoisonRequests poison("a");
  poison.RecordSurvivedRun(Run(Request("x"), "e", 0), At(1500));
  poison.RecordResponse("e", At(1600));
  poison.Expire(At(2000));
  CHECK_FALSE(poison.TakeChangeFlag());
}

TEST_CASE("a flood of one organisation's requests does not evict another's") {
  PoisonRequests poison("a");
  RequestDigest quarantined = Request("quarantined");
  RequestDigest suspect = Request("suspect", "small");
  CrashThree(&poison, quarantined);
  poison.RecordCrash({Run(suspect, "s1", 0)}, At(50));
  for (int i = 0; i < 5000; ++i) {
    RequestDigest flood = Request(std::to_string(i), "large");
    poison.RecordCrash({Run(flood, "f" + std::to_string(i), 4000 + i)},
                       At(4050 + i));
  }
  CHECK(poison.size() <= PoisonRequests::kMaxRequests);
  CHECK(KindAt(poison, quarantined, 9500) == Kind::kQuarantine);
  poison.RecordCrash({Run(suspect, "s2", 9600)}, At(9650));
  poison.RecordCrash({Run(suspect, "s3", 9700)}, At(9760));
  CHECK(KindAt(poison, suspect, 9800) == Kind::kQuarantine);
  // The report stays well below the size limit of a stored record.
  CHECK(poison.BuildNotes(At(10000), kWall).ByteSizeLong() < 32768);
}

TEST_CASE("requests expire two hours after their last crash") {
  PoisonRequests poison("a");
  RequestDigest request = Request("x");
  CrashThree(&poison, request);
  poison.Expire(At(3000) + std::chrono::minutes(119));
  CHECK(poison.quarantined_count() == 1);
  poison.Expire(At(3001) + std::chrono::hours(2));
  CHECK(poison.quarantined_count() == 0);
  CHECK(poison.size() == 0);
}

}  // namespace
}  // namespace leverwick
