// The sums of other incarnations are added up once, on arrival, so that a
// decision reads two maps only. Replaced sums are not subtracted: the total is
// recomputed from all sums, which is rare and cheap.

#include "leverwick/version_estimates.h"

#include <algorithm>
#include <cmath>

#include "leverwick/table.h"

namespace leverwick {
namespace {

constexpr double kPriorRatings = 8;
constexpr double kPriorResponses = 20;
constexpr double kPriorWeakShare = 0.3;
constexpr double kPriorCompletionTokens = 200;
constexpr double kMinLatency = 1e-4;  // seconds
// Limit on the incarnations of peers. Beyond it, the one whose id sorts first
// is removed.
constexpr size_t kMaxPeerIncarnations = 64;
constexpr Seconds kMinSumsInterval(5.0);
// Sent by one box, to all receivers together.
constexpr double kSumsBytesPerSecond = 1000;

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

double MeanWithPrior(double sum, double count, double prior,
                     double prior_count) {
  return (sum + prior * prior_count) / (count + prior_count);
}

std::string VersionKeyFor(const Version& version) {
  return VersionKey(version.model(), version.version());
}

std::string VersionKeyFor(const VersionSum& sum) {
  return VersionKey(sum.model(), sum.version());
}

}  // namespace

VersionSum& VersionEstimates::OwnSum(const std::string& version_key,
                                     uint32_t request_class) {
  VersionSum& sum = own_sums_[Key(version_key, request_class)];
  if (sum.model().empty()) {
    size_t at = version_key.find('@');
    sum.set_model(version_key.substr(0, at));
    if (at != std::string::npos) sum.set_version(version_key.substr(at + 1));
    sum.set_request_class(request_class);
  }
  ++own_version_;
  return sum;
}

void VersionEstimates::RecordResponse(const std::string& version_key,
                                      uint32_t request_class,
                                      const Observation& observation) {
  std::lock_guard<std::mutex> lock(mutex_);
  VersionSum& sum = OwnSum(version_key, request_class);
  sum.set_answers(sum.answers() + 1);
  if (observation.error) {
    sum.set_errors(sum.errors() + 1);
    return;
  }
  if (observation.weak) sum.set_weak(sum.weak() + 1);
  double log_latency =
      std::log(std::max(kMinLatency, observation.latency.count()));
  sum.set_log_latency(sum.log_latency() + log_latency);
  sum.set_log_latency_squares(sum.log_latency_squares() +
                              log_latency * log_latency);
  sum.set_completion_tokens(sum.completion_tokens() +
                            static_cast<double>(observation.completion_tokens));
}

void VersionEstimates::RecordRating(const std::string& version_key,
                                    uint32_t request_class, bool confident,
                                    double rating) {
  std::lock_guard<std::mutex> lock(mutex_);
  VersionSum& sum = OwnSum(version_key, request_class);
  sum.set_ratings(sum.ratings() + 1);
  sum.set_rating_sum(sum.rating_sum() + rating);
  sum.set_rating_squares(sum.rating_squares() + rating * rating);
  if (!confident) return;
  sum.set_confident_ratings(sum.confident_ratings() + 1);
  sum.set_confident_rating_sum(sum.confident_rating_sum() + rating);
}

void VersionEstimates::Decay() {
  std::lock_guard<std::mutex> lock(mutex_);
  for (auto& entry : own_sums_) Halve(&entry.second);
  ++own_version_;
}

Seconds SumsBroadcastInterval(size_t bytes, size_t receivers) {
  double sent = static_cast<double>(bytes) * static_cast<double>(receivers);
  return Seconds(
      std::max(kMinSumsInterval.count(), sent / kSumsBytesPerSecond));
}

void VersionEstimates::MergePeerSums(const LifeSums& sums) {
  std::lock_guard<std::mutex> lock(mutex_);
  if (sums.life() == incarnation_) return;
  LifeSums& stored = peer_sums_[sums.life()];
  if (stored.version() >= sums.version() && stored.sums_size() > 0) return;
  stored = sums;
  if (peer_sums_.size() > kMaxPeerIncarnations)
    peer_sums_.erase(peer_sums_.begin());
  peer_total_.clear();
  for (const auto& peer : peer_sums_) {
    for (const VersionSum& sum : peer.second.sums()) {
      AddTo(sum, &peer_total_[Key(VersionKeyFor(sum), sum.request_class())]);
    }
  }
}

LifeSums VersionEstimates::own() const {
  std::lock_guard<std::mutex> lock(mutex_);
  LifeSums sums;
  sums.set_life(incarnation_);
  sums.set_version(own_version_);
  for (const auto& entry : own_sums_) *sums.add_sums() = entry.second;
  return sums;
}

std::vector<LifeSums> VersionEstimates::all() const {
  std::vector<LifeSums> all = {own()};
  std::lock_guard<std::mutex> lock(mutex_);
  for (const auto& entry : peer_sums_) all.push_back(entry.second);
  return all;
}

VersionSum VersionEstimates::ComputeTotal(const Key& key) const {
  std::lock_guard<std::mutex> lock(mutex_);
  VersionSum total;
  auto own = own_sums_.find(key);
  if (own != own_sums_.end()) AddTo(own->second, &total);
  auto others = peer_total_.find(key);
  if (others != peer_total_.end()) AddTo(others->second, &total);
  return total;
}

VersionStats VersionEstimates::StatsFor(const std::string& version_key,
                                        uint32_t request_class) const {
  VersionSum total = ComputeTotal(Key(version_key, request_class));
  VersionStats stats;
  stats.answers = static_cast<double>(total.answers());
  stats.errors = static_cast<double>(total.errors());
  stats.weak = static_cast<double>(total.weak());
  double succeeded = stats.answers - stats.errors;
  stats.log_latency_mean = Mean(total.log_latency(), succeeded);
  stats.log_latency_variance =
      Variance(total.log_latency_squares(), total.log_latency(), succeeded);
  stats.ratings = static_cast<double>(total.ratings());
  stats.rating_mean = Mean(total.rating_sum(), stats.ratings);
  stats.rating_variance =
      Variance(total.rating_squares(), total.rating_sum(), stats.ratings);
  stats.confident_ratings = static_cast<double>(total.confident_ratings());
  stats.confident_rating_mean =
      Mean(total.confident_rating_sum(), stats.confident_ratings);
  stats.completion_tokens_mean = Mean(total.completion_tokens(), succeeded);
  return stats;
}

ResponseEstimate VersionEstimates::EstimateResponse(
    const Version& version, uint32_t request_class) const {
  VersionStats stats = StatsFor(VersionKeyFor(version), request_class);
  double succeeded = stats.answers - stats.errors;
  double prior = version.prior_quality();
  ResponseEstimate estimate;
  estimate.ratings = stats.ratings;
  estimate.quality = MeanWithPrior(stats.rating_mean * stats.ratings,
                                   stats.ratings, prior, kPriorRatings) *
                     (1 - Mean(stats.errors, stats.answers));
  estimate.confident_quality =
      MeanWithPrior(stats.confident_rating_mean * stats.confident_ratings,
                    stats.confident_ratings, prior, kPriorRatings);
  estimate.weak_share =
      MeanWithPrior(stats.weak, succeeded, kPriorWeakShare, kPriorResponses);
  estimate.completion_tokens =
      MeanWithPrior(stats.completion_tokens_mean * succeeded, succeeded,
                    kPriorCompletionTokens, kPriorResponses);
  return estimate;
}

}  // namespace leverwick
