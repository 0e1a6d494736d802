// Guards against requests that are all different and share a prompt part that
// crashes the endpoints that run them.

#include "leverwick/poison_parts.h"

#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <vector>

namespace leverwick {
namespace {

using Kind = PoisonVerdict::Kind;

constexpr TimePoint kStart{std::chrono::hours(10)};

TimePoint At(int64_t ms) { return kStart + milliseconds(ms); }

RequestDigest Request(const std::string& body,
                      const std::string& organisation) {
  return ComputeRequestDigest({"a.example", "/chat/1", organisation, body});
}

PartDigests Parts(const std::vector<std::string>& ids) {
  Prompt prompt;
  for (const std::string& id : ids) prompt.push_back({id, 100});
  prompt.push_back({"last", 10});
  return ComputePartDigests("service", prompt);
}

struct RunSpec {
  std::string body;
  std::vector<std::string> parts;
  std::string organisation = "t";
  std::string version = "v1";
};

EndpointRun Run(const RunSpec& spec, const std::string& endpoint,
                int64_t start_ms) {
  EndpointRun run;
  run.request = Request(spec.body, spec.organisation);
  run.parts = Parts(spec.parts);
  run.endpoint = endpoint;
  run.version = spec.version;
  run.started_at = At(start_ms);
  return run;
}

bool Always(const std::string&) { return true; }

PoisonVerdict VerdictAt(const PoisonParts& parts,
                        const std::vector<std::string>& ids, int64_t ms,
                        const std::string& organisation = "t",
                        const std::string& target = "") {
  PartsOfRequest request{Parts(ids),
                         Request("", organisation).organisation_hash()};
  return parts.Evaluate(request, target, Always, At(ms));
}

Kind KindAt(const PoisonParts& parts, const std::vector<std::string>& ids,
            int64_t ms, const std::string& organisation = "t") {
  return VerdictAt(parts, ids, ms, organisation).kind;
}

// Records a crash under these runs, 60 ms after they have started.
void Crash(PoisonParts* parts, const std::string& endpoint, int64_t crash_ms,
           const std::vector<RunSpec>& specs) {
  std::vector<EndpointRun> runs;
  for (const RunSpec& spec : specs)
    runs.push_back(Run(spec, endpoint, crash_ms - 60));
  parts->RecordCrash(runs, At(crash_ms));
}

void Survive(PoisonParts* parts, const RunSpec& spec, int64_t ended_ms,
             RunOutcome outcome = RunOutcome::kComplete) {
  EndpointRun run = Run(spec, "survivor", ended_ms - 100);
  run.ended_at = At(ended_ms);
  run.outcome = outcome;
  parts->RecordSurvivedRun(run, At(ended_ms + 300));
}

// Crashes four endpoints within three seconds, with different requests.
void CrashFour(PoisonParts* parts, const std::vector<std::string>& ids,
               int64_t from_ms = 0, const RunSpec& more = {"", {}}) {
  for (int64_t i = 0; i < 4; ++i) {
    RunSpec spec = more;
    spec.body = "x" + std::to_string(from_ms + i);
    spec.parts = ids;
    Crash(parts, spec.version + "-e" + std::to_string(from_ms + i),
          from_ms + 750 * (i + 1), {spec});
  }
}

PoisonNotes NotesOf(const PoisonParts& parts, int64_t ms) {
  PoisonNotes notes;
  parts.AppendNotes(At(ms), &notes);
  return notes;
}

TEST_CASE("a part that different requests crash four endpoints with is held") {
  PoisonParts parts("a");
  CrashFour(&parts, {"poison"});
  CHECK(KindAt(parts, {"f", "poison", "g"}, 3100) == Kind::kQuarantine);
  CHECK(KindAt(parts, {"f", "g"}, 3100) == Kind::kSend);
  auto changes = parts.TakeQuarantineChanges();
  REQUIRE(changes.size() == 1);
  CHECK(changes[0].endpoints.size() == 4);
  CHECK(changes[0].requests == 4);
}

TEST_CASE("a request that is retried again and again holds none of its parts") {
  PoisonParts parts("a");
  for (int64_t i = 0; i < 6; ++i)
    Crash(&parts, "e" + std::to_string(i), 100 * (i + 1), {{"x", {"p"}}});
  CHECK(KindAt(parts, {"p"}, 400) == Kind::kSend);
}

TEST_CASE("the last part of a prompt is held with nothing") {
  CHECK(ComputePartDigests("s", {{"only", 10}}) == nullptr);
  CHECK(ComputePartDigests("s", {}) == nullptr);
  CHECK(ComputePartDigests("s", {{"a", 1}, {"b", 2}})->size() == 1);
  // Its tokens don't matter, its service does.
  CHECK(*ComputePartDigests("s", {{"a", 1}, {"b", 2}}) ==
        *ComputePartDigests("s", {{"a", 7}, {"c", 2}}));
  CHECK(*ComputePartDigests("s", {{"a", 1}, {"b", 2}}) !=
        *ComputePartDigests("other", {{"a", 1}, {"b", 2}}));
  Prompt prompt;
  for (int i = 0; i < 500; ++i) prompt.push_back({std::to_string(i), 1});
  CHECK(ComputePartDigests("s", prompt)->size() == kMaxDigestedParts);
}

TEST_CASE("a popular part beside a poison part is not held") {
  PoisonParts parts("a");
  for (int64_t i = 0; i < 20; ++i)
    Survive(&parts, {"s" + std::to_string(i), {"popular", "rare"}}, i);
  // A dozen crashes without a healthy run between them, each with more
  // requests that have the popular part.
  for (int64_t i = 0; i < 12; ++i) {
    std::string name = std::to_string(i);
    Crash(&parts, "e" + name, 1000 + 150 * i,
          {{"x" + name, {"popular", "poison"}}, {"y" + name, {"popular"}}});
  }
  CHECK(KindAt(parts, {"popular", "poison"}, 3000) == Kind::kQuarantine);
  CHECK(KindAt(parts, {"popular", "rare"}, 3000) == Kind::kSend);
}

TEST_CASE("two poison parts at a time are both held") {
  PoisonParts parts("a");
  Survive(&parts, {"s", {"f", "h"}}, 0);
  for (int64_t i = 0; i < 4; ++i) {
    std::string name = std::to_string(i);
    Crash(&parts, "e" + name, 1000 + 400 * i, {{"x" + name, {"f", "one"}}});
    Crash(&parts, "d" + name, 1200 + 400 * i, {{"y" + name, {"h", "two"}}});
  }
  CHECK(KindAt(parts, {"one"}, 3000) == Kind::kQuarantine);
  CHECK(KindAt(parts, {"two"}, 3000) == Kind::kQuarantine);
}

TEST_CASE("a part that becomes poisonous after healthy runs is held") {
  PoisonParts parts("a");
  for (int64_t i = 0; i < 200; ++i)
    Survive(&parts, {"s" + std::to_string(i), {"turns"}}, i);
  size_t crashes = 0;
  while (KindAt(parts, {"turns"}, 60000) == Kind::kSend && crashes < 20) {
    std::string name = std::to_string(++crashes);
    Crash(&parts, "e" + name, 1000 + 200 * static_cast<int64_t>(crashes),
          {{"x" + name, {"turns"}}});
  }
  // Four, and four that outweigh the healthy runs.
  CHECK(crashes <= 8);
}

TEST_CASE("a healthy run clears the crashes of its parts on its version") {
  PoisonParts parts("a");
  CrashFour(&parts, {"p"});
  Survive(&parts, {"x", {"p"}, "t", "v2"}, 3200);
  CHECK(KindAt(parts, {"p"}, 3600) == Kind::kQuarantine);
  // An answer that reports a failure shows nothing.
  Survive(&parts, {"x", {"p"}}, 3200, RunOutcome::kFailed);
  CHECK(KindAt(parts, {"p"}, 3600) == Kind::kQuarantine);
  Survive(&parts, {"x", {"p"}}, 3200);
  CHECK(KindAt(parts, {"p"}, 3600) == Kind::kSend);
  CHECK(parts.quarantined_count() == 0);
}

TEST_CASE("an endpoint that responds later has not crashed under its parts") {
  PoisonParts parts("a");
  CrashFour(&parts, {"p"});
  parts.RecordResponse("v1-e0", At(700));
  CHECK(KindAt(parts, {"p"}, 3100) == Kind::kQuarantine);
  parts.RecordResponse("v1-e0", At(1100));
  CHECK(KindAt(parts, {"p"}, 3100) == Kind::kSend);
}

TEST_CASE("crashes under one organisation hold a part for no other") {
  PoisonParts parts("a");
  CrashFour(&parts, {"p"}, 0, {"", {}, "attacker"});
  CHECK(KindAt(parts, {"p"}, 3100, "attacker") == Kind::kQuarantine);
  CHECK(KindAt(parts, {"p"}, 3100, "other") == Kind::kSend);
  Crash(&parts, "e9", 4000, {{"y", {"p"}, "second"}});
  CHECK(KindAt(parts, {"p"}, 4100, "other") == Kind::kQuarantine);
}

TEST_CASE("a part that crashes only a roll-out's target avoids the target") {
  PoisonParts parts("a");
  CrashFour(&parts, {"p"}, 0, {"", {}, "t", "v2"});
  CHECK(VerdictAt(parts, {"p"}, 3100, "t", "v2").kind == Kind::kAvoidTarget);
  CHECK(VerdictAt(parts, {"p"}, 3100, "t", "v3").kind == Kind::kQuarantine);
}

TEST_CASE("boxes that saw one crash each hold the part together") {
  std::vector<std::unique_ptr<PoisonParts>> boxes;
  for (const char* name : {"a", "b", "c", "d", "e"})
    boxes.push_back(std::make_unique<PoisonParts>(name));
  for (int64_t i = 0; i < 4; ++i) {
    std::string name = std::to_string(i);
    Crash(boxes[static_cast<size_t>(i)].get(), "e" + name, 1000 + 200 * i,
          {{"x" + name, {"f", "poison"}}});
  }
  // In any order and with repeats.
  for (int round = 0; round < 2; ++round) {
    for (const auto& from : boxes) {
      for (const auto& to : boxes) {
        if (from != to) to->Merge(NotesOf(*from, 1700), At(1800), false);
      }
    }
  }
  for (const auto& box : boxes)
    CHECK(KindAt(*box, {"f", "poison"}, 1900) == Kind::kQuarantine);
}

TEST_CASE("a box without healthy runs of its own ranks parts as others do") {
  PoisonParts old_box("a");
  PoisonParts new_box("b");
  for (int64_t i = 0; i < 20; ++i)
    Survive(&old_box, {"s" + std::to_string(i), {"popular"}}, i);
  for (int64_t i = 0; i < 5; ++i) {
    std::string name = std::to_string(i);
    Crash(&old_box, "e" + name, 1000 + 200 * i,
          {{"x" + name, {"popular", "poison"}}, {"y" + name, {"popular"}}});
  }
  new_box.Merge(NotesOf(old_box, 2000), At(2100), false);
  CHECK(KindAt(new_box, {"poison"}, 2200) == Kind::kQuarantine);
  CHECK(KindAt(new_box, {"popular"}, 2200) == Kind::kSend);
}

TEST_CASE("a part that one box releases is released on all boxes") {
  PoisonParts a("a");
  PoisonParts b("b");
  CrashFour(&a, {"p"});
  b.Merge(NotesOf(a, 3100), At(3200), false);
  REQUIRE(KindAt(b, {"p"}, 3300) == Kind::kQuarantine);
  Survive(&a, {"x", {"p"}}, 20000);
  CHECK(a.TakeChangeFlag());
  b.Merge(NotesOf(a, 20300), At(20400), false);
  CHECK(KindAt(b, {"p"}, 20500) == Kind::kSend);
}

TEST_CASE("of boxes that claim a trial at the same time one begins it") {
  std::vector<std::unique_ptr<PoisonParts>> boxes;
  for (int i = 0; i < 7; ++i)
    boxes.push_back(std::make_unique<PoisonParts>("b" + std::to_string(i)));
  CrashFour(boxes[0].get(), {"p"});
  for (size_t i = 1; i < boxes.size(); ++i)
    boxes[i]->Merge(NotesOf(*boxes[0], 3100), At(3200), false);
  const int64_t due_ms = 3000 + 15000;
  for (const auto& box : boxes) {
    PoisonVerdict verdict = VerdictAt(*box, {"p"}, due_ms);
    CHECK(verdict.kind == Kind::kQuarantine);
    REQUIRE(verdict.may_claim_trial);
    box->ClaimTrial(verdict.parts, At(due_ms));
  }
  for (const auto& from : boxes) {
    for (const auto& to : boxes) {
      if (from != to)
        to->Merge(NotesOf(*from, due_ms + 300), At(due_ms + 800), false);
    }
  }
  int trials = 0;
  for (const auto& box : boxes) {
    PoisonVerdict verdict = VerdictAt(*box, {"p"}, due_ms + 3100);
    if (verdict.kind != Kind::kTrial) continue;
    ++trials;
    box->RecordTrial(verdict.parts, At(due_ms + 3100));
    CHECK(KindAt(*box, {"p"}, due_ms + 3200) == Kind::kQuarantine);
  }
  CHECK(trials == 1);
}

TEST_CASE("a flood of different parts does not release a held one") {
  PoisonParts parts("a");
  CrashFour(&parts, {"p"});
  for (int64_t i = 0; i < 3000; ++i) {
    std::string name = std::to_string(i);
    Crash(&parts, "f" + name, 5000 + i, {{"x" + name, {"flood" + name}}});
  }
  CHECK(parts.size() <= PoisonParts::kMaxParts);
  CHECK(KindAt(parts, {"p"}, 9000) == Kind::kQuarantine);
  // 100 bytes each, and the crashes that they name.
  CHECK(NotesOf(parts, 9000).ByteSizeLong() < 10000);
}

TEST_CASE("a restarted box holds a part from its own report") {
  PoisonParts before("a");
  CrashFour(&before, {"p"});
  PoisonParts after("a");
  after.Merge(NotesOf(before, 3100), At(4000), true);
  CHECK(KindAt(after, {"p"}, 4100) == Kind::kQuarantine);
}

TEST_CASE("parts expire, held ones after two hours") {
  PoisonParts parts("a");
  Crash(&parts, "e", 1000, {{"x", {"once"}}});
  CrashFour(&parts, {"p"});
  const int64_t minute_ms = 60000;
  parts.Expire(At(11 * minute_ms));
  CHECK(parts.size() == 1);
  CHECK(KindAt(parts, {"p"}, 11 * minute_ms) == Kind::kQuarantine);
  parts.Expire(At(180 * minute_ms));
  CHECK(parts.size() == 0);
  CHECK(parts.quarantined_count() == 0);
}

}  // namespace
}  // namespace leverwick
