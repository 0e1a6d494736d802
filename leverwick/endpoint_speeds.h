// EndpointSpeeds estimates how fast each endpoint works, relative to the other
// endpoints of its service.
//
// Endpoints of one service may run on different hardware or share it with other
// work. Each box measures the pace of its own responses and reports a sample of
// the measurements to its peers, since a box of a large fleet sees too few
// responses of each endpoint. A sample is the observed time of some work,
// divided by the time that the same work takes at an average endpoint.
//
// The estimate of an endpoint is robust against a box that reports wrong
// samples, and is 1 while there are too few samples, after the endpoint
// restarted, and once the samples are too old. It is exactly 1 for all
// endpoints of a service that are alike within the noise of the samples.
//
//   EndpointSpeeds speeds;
//   speeds.SetService(endpoint, "chat");  // compared within the service
//   speeds.Record({incarnation, HashOf(endpoint), ratio}, now);
//   speeds.Expire(now);                            // updates the estimates
//   double slowness = speeds.Slowness(endpoint, now);  // 1: average

#ifndef LEVERWICK_ENDPOINT_SPEEDS_H_
#define LEVERWICK_ENDPOINT_SPEEDS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "leverwick/time.h"

namespace leverwick {

// The pace of one response.
struct PaceSample {
  uint32_t incarnation = 0;  // of the box that measured it
  uint32_t endpoint = 0;     // EndpointSpeeds::HashOf of its id
  double ratio = 1;          // observed time, divided by the expected time
};

// Not thread-safe.
class EndpointSpeeds {
 public:
  // The incarnation of samples that this box measured.
  static constexpr uint32_t kOwnIncarnation = 0;
  // The range of estimates; samples beyond it count as its ends.
  static constexpr double kMaxSlowness = 4;

  // What operators are told of all endpoints.
  struct Summary {
    size_t samples = 0;
    size_t estimated = 0;  // endpoints whose slowness is not 1
    double fastest = 1;    // the least slowness
    double slowest = 1;
  };

  static uint32_t HashOf(const std::string& endpoint);

  // Sets the service of an endpoint that is listed; Remove is called once it no
  // longer is. Endpoints without a service have no estimate.
  void SetService(const std::string& endpoint, const std::string& service);
  void Remove(const std::string& endpoint);

  // Records a sample of this box or of a peer.
  void Record(const PaceSample& sample, TimePoint now);

  // Returns the factor by which work takes longer at the endpoint than at an
  // average one: below 1 for a fast endpoint, above 1 for a slow one.
  double Slowness(const std::string& endpoint, TimePoint now) const;
  // Returns whether the endpoints of the endpoint's service differ in speed:
  // not only a few of them from many that are alike.
  bool Differ(const std::string& endpoint, TimePoint now) const;
  // Returns whether the slowness of any endpoint is not 1.
  bool HasEstimates(TimePoint now) const;
  // Returns the age of the newest sample of the endpoint; negative if it has
  // none.
  Seconds SampleAge(const std::string& endpoint, TimePoint now) const;
  Summary Summarize(TimePoint now) const;

  // Discards the samples of an endpoint that restarted.
  void RecordRestart(const std::string& endpoint);

  // Discards samples that are too old to be used, and updates the estimates. To
  // be called several times a second.
  void Expire(TimePoint now);

 private:
  struct Sample {
    uint32_t incarnation = 0;
    double log_ratio = 0;
    TimePoint at{};
  };
  // What the samples of one endpoint say.
  struct Level {
    uint32_t endpoint = 0;
    double log_ratio = 0;
    double samples = 0;
  };
  // Of a service's endpoints.
  struct Spread {
    double centre = 0;    // median of the levels
    double between = 0;   // variance of the endpoints' own speeds
    double variance = 0;  // of one sample
    bool is_alike = true;
  };
  using Samples = std::vector<Sample>;  // oldest first

  static bool FindLevel(const Samples& samples, double* level);
  static std::vector<double> ErrorsOf(const Samples& samples,
                                      const Level& level);
  Spread FindSpread(const std::vector<Level>& levels, bool was_alike) const;
  static double EstimateFor(const Level& level, const Spread& spread);
  void EstimateService(const std::string& service,
                       const std::vector<Level>& levels);

  std::unordered_map<uint32_t, std::string> services_;  // by endpoint
  std::unordered_map<uint32_t, Samples> samples_;       // by endpoint
  // Endpoints whose slowness is not 1, as of estimated_at_.
  std::unordered_map<uint32_t, double> slowness_;
  std::set<std::string> services_that_differ_;
  TimePoint estimated_at_{};
};

}  // namespace leverwick

#endif  // LEVERWICK_ENDPOINT_SPEEDS_H_
