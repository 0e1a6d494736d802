// Routing, estimates, planner and guard.

#include <doctest/doctest.h>

#include <random>

#include "leverwick/digest.h"
#include "leverwick/estimates.h"
#include "leverwick/guard.h"
#include "leverwick/planner.h"
#include "leverwick/routing.h"
#include "leverwick/testing/table_builder.h"

namespace leverwick {
namespace {

TEST_CASE("sums go often while small, and within a rate of bytes when large") {
  CHECK(SumsInterval(100, 3) == Seconds(5));
  CHECK(SumsInterval(0, 0) == Seconds(5));
  constexpr size_t kLives = 26;
  constexpr size_t kSumsOfALife = 78;  // 13 versions, 6 classes
  constexpr size_t kBytesOfASum = 100;
  constexpr size_t kLarge = kLives * kSumsOfALife * kBytesOfASum;
  double seconds = SumsInterval(kLarge, 3).count();
  CHECK(static_cast<double>(kLarge) * 3 / seconds <= 1000);
}

TEST_CASE("candidates are just the versions that may serve") {
  TableBuilder site = TableBuilder::WithSampleRows();
  const char* const states[] = {"stable", "candidate", "draining", "withdrawn"};
  std::mt19937 random(3);
  for (int round = 0; round < 300; ++round) {
    site.Add("version", {{"model", "swift"},
                         {"version", std::to_string(1 + random() % 2)},
                         {"state", states[random() % 4]}});
    const Table& table = site.table();
    SessionPin pin{random() % 2 == 0 ? "acme" : "globex", "swift",
                   std::to_string(1 + random() % 2)};
    RouteRequest request;
    request.organisation =
        table.FindOrganisation(random() % 2 == 0 ? "acme" : "globex");
    request.new_session = random() % 2 == 0;
    request.pin = random() % 3 == 0 ? &pin : nullptr;
    const char* const models[] = {"auto", "swift", "swift@1", "sage", "none"};
    request.model = models[random() % 5];
    std::vector<const Version*> candidates;
    std::error_code error = FindCandidates(table, request, &candidates);
    REQUIRE(candidates.empty() == static_cast<bool>(error));
    for (const Version* version : table.versions()) {
      bool found = std::find(candidates.begin(), candidates.end(), version) !=
                   candidates.end();
      // There are no roll-outs here, so the two must agree exactly.
      REQUIRE(found == MayServe(table, request, *version));
    }
  }
}

TEST_CASE("a roll-out takes its share, the same on every box, until tripped") {
  TableBuilder site = TableBuilder::WithSampleRows();
  site.Add("version",
           {{"model", "swift"}, {"version", "2"}, {"state", "candidate"}});
  site.Add("rollout", {{"name", "r"},
                       {"model", "swift"},
                       {"from_version", "1"},
                       {"to_version", "2"},
                       {"steps", "0.2;1"}});
  const Table& table = site.table();
  const Organisation& acme = *table.FindOrganisation("acme");
  const Version& from = *table.FindVersion("swift", "1");
  int taken = 0;
  bool tripped = false;
  auto is_tripped = [&tripped](const std::string&) { return tripped; };
  const Rollout* applied = nullptr;
  for (int i = 0; i < 5000; ++i) {
    taken += ApplyRollouts(table, acme, from, "s" + std::to_string(i),
                           is_tripped, &applied) != nullptr
                 ? 1
                 : 0;
  }
  CHECK(taken > 900);
  CHECK(taken < 1100);
  // globex is not allowed version 2.
  const Organisation& globex = *table.FindOrganisation("globex");
  tripped = true;
  for (int i = 0; i < 200; ++i) {
    std::string id = "s" + std::to_string(i);
    CHECK(ApplyRollouts(table, acme, from, id, is_tripped, &applied) ==
          nullptr);
  }
  tripped = false;
  for (int i = 0; i < 200; ++i) {
    std::string id = "s" + std::to_string(i);
    CHECK(ApplyRollouts(table, globex, from, id, is_tripped, &applied) ==
          nullptr);
  }
}

TEST_CASE("sums of lives add up, whatever the order and the repeats") {
  Estimates a("a");
  Estimates b("b");
  Estimates both("c");
  Observation observation;
  observation.latency = Seconds(0.5);
  observation.completion_tokens = 10;
  std::vector<LifeSums> seen;
  for (int i = 0; i < 30; ++i) {
    (i % 3 == 0 ? a : b).Answered("swift@1", 0, observation);
    (i % 3 == 0 ? a : b).Rated("swift@1", 0, true, 0.5);
    seen.push_back(a.own());
    seen.push_back(b.own());
  }
  std::mt19937 random(5);
  std::shuffle(seen.begin(), seen.end(), random);
  for (const LifeSums& sums : seen) both.Merge(sums);
  VersionView view = both.View("swift@1", 0);
  CHECK(view.answers == 30);
  CHECK(view.ratings == 30);
  CHECK(view.rating_mean == doctest::Approx(0.5));
  CHECK(view.completion_tokens_mean == doctest::Approx(10));
}

TEST_CASE("the planner meets the target with the cheaper version's help") {
  TableBuilder site;
  site.Add("data_centre", {{"name", "dc1"}})
      .Add("version", {{"model", "cheap"},
                       {"version", "1"},
                       {"prompt_price", "0.2"},
                       {"completion_price", "0.2"}})
      .Add("version", {{"model", "strong"},
                       {"version", "1"},
                       {"prompt_price", "5"},
                       {"completion_price", "5"}})
      .Add("organisation", {{"name", "acme"},
                            {"home", "dc1"},
                            {"allowed", "cheap;strong"},
                            {"quality_target", "0.8"},
                            {"exploration", "0"}});
  Estimates estimates("a");
  for (int i = 0; i < 200; ++i) {
    estimates.Rated("cheap@1", 0, true, 0.9);  // easy class
    estimates.Rated("cheap@1", 1, true, 0.4);  // hard class
    estimates.Rated("strong@1", 0, true, 0.95);
    estimates.Rated("strong@1", 1, true, 0.9);
  }
  Planner planner(&estimates);
  std::vector<const Version*> candidates = site.table().versions();
  double quality[2] = {0, 0};
  int strong_on[2] = {0, 0};
  constexpr int kRequests = 4000;
  for (int i = 0; i < kRequests; ++i) {
    PlanRequest request;
    request.organisation = site.table().FindOrganisation("acme");
    request.request_class = static_cast<uint32_t>(i % 2);
    request.prompt_tokens = 100;
    request.streamed = true;
    Plan plan = planner.Choose(request, candidates);
    if (i < kRequests / 2) continue;
    quality[i % 2] += plan.expected_quality;
    strong_on[i % 2] += plan.first->model() == "strong" ? 1 : 0;
  }
  double mean = (quality[0] + quality[1]) / (0.5 * kRequests);
  CHECK(mean > 0.79);
  CHECK(mean < 0.86);
  CHECK(strong_on[1] > 5 * strong_on[0]);
}

VersionView GoodBaseline() {
  VersionView view;
  view.answers = 1000;
  view.errors = 10;
  view.log_latency_mean = std::log(0.5);
  view.log_latency_variance = 0.1;
  view.ratings = 500;
  view.rating_mean = 0.85;
  view.rating_variance = 0.02;
  return view;
}

TEST_CASE("the guard stops what got worse and not what is as good") {
  std::mt19937 random(11);
  std::normal_distribution<double> noise(0, 1);
  auto answers_until = [&](double errors, double latency, double rating) {
    Guard guard("a");
    for (int i = 0; i < 3000; ++i) {
      Observation observation;
      observation.error = std::generate_canonical<double, 32>(random) < errors;
      observation.latency =
          Seconds(latency * std::exp(noise(random) * std::sqrt(0.1)));
      guard.Answered("r", GuardLimits(), GoodBaseline(), observation);
      guard.Rated("r", GuardLimits(), GoodBaseline(),
                  rating + noise(random) * std::sqrt(0.02));
      if (guard.Tripped("r", nullptr)) return i;
    }
    return -1;
  };
  CHECK(answers_until(0.01, 0.5, 0.85) == -1);
  CHECK(answers_until(0.5, 0.5, 0.85) >= 0);
  CHECK(answers_until(0.5, 0.5, 0.85) < 40);
  CHECK(answers_until(0.01, 1.2, 0.85) >= 0);
  CHECK(answers_until(0.01, 1.2, 0.85) < 100);
  CHECK(answers_until(0.01, 0.5, 0.6) >= 0);
  CHECK(answers_until(0.01, 0.5, 0.6) < 100);
}

TEST_CASE("evidence of several boxes adds up, and a trip stays") {
  Guard a("a");
  Guard b("b");
  Observation bad;
  bad.error = true;
  for (int i = 0; i < 5; ++i) {
    a.Answered("r", GuardLimits(), GoodBaseline(), bad);
    b.Answered("r", GuardLimits(), GoodBaseline(), bad);
  }
  CHECK(!a.Tripped("r", nullptr));
  for (const GuardSum& sum : b.own()) a.Merge(sum);
  std::string why;
  CHECK(a.Tripped("r", &why));
  CHECK(why == "more errors");
  Observation good;
  good.latency = Seconds(0.5);
  for (int i = 0; i < 1000; ++i) {
    a.Answered("r", GuardLimits(), GoodBaseline(), good);
  }
  CHECK(a.Tripped("r", nullptr));
  b.Trip("r", "told");
  CHECK(b.Tripped("r", nullptr));
}

TEST_CASE("session ids are read back and can't be forged") {
  SigningKey key;
  key.set_secret("0123456789abcdef");
  SigningKey old;
  old.set_secret("fedcba9876543210");
  SessionPin pin;
  std::string id = MakeSessionId(key, {"acme", "swift", "3"}, "n1");
  REQUIRE(ReadSessionId({&old, &key}, id, &pin));
  CHECK(pin.organisation == "acme");
  CHECK(pin.model == "swift");
  CHECK(pin.version == "3");
  CHECK(!ReadSessionId({&old}, id, &pin));
  CHECK(!ReadSessionId({&key}, "", &pin));
  CHECK(!ReadSessionId({&key}, "new", &pin));
  for (size_t i = 0; i < id.size(); ++i) {
    std::string forged = id;
    forged[i] = forged[i] == 'A' ? 'B' : 'A';
    // The last character's low bits carry nothing in base64.
    bool same = ReadSessionId({&key}, forged, &pin) && i + 1 < id.size();
    CHECK(!same);
  }
}

}  // namespace
}  // namespace leverwick
