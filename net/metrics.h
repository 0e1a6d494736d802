// Counters, gauges and distributions, in the text format that scrapers read.
//
//   Metrics metrics;
//   metrics.Add("leverwick_requests_total", "result=\"ok\"", 1);
//   metrics.Observe("leverwick_first_token_seconds", "", 0.2);
//
// Distributions are Boost.Accumulators: count, sum, maximum and estimated
// quantiles. Histograms have fixed buckets, so that those of many boxes add up.

#ifndef NET_METRICS_H_
#define NET_METRICS_H_

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "leverwick/time.h"

namespace leverwick {

// Thread-safe; sharded by metric name.
class Metrics {
 public:
  Metrics();
  ~Metrics();

  // `labels` is the inside of the braces, or "".
  void Add(const std::string& name, const std::string& labels, double amount);
  void Set(const std::string& name, const std::string& labels, double value);
  void Observe(const std::string& name, const std::string& labels,
               double value);

  // Counts a time in a histogram with fixed buckets.
  void Time(const std::string& name, const std::string& labels, Seconds time);

  // The value of a counter or gauge; 0 when it was never touched.
  double Value(const std::string& name, const std::string& labels) const;

  std::string Text() const;

 private:
  struct Distribution;
  // Upper bounds of a histogram's buckets, in seconds: from a unary answer's
  // few milliseconds to the longest stream.
  static constexpr std::array<double, 12> kBuckets = {
      0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30};
  struct Histogram {
    std::array<uint64_t, kBuckets.size()> below{};  // cumulative
    uint64_t count = 0;
    double sum = 0;
  };
  static constexpr size_t kShards = 8;
  struct Shard {
    mutable std::mutex mutex;
    std::map<std::pair<std::string, std::string>, double> values;
    std::map<std::pair<std::string, std::string>, std::unique_ptr<Distribution>>
        distributions;
    std::map<std::pair<std::string, std::string>, Histogram> histograms;
  };

  static std::string HistogramText(const std::string& name,
                                   const std::string& labels,
                                   const Histogram& histogram);
  Shard& ShardOf(const std::string& name) const;

  mutable std::array<Shard, kShards> shards_;
};

}  // namespace leverwick

#endif  // NET_METRICS_H_
