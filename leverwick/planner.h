// Which version answers a request, and which one is asked if that is weak.
//
// Each organisation has a quality target, the mean rating it wants. The
// planner looks for the cheapest way to meet it: every plan, one version or
// for unary requests a cheap one followed by a better one when its answer is
// weak, has an expected cost and an expected rating for the request's class.
// It takes the plan with the least cost - price * rating, where the
// organisation's price of quality rises while the ratings expected of what was
// chosen lie under the target and falls while they lie above. So cheap
// versions take the classes they do well, and the strong ones the rest. The
// ratings that do come correct an expectation that is off as a whole.
//
//   Planner planner(&estimates);
//   Plan plan = planner.Choose(request, candidates);
//   planner.Rated("acme", plan.expected_quality, rating);  // perhaps, later

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

// Request classes: by length, streamed or not, and the caller's task word.
uint32_t RequestClass(int64_t prompt_tokens, bool streamed,
                      const std::string& task);

// What the planner needs to know of a request.
struct PlanRequest {
  const Organisation* organisation = nullptr;
  uint32_t request_class = 0;
  int64_t prompt_tokens = 0;
  int64_t max_tokens = 0;  // 0: not given
  bool streamed = false;
  double draw = 0;  // uniform in [0, 1): decides on exploration
};

struct Plan {
  const Version* first = nullptr;   // null: no candidate
  const Version* better = nullptr;  // asked when the first answer is weak
  double expected_cost = 0;
  double expected_quality = 0;
  std::string why;  // one sentence for `explain`
};

// Thread-safe; organisations are sharded.
class Planner {
 public:
  explicit Planner(const VersionEstimates* estimates) : estimates_(estimates) {}

  // Chooses among `candidates`, all of which the organisation may use.
  Plan Choose(const PlanRequest& request,
              const std::vector<const Version*>& candidates);

  // A rating came of an answer whose plan expected `expected`.
  void Rated(const std::string& organisation, double expected, double rating);

 private:
  struct Price {
    double quality = 1;  // cost units a rating of 1 is worth
    double cost_scale = 0;
    double decisions = 0;
    double excess = 0;  // mean of expected less actual rating
  };
  struct Shard {
    std::mutex mutex;
    std::map<std::string, Price> prices;
  };
  static constexpr size_t kShards = 16;

  // One version with what is expected of it for a request.
  struct Option {
    const Version* version;
    ResponseEstimate outlook;
    double cost;
  };

  std::vector<Option> Options(
      const PlanRequest& request,
      const std::vector<const Version*>& candidates) const;
  static Plan Single(const Option& option);
  static Plan Cascade(const Option& first, const Option& better);
  static std::vector<Plan> Plans(const PlanRequest& request,
                                 const std::vector<Option>& options);
  static const Option* Explore(const PlanRequest& request,
                               const std::vector<Option>& options);

  Shard& ShardOf(const std::string& organisation);

  const VersionEstimates* const estimates_;
  std::array<Shard, kShards> shards_;
};

}  // namespace leverwick

#endif  // LEVERWICK_PLANNER_H_
