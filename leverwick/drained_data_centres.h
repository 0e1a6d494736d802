// DrainedDataCentres holds the data centres that operators have drained.
//
// No new request is sent to the endpoints of a drained data centre: no first
// attempt, no retry and no escalation to a larger model. Requests that run
// there complete. The boxes in it continue to accept requests from callers.
//
//   DrainedDataCentres drained;
//   drained.Drain("dc1");  // by an operator's order, until it is withdrawn
//   if (drained.IsDrained(endpoint.data_centre)) ...
//   drained.Restore("dc1");

#ifndef LEVERWICK_DRAINED_DATA_CENTRES_H_
#define LEVERWICK_DRAINED_DATA_CENTRES_H_

#include <set>
#include <string>

namespace leverwick {

// Not thread-safe.
class DrainedDataCentres {
 public:
  // Both return whether the state changed: the same order may be applied more
  // than once.
  bool Drain(const std::string& data_centre) {
    return names_.insert(data_centre).second;
  }
  bool Restore(const std::string& data_centre) {
    return names_.erase(data_centre) > 0;
  }

  bool IsDrained(const std::string& data_centre) const {
    return names_.count(data_centre) > 0;
  }
  const std::set<std::string>& names() const { return names_; }

 private:
  std::set<std::string> names_;
};

}  // namespace leverwick

#endif  // LEVERWICK_DRAINED_DATA_CENTRES_H_
