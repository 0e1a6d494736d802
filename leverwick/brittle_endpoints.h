// BrittleEndpoints keeps boxes from overloading endpoints that can't bear to
// reject many requests.
//
// Endpoints of a service may report that they are brittle: that they crash if
// they have to reject more than a number of requests a second for lack of
// capacity. The number applies to the requests of all boxes together, and
// endpoints then queue fewer requests than otherwise. So the capacity of each
// endpoint is divided among the boxes, and a box sends an endpoint only as many
// requests at a time as its own part of it. The parts of boxes that have the
// same list of boxes add up to the capacity, so that no box needs to know what
// the others have sent.
//
// Boxes that are busier than others may exceed their part at random moments,
// so rarely that the endpoint can bear to reject all of these requests.
//
//   BrittleEndpoints brittle("box-a1");
//   brittle.SetBoxes({"box-a2", "box-b1"});
//   brittle.RecordReport("service", 5, now);
//   if (brittle.TimeUntilSendAllowed(endpoint, now) <= nanoseconds(0)) {
//     brittle.RecordSend(endpoint.address, endpoint.max_in_flight, now);
//   }
//   brittle.RecordRejection(endpoint.address, now);
//   brittle.RecordEnd(endpoint.address);

#ifndef LEVERWICK_BRITTLE_ENDPOINTS_H_
#define LEVERWICK_BRITTLE_ENDPOINTS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "leverwick/endpoint_pool.h"
#include "leverwick/time.h"

namespace leverwick {

// Not thread-safe.
class BrittleEndpoints {
 public:
  // Time after the last report until a service counts as sound. Responses of a
  // sound service carry no report, and few may come at all.
  static constexpr std::chrono::seconds kReportLifetime{3};
  // Time between the rejection of a request and the next one to that endpoint.
  static constexpr milliseconds kRejectionPause{1000};

  explicit BrittleEndpoints(std::string box) : box_(std::move(box)) {}

  // Sets the names of all boxes but this one.
  void SetBoxes(const std::vector<std::string>& others);

  // Records that a response of the service reported the number of rejections a
  // second that an endpoint bears. Returns true if the service was sound
  // before.
  bool RecordReport(const std::string& service, double rejections_per_second,
                    TimePoint now);
  bool IsBrittle(const std::string& service, TimePoint now) const;

  // Returns the time until this box may send the endpoint a request; zero or
  // less if it may now.
  nanoseconds TimeUntilSendAllowed(const ListedEndpoint& endpoint,
                                   TimePoint now) const;

  // Each send needs an end, also while the service is sound.
  void RecordSend(const std::string& endpoint, size_t max_in_flight,
                  TimePoint now);
  void RecordEnd(const std::string& endpoint);
  // Records that the endpoint rejected a request for lack of capacity.
  void RecordRejection(const std::string& endpoint, TimePoint now);
  // Records that the endpoint has restarted: its earlier rejections no longer
  // apply.
  void RecordRestart(const std::string& endpoint);

  // Returns the number of requests that this box may have in flight at the
  // endpoint.
  size_t CapacityShare(const std::string& endpoint, size_t max_in_flight) const;

  // Removes reports that have expired, and endpoints without state.
  void Expire(TimePoint now);

  size_t service_count() const { return reports_.size(); }

 private:
  struct Report {
    double rejections_per_second = 0;
    TimePoint reported_at{};
  };
  struct Endpoint {
    size_t in_flight = 0;
    TimePoint paused_until{};
    int64_t last_excess_period = -1;  // the one with the latest excess request
  };

  const Report* FindReport(const std::string& service, TimePoint now) const;
  // Returns whether this box may exceed its part in the period.
  bool MayExceed(const std::string& endpoint, const Report& report,
                 int64_t period) const;

  const std::string box_;
  size_t boxes_ = 1;
  size_t rank_ = 0;                        // of this box among all by name
  std::map<std::string, Report> reports_;  // by service
  std::unordered_map<std::string, Endpoint> endpoints_;
};

}  // namespace leverwick

#endif  // LEVERWICK_BRITTLE_ENDPOINTS_H_
