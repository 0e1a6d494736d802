// Data centres that operators have taken out of use for a while.
//
// Nothing new is sent to the endpoints of a drained data centre: no first try,
// no repeat and no larger model. What runs there ends there. The boxes in it go
// on taking callers' requests.
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
  // Both tell whether anything changed: orders are read more than once.
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
