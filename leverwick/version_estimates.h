// What is known of each version: quality, length, latency and errors.
//
// Every box life keeps sums of its own observations by version and request
// class. Sums of different lives add up, so boxes exchange them whole and a
// life's newest sums replace its older ones; nothing is counted twice. Ratings
// come late, sampled, or not at all, so a version's quality starts from the
// table's prior and moves with the ratings that came.
//
//   VersionEstimates estimates("box-a1-7f", max_lives);
//   estimates.RecordResponse(version_key, request_class, observation);
//   estimates.RecordRating(version_key, request_class, confident, 0.8);
//   Outlook outlook = estimates.OutlookOf(version, request_class);

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
  bool weak = false;  // low confidence, of a unary answer
  Seconds latency{0};
  int64_t completion_tokens = 0;
};

// Sums over all lives, in a form that is cheap to read.
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

// What to expect of one answer.
struct ResponseEstimate {
  double quality = 0;            // rating, 0 for answers that fail
  double confident_quality = 0;  // rating of answers that are not weak
  double weak_share = 0;         // of unary answers
  double completion_tokens = 0;
  double ratings = 0;  // that this rests on
};

// The time until sums of `bytes` may be sent again to so many receivers: often
// while they are small, and never more than a fixed rate of bytes.
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

  // Halves this life's sums, so that old observations fade.
  void Decay();

  // Takes another life's sums; older ones of the same life are replaced.
  void MergePeerSums(const LifeSums& sums);

  // This life's sums, and those of others, for exchange and for the store.
  LifeSums own() const;
  std::vector<LifeSums> all() const;

  VersionStats StatsFor(const std::string& version_key,
                        uint32_t request_class) const;

  // What to expect of a version's next answer; priors count as some
  // observations, so that the first ones don't swing it.
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
