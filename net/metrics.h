// Counters, gauges and distributions, in the text format that scrapers read.
//
//   Metrics metrics;
//   metrics.Add("leverwick_requests_total", "result=\"ok\"", 1);
//   metrics.Observe("leverwick_first_token_seconds", "", 0.2);
//
// Distributions are Boost.Accumulators: count, sum, maximum and estimated
// quantiles.

#ifndef NET_METRICS_H_
#define NET_METRICS_H_

#include <array>
#include <map>
#include <memory>
#include <mutex>
#include <string>

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

  // The value of a counter or gauge; 0 when it was never touched.
  double Value(const std::string& name, const std::string& labels) const;

  std::string Text() const;

 private:
  struct Distribution;
  static constexpr size_t kShards = 8;
  struct Shard {
    mutable std::mutex mutex;
    std::map<std::pair<std::string, std::string>, double> values;
    std::map<std::pair<std::string, std::string>, std::unique_ptr<Distribution>>
        distributions;
  };

  Shard& ShardOf(const std::string& name) const;

  mutable std::array<Shard, kShards> shards_;
};

}  // namespace leverwick

#endif  // NET_METRICS_H_
