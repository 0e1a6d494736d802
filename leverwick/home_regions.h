// HomeRegions restricts the regions in which a request may run.
//
// An operator may configure home regions for a route, for an organisation or
// for both. Each list applies independently, and an empty list allows all
// regions. The restriction applies to endpoints only: any box may accept a
// request from its caller or from another box.
//
//   HomeRegions homes{&route.homes, &owner.homes};
//   if (homes.Allows(regions.RegionFor(endpoint.data_centre))) ...

#ifndef LEVERWICK_HOME_REGIONS_H_
#define LEVERWICK_HOME_REGIONS_H_

#include <algorithm>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace leverwick {

// Maps data centres to their regions, as configured.
class RegionMap {
 public:
  RegionMap() = default;
  explicit RegionMap(std::map<std::string, std::string> by_data_centre)
      : by_data_centre_(std::move(by_data_centre)) {}

  // Returns the region of the data centre, or an empty string if it is not
  // configured. No list of home regions contains the empty string.
  const std::string& RegionFor(const std::string& data_centre) const {
    static const std::string kNoRegion;
    auto found = by_data_centre_.find(data_centre);
    return found == by_data_centre_.end() ? kNoRegion : found->second;
  }

 private:
  std::map<std::string, std::string> by_data_centre_;
};

// The home regions of the route and of the organisation of a request. A null
// pointer allows all regions.
struct HomeRegions {
  const std::vector<std::string>* route = nullptr;
  const std::vector<std::string>* organisation = nullptr;

  bool Allows(const std::string& region) const {
    return AllowsRegion(route, region) && AllowsRegion(organisation, region);
  }

 private:
  static bool AllowsRegion(const std::vector<std::string>* homes,
                           const std::string& region) {
    if (homes == nullptr || homes->empty()) return true;
    return std::find(homes->begin(), homes->end(), region) != homes->end();
  }
};

}  // namespace leverwick

#endif  // LEVERWICK_HOME_REGIONS_H_
