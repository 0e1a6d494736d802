// The relay's pure decisions: routes, attempts, streams, proofs, models.

#include <doctest/doctest.h>

#include <algorithm>
#include <random>

#include "leverwick/attempts.h"
#include "leverwick/event_stream.h"
#include "leverwick/key_trust.h"
#include "leverwick/model_cascade.h"
#include "leverwick/read_proof.h"
#include "leverwick/retry_budget.h"
#include "leverwick/service_config.h"

namespace leverwick {
namespace {

ServiceRoute MakeRoute(const std::string& host, const std::string& prefix) {
  ServiceRoute route;
  route.name = host + prefix;
  route.host = host;
  route.prefix = prefix;
  route.services = {{"service", 1}};
  return route;
}

// The plain form of FindRoute: looks at every route.
const ServiceRoute* FindRouteSlowly(const ServiceConfig& config,
                                    const std::string& host,
                                    const std::string& path) {
  const ServiceRoute* best = nullptr;
  for (const ServiceRoute& route : config.routes()) {
    if (route.host != host || path.rfind(route.prefix, 0) != 0) continue;
    bool longer = best == nullptr || route.prefix.size() > best->prefix.size();
    if (longer) best = &route;
  }
  return best;
}

TEST_CASE("routes are found as by looking at every one") {
  std::mt19937 random(7);
  const std::string parts[] = {"a/", "b/", "ab/", "c"};
  auto path = [&](bool prefix) {
    std::string text = "/";
    for (unsigned i = random() % 4; i > 0; --i) text += parts[random() % 3];
    return prefix ? text : text + parts[random() % 4];
  };
  for (int round = 0; round < 50; ++round) {
    ServiceConfig::Builder builder(1);
    for (int i = 0; i < 12; ++i) {
      builder.Add(MakeRoute(random() % 2 ? "x" : "y", path(true)));
    }
    ServiceConfig config = builder.Build();
    for (int i = 0; i < 100; ++i) {
      std::string host = random() % 2 ? "x" : "y";
      std::string asked = path(false);
      const ServiceRoute* found = config.FindRoute(host, asked);
      const ServiceRoute* expected = FindRouteSlowly(config, host, asked);
      REQUIRE((found == nullptr) == (expected == nullptr));
      if (found != nullptr) CHECK(found->prefix == expected->prefix);
    }
  }
}

TEST_CASE("a route's services get their weights") {
  ServiceRoute route;
  route.services = {{"a", 90}, {"b", 10}};
  int b = 0;
  for (int i = 0; i < 1000; ++i) b += PickService(route, i / 1000.0) == "b";
  CHECK(b == 100);
  CHECK(PickService(ServiceRoute(), 0.5).empty());
}

TEST_CASE("a request that may have run goes again only where that is allowed") {
  using Outcome = AttemptOutcome;
  std::mt19937 random(3);
  const Outcome outcomes[] = {Outcome::kNotSent, Outcome::kRefused,
                              Outcome::kFailed, Outcome::kBroken};
  for (int round = 0; round < 2000; ++round) {
    bool repeatable = random() % 2;
    int most = 1 + static_cast<int>(random() % 3);
    AttemptLog log(repeatable, most);
    bool may_have_run = false;
    int sent = 0;
    for (int dispatch = 0; dispatch < 8; ++dispatch) {
      log.Sent();
      Outcome outcome = outcomes[random() % 4];
      if (outcome != Outcome::kNotSent) ++sent;
      may_have_run = may_have_run || outcome == Outcome::kFailed ||
                     outcome == Outcome::kBroken;
      NextStep step = log.After(outcome, random() % 4 > 0);
      CHECK(sent <= most);
      if (step == NextStep::kTryAgain) {
        CHECK((repeatable || !may_have_run));
        continue;
      }
      CHECK((step == NextStep::kAnswerNotRun) == !may_have_run);
      break;
    }
  }
}

TEST_CASE("events are passed on whole wherever the bytes are cut") {
  const std::string stream =
      "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\ndata: c\n\nid:3\n\nid: 4\nda";
  for (size_t cut = 0; cut <= stream.size(); ++cut) {
    EventSplitter splitter;
    std::string passed = splitter.Add(stream.substr(0, cut));
    passed += splitter.Add(stream.substr(cut));
    CHECK(passed == stream.substr(0, stream.size() - 8));
    CHECK(splitter.last_id() == "3");
    CHECK(splitter.events() == 4);
    CHECK(splitter.half_bytes() == 8);
  }
}

TEST_CASE("a half event is dropped when the stream goes on elsewhere") {
  EventSplitter splitter;
  CHECK(splitter.Add("id: 1\n\nid: 2\nda") == "id: 1\n\n");
  splitter.DropHalf();
  CHECK(splitter.Add("id: 2\ndata: x\n\n") == "id: 2\ndata: x\n\n");
  CHECK(splitter.last_id() == "2");
}

TEST_CASE("a proof's age counts from when the read was sent") {
  TimePoint start = TimePoint() + std::chrono::hours(1);
  ReadProof proof(milliseconds(5000));
  CHECK_FALSE(proof.HoldsAt(start));
  proof.Proved(start);
  CHECK(proof.HoldsAt(start + milliseconds(4999)));
  CHECK_FALSE(proof.HoldsAt(start + milliseconds(5000)));
  // An answer that comes late proves no more than when it was asked for.
  proof.Proved(start - milliseconds(1000));
  CHECK(proof.AgeAt(start) == milliseconds(0));
}

TEST_CASE("retries are bounded by what was saved and a share of requests") {
  RetryBudget budget(0.5, 2, 5);
  int taken = 0;
  for (int i = 0; i < 100; ++i) taken += budget.Take();
  CHECK(taken == 2);
  for (int i = 0; i < 100; ++i) budget.Count();
  taken = 0;
  for (int i = 0; i < 100; ++i) taken += budget.Take();
  CHECK(taken == 5);
}

TEST_CASE("sends that improve answers leave a retry to requests without") {
  using Purpose = RetryBudget::Purpose;
  RetryBudget budget(0.5, 2, 5);
  double least = budget.level();
  int improved = 0;
  for (int i = 0; i < 100; ++i) {
    budget.Count();
    improved += budget.Take(Purpose::kImprove);
    least = std::min(least, budget.level());
  }
  CHECK(least >= 1);
  CHECK(improved >= 50);
  CHECK(budget.Take(Purpose::kAnswer));
}

TEST_CASE("the small model is asked first while its answers are good") {
  ServiceRoute route = MakeRoute("x", "/");
  route.models = {"small", "middle", "large"};
  ServiceSpec service;
  service.models = {{"small", 0.02}, {"middle", 0.1}, {"large", 0.3}};
  ModelCascade cascade(0.6);
  CHECK(cascade.First(route, &service, 0.5) == 0);
  CHECK(ModelCascade::Better(route, 0) == 2);
  CHECK(ModelCascade::Better(route, 2) == 2);
  CHECK(cascade.IsWeak(0.59));
  CHECK_FALSE(cascade.IsWeak(0.6));
  for (int i = 0; i < 100; ++i) cascade.Answered(route.name, 0, 0.1);
  CHECK(cascade.First(route, &service, 0.5) == 2);
  // Some requests go on asking it, so that a better one is found again.
  CHECK(cascade.First(route, &service, 0.01) == 0);
  for (int i = 0; i < 400; ++i) cascade.Answered(route.name, 0, 0.9);
  CHECK(cascade.First(route, &service, 0.5) == 0);
}

TEST_CASE("without a proof known keys serve only where withdrawal is lenient") {
  const KeyTrust& strict = KeyTrustOf(true);
  const KeyTrust& lenient = KeyTrustOf(false);
  for (const KeyTrust* trust : {&strict, &lenient}) {
    CHECK(AdmitKey(*trust, true, true) == Result::kOk);
    CHECK(AdmitKey(*trust, false, true) == Result::kBadKey);
    // An unknown key may be newer than what the box knows.
    CHECK(AdmitKey(*trust, false, false) == Result::kStaleTable);
  }
  CHECK(AdmitKey(strict, true, false) == Result::kStaleTable);
  CHECK(AdmitKey(lenient, true, false) == Result::kOk);
}

}  // namespace
}  // namespace leverwick
