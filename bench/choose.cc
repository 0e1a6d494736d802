// Cost of one decision, choose a version and an endpoint, and whether it stays
// flat as organisations grow. Baseline: the reference rules, least loaded
// endpoint of a version found by asking MayServe of every version.
//
//   bench-choose

#include <algorithm>
#include <cstdio>
#include <vector>

#include "leverwick/digest.h"
#include "leverwick/endpoint_pool.h"
#include "leverwick/planner.h"
#include "leverwick/routing.h"
#include "leverwick/testing/table_builder.h"
#include "leverwick/version_estimates.h"

namespace leverwick {
namespace {

constexpr int kVersions = 13;
constexpr int kEndpoints = 308;
constexpr int kDecisions = 20000;
constexpr int kRounds = 5;

struct Site {
  explicit Site(int organisations) : estimates("bench"), planner(&estimates) {
    builder.Add("data_centre", {{"name", "dc1"}});
    for (int i = 0; i < kVersions; ++i) {
      builder.Add("version",
                  {{"model", "m" + std::to_string(i)},
                   {"version", "1"},
                   {"prompt_price", std::to_string(1 + i)},
                   {"prior_quality", std::to_string(0.5 + 0.03 * i)}});
    }
    std::string allowed;
    for (int i = 0; i < kVersions; ++i) {
      allowed += (i > 0 ? ";m" : "m") + std::to_string(i);
    }
    for (int i = 0; i < organisations; ++i) {
      builder.Add("organisation", {{"name", "o" + std::to_string(i)},
                                   {"home", "dc1"},
                                   {"allowed", allowed}});
      names.push_back("o" + std::to_string(i));
    }
    std::vector<ListedEndpoint> list;
    for (int i = 0; i < kEndpoints; ++i) {
      ListedEndpoint endpoint;
      endpoint.address = "10.0.0.1:" + std::to_string(i + 1);
      endpoint.target = "m" + std::to_string(i % kVersions) + "@1";
      endpoint.max_in_flight = 8;
      list.push_back(endpoint);
    }
    endpoints.SetListed(list, now);
    for (int i = 0; i < kVersions; ++i) {
      for (uint32_t c = 0; c < 6; ++c) {
        estimates.RecordRating("m" + std::to_string(i) + "@1", c, true, 0.7);
      }
    }
  }

  std::string Choose(int number, bool streamed) {
    const Organisation* organisation = table.FindOrganisation(
        names[static_cast<size_t>(number) % names.size()]);
    RouteRequest route;
    route.organisation = organisation;
    route.model = kAnyModel;
    std::vector<const Version*> candidates;
    FindCandidates(table, route, &candidates);
    PlanRequest request;
    request.organisation = organisation;
    request.request_class = static_cast<uint32_t>(number % 6);
    request.prompt_tokens = 100;
    request.streamed = streamed;
    request.draw = 0.5;
    Plan plan = planner.Choose(request, candidates);
    return endpoints
        .Pick(VersionKey(plan.first->model(), plan.first->version()),
              static_cast<uint64_t>(number), {}, now)
        .address;
  }

  std::string ChooseNaively(int number) {
    RouteRequest route;
    route.organisation = table.FindOrganisation(
        names[static_cast<size_t>(number) % names.size()]);
    route.model = kAnyModel;
    std::vector<const Version*> candidates;
    for (const Version* version : table.versions()) {
      if (MayServe(table, route, *version)) candidates.push_back(version);
    }
    const Version* version =
        candidates[static_cast<size_t>(number) % candidates.size()];
    return endpoints
        .PickLeastLoaded(VersionKey(version->model(), version->version()), {},
                         now)
        .address;
  }

  TableBuilder builder;
  const Table& table = builder.table();
  VersionEstimates estimates;
  Planner planner;
  EndpointPool endpoints;
  std::vector<std::string> names;
  TimePoint now = TimePoint() + std::chrono::hours(1);
};

template <typename Function>
double MicrosecondsEach(Function function) {
  std::vector<double> rounds;
  size_t sink = 0;
  for (int round = 0; round < kRounds; ++round) {
    TimePoint begin = Clock::now();
    for (int i = 0; i < kDecisions; ++i) sink += function(i).size();
    rounds.push_back(1e6 * ToSeconds(Clock::now() - begin) / kDecisions);
  }
  if (sink == 0) std::printf("nothing chosen\n");
  std::sort(rounds.begin(), rounds.end());
  return rounds[kRounds / 2];
}

void Run(int organisations) {
  Site site(organisations);
  double unary = MicrosecondsEach([&](int i) { return site.Choose(i, false); });
  double stream = MicrosecondsEach([&](int i) { return site.Choose(i, true); });
  double naive = MicrosecondsEach([&](int i) { return site.ChooseNaively(i); });
  std::printf(
      "%5d organisations: unary %.2f us, streamed %.2f us, naive %.2f us, "
      "ratio streamed/naive %.2f\n",
      organisations, unary, stream, naive, stream / naive);
}

}  // namespace
}  // namespace leverwick

int main() {
  for (int organisations : {10, 100, 500, 1000}) leverwick::Run(organisations);
  return 0;
}
