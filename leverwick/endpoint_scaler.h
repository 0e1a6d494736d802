// EndpointScaler decides how many endpoints of one service to order from the
// platform in each data centre.
//
// The number that is needed follows from the requests in flight: enough
// endpoints that, at the peak of the last while, only a part of their places
// is taken. It rises at once and falls slowly.
//
// Some platforms also rent out endpoints that they may reclaim at any time, all
// of a data centre at once, for a lower price. If they are cheaper, the service
// runs on these, spread evenly and so many that a data centre's loss leaves
// enough of them, and others are ordered only for what can't be had. Endpoints
// are given up only when others have taken their place.
//
// While a roll-out goes on, the platform lists and counts the endpoints of two
// versions. Only those that run the requests count as supply; an order is for
// both together, and none is given up until those of the version that is
// replaced or found unhealthy are gone, or have stayed for long: the platform
// might end others. Nothing is ordered while the requests run on a version of
// which an order starts no endpoints.
//
//   EndpointScaler scaler(options);
//   scaler.RecordDemand(120.5, now);
//   for (const EndpointOrder& order : scaler.DueOrders(scaling, supply, now)) {
//     ...  // send it; then RecordAccepted, RecordUnavailable or nothing
//   }

#ifndef LEVERWICK_ENDPOINT_SCALER_H_
#define LEVERWICK_ENDPOINT_SCALER_H_

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "leverwick/service_config.h"
#include "leverwick/time.h"

namespace leverwick {

// Endpoints of one service in one data centre that are not leaving.
struct EndpointSupply {
  size_t regular = 0;
  size_t reclaimable = 0;
  size_t cold = 0;  // of both, those that bear few requests yet
  // Of a version that runs few or none of the requests during a roll-out.
  size_t other_regular = 0;
  size_t other_reclaimable = 0;
  size_t replaced = 0;  // of both others, those that an order starts more of
  // Still listed, but ended by the platform as another version replaced theirs.
  size_t stopped = 0;

  size_t total() const { return regular + reclaimable; }
  bool has_two_versions() const {
    return other_regular + other_reclaimable + stopped > 0;
  }
};
using SupplyByDataCentre = std::map<std::string, EndpointSupply>;

// An order of the number of endpoints that a data centre is to have.
struct ScaleOrder {
  std::string service;
  std::string data_centre;
  size_t desired = 0;
  bool reclaimable = false;  // that number counts only those of this kind
};

// Estimates how many endpoints a service needs.
class ScalingRule {
 public:
  virtual ~ScalingRule() = default;
  // `in_flight` requests were at the service's endpoints, each of which has
  // `places` places, on average since the last call.
  virtual void Record(double in_flight, TimePoint now) = 0;
  virtual double Needed(size_t places, TimePoint now) const = 0;
};

// Keeps a fixed part of the places free at the recent peak.
class TargetUtilisationRule : public ScalingRule {
 public:
  TargetUtilisationRule(double target, nanoseconds memory)
      : target_(target), memory_(memory) {}
  void Record(double in_flight, TimePoint now) override;
  double Needed(size_t places, TimePoint now) const override;

 private:
  const double target_;
  const nanoseconds memory_;  // how long a peak counts
  std::deque<std::pair<TimePoint, double>> recent_;
};

class EndpointScaler {
 public:
  explicit EndpointScaler(std::string service);

  // Records the mean number of requests in flight since the last call.
  void RecordDemand(double in_flight, TimePoint now) {
    rule_.Record(in_flight, now);
  }
  // Returns the orders that have changed, or have not been followed for long.
  // `places`: of one endpoint. `supply` holds every data centre that may be
  // used. During a roll-out, and while endpoints of two versions are listed for
  // some boot times after it, none is given up.
  std::vector<ScaleOrder> DueOrders(const EndpointScaling& scaling,
                                    size_t places,
                                    const SupplyByDataCentre& supply,
                                    bool is_rolling_out, TimePoint now);
  void RecordAccepted(const ScaleOrder& order, TimePoint now);
  // The platform has no reclaimable endpoints in the order's data centre.
  void RecordUnavailable(const ScaleOrder& order, TimePoint now);

  // Returns how many endpoints are needed in all data centres together.
  size_t Needed(size_t places, const SupplyByDataCentre& supply, TimePoint now);

 private:
  using Key = std::pair<std::string, bool>;  // data centre, reclaimable
  struct Accepted {
    size_t desired = 0;
    TimePoint at{};
    size_t most = 0;  // that were present since
  };

  // The endpoints of a roll-out's target in a data centre.
  struct Target {
    size_t listed = 0;        // at most so far
    TimePoint grown_at{};     // when more were listed last
    size_t most_serving = 0;  // endpoints of the version before
  };

  std::map<std::string, size_t> PlanReclaimable(
      const EndpointScaling& scaling, const SupplyByDataCentre& supply,
      size_t needed, TimePoint now) const;
  std::map<std::string, size_t> PlanRegular(
      const EndpointScaling& scaling, const SupplyByDataCentre& supply,
      const std::map<std::string, size_t>& reclaimable, size_t needed) const;
  bool IsDue(const ScaleOrder& order, size_t present, nanoseconds boot_time,
             TimePoint now);
  // Whether endpoints of two versions may be there, so that none is given up.
  bool KeepsAll(const SupplyByDataCentre& supply, bool is_rolling_out,
                nanoseconds boot_time, TimePoint now);
  void RecordTarget(const SupplyByDataCentre& supply, TimePoint now);
  // The most endpoints of the target that may be started and not yet listed.
  size_t MostUnlisted(const std::string& data_centre, nanoseconds boot_time,
                      TimePoint now) const;
  // Whether the order ends no endpoint and none that is still to come.
  bool IsRaise(const ScaleOrder& order, size_t present, nanoseconds boot_time,
               TimePoint now) const;

  const std::string service_;
  TargetUtilisationRule rule_;
  std::optional<TimePoint> first_seen_;
  size_t first_total_ = 0;  // most endpoints that were there at first
  std::map<Key, Accepted> accepted_;
  std::map<std::string, Target> targets_;      // by data centre
  std::optional<TimePoint> rollout_ended_at_;  // while two versions are listed
  std::map<std::string, TimePoint> unavailable_until_;  // by data centre
};

}  // namespace leverwick

#endif  // LEVERWICK_ENDPOINT_SCALER_H_
