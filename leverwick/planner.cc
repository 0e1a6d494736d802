// This is a Lagrangian relaxation of "minimum cost with mean quality at the
// target", solved online: the multiplier is the price of quality, adjusted
// after each decision by its distance from the target. Costs are divided by the
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
// Prices are per million tokens.
constexpr double kPerMillion = 1e-6;
// Step size of the quality price. It decays from kFirstStep + kLastStep to
// kLastStep, so that the price moves fast at first and then settles.
constexpr double kFirstStep = 1;
constexpr double kLastStep = 0.05;
constexpr double kStepDecayDecisions = 100;
constexpr double kMinPrice = 1e-3;
constexpr double kMaxPrice = 1e3;
constexpr double kCostSmoothing = 0.02;
// Added to the target, because the estimates are noisy.
constexpr double kQualityMargin = 0.002;
// For the mean difference of expected and actual ratings.
constexpr double kBiasSmoothing = 0.01;
constexpr double kMaxBias = 0.15;
// A version with fewer ratings in a class is explored.
constexpr double kMinKnownRatings = 30;

uint32_t LengthClass(int64_t prompt_tokens) {
  if (prompt_tokens < kShortPrompt) return 0;
  return prompt_tokens < kMediumPrompt ? 1 : 2;
}

std::string Describe(const Plan& plan) {
  std::string text = VersionKey(plan.first->model(), plan.first->version());
  if (plan.second == nullptr) return text;
  return text + ", then " +
         VersionKey(plan.second->model(), plan.second->version()) + " if weak";
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

std::vector<Planner::Candidate> Planner::EvaluateCandidates(
    const PlanRequest& request,
    const std::vector<const Version*>& versions) const {
  std::vector<Candidate> candidates;
  for (const Version* version : versions) {
    ResponseEstimate estimate =
        estimates_->EstimateResponse(*version, request.request_class);
    double completion = estimate.completion_tokens;
    if (request.max_tokens > 0) {
      completion =
          std::min(completion, static_cast<double>(request.max_tokens));
    }
    double cost = kPerMillion * (static_cast<double>(request.prompt_tokens) *
                                     version->prompt_price() +
                                 completion * version->completion_price());
    candidates.push_back(Candidate{version, estimate, cost});
  }
  return candidates;
}

Plan Planner::SinglePlan(const Candidate& candidate) {
  Plan plan;
  plan.first = candidate.version;
  plan.expected_cost = candidate.cost;
  plan.expected_quality = candidate.outlook.quality;
  return plan;
}

Plan Planner::CascadePlan(const Candidate& first, const Candidate& second) {
  double weak = first.outlook.weak_share;
  Plan plan;
  plan.first = first.version;
  plan.second = second.version;
  plan.expected_cost = first.cost + weak * second.cost;
  plan.expected_quality = (1 - weak) * first.outlook.confident_quality +
                          weak * second.outlook.quality;
  return plan;
}

std::vector<Plan> Planner::EnumeratePlans(
    const PlanRequest& request, const std::vector<Candidate>& candidates) {
  std::vector<Plan> plans;
  for (const Candidate& only : candidates) plans.push_back(SinglePlan(only));
  if (request.streamed) return plans;
  for (const Candidate& first : candidates) {
    for (const Candidate& second : candidates) {
      if (second.outlook.quality <= first.outlook.quality) continue;
      if (second.cost <= first.cost) continue;
      plans.push_back(CascadePlan(first, second));
    }
  }
  return plans;
}

const Planner::Candidate* Planner::ChooseExploration(
    const PlanRequest& request, const std::vector<Candidate>& candidates) {
  if (request.draw >= request.organisation->exploration()) return nullptr;
  const Candidate* least_known = nullptr;
  double fewest = kMinKnownRatings;
  for (const Candidate& candidate : candidates) {
    if (candidate.outlook.ratings >= fewest) continue;
    least_known = &candidate;
    fewest = candidate.outlook.ratings;
  }
  return least_known;
}

Planner::Shard& Planner::ShardFor(const std::string& organisation) {
  return shards_[StableHash(organisation) % kShards];
}

void Planner::RecordRating(const std::string& organisation, double expected,
                           double rating) {
  Shard& shard = ShardFor(organisation);
  std::lock_guard<std::mutex> lock(shard.mutex);
  OrganisationState& state = shard.organisations[organisation];
  state.quality_bias +=
      kBiasSmoothing * (expected - rating - state.quality_bias);
  state.quality_bias = std::clamp(state.quality_bias, -kMaxBias, kMaxBias);
}

Plan Planner::Choose(const PlanRequest& request,
                     const std::vector<const Version*>& versions) {
  std::vector<Candidate> candidates = EvaluateCandidates(request, versions);
  if (candidates.empty()) return Plan();
  std::vector<Plan> plans = EnumeratePlans(request, candidates);
  const std::string& name = request.organisation->name();
  Shard& shard = ShardFor(name);
  std::lock_guard<std::mutex> lock(shard.mutex);
  OrganisationState& state = shard.organisations[name];
  if (state.mean_cost == 0) state.mean_cost = plans[0].expected_cost + 1e-12;
  const Candidate* explored = ChooseExploration(request, candidates);
  auto score = [&state](const Plan& plan) {
    return plan.expected_cost / state.mean_cost -
           state.quality_price * plan.expected_quality;
  };
  Plan chosen = explored != nullptr
                    ? SinglePlan(*explored)
                    : *std::min_element(plans.begin(), plans.end(),
                                        [&score](const Plan& a, const Plan& b) {
                                          return score(a) < score(b);
                                        });
  chosen.reason =
      Describe(chosen) + (explored != nullptr
                              ? ": to learn its quality"
                              : ": cheapest expected to meet the target");
  double shortfall = request.organisation->quality_target() + kQualityMargin +
                     state.quality_bias - chosen.expected_quality;
  double step = kLastStep + kFirstStep * kStepDecayDecisions /
                                (kStepDecayDecisions + state.decision_count);
  state.decision_count += 1;
  // If the best plan is taken already, a higher price would change nothing now
  // and take long to fall again.
  bool is_best =
      std::none_of(plans.begin(), plans.end(), [&chosen](const Plan& plan) {
        return plan.expected_quality > chosen.expected_quality;
      });
  if (is_best && shortfall > 0) shortfall = 0;
  state.quality_price = std::clamp(
      state.quality_price * std::exp(step * shortfall), kMinPrice, kMaxPrice);
  state.mean_cost += kCostSmoothing * (chosen.expected_cost - state.mean_cost);
  return chosen;
}

}  // namespace leverwick
