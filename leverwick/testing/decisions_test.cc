// Tests of version routing, estimates, the planner, the canary check of
// roll-outs and session ids.

#include <doctest/doctest.h>

#include <random>

#include "leverwick/digest.h"
#include "leverwick/planner.h"
#include "leverwick/regression_detector.h"
#include "leverwick/routing.h"
#include "leverwick/testing/table_builder.h"
#include "leverwick/version_estimates.h"

namespace leverwick {
namespace {

TEST_CASE("sums are sent often if small, and at a bounded byte rate if large") {
  CHECK(SumsBroadcastInterval(100, 3) == Seconds(5));
  CHECK(SumsBroadcastInterval(0, 0) == Seconds(5));
  constexpr size_t kIncarnations = 26;
  constexpr size_t kSumsPerIncarnation = 78;  // 13 versions, 6 classes
  constexpr size_t kBytesPerSum = 100;
  constexpr size_t kTotalBytes =
      kIncarnations * kSumsPerIncarnation * kBytesPerSum;
  double seconds = SumsBroadcastInterval(kTotalBytes, 3).count();
  CHECK(static_cast<double>(kTotalBytes) * 3 / seconds <= 1000);
}

TEST_CASE("the candidates are exactly the versions that may serve") {
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
      // Without roll-outs, the two functions must agree exactly.
      REQUIRE(found == MayServe(table, request, *version));
    }
  }
}

TEST_CASE("a roll-out gets its share of sessions until it is tripped") {
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
  int sessions_on_target = 0;
  bool tripped = false;
  auto is_tripped = [&tripped](const std::string&) { return tripped; };
  const Rollout* applied = nullptr;
  for (int i = 0; i < 5000; ++i) {
    sessions_on_target +=
        ApplyRollouts(table, acme, from, "s" + std::to_string(i), is_tripped,
                      &applied) != nullptr
            ? 1
            : 0;
  }
  CHECK(sessions_on_target > 900);
  CHECK(sessions_on_target < 1100);
  const Organisation& globex = *table.FindOrganisation("globex");
  tripped = true;
  for (int i = 0; i < 200; ++i) {
    std::string id = "s" + std::to_string(i);
    CHECK(ApplyRollouts(table, acme, from, id, is_tripped, &applied) ==
          nullptr);
  }
  // The organisation globex may not use version 2.
  tripped = false;
  for (int i = 0; i < 200; ++i) {
    std::string id = "s" + std::to_string(i);
    CHECK(ApplyRollouts(table, globex, from, id, is_tripped, &applied) ==
          nullptr);
  }
}

TEST_CASE("sums of incarnations add up in any order and with repeats") {
  VersionEstimates a("a");
  VersionEstimates b("b");
  VersionEstimates merged("c");
  Observation observation;
  observation.latency = Seconds(0.5);
  observation.completion_tokens = 10;
  std::vector<LifeSums> sent;
  for (int i = 0; i < 30; ++i) {
    (i % 3 == 0 ? a : b).RecordResponse("swift@1", 0, observation);
    (i % 3 == 0 ? a : b).RecordRating("swift@1", 0, true, 0.5);
    sent.push_back(a.own());
    sent.push_back(b.own());
  }
  std::mt19937 random(5);
  std::shuffle(sent.begin(), sent.end(), random);
  for (const LifeSums& sums : sent) merged.MergePeerSums(sums);
  VersionStats stats = merged.StatsFor("swift@1", 0);
  CHECK(stats.answers == 30);
  CHECK(stats.ratings == 30);
  CHECK(stats.rating_mean == doctest::Approx(0.5));
  CHECK(stats.completion_tokens_mean == doctest::Approx(10));
}

TEST_CASE("the planner meets the quality target at a lower cost") {
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
  VersionEstimates estimates("a");
  for (int i = 0; i < 200; ++i) {
    estimates.RecordRating("cheap@1", 0, true, 0.9);  // easy class
    estimates.RecordRating("cheap@1", 1, true, 0.4);  // hard class
    estimates.RecordRating("strong@1", 0, true, 0.95);
    estimates.RecordRating("strong@1", 1, true, 0.9);
  }
  Planner planner(&estimates);
  std::vector<const Version*> candidates = site.table().versions();
  double quality_sums[2] = {0, 0};
  int strong_counts[2] = {0, 0};
  constexpr int kRequests = 4000;
  for (int i = 0; i < kRequests; ++i) {
    PlanRequest request;
    request.organisation = site.table().FindOrganisation("acme");
    request.request_class = static_cast<uint32_t>(i % 2);
    request.prompt_tokens = 100;
    request.streamed = true;
    Plan plan = planner.Choose(request, candidates);
    if (i < kRequests / 2) continue;
    quality_sums[i % 2] += plan.expected_quality;
    strong_counts[i % 2] += plan.first->model() == "strong" ? 1 : 0;
  }
  double mean_quality = (quality_sums[0] + quality_sums[1]) / (0.5 * kRequests);
  CHECK(mean_quality > 0.79);
  CHECK(mean_quality < 0.86);
  CHECK(strong_counts[1] > 5 * strong_counts[0]);
}

VersionStats HealthyBaseline() {
  VersionStats stats;
  stats.answers = 1000;
  stats.errors = 10;
  stats.log_latency_mean = std::log(0.5);
  stats.log_latency_variance = 0.1;
  stats.ratings = 500;
  stats.rating_mean = 0.85;
  stats.rating_variance = 0.02;
  return stats;
}

TEST_CASE("the canary check trips on regressions only") {
  std::mt19937 random(11);
  std::normal_distribution<double> noise(0, 1);
  auto responses_until_trip = [&](double errors, double latency,
                                  double rating) {
    RegressionDetector detector("a");
    for (int i = 0; i < 3000; ++i) {
      Observation observation;
      observation.error = std::generate_canonical<double, 32>(random) < errors;
      observation.latency =
          Seconds(latency * std::exp(noise(random) * std::sqrt(0.1)));
      detector.RecordResponse("r", RegressionLimits(), HealthyBaseline(),
                              observation);
      detector.RecordRating("r", RegressionLimits(), HealthyBaseline(),
                            rating + noise(random) * std::sqrt(0.02));
      if (detector.IsTripped("r", nullptr)) return i;
    }
    return -1;
  };
  CHECK(responses_until_trip(0.01, 0.5, 0.85) == -1);
  CHECK(responses_until_trip(0.5, 0.5, 0.85) >= 0);
  CHECK(responses_until_trip(0.5, 0.5, 0.85) < 40);
  CHECK(responses_until_trip(0.01, 1.2, 0.85) >= 0);
  CHECK(responses_until_trip(0.01, 1.2, 0.85) < 100);
  CHECK(responses_until_trip(0.01, 0.5, 0.6) >= 0);
  CHECK(responses_until_trip(0.01, 0.5, 0.6) < 100);
}

TEST_CASE("observations of several boxes add up, and a trip is permanent") {
  RegressionDetector a("a");
  RegressionDetector b("b");
  Observation bad;
  bad.error = true;
  for (int i = 0; i < 5; ++i) {
    a.RecordResponse("r", RegressionLimits(), HealthyBaseline(), bad);
    b.RecordResponse("r", RegressionLimits(), HealthyBaseline(), bad);
  }
  CHECK(!a.IsTripped("r", nullptr));
  for (const GuardSum& sum : b.own_sums()) a.Merge(sum);
  std::string reason;
  CHECK(a.IsTripped("r", &reason));
  CHECK(reason == "more errors");
  Observation good;
  good.latency = Seconds(0.5);
  for (int i = 0; i < 1000; ++i) {
    a.RecordResponse("r", RegressionLimits(), HealthyBaseline(), good);
  }
  CHECK(a.IsTripped("r", nullptr));
  b.Trip("r", "reported");
  CHECK(b.IsTripped("r", nullptr));
}

TEST_CASE("session ids can be parsed but not forged") {
  SigningKey key;
  key.set_secret("0123456789abcdef");
  SigningKey old;
  old.set_secret("fedcba9876543210");
  SessionPin pin;
  std::string id = MakeSessionId(key, {"acme", "swift", "3"}, "n1");
  REQUIRE(ParseSessionId({&old, &key}, id, &pin));
  CHECK(pin.organisation == "acme");
  CHECK(pin.model == "swift");
  CHECK(pin.version == "3");
  CHECK(!ParseSessionId({&old}, id, &pin));
  CHECK(!ParseSessionId({&key}, "", &pin));
  CHECK(!ParseSessionId({&key}, "new", &pin));
  for (size_t i = 0; i < id.size(); ++i) {
    std::string forged = id;
    forged[i] = forged[i] == 'A' ? 'B' : 'A';
    // The low bits of the last base64 character carry no data.
    bool is_accepted =
        ParseSessionId({&key}, forged, &pin) && i + 1 < id.size();
    CHECK(!is_accepted);
  }
}

}  // namespace
}  // namespace leverwick
