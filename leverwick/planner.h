// Chooses the version that serves a request, and a second one that is used if
// the first response is weak.
//
// Each organisation has a quality target, the mean rating it wants. The planner
// looks for the cheapest way to meet it. A plan is one version or, for unary
// requests, a cascade: a cheap version, followed by a better one if its
// response is weak. Every plan has an expected cost and an expected rating for
// the request's class. The planner takes the plan with the minimum of cost -
// price * rating, where the organisation's price of quality rises while the
// expected ratings of the chosen plans are below the target and falls while
// they are above it. Cheap versions therefore get the classes they do well, and
// strong versions the rest. Actual ratings correct a bias of the expectations.
//
//   Planner planner(&estimates);
//   Plan plan = planner.Choose(request, versions);
//   // If a rating arrives later:
//   planner.RecordRating("acme", plan.expected_quality, rating);

#ifndef LEVERWICK_PLANNER_H_
#define LEVERWICK_PLANNER_H_

#include <array>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "leverwick/version_estimates.h"
#include "schema/table.pb.h"

namespace leverwick {

// Returns the class of a request: by prompt length, streamed or not, and a hash
// of the task that the caller names.
uint32_t RequestClass(int64_t prompt_tokens, bool streamed,
                      const std::string& task);

struct PlanRequest {
  const Organisation* organisation = nullptr;
  uint32_t request_class = 0;
  int64_t prompt_tokens = 0;
  int64_t max_tokens = 0;  // 0: no limit
  bool streamed = false;
  double draw = 0;  // uniform in [0, 1): decides on exploration
};

struct Plan {
  const Version* first = nullptr;   // null: no version
  const Version* second = nullptr;  // used if the first response is weak
  double expected_cost = 0;
  double expected_quality = 0;
  std::string reason;  // one sentence, shown by `explain`
};

// Thread-safe; locks are sharded by organisation.
class Planner {
 public:
  explicit Planner(const VersionEstimates* estimates) : estimates_(estimates) {}

  // Chooses among `versions`, all of which the organisation must be allowed to
  // use.
  Plan Choose(const PlanRequest& request,
              const std::vector<const Version*>& versions);

  // Records the rating of a response whose plan expected `expected`.
  void RecordRating(const std::string& organisation, double expected,
                    double rating);

 private:
  struct OrganisationState {
    double quality_price = 1;  // value of a rating of 1, in units of mean_cost
    double mean_cost = 0;
    double decision_count = 0;
    double quality_bias = 0;  // mean of expected minus actual rating
  };
  struct Shard {
    std::mutex mutex;
    std::map<std::string, OrganisationState> organisations;
  };
  static constexpr size_t kShards = 16;

  // A version with its expected cost and quality for a request.
  struct Candidate {
    const Version* version;
    ResponseEstimate outlook;
    double cost;
  };

  std::vector<Candidate> EvaluateCandidates(
      const PlanRequest& request,
      const std::vector<const Version*>& versions) const;
  static Plan SinglePlan(const Candidate& candidate);
  static Plan CascadePlan(const Candidate& first, const Candidate& second);
  static std::vector<Plan> EnumeratePlans(
      const PlanRequest& request, const std::vector<Candidate>& candidates);
  static const Candidate* ChooseExploration(
      const PlanRequest& request, const std::vector<Candidate>& candidates);

  Shard& ShardFor(const std::string& organisation);

  const VersionEstimates* const estimates_;
  std::array<Shard, kShards> shards_;
};

}  // namespace leverwick

#endif  // LEVERWICK_PLANNER_H_
