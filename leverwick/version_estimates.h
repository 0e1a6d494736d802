// VersionEstimates tracks the quality, response length, latency and error rate
// of each version.
//
// Every box incarnation keeps sums of its own observations by version and
// request class. Boxes exchange these sums; the newest sums of an incarnation
// replace its older ones, and the sums of different incarnations are added, so
// that nothing is counted twice. Ratings are late, sampled or absent, so the
// quality of a version starts from the prior in the table and moves with the
// ratings that are received.
//
//   VersionEstimates estimates("box-a1-7f");
//   estimates.RecordResponse(version_key, request_class, observation);
//   estimates.RecordRating(version_key, request_class, confident, 0.8);
//   ResponseEstimate estimate =
//       estimates.EstimateResponse(version, request_class);

#ifndef LEVERWICK_VERSION_ESTIMATES_H_
#define LEVERWICK_VERSION_ESTIMATES_H_

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include "leverwick/time.h"
#include "schema/peer.pb.h"
#include "schema/table.pb.h"

namespace leverwick {

struct Observation {
  bool error = false;
  bool weak = false;  // a unary response with low confidence
  Seconds latency{0};
  int64_t completion_tokens = 0;
};

// Statistics over the sums of all incarnations.
struct VersionStats {
  double answers = 0;
  double errors = 0;
  double weak = 0;
  double log_latency_mean = 0;
  double log_latency_variance = 0;
  double ratings = 0;
  double rating_mean = 0;
  double rating_variance = 0;
  double confident_ratings = 0;
  double confident_rating_mean = 0;
  double completion_tokens_mean = 0;
};

// Expected properties of one response.
struct ResponseEstimate {
  double quality = 0;            // rating; failed responses count as 0
  double confident_quality = 0;  // rating of responses that are not weak
  double weak_share = 0;         // of unary responses
  double completion_tokens = 0;
  double ratings = 0;  // number of ratings behind the quality
};

// Returns the time until sums of `bytes` may be sent again to `receivers`
// boxes: short while the sums are small, and long enough to bound the rate of
// bytes.
Seconds SumsBroadcastInterval(size_t bytes, size_t receivers);

// Thread-safe.
class VersionEstimates {
 public:
  explicit VersionEstimates(std::string incarnation)
      : incarnation_(std::move(incarnation)) {}

  void RecordResponse(const std::string& version_key, uint32_t request_class,
                      const Observation& observation);
  void RecordRating(const std::string& version_key, uint32_t request_class,
                    bool confident, double rating);

  // Halves the own sums, so that old observations lose weight.
  void Decay();

  // Merges the sums of another incarnation; they replace older sums of the same
  // incarnation.
  void MergePeerSums(const LifeSums& sums);

  // Return the sums of this incarnation, and those of all incarnations, for the
  // exchange with peers and for the store.
  LifeSums own() const;
  std::vector<LifeSums> all() const;

  VersionStats StatsFor(const std::string& version_key,
                        uint32_t request_class) const;

  // Returns the expected properties of the next response of a version. Priors
  // count as a number of observations, so that the first real ones do not
  // dominate.
  ResponseEstimate EstimateResponse(const Version& version,
                                    uint32_t request_class) const;

 private:
  using Key = std::pair<std::string, uint32_t>;
  using Sums = std::map<Key, VersionSum>;

  VersionSum& OwnSum(const std::string& version_key, uint32_t request_class);
  VersionSum ComputeTotal(const Key& key) const;

  const std::string incarnation_;
  mutable std::mutex mutex_;
  Sums own_sums_;
  uint64_t own_version_ = 0;
  std::map<std::string, LifeSums> peer_sums_;
  Sums peer_total_;
};

}  // namespace leverwick

#endif  // LEVERWICK_VERSION_ESTIMATES_H_
