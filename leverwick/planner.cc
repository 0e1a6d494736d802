// This is a Lagrangian relaxation of "least cost with mean quality at the
// target", solved on line: the multiplier is the price of quality, moved a
// little by each decision's distance from the target. Costs are divided by the
// organisation's mean cost, so that one step size fits all price lists.

#include "leverwick/planner.h"

#include <algorithm>
#include <cmath>

#include "leverwick/digest.h"
#include "leverwick/table.h"

namespace leverwick {
namespace {

constexpr int64_t kShortPrompt = 200;    // tokens
constexpr int64_t kMediumPrompt = 2000;  // tokens
constexpr uint32_t kTaskClasses = 8;
constexpr double kPerMillion = 1e-6;
// The price moves fast at first and settles.
constexpr double kFirstStep = 1;
constexpr double kLastStep = 0.05;
constexpr double kSettling = 100;  // decisions
constexpr double kLeastPrice = 1e-3;
constexpr double kMostPrice = 1e3;
constexpr double kCostMemory = 0.02;
// Aim a little above, for the estimates are noisy.
constexpr double kMargin = 0.002;
// Of the mean difference of expected and actual ratings, and its bound.
constexpr double kExcessMemory = 0.01;
constexpr double kMostExcess = 0.15;
// A version counts as known after this many ratings of a class.
constexpr double kKnownRatings = 30;

uint32_t LengthClass(int64_t prompt_tokens) {
  if (prompt_tokens < kShortPrompt) return 0;
  return prompt_tokens < kMediumPrompt ? 1 : 2;
}

std::string Describe(const Plan& plan) {
  std::string text = VersionKey(plan.first->model(), plan.first->version());
  if (plan.better == nullptr) return text;
  return text + ", then " +
         VersionKey(plan.better->model(), plan.better->version()) + " if weak";
}

}  // namespace

uint32_t RequestClass(int64_t prompt_tokens, bool streamed,
                      const std::string& task) {
  uint32_t task_class =
      task.empty()
          ? 0
          : 1 + static_cast<uint32_t>(StableHash(task) % (kTaskClasses - 1));
  return LengthClass(prompt_tokens) + 3 * (streamed ? 1u : 0u) + 6 * task_class;
}

std::vector<Planner::Option> Planner::Options(
    const PlanRequest& request,
    const std::vector<const Version*>& candidates) const {
  std::vector<Option> options;
  for (const Version* version : candidates) {
    ResponseEstimate outlook =
        estimates_->EstimateResponse(*version, request.request_class);
    double completion = outlook.completion_tokens;
    if (request.max_tokens > 0) {
      completion =
          std::min(completion, static_cast<double>(request.max_tokens));
    }
    double cost = kPerMillion * (static_cast<double>(request.prompt_tokens) *
                                     version->prompt_price() +
                                 completion * version->completion_price());
    options.push_back(Option{version, outlook, cost});
  }
  return options;
}

Plan Planner::Single(const Option& option) {
  Plan plan;
  plan.first = option.version;
  plan.expected_cost = option.cost;
  plan.expected_quality = option.outlook.quality;
  return plan;
}

Plan Planner::Cascade(const Option& first, const Option& better) {
  double weak = first.outlook.weak_share;
  Plan plan;
  plan.first = first.version;
  plan.better = better.version;
  plan.expected_cost = first.cost + weak * better.cost;
  plan.expected_quality = (1 - weak) * first.outlook.confident_quality +
                          weak * better.outlook.quality;
  return plan;
}

std::vector<Plan> Planner::Plans(const PlanRequest& request,
                                 const std::vector<Option>& options) {
  std::vector<Plan> plans;
  for (const Option& option : options) plans.push_back(Single(option));
  if (request.streamed) return plans;
  for (const Option& first : options) {
    for (const Option& better : options) {
      if (better.outlook.quality <= first.outlook.quality) continue;
      if (better.cost <= first.cost) continue;
      plans.push_back(Cascade(first, better));
    }
  }
  return plans;
}

const Planner::Option* Planner::Explore(const PlanRequest& request,
                                        const std::vector<Option>& options) {
  if (request.draw >= request.organisation->exploration()) return nullptr;
  const Option* least_known = nullptr;
  double fewest = kKnownRatings;
  for (const Option& option : options) {
    if (option.outlook.ratings >= fewest) continue;
    least_known = &option;
    fewest = option.outlook.ratings;
  }
  return least_known;
}

Planner::Shard& Planner::ShardOf(const std::string& organisation) {
  return shards_[StableHash(organisation) % kShards];
}

void Planner::Rated(const std::string& organisation, double expected,
                    double rating) {
  Shard& shard = ShardOf(organisation);
  std::lock_guard<std::mutex> lock(shard.mutex);
  Price& price = shard.prices[organisation];
  price.excess += kExcessMemory * (expected - rating - price.excess);
  price.excess = std::clamp(price.excess, -kMostExcess, kMostExcess);
}

Plan Planner::Choose(const PlanRequest& request,
                     const std::vector<const Version*>& candidates) {
  std::vector<Option> options = Options(request, candidates);
  if (options.empty()) return Plan();
  std::vector<Plan> plans = Plans(request, options);
  const std::string& name = request.organisation->name();
  Shard& shard = ShardOf(name);
  std::lock_guard<std::mutex> lock(shard.mutex);
  Price& price = shard.prices[name];
  if (price.cost_scale == 0) price.cost_scale = plans[0].expected_cost + 1e-12;
  const Option* explored = Explore(request, options);
  auto score = [&price](const Plan& plan) {
    return plan.expected_cost / price.cost_scale -
           price.quality * plan.expected_quality;
  };
  Plan chosen = explored != nullptr
                    ? Single(*explored)
                    : *std::min_element(plans.begin(), plans.end(),
                                        [&score](const Plan& a, const Plan& b) {
                                          return score(a) < score(b);
                                        });
  chosen.why = Describe(chosen) +
               (explored != nullptr ? ": to learn its quality"
                                    : ": cheapest expected to meet the target");
  double lacking = request.organisation->quality_target() + kMargin +
                   price.excess - chosen.expected_quality;
  double step =
      kLastStep + kFirstStep * kSettling / (kSettling + price.decisions);
  price.decisions += 1;
  // With the best plan taken already, a higher price would change nothing now
  // and take long to come down again.
  bool best =
      std::none_of(plans.begin(), plans.end(), [&chosen](const Plan& plan) {
        return plan.expected_quality > chosen.expected_quality;
      });
  if (best && lacking > 0) lacking = 0;
  price.quality = std::clamp(price.quality * std::exp(step * lacking),
                             kLeastPrice, kMostPrice);
  price.cost_scale += kCostMemory * (chosen.expected_cost - price.cost_scale);
  return chosen;
}

}  // namespace leverwick
