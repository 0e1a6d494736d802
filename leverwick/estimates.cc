// The sums of other lives are added up once, when they arrive, so that a
// decision reads two maps only. A life's replaced sums are subtracted by
// adding up all others anew, which is rare and short.

#include "leverwick/estimates.h"

#include <algorithm>
#include <cmath>

#include "leverwick/table.h"

namespace leverwick {
namespace {

constexpr double kPriorRatings = 8;
constexpr double kPriorAnswers = 20;
constexpr double kPriorWeakShare = 0.3;
constexpr double kPriorCompletion = 200;   // tokens
constexpr double kShortestLatency = 1e-4;  // seconds
// Other lives kept; the ones with the fewest answers go first.
constexpr size_t kMostLives = 64;
constexpr Seconds kLeastSumsInterval(5.0);
constexpr double kSumsBytesPerSecond = 1000;  // of one box, to all receivers

void AddTo(const VersionSum& from, VersionSum* to) {
  to->set_answers(to->answers() + from.answers());
  to->set_errors(to->errors() + from.errors());
  to->set_weak(to->weak() + from.weak());
  to->set_log_latency(to->log_latency() + from.log_latency());
  to->set_log_latency_squares(to->log_latency_squares() +
                              from.log_latency_squares());
  to->set_ratings(to->ratings() + from.ratings());
  to->set_rating_sum(to->rating_sum() + from.rating_sum());
  to->set_rating_squares(to->rating_squares() + from.rating_squares());
  to->set_confident_ratings(to->confident_ratings() + from.confident_ratings());
  to->set_confident_rating_sum(to->confident_rating_sum() +
                               from.confident_rating_sum());
  to->set_completion_tokens(to->completion_tokens() + from.completion_tokens());
}

void Halve(VersionSum* sum) {
  sum->set_answers(sum->answers() / 2);
  sum->set_errors(sum->errors() / 2);
  sum->set_weak(sum->weak() / 2);
  sum->set_log_latency(sum->log_latency() / 2);
  sum->set_log_latency_squares(sum->log_latency_squares() / 2);
  sum->set_ratings(sum->ratings() / 2);
  sum->set_rating_sum(sum->rating_sum() / 2);
  sum->set_rating_squares(sum->rating_squares() / 2);
  sum->set_confident_ratings(sum->confident_ratings() / 2);
  sum->set_confident_rating_sum(sum->confident_rating_sum() / 2);
  sum->set_completion_tokens(sum->completion_tokens() / 2);
}

double Mean(double sum, double count) { return count > 0 ? sum / count : 0; }

double Variance(double squares, double sum, double count) {
  if (count < 2) return 0;
  double mean = sum / count;
  return std::max(0.0, squares / count - mean * mean);
}

double WithPrior(double sum, double count, double prior, double prior_count) {
  return (sum + prior * prior_count) / (count + prior_count);
}

std::string KeyOf(const Version& version) {
  return VersionKey(version.model(), version.version());
}

std::string KeyOf(const VersionSum& sum) {
  return VersionKey(sum.model(), sum.version());
}

}  // namespace

VersionSum& Estimates::Own(const std::string& version_key,
                           uint32_t request_class) {
  VersionSum& sum = own_[Key(version_key, request_class)];
  if (sum.model().empty()) {
    size_t at = version_key.find('@');
    sum.set_model(version_key.substr(0, at));
    if (at != std::string::npos) sum.set_version(version_key.substr(at + 1));
    sum.set_request_class(request_class);
  }
  ++own_version_;
  return sum;
}

void Estimates::Answered(const std::string& version_key, uint32_t request_class,
                         const Observation& observation) {
  std::lock_guard<std::mutex> lock(mutex_);
  VersionSum& sum = Own(version_key, request_class);
  sum.set_answers(sum.answers() + 1);
  if (observation.error) {
    sum.set_errors(sum.errors() + 1);
    return;
  }
  if (observation.weak) sum.set_weak(sum.weak() + 1);
  double log_latency =
      std::log(std::max(kShortestLatency, observation.latency.count()));
  sum.set_log_latency(sum.log_latency() + log_latency);
  sum.set_log_latency_squares(sum.log_latency_squares() +
                              log_latency * log_latency);
  sum.set_completion_tokens(sum.completion_tokens() +
                            static_cast<double>(observation.completion_tokens));
}

void Estimates::Rated(const std::string& version_key, uint32_t request_class,
                      bool confident, double rating) {
  std::lock_guard<std::mutex> lock(mutex_);
  VersionSum& sum = Own(version_key, request_class);
  sum.set_ratings(sum.ratings() + 1);
  sum.set_rating_sum(sum.rating_sum() + rating);
  sum.set_rating_squares(sum.rating_squares() + rating * rating);
  if (!confident) return;
  sum.set_confident_ratings(sum.confident_ratings() + 1);
  sum.set_confident_rating_sum(sum.confident_rating_sum() + rating);
}

void Estimates::Fade() {
  std::lock_guard<std::mutex> lock(mutex_);
  for (auto& entry : own_) Halve(&entry.second);
  ++own_version_;
}

Seconds SumsInterval(size_t bytes, size_t receivers) {
  double sent = static_cast<double>(bytes) * static_cast<double>(receivers);
  return Seconds(
      std::max(kLeastSumsInterval.count(), sent / kSumsBytesPerSecond));
}

void Estimates::Merge(const LifeSums& sums) {
  std::lock_guard<std::mutex> lock(mutex_);
  if (sums.life() == life_) return;
  LifeSums& stored = others_[sums.life()];
  if (stored.version() >= sums.version() && stored.sums_size() > 0) return;
  stored = sums;
  if (others_.size() > kMostLives) others_.erase(others_.begin());
  others_total_.clear();
  for (const auto& life : others_) {
    for (const VersionSum& sum : life.second.sums()) {
      AddTo(sum, &others_total_[Key(KeyOf(sum), sum.request_class())]);
    }
  }
}

LifeSums Estimates::own() const {
  std::lock_guard<std::mutex> lock(mutex_);
  LifeSums sums;
  sums.set_life(life_);
  sums.set_version(own_version_);
  for (const auto& entry : own_) *sums.add_sums() = entry.second;
  return sums;
}

std::vector<LifeSums> Estimates::all() const {
  std::vector<LifeSums> all = {own()};
  std::lock_guard<std::mutex> lock(mutex_);
  for (const auto& entry : others_) all.push_back(entry.second);
  return all;
}

VersionSum Estimates::TotalOf(const Key& key) const {
  std::lock_guard<std::mutex> lock(mutex_);
  VersionSum total;
  auto own = own_.find(key);
  if (own != own_.end()) AddTo(own->second, &total);
  auto others = others_total_.find(key);
  if (others != others_total_.end()) AddTo(others->second, &total);
  return total;
}

VersionView Estimates::View(const std::string& version_key,
                            uint32_t request_class) const {
  VersionSum total = TotalOf(Key(version_key, request_class));
  VersionView view;
  view.answers = static_cast<double>(total.answers());
  view.errors = static_cast<double>(total.errors());
  view.weak = static_cast<double>(total.weak());
  double good = view.answers - view.errors;
  view.log_latency_mean = Mean(total.log_latency(), good);
  view.log_latency_variance =
      Variance(total.log_latency_squares(), total.log_latency(), good);
  view.ratings = static_cast<double>(total.ratings());
  view.rating_mean = Mean(total.rating_sum(), view.ratings);
  view.rating_variance =
      Variance(total.rating_squares(), total.rating_sum(), view.ratings);
  view.confident_ratings = static_cast<double>(total.confident_ratings());
  view.confident_rating_mean =
      Mean(total.confident_rating_sum(), view.confident_ratings);
  view.completion_tokens_mean = Mean(total.completion_tokens(), good);
  return view;
}

Outlook Estimates::OutlookOf(const Version& version,
                             uint32_t request_class) const {
  VersionView view = View(KeyOf(version), request_class);
  double good = view.answers - view.errors;
  double prior = version.prior_quality();
  Outlook outlook;
  outlook.ratings = view.ratings;
  outlook.quality = WithPrior(view.rating_mean * view.ratings, view.ratings,
                              prior, kPriorRatings) *
                    (1 - Mean(view.errors, view.answers));
  outlook.confident_quality =
      WithPrior(view.confident_rating_mean * view.confident_ratings,
                view.confident_ratings, prior, kPriorRatings);
  outlook.weak_share =
      WithPrior(view.weak, good, kPriorWeakShare, kPriorAnswers);
  outlook.completion_tokens = WithPrior(view.completion_tokens_mean * good,
                                        good, kPriorCompletion, kPriorAnswers);
  return outlook;
}

}  // namespace leverwick
