// All arithmetic is on logarithms of ratios.
//
// The level of an endpoint is the median over boxes of each box's median
// sample, so that a box counts once however much it reports. Levels are
// compared with the median level of the service, which takes up whatever slows
// all of its endpoints. The variance of the levels, less what the noise of the
// samples accounts for, is that of the endpoints' own speeds. If it is
// negligible the endpoints are alike; otherwise each level is shrunk towards
// the centre as the variances call for (empirical Bayes). A single endpoint
// that turns slow among many alike ones hardly raises the variance, so a level
// far beyond the noise counts by itself.

#include "leverwick/endpoint_speeds.h"

#include <algorithm>
#include <cmath>

#include "leverwick/digest.h"

namespace leverwick {
namespace {

constexpr std::chrono::seconds kMaxSampleAge{10};
// Samples of one endpoint; few, so that the median follows a change.
constexpr size_t kMaxSamples = 12;
constexpr size_t kMaxSamplesOfBox = 3;
constexpr size_t kMinSamples = 3;
constexpr milliseconds kEstimateInterval{400};
// Estimates that were not updated for so long are not used.
constexpr std::chrono::seconds kMaxEstimateAge{3};
// Endpoints whose speeds vary less than this (standard deviation) are alike.
constexpr double kLeastSpread = 0.12;
// The variance between endpoints must exceed its own standard error so often.
constexpr double kSpreadMargin = 4;
// Once they differ, endpoints remain so down to this part of the bound.
constexpr double kAlikeAgain = 0.5;
// An endpoint within these bounds of the centre is like the others.
constexpr double kDeadBand = 0.1;
// An outlier among endpoints that are alike, and its distance in standard
// errors.
constexpr double kOutlier = 0.65;
constexpr double kOutlierMargin = 5;
constexpr double kOutlierSamples = 5;
// The variance of a median is that of a mean, times pi / 2.
constexpr double kMedianVariance = 1.57;
// Standard deviation of normal errors, in medians of their absolute values.
constexpr double kDeviationsPerMedian = 1.48;
// The noise of paces is taken to be at least this.
constexpr double kLeastDeviation = 0.05;
const double kMaxLogRatio = std::log(EndpointSpeeds::kMaxSlowness);

// The standard deviation of levels is taken from this quantile of their
// distances from the centre, so that a few outliers don't count, and is that
// distance divided by the one of a normal distribution.
constexpr double kSpreadQuantile = 0.75;
constexpr double kNormalDistance = 1.15;

// Returns the median of values that are not empty; of an even number, the mean
// of the two in the middle.
double Median(std::vector<double> values) {
  auto middle = static_cast<std::ptrdiff_t>(values.size() / 2);
  std::nth_element(values.begin(), values.begin() + middle, values.end());
  double upper = values[static_cast<size_t>(middle)];
  if (values.size() % 2 == 1) return upper;
  return (upper + *std::max_element(values.begin(), values.begin() + middle)) /
         2;
}

// Returns the median; of an even number, the one in the middle that is nearer
// to 0, so that of two boxes none decides alone that an endpoint differs.
double CautiousMedian(std::vector<double> values) {
  std::sort(values.begin(), values.end());
  double upper = values[values.size() / 2];
  double lower = values[(values.size() - 1) / 2];
  if (lower <= 0 && upper >= 0) return values.size() % 2 == 1 ? upper : 0;
  return std::abs(lower) < std::abs(upper) ? lower : upper;
}

double StandardErrorSquared(double variance, double samples) {
  return kMedianVariance * variance / samples;
}

}  // namespace

uint32_t EndpointSpeeds::HashOf(const std::string& endpoint) {
  return static_cast<uint32_t>(StableHash(endpoint));
}

void EndpointSpeeds::SetService(const std::string& endpoint,
                                const std::string& service) {
  services_[HashOf(endpoint)] = service;
}

void EndpointSpeeds::Remove(const std::string& endpoint) {
  RecordRestart(endpoint);
  services_.erase(HashOf(endpoint));
}

void EndpointSpeeds::Record(const PaceSample& sample, TimePoint now) {
  if (!(sample.ratio > 0)) return;
  if (services_.count(sample.endpoint) == 0) return;
  double log_ratio =
      std::clamp(std::log(sample.ratio), -kMaxLogRatio, kMaxLogRatio);
  Samples& samples = samples_[sample.endpoint];
  auto is_same_box = [&](const Sample& other) {
    return other.incarnation == sample.incarnation;
  };
  auto oldest = std::find_if(samples.begin(), samples.end(), is_same_box);
  size_t of_box = static_cast<size_t>(
      std::count_if(samples.begin(), samples.end(), is_same_box));
  if (of_box >= kMaxSamplesOfBox) {
    samples.erase(oldest);
  } else if (samples.size() >= kMaxSamples) {
    samples.erase(samples.begin());
  }
  samples.push_back({sample.incarnation, log_ratio, now});
}

bool EndpointSpeeds::HasEstimates(TimePoint now) const {
  return !slowness_.empty() && now - estimated_at_ <= kMaxEstimateAge;
}

double EndpointSpeeds::Slowness(const std::string& endpoint,
                                TimePoint now) const {
  if (!HasEstimates(now)) return 1;
  auto found = slowness_.find(HashOf(endpoint));
  return found == slowness_.end() ? 1 : found->second;
}

bool EndpointSpeeds::Differ(const std::string& endpoint, TimePoint now) const {
  if (!HasEstimates(now)) return false;
  auto service = services_.find(HashOf(endpoint));
  return service != services_.end() &&
         services_that_differ_.count(service->second) > 0;
}

Seconds EndpointSpeeds::SampleAge(const std::string& endpoint,
                                  TimePoint now) const {
  auto found = samples_.find(HashOf(endpoint));
  if (found == samples_.end() || found->second.empty()) return Seconds(-1);
  return now - found->second.back().at;
}

EndpointSpeeds::Summary EndpointSpeeds::Summarize(TimePoint now) const {
  Summary summary;
  for (const auto& [endpoint, samples] : samples_) {
    summary.samples += samples.size();
  }
  if (now - estimated_at_ > kMaxEstimateAge) return summary;
  summary.estimated = slowness_.size();
  for (const auto& [endpoint, slowness] : slowness_) {
    summary.fastest = std::min(summary.fastest, slowness);
    summary.slowest = std::max(summary.slowest, slowness);
  }
  return summary;
}

void EndpointSpeeds::RecordRestart(const std::string& endpoint) {
  uint32_t hash = HashOf(endpoint);
  samples_.erase(hash);
  slowness_.erase(hash);
}

// False if the samples are too few.
bool EndpointSpeeds::FindLevel(const Samples& samples, double* level) {
  if (samples.size() < kMinSamples) return false;
  std::map<uint32_t, std::vector<double>> by_box;
  for (const Sample& sample : samples) {
    by_box[sample.incarnation].push_back(sample.log_ratio);
  }
  // What only one other box says may be wrong.
  if (by_box.size() == 1 && by_box.count(kOwnIncarnation) == 0) return false;
  std::vector<double> values;
  for (auto& box : by_box) values.push_back(Median(std::move(box.second)));
  *level = CautiousMedian(std::move(values));
  return true;
}

// Returns the distances of the samples from their level, but for the nearest
// one, which mostly is the level itself.
std::vector<double> EndpointSpeeds::ErrorsOf(const Samples& samples,
                                             const Level& level) {
  std::vector<double> errors;
  for (const Sample& sample : samples) {
    errors.push_back(std::abs(sample.log_ratio - level.log_ratio));
  }
  errors.erase(std::min_element(errors.begin(), errors.end()));
  return errors;
}

EndpointSpeeds::Spread EndpointSpeeds::FindSpread(
    const std::vector<Level>& levels, bool was_alike) const {
  Spread spread;
  std::vector<double> values;
  std::vector<double> errors;
  for (const Level& level : levels) {
    values.push_back(level.log_ratio);
    std::vector<double> own = ErrorsOf(samples_.at(level.endpoint), level);
    errors.insert(errors.end(), own.begin(), own.end());
  }
  spread.centre = Median(values);
  double deviation =
      std::max(kLeastDeviation, kDeviationsPerMedian * Median(errors));
  spread.variance = deviation * deviation;
  auto endpoints = static_cast<double>(levels.size());
  double noise = 0;
  std::vector<double> distances;
  for (const Level& level : levels) {
    distances.push_back(std::abs(level.log_ratio - spread.centre));
    noise += StandardErrorSquared(spread.variance, level.samples) / endpoints;
  }
  auto quantile = distances.begin() + static_cast<std::ptrdiff_t>(
                                          kSpreadQuantile * (endpoints - 1));
  std::nth_element(distances.begin(), quantile, distances.end());
  double total = *quantile / kNormalDistance;
  spread.between = std::max(0.0, total * total - noise);
  double bound = std::max(kLeastSpread * kLeastSpread,
                          kSpreadMargin * noise * std::sqrt(2 / endpoints));
  spread.is_alike = spread.between < (was_alike ? 1 : kAlikeAgain) * bound;
  return spread;
}

// Returns the logarithm of the slowness.
double EndpointSpeeds::EstimateFor(const Level& level, const Spread& spread) {
  double difference = level.log_ratio - spread.centre;
  double error = StandardErrorSquared(spread.variance, level.samples);
  double estimate = 0;
  bool is_outlier = level.samples >= kOutlierSamples &&
                    std::abs(difference) >
                        std::max(kOutlier, kOutlierMargin * std::sqrt(error));
  if (!spread.is_alike) {
    estimate = difference * spread.between / (spread.between + error);
  }
  if (is_outlier) {
    double shrunk = difference * level.samples / (level.samples + 1);
    if (std::abs(shrunk) > std::abs(estimate)) estimate = shrunk;
  }
  if (std::abs(estimate) < kDeadBand) return 0;
  return std::clamp(estimate, -kMaxLogRatio, kMaxLogRatio);
}

void EndpointSpeeds::EstimateService(const std::string& service,
                                     const std::vector<Level>& levels) {
  bool differed = services_that_differ_.erase(service) > 0;
  if (levels.size() < 2) return;
  Spread spread = FindSpread(levels, !differed);
  if (!spread.is_alike) services_that_differ_.insert(service);
  for (const Level& level : levels) {
    double estimate = EstimateFor(level, spread);
    if (estimate != 0) slowness_[level.endpoint] = std::exp(estimate);
  }
}

void EndpointSpeeds::Expire(TimePoint now) {
  if (now - estimated_at_ < kEstimateInterval) return;
  estimated_at_ = now;
  std::map<std::string, std::vector<Level>> by_service;
  for (auto entry = samples_.begin(); entry != samples_.end();) {
    Samples& samples = entry->second;
    auto is_fresh = [&](const Sample& sample) {
      return now - sample.at <= kMaxSampleAge;
    };
    samples.erase(samples.begin(),
                  std::find_if(samples.begin(), samples.end(), is_fresh));
    if (samples.empty()) {
      entry = samples_.erase(entry);
      continue;
    }
    Level level{entry->first, 0, static_cast<double>(samples.size())};
    if (FindLevel(samples, &level.log_ratio)) {
      by_service[services_.at(entry->first)].push_back(level);
    }
    ++entry;
  }
  slowness_.clear();
  for (auto entry = services_that_differ_.begin();
       entry != services_that_differ_.end();) {
    bool has_levels = by_service.count(*entry) > 0;
    entry = has_levels ? std::next(entry) : services_that_differ_.erase(entry);
  }
  for (const auto& [service, levels] : by_service) {
    EstimateService(service, levels);
  }
}

}  // namespace leverwick
