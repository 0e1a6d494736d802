// Quantiles come from the extended P-square algorithm, which keeps a few
// markers and no samples.

#include "net/metrics.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <cstdio>
#include <functional>

namespace leverwick {
namespace {

namespace acc = boost::accumulators;

const std::array<double, 3> kQuantiles = {0.5, 0.95, 0.99};

using Accumulator = acc::accumulator_set<
    double, acc::stats<acc::tag::count, acc::tag::sum, acc::tag::max,
                       acc::tag::extended_p_square>>;

std::string Sample(const std::string& name, const std::string& labels,
                   double value) {
  char number[40];
  std::snprintf(number, sizeof number, "%.9g", value);
  std::string text = name;
  if (!labels.empty()) text += "{" + labels + "}";
  return text + " " + number + "\n";
}

std::string With(const std::string& labels, const std::string& label) {
  return labels.empty() ? label : labels + "," + label;
}

}  // namespace

struct Metrics::Distribution {
  Accumulator accumulator{acc::extended_p_square_probabilities = kQuantiles};
};

Metrics::Metrics() = default;
Metrics::~Metrics() = default;

Metrics::Shard& Metrics::ShardOf(const std::string& name) const {
  return shards_[std::hash<std::string>()(name) % kShards];
}

void Metrics::Add(const std::string& name, const std::string& labels,
                  double amount) {
  Shard& shard = ShardOf(name);
  std::lock_guard<std::mutex> lock(shard.mutex);
  shard.values[{name, labels}] += amount;
}

void Metrics::Set(const std::string& name, const std::string& labels,
                  double value) {
  Shard& shard = ShardOf(name);
  std::lock_guard<std::mutex> lock(shard.mutex);
  shard.values[{name, labels}] = value;
}

void Metrics::Observe(const std::string& name, const std::string& labels,
                      double value) {
  Shard& shard = ShardOf(name);
  std::lock_guard<std::mutex> lock(shard.mutex);
  auto& distribution = shard.distributions[{name, labels}];
  if (distribution == nullptr) distribution = std::make_unique<Distribution>();
  distribution->accumulator(value);
}

void Metrics::Time(const std::string& name, const std::string& labels,
                   Seconds time) {
  Shard& shard = ShardOf(name);
  std::lock_guard<std::mutex> lock(shard.mutex);
  Histogram& histogram = shard.histograms[{name, labels}];
  histogram.count += 1;
  histogram.sum += time.count();
  for (size_t i = 0; i < kBuckets.size(); ++i) {
    if (time.count() <= kBuckets[i]) histogram.below[i] += 1;
  }
}

double Metrics::Value(const std::string& name,
                      const std::string& labels) const {
  Shard& shard = ShardOf(name);
  std::lock_guard<std::mutex> lock(shard.mutex);
  auto found = shard.values.find({name, labels});
  return found == shard.values.end() ? 0 : found->second;
}

std::string Metrics::HistogramText(const std::string& name,
                                   const std::string& labels,
                                   const Histogram& histogram) {
  std::string text;
  auto count = static_cast<double>(histogram.count);
  for (size_t i = 0; i < kBuckets.size(); ++i) {
    char label[32];
    std::snprintf(label, sizeof label, "le=\"%g\"", kBuckets[i]);
    text += Sample(name + "_bucket", With(labels, label),
                   static_cast<double>(histogram.below[i]));
  }
  text += Sample(name + "_bucket", With(labels, "le=\"+Inf\""), count);
  text += Sample(name + "_sum", labels, histogram.sum);
  return text + Sample(name + "_count", labels, count);
}

std::string Metrics::Text() const {
  std::string text;
  for (const Shard& shard : shards_) {
    std::lock_guard<std::mutex> lock(shard.mutex);
    for (const auto& entry : shard.values) {
      text += Sample(entry.first.first, entry.first.second, entry.second);
    }
    for (const auto& entry : shard.distributions) {
      const std::string& name = entry.first.first;
      const std::string& labels = entry.first.second;
      const Accumulator& values = entry.second->accumulator;
      for (size_t i = 0; i < kQuantiles.size(); ++i) {
        char label[32];
        std::snprintf(label, sizeof label, "quantile=\"%g\"", kQuantiles[i]);
        text += Sample(name, With(labels, label),
                       acc::extended_p_square(values)[i]);
      }
      text += Sample(name + "_sum", labels, acc::sum(values));
      text += Sample(name + "_count", labels,
                     static_cast<double>(acc::count(values)));
    }
    for (const auto& entry : shard.histograms) {
      text +=
          HistogramText(entry.first.first, entry.first.second, entry.second);
    }
  }
  return text;
}

}  // namespace leverwick
