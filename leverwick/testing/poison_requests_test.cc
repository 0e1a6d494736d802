// The story stands in platform/testing/front_poison_test.cc. Here boxes are
// played without a network: what each sees, and when it hears of the others.

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

RequestDigest Request(const std::string& body, const std::string& owner = "t") {
  return ComputeRequestDigest({"a.example", "/chat/1", owner, body});
}

EndpointRun Run(const RequestDigest& request, const std::string& endpoint,
                int64_t begin_ms, const std::string& version = "v1") {
  EndpointRun run;
  run.request = request;
  run.endpoint = endpoint;
  run.version = version;
  run.started_at = At(begin_ms);
  return run;
}

bool Always(const std::string&) { return true; }
bool Never(const std::string&) { return false; }

Kind KindAt(const PoisonRequests& poison, const RequestDigest& request,
            int64_t ms, const std::string& target = "") {
  return poison.Evaluate(request, target, Always, At(ms)).kind;
}

// Ends of three endpoints, a second apart, each 60 ms after the run began.
void EndThree(PoisonRequests* poison, const RequestDigest& request,
              const std::string& version = "v1") {
  for (int i = 0; i < 3; ++i) {
    int64_t end = int64_t{1000} * (i + 1);
    std::string endpoint = version + "-e" + std::to_string(i);
    poison->RecordCrash({Run(request, endpoint, end - 60, version)}, At(end));
  }
}

TEST_CASE("a request is held after three ends and not before") {
  PoisonRequests poison("a");
  RequestDigest request = Request("x");
  poison.RecordCrash({Run(request, "e1", 0)}, At(50));
  poison.RecordCrash({Run(request, "e2", 400)}, At(450));
  CHECK(KindAt(poison, request, 500) == Kind::kSend);
  poison.RecordCrash({Run(request, "e3", 800)}, At(850));
  CHECK(KindAt(poison, request, 900) == Kind::kQuarantine);
  CHECK(poison.quarantined_count() == 1);
  auto news = poison.TakeQuarantineChanges();
  REQUIRE(news.size() == 1);
  CHECK(news[0].quarantined);
  CHECK(news[0].endpoints.size() == 3);
  // Nobody else's: not another body, nor the same of another organisation.
  CHECK(KindAt(poison, Request("y"), 900) == Kind::kSend);
  CHECK(KindAt(poison, Request("x", "other"), 900) == Kind::kSend);
}

TEST_CASE("three ends within one try count as three") {
  PoisonRequests poison("a");
  RequestDigest request = Request("x");
  poison.RecordCrash({Run(request, "e1", 0)}, At(10));
  poison.RecordCrash({Run(request, "e2", 11)}, At(20));
  poison.RecordCrash({Run(request, "e3", 21)}, At(30));
  CHECK(KindAt(poison, request, 40) == Kind::kQuarantine);
}

TEST_CASE("ends at one moment count as one") {
  PoisonRequests poison("a");
  RequestDigest request = Request("popular");
  for (const char* endpoint : {"e1", "e2", "e3", "e4"}) {
    poison.RecordCrash({Run(request, endpoint, 0)}, At(100));
  }
  CHECK(KindAt(poison, request, 200) == Kind::kSend);
}

TEST_CASE("a sound answer takes strikes back, on its version only") {
  PoisonRequests poison("a");
  RequestDigest request = Request("x");
  EndThree(&poison, request);
  REQUIRE(KindAt(poison, request, 3100) == Kind::kQuarantine);
  poison.RecordSurvivedRun(Run(request, "w", 0, "v2"), At(3200));
  CHECK(KindAt(poison, request, 3300) == Kind::kQuarantine);
  poison.RecordSurvivedRun(Run(request, "w", 0, "v1"), At(3400));
  CHECK(KindAt(poison, request, 3500) == Kind::kSend);
  CHECK(poison.quarantined_count() == 0);
  CHECK(poison.TakeQuarantineChanges().back().quarantined == false);
}

// In real processes four endpoints ended within 0.3 s under a poison request;
// none was left to prove three popular requests sound, and these were held
// until their trials: 9,890 of 12,347 requests got 503.
TEST_CASE("what was answered well before is excused from three ends") {
  PoisonRequests poison("a");
  RequestDigest popular = Request("popular");
  poison.RecordSurvivedRun(Run(popular, "w", 0), At(500));
  EndThree(&poison, popular);
  CHECK(KindAt(poison, popular, 3100) == Kind::kSend);
  // On another version it is not known; and not from ends without end.
  EndThree(&poison, popular, "v2");
  CHECK(KindAt(poison, popular, 3100, "v2") == Kind::kAvoidTarget);
  for (int i = 0; i < 3; ++i) {
    CHECK(KindAt(poison, popular, 5000 + 1000 * i, "v2") != Kind::kQuarantine);
    std::string endpoint = "later-" + std::to_string(i);
    poison.RecordCrash({Run(popular, endpoint, 5000 + 1000 * i)},
                       At(5060 + 1000 * i));
  }
  CHECK(KindAt(poison, popular, 7100, "v2") == Kind::kQuarantine);
}

TEST_CASE("a box that knows a request as sound speaks for it to the others") {
  PoisonRequests a("a");
  PoisonRequests b("b");
  PoisonRequests c("c");
  RequestDigest popular = Request("popular");
  b.RecordSurvivedRun(Run(popular, "w", 0), At(500));
  EndThree(&a, popular);
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

TEST_CASE("what is remembered of sound requests is bounded") {
  HealthyRequests sound;
  for (size_t i = 0; i < 3 * HealthyRequests::kMaxPerGeneration; ++i) {
    sound.RecordHealthyRun(Request(std::to_string(i)), "v1", At(0));
  }
  CHECK(sound.size() <= 2 * HealthyRequests::kMaxPerGeneration);
  RequestDigest request = Request("x");
  sound.RecordHealthyRun(request, "v1", At(1));
  CHECK(sound.Contains(request, "v1"));
  CHECK_FALSE(sound.Contains(request, "v2"));
  TimePoint later = At(1) + 2 * HealthyRequests::kGenerationTime;
  sound.RecordHealthyRun(Request("y"), "v1", later);
  sound.RecordHealthyRun(Request("y"), "v1",
                         later + HealthyRequests::kGenerationTime);
  CHECK_FALSE(sound.Contains(request, "v1"));
}

TEST_CASE("an endpoint that answers later has not ended") {
  PoisonRequests poison("a");
  RequestDigest request = Request("x");
  EndThree(&poison, request);
  // A call that was sent before shows nothing.
  poison.RecordResponse("v1-e1", At(1900));
  CHECK(KindAt(poison, request, 3100) == Kind::kQuarantine);
  poison.RecordResponse("v1-e1", At(2100));
  CHECK(KindAt(poison, request, 3200) == Kind::kSend);
  // It ends after all: that counts.
  poison.RecordCrash({Run(request, "v1-e1", 3940)}, At(4000));
  CHECK(KindAt(poison, request, 4100) == Kind::kQuarantine);
}

TEST_CASE(
    "an answer under the id of an endpoint whose entry was gone is none") {
  PoisonRequests poison("a");
  RequestDigest request = Request("x");
  EndThree(&poison, request);
  poison.RecordEndpointRemoved("v1-e1");
  poison.RecordResponse("v1-e1", At(2100));
  CHECK(KindAt(poison, request, 3200) == Kind::kQuarantine);
  // The others' entries have stayed: one that answers has not ended.
  poison.RecordResponse("v1-e2", At(3300));
  CHECK(KindAt(poison, request, 3400) == Kind::kSend);
}

TEST_CASE("those beside a held request under fewer ends are not held") {
  PoisonRequests poison("a");
  RequestDigest guilty = Request("guilty");
  RequestDigest beside = Request("beside");
  for (int i = 0; i < 5; ++i) {
    int64_t end = int64_t{1000} * (i + 1);
    std::string endpoint = "e" + std::to_string(i);
    std::vector<EndpointRun> under = {Run(guilty, endpoint, end - 60)};
    if (i > 2) under.push_back(Run(beside, endpoint, end - 60));
    poison.RecordCrash(under, At(end));
  }
  CHECK(KindAt(poison, guilty, 6000) == Kind::kQuarantine);
  CHECK(KindAt(poison, beside, 6000) == Kind::kSend);
}

// Its ends can't be put down to the other one while neither is proved sound: a
// popular request is under way at more ends than the guilty one, and would hide
// it (played, two boxes and four endpoints: 8 sends of 3 allowed).
TEST_CASE("a request under more ends does not hide the guilty one") {
  PoisonRequests poison("a");
  RequestDigest guilty = Request("guilty");
  RequestDigest popular = Request("popular");
  for (int i = 0; i < 6; ++i) {
    int64_t end = int64_t{1000} * (i + 1);
    std::string endpoint = "e" + std::to_string(i);
    std::vector<EndpointRun> under = {Run(popular, endpoint, end - 60)};
    if (i > 2) under.push_back(Run(guilty, endpoint, end - 60));
    poison.RecordCrash(under, At(end));
  }
  CHECK(KindAt(poison, guilty, 6100) == Kind::kQuarantine);
  poison.RecordSurvivedRun(Run(popular, "w", 6000), At(6400));
  CHECK(KindAt(poison, popular, 6500) == Kind::kSend);
  CHECK(KindAt(poison, guilty, 6500) == Kind::kQuarantine);
}

TEST_CASE("those that can't be told apart are held until a trial tells") {
  PoisonRequests poison("a");
  RequestDigest guilty = Request("guilty");
  RequestDigest beside = Request("beside");
  for (int i = 0; i < 3; ++i) {
    int64_t end = int64_t{1000} * (i + 1);
    std::string endpoint = "e" + std::to_string(i);
    poison.RecordCrash(
        {Run(guilty, endpoint, end - 60), Run(beside, endpoint, end - 60)},
        At(end));
  }
  CHECK(KindAt(poison, guilty, 3100) == Kind::kQuarantine);
  CHECK(KindAt(poison, beside, 3100) == Kind::kQuarantine);
  // Ten seconds after the last end and at most four more.
  CHECK(KindAt(poison, beside, 12900) == Kind::kQuarantine);
  REQUIRE(KindAt(poison, beside, 17100) == Kind::kTrial);
  poison.RecordTrial(beside, At(17100));
  CHECK(KindAt(poison, beside, 17200) == Kind::kQuarantine);
  poison.RecordSurvivedRun(Run(beside, "w", 17100), At(18700));
  CHECK(KindAt(poison, beside, 18800) == Kind::kSend);
  CHECK(KindAt(poison, guilty, 3200) == Kind::kQuarantine);
}

TEST_CASE("trials become rarer and others' trials count") {
  PoisonRequests a("a");
  PoisonRequests b("b");
  RequestDigest request = Request("x");
  EndThree(&a, request);
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

TEST_CASE("a box out of touch tries nothing") {
  PoisonRequests poison("a");
  RequestDigest request = Request("x");
  EndThree(&poison, request);
  poison.SetConnectedToPeers(false);
  CHECK(KindAt(poison, request, 60000) == Kind::kQuarantine);
  poison.SetConnectedToPeers(true);
  CHECK(KindAt(poison, request, 60000) == Kind::kTrial);
}

TEST_CASE("a version that the request has not ended gets a trial soon") {
  PoisonRequests poison("a");
  RequestDigest request = Request("x");
  EndThree(&poison, request);
  CHECK(poison.Evaluate(request, "", Always, At(9500)).kind ==
        Kind::kQuarantine);
  CHECK(poison.Evaluate(request, "", Never, At(9500)).kind == Kind::kTrial);
}

TEST_CASE("what ends a roll-out's target only goes to the version before") {
  PoisonRequests poison("a");
  RequestDigest request = Request("x");
  EndThree(&poison, request, "v2");
  CHECK(KindAt(poison, request, 3100, "v2") == Kind::kAvoidTarget);
  CHECK(KindAt(poison, request, 3100, "v3") == Kind::kQuarantine);
  CHECK(KindAt(poison, request, 3100) == Kind::kQuarantine);
  EndThree(&poison, request, "v1");
  CHECK(KindAt(poison, request, 3100, "v2") == Kind::kQuarantine);
}

TEST_CASE("strikes of several boxes add up, in any order and repeated") {
  RequestDigest request = Request("x");
  std::vector<PoisonNotes> notes;
  for (int i = 0; i < 3; ++i) {
    PoisonRequests box("b" + std::to_string(i));
    int64_t end = int64_t{1000} * (i + 1);
    box.RecordCrash({Run(request, "e" + std::to_string(i), end - 60)}, At(end));
    notes.push_back(box.BuildNotes(At(end), kWall));
  }
  std::vector<size_t> order = {0, 1, 2};
  do {
    PoisonRequests poison("c");
    for (size_t i : order) {
      auto ended = poison.Merge(notes[i], At(1000 * (i + 1)), false);
      CHECK(ended.size() == 1);
      CHECK(poison.Merge(notes[i], At(1000 * (i + 1)), false).empty());
    }
    CHECK(KindAt(poison, request, 3100) == Kind::kQuarantine);
  } while (std::next_permutation(order.begin(), order.end()));
}

TEST_CASE("a box that starts learns who is held, also from its own record") {
  PoisonRequests before("a");
  RequestDigest request = Request("x");
  EndThree(&before, request);
  PoisonNotes notes = before.BuildNotes(At(3000), kWall);
  PoisonRequests after("a");
  after.Merge(notes, At(3000), true);
  CHECK(KindAt(after, request, 5000) == Kind::kQuarantine);
  // And goes on telling it, since its record replaces the earlier one.
  CHECK(after.BuildNotes(At(5000), kWall).requests_size() == 1);
}

TEST_CASE("a request that was let in is let in everywhere") {
  PoisonRequests a("a");
  PoisonRequests b("b");
  RequestDigest request = Request("x");
  EndThree(&a, request);
  b.Merge(a.BuildNotes(At(3000), kWall), At(3000), false);
  REQUIRE(KindAt(b, request, 3100) == Kind::kQuarantine);
  CHECK(a.TakeChangeFlag());
  a.RecordSurvivedRun(Run(request, "w", 3000), At(4600));
  CHECK(a.TakeChangeFlag());
  PoisonNotes earlier = b.BuildNotes(At(4600), kWall);
  b.Merge(a.BuildNotes(At(4600), kWall), At(4700), false);
  CHECK(KindAt(b, request, 4800) == Kind::kSend);
  // Strikes that are told again later change nothing.
  a.Merge(earlier, At(4700), false);
  CHECK(KindAt(a, request, 4800) == Kind::kSend);
}

TEST_CASE("nothing is told while nothing ends") {
  PoisonRequests poison("a");
  poison.RecordSurvivedRun(Run(Request("x"), "e", 0), At(1500));
  poison.RecordResponse("e", At(1600));
  poison.Expire(At(2000));
  CHECK_FALSE(poison.TakeChangeFlag());
}

TEST_CASE("a flood of one owner's requests makes nobody else's forgotten") {
  PoisonRequests poison("a");
  RequestDigest held = Request("held");
  RequestDigest suspect = Request("suspect", "small");
  EndThree(&poison, held);
  poison.RecordCrash({Run(suspect, "s1", 0)}, At(50));
  for (int i = 0; i < 5000; ++i) {
    RequestDigest flood = Request(std::to_string(i), "large");
    poison.RecordCrash({Run(flood, "f" + std::to_string(i), 4000 + i)},
                       At(4050 + i));
  }
  CHECK(poison.size() <= PoisonRequests::kMaxRequests);
  CHECK(KindAt(poison, held, 9500) == Kind::kQuarantine);
  poison.RecordCrash({Run(suspect, "s2", 9600)}, At(9650));
  poison.RecordCrash({Run(suspect, "s3", 9700)}, At(9760));
  CHECK(KindAt(poison, suspect, 9800) == Kind::kQuarantine);
  // One record of it stays well below what the store takes.
  CHECK(poison.BuildNotes(At(10000), kWall).ByteSizeLong() < 32768);
}

TEST_CASE("what has not been seen for two hours is forgotten") {
  PoisonRequests poison("a");
  RequestDigest request = Request("x");
  EndThree(&poison, request);
  poison.Expire(At(3000) + std::chrono::minutes(119));
  CHECK(poison.quarantined_count() == 1);
  poison.Expire(At(3001) + std::chrono::hours(2));
  CHECK(poison.quarantined_count() == 0);
  CHECK(poison.size() == 0);
}

}  // namespace
}  // namespace leverwick
