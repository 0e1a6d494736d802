// ServiceDemand measures how many requests of each service this box has in
// flight at endpoints, as the mean over a span of time.
//
//   ServiceDemand demand(now);
//   demand.RecordStart("chat", now);
//   demand.RecordEnd("chat", now);
//   std::map<std::string, double> means = demand.TakeMeans(now);

#ifndef LEVERWICK_SERVICE_DEMAND_H_
#define LEVERWICK_SERVICE_DEMAND_H_

#include <algorithm>
#include <cstddef>
#include <map>
#include <string>

#include "leverwick/time.h"

namespace leverwick {

class ServiceDemand {
 public:
  explicit ServiceDemand(TimePoint now) : since_(now) {}

  void RecordStart(const std::string& service, TimePoint now) {
    Service& known = services_[service];
    Advance(now, &known);
    ++known.in_flight;
  }
  void RecordEnd(const std::string& service, TimePoint now) {
    Service& known = services_[service];
    Advance(now, &known);
    if (known.in_flight > 0) --known.in_flight;
  }

  // Returns the mean number in flight by service since the last call.
  std::map<std::string, double> TakeMeans(TimePoint now) {
    std::map<std::string, double> means;
    Seconds span = now - since_;
    for (auto& [name, known] : services_) {
      Advance(now, &known);
      if (span > Seconds(0)) means[name] = known.request_time / span;
      known.request_time = Seconds(0);
    }
    since_ = now;
    return means;
  }

 private:
  struct Service {
    size_t in_flight = 0;
    Seconds request_time{0};  // of all requests together, since TakeMeans
    TimePoint at{};           // up to which they are counted
  };

  void Advance(TimePoint now, Service* known) const {
    TimePoint from = std::max(known->at, since_);
    if (now > from) {
      known->request_time +=
          static_cast<double>(known->in_flight) * Seconds(now - from);
    }
    known->at = now;
  }

  TimePoint since_;
  std::map<std::string, Service> services_;
};

}  // namespace leverwick

#endif  // LEVERWICK_SERVICE_DEMAND_H_
