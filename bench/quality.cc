// Cost at the quality target, in virtual time over the decision library.
//
// Ten organisations with targets of their own send requests of several kinds
// through seven boxes. Every version has a true quality for each kind, which
// only the oracle knows; the planner sees ratings of some answers, late, and
// the boxes exchange their sums. Beside it in the same run: always strong,
// always cheap, the best fixed mix of two versions, the naive version (the
// cheapest whose mean rating over all kinds meets the target), and the oracle
// (least cost at the target for true qualities, cascades included).
//
//   bench-quality [scale]

#include <cmath>
#include <cstdlib>
#include <deque>
#include <map>
#include <memory>
#include <random>

#include "bench/spread.h"
#include "leverwick/fields.h"
#include "leverwick/planner.h"
#include "leverwick/table.h"
#include "leverwick/version_estimates.h"

namespace leverwick {
namespace {

constexpr int kBoxes = 7;
constexpr int kOrganisations = 10;
double rated_share = 0.3;               // of answers; the second argument
constexpr int kRatingDelay = 2000;      // requests
constexpr int kExchangeInterval = 500;  // requests
constexpr double kWarmUp = 0.25;

struct Kind {
  const char* name;
  double share;
  int64_t prompt;
  int64_t completion;
  bool streamed;
  double difficulty;
};

const Kind kKinds[] = {
    {"short question", 0.30, 60, 80, false, 0.15},
    {"meter slip", 0.15, 250, 40, false, 0.45},
    {"counter lookup", 0.25, 40, 30, false, 0.05},
    {"notice, streamed", 0.20, 300, 250, true, 0.35},
    {"filing history", 0.10, 6000, 700, true, 0.8},
};
constexpr int kKindCount = 5;

struct World {
  explicit World(unsigned seed) : random(seed) {
    const double prices[3] = {0.3, 1.2, 6};
    const double strength[3] = {0.45, 0.75, 1.0};
    std::uniform_real_distribution<double> jitter(-0.04, 0.04);
    for (int v = 0; v < 3; ++v) {
      versions[v].set_model("m" + std::to_string(v));
      versions[v].set_version("1");
      versions[v].set_prompt_price(prices[v]);
      versions[v].set_completion_price(3 * prices[v]);
      versions[v].set_prior_quality(0.7);
      for (int k = 0; k < kKindCount; ++k) {
        double lacking =
            std::max(0.0, kKinds[k].difficulty - strength[v] + 0.3);
        quality[v][k] = std::min(
            0.97, std::max(0.2, 0.94 - 0.8 * lacking + jitter(random)));
      }
    }
    std::uniform_real_distribution<double> target(0.72, 0.88);
    for (int o = 0; o < kOrganisations; ++o) {
      Organisation organisation;
      SetDefaults(&organisation);
      organisation.set_name("o" + std::to_string(o));
      organisation.set_quality_target(target(random));
      organisations.push_back(organisation);
    }
  }

  double CostOf(int v, int k) const {
    return 1e-6 *
           (static_cast<double>(kKinds[k].prompt) * versions[v].prompt_price() +
            static_cast<double>(kKinds[k].completion) *
                versions[v].completion_price());
  }

  double Uniform() {
    return std::uniform_real_distribution<double>(0, 1)(random);
  }

  int PickKind() {
    double draw = Uniform();
    int k = 0;
    while (k + 1 < kKindCount && draw >= kKinds[k].share)
      draw -= kKinds[k++].share;
    return k;
  }

  std::mt19937 random;
  Version versions[3];
  double quality[3][kKindCount];
  std::vector<Organisation> organisations;
};

// An answer is good or poor; a rating sees it with noise, and low confidence
// goes with poor answers mostly.
constexpr double kGoodRating = 0.97;
constexpr double kPoorRating = 0.2;
constexpr double kWeakOfPoor = 0.75;
constexpr double kWeakOfGood = 0.05;

double GoodShare(double quality) {
  return (quality - kPoorRating) / (kGoodRating - kPoorRating);
}

// Expected cost and rating of asking v, then w if weak; w < 0: v alone.
void Expect(const World& world, int v, int w, int k, double* cost,
            double* quality) {
  double good = GoodShare(world.quality[v][k]);
  *cost = world.CostOf(v, k);
  *quality = world.quality[v][k];
  if (w < 0) return;
  double weak = good * kWeakOfGood + (1 - good) * kWeakOfPoor;
  double strong_rating = good * (1 - kWeakOfGood) * kGoodRating +
                         (1 - good) * (1 - kWeakOfPoor) * kPoorRating;
  *cost += weak * world.CostOf(w, k);
  *quality = strong_rating + weak * world.quality[w][k];
}

struct Totals {
  double cost = 0;
  double quality = 0;
  double count = 0;
};

// Least mean cost with mean quality at the target, over true values: the
// price of quality is found by bisection.
Totals Oracle(const World& world, double target) {
  Totals best;
  double low = 0;
  double high = 1;
  for (int round = 0; round < 60; ++round) {
    double price = (low + high) / 2;
    Totals totals;
    for (int k = 0; k < kKindCount; ++k) {
      double least = 1e9;
      double cost_of = 0;
      double quality_of = 0;
      for (int v = 0; v < 3; ++v) {
        for (int w = -1; w < 3; ++w) {
          if (w == v || (w >= 0 && kKinds[k].streamed)) continue;
          double cost = 0;
          double quality = 0;
          Expect(world, v, w, k, &cost, &quality);
          if (cost - price * quality >= least) continue;
          least = cost - price * quality;
          cost_of = cost;
          quality_of = quality;
        }
      }
      totals.cost += kKinds[k].share * cost_of;
      totals.quality += kKinds[k].share * quality_of;
    }
    if (totals.quality >= target) {
      best = totals;
      high = price;
    } else {
      low = price;
    }
  }
  return best;
}

Totals MeanOf(const World& world, int v) {
  Totals totals;
  for (int k = 0; k < kKindCount; ++k) {
    totals.cost += kKinds[k].share * world.CostOf(v, k);
    totals.quality += kKinds[k].share * world.quality[v][k];
  }
  return totals;
}

double BestFixedMix(const World& world, double target) {
  double best = MeanOf(world, 2).cost;
  for (int v = 0; v < 3; ++v) {
    for (int w = 0; w < 3; ++w) {
      Totals a = MeanOf(world, v);
      Totals b = MeanOf(world, w);
      if (a.quality >= target) best = std::min(best, a.cost);
      if (a.quality >= target || b.quality <= target) continue;
      double share = (target - a.quality) / (b.quality - a.quality);
      best = std::min(best, (1 - share) * a.cost + share * b.cost);
    }
  }
  return best;
}

double Naive(const World& world, double target) {
  for (int v = 0; v < 3; ++v) {
    if (MeanOf(world, v).quality >= target) return MeanOf(world, v).cost;
  }
  return MeanOf(world, 2).cost;
}

struct Box {
  explicit Box(int number)
      : estimates("box" + std::to_string(number)), planner(&estimates) {}
  VersionEstimates estimates;
  Planner planner;
};

struct PendingRating {
  int due;
  int box;
  int organisation;
  double expected;
  std::string version_key;
  uint32_t request_class;
  bool confident;
  double rating;
  bool final_answer;  // the one the caller got
};

class Run {
 public:
  Run(unsigned seed, int requests) : world_(seed), requests_(requests) {
    for (int i = 0; i < kBoxes; ++i) {
      boxes_.push_back(std::make_unique<Box>(i));
    }
  }

  std::map<int, Totals> Go() {
    std::vector<const Version*> candidates = {
        &world_.versions[0], &world_.versions[1], &world_.versions[2]};
    for (int i = 0; i < requests_; ++i) {
      DeliverRatings(i);
      if (i % kExchangeInterval == 0) Exchange();
      int o = static_cast<int>(world_.random() % kOrganisations);
      int b = static_cast<int>(world_.random() % kBoxes);
      int k = world_.PickKind();
      PlanRequest request;
      request.organisation = &world_.organisations[static_cast<size_t>(o)];
      request.request_class =
          RequestClass(kKinds[k].prompt, kKinds[k].streamed, kKinds[k].name);
      request.prompt_tokens = kKinds[k].prompt;
      request.streamed = kKinds[k].streamed;
      request.draw = world_.Uniform();
      Plan plan =
          boxes_[static_cast<size_t>(b)]->planner.Choose(request, candidates);
      now_ = i;
      organisation_ = o;
      Totals one = Answer(plan, b, k, request.request_class);
      if (i < kWarmUp * requests_) continue;
      Totals& totals = totals_[o];
      totals.cost += one.cost;
      totals.quality += one.quality;
      totals.count += 1;
    }
    return totals_;
  }

  const World& world() const { return world_; }

 private:
  int IndexOf(const Version* version) const {
    return static_cast<int>(version - world_.versions);
  }

  // Asks one version; returns whether the answer was weak.
  bool AskVersion(const Version* version, int b, int k, uint32_t request_class,
                  Totals* one) {
    int v = IndexOf(version);
    bool good = world_.Uniform() < GoodShare(world_.quality[v][k]);
    bool weak = !kKinds[k].streamed &&
                world_.Uniform() < (good ? kWeakOfGood : kWeakOfPoor);
    double rating = good ? kGoodRating : kPoorRating;
    one->cost += world_.CostOf(v, k);
    one->quality = rating;
    Observation observation;
    observation.weak = weak;
    observation.latency = Seconds(0.5);
    observation.completion_tokens = kKinds[k].completion;
    Box& box = *boxes_[static_cast<size_t>(b)];
    std::string key = VersionKey(version->model(), version->version());
    box.estimates.RecordResponse(key, request_class, observation);
    if (world_.Uniform() < rated_share) {
      double noise = 0.1 * (world_.Uniform() - 0.5);
      pending_.push_back(PendingRating{now_ + kRatingDelay, b, organisation_,
                                       expected_, key, request_class, !weak,
                                       rating + noise, false});
    }
    return weak;
  }

  Totals Answer(const Plan& plan, int b, int k, uint32_t request_class) {
    Totals one;
    expected_ = plan.expected_quality;
    bool weak = AskVersion(plan.first, b, k, request_class, &one);
    if (weak && plan.second != nullptr) {
      AskVersion(plan.second, b, k, request_class, &one);
      // The caller's answer is the second; only it speaks for the plan.
      if (!pending_.empty() && pending_.back().due == now_ + kRatingDelay) {
        pending_.back().final_answer = true;
      }
    } else if (!pending_.empty() &&
               pending_.back().due == now_ + kRatingDelay) {
      pending_.back().final_answer = true;
    }
    return one;
  }

  void DeliverRatings(int now) {
    while (!pending_.empty() && pending_.front().due <= now) {
      const PendingRating& rating = pending_.front();
      Box& box = *boxes_[static_cast<size_t>(rating.box)];
      box.estimates.RecordRating(rating.version_key, rating.request_class,
                                 rating.confident, rating.rating);
      if (rating.final_answer) {
        box.planner.RecordRating("o" + std::to_string(rating.organisation),
                                 rating.expected, rating.rating);
      }
      pending_.pop_front();
    }
  }

  void Exchange() {
    for (auto& from : boxes_) {
      LifeSums sums = from->estimates.own();
      for (auto& to : boxes_) {
        if (to != from) to->estimates.MergePeerSums(sums);
      }
    }
  }

  World world_;
  const int requests_;
  std::vector<std::unique_ptr<Box>> boxes_;
  std::deque<PendingRating> pending_;
  std::map<int, Totals> totals_;
  // Of the request at hand.
  int now_ = 0;
  int organisation_ = 0;
  double expected_ = 0;
};

struct Report {
  Spread to_mix, to_oracle, to_strong, to_naive, lacking, mean_over;

  void Add(unsigned seed, int requests) {
    Run run(seed, requests);
    std::map<int, Totals> totals = run.Go();
    const World& world = run.world();
    double cost = 0, mix = 0, oracle = 0, naive = 0, strong = 0, over = 0;
    double worst = 1;
    for (const auto& entry : totals) {
      double target = world.organisations[static_cast<size_t>(entry.first)]
                          .quality_target();
      double quality = entry.second.quality / entry.second.count;
      cost += entry.second.cost / entry.second.count;
      mix += BestFixedMix(world, target);
      oracle += Oracle(world, target).cost;
      naive += Naive(world, target);
      strong += MeanOf(world, 2).cost;
      worst = std::min(worst, quality - target);
      over += (quality - target) / kOrganisations;
    }
    to_mix.Add(cost / mix);
    to_oracle.Add(cost / oracle);
    to_strong.Add(cost / strong);
    to_naive.Add(cost / naive);
    lacking.Add(worst);
    mean_over.Add(over);
  }

  void Print() {
    to_mix.Print("cost to best fixed mix");
    to_oracle.Print("cost to oracle");
    to_strong.Print("cost to always strong");
    to_naive.Print("cost to naive version");
    lacking.Print("worst organisation: quality less target");
    mean_over.Print("mean over organisations: quality less target");
  }
};

}  // namespace
}  // namespace leverwick

int main(int argc, char** argv) {
  int scale = argc > 1 ? std::atoi(argv[1]) : 1;
  if (argc > 2) leverwick::rated_share = std::atof(argv[2]);
  bool trial = argc > 3;
  std::vector<unsigned> seeds =
      trial ? std::vector<unsigned>{1, 2, 3} : leverwick::ReportedSeeds();
  leverwick::Report report;
  constexpr int kRequests = 80000;
  for (unsigned seed : seeds) report.Add(seed, kRequests * scale);
  std::printf("%d requests a seed, median (least to most) of %zu seeds%s\n",
              kRequests * scale, seeds.size(), trial ? ", trial seeds" : "");
  report.Print();
  return 0;
}
