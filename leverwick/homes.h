// Regions in which a request may be worked on.
//
// An operator may name home regions for a route, for an organisation or for
// both; each list binds by itself, and an empty one binds nothing. Only
// endpoints are meant: any box may take a request from its caller, and no box
// passes one on to another.
//
//   Homes homes{&route.allowed_regions, &holder.allowed_regions};
//   if (homes.Allow(regions.Of(endpoint.data_centre))) ...

#ifndef LEVERWICK_HOMES_H_
#define LEVERWICK_HOMES_H_

#include <algorithm>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace leverwick {

// Where the data centres are, as the settings say.
class Regions {
 public:
  Regions() = default;
  explicit Regions(std::map<std::string, std::string> by_data_centre)
      : by_data_centre_(std::move(by_data_centre)) {}

  // Empty for a data centre that the settings don't name; no list of homes
  // holds that.
  const std::string& Of(const std::string& data_centre) const {
    static const std::string unknown;
    auto found = by_data_centre_.find(data_centre);
    return found == by_data_centre_.end() ? unknown : found->second;
  }

 private:
  std::map<std::string, std::string> by_data_centre_;
};

// What a request's route and organisation ask for. Null: nothing.
struct Homes {
  const std::vector<std::string>* route = nullptr;
  const std::vector<std::string>* organisation = nullptr;

  bool Allow(const std::string& region) const {
    return Has(route, region) && Has(organisation, region);
  }

 private:
  static bool Has(const std::vector<std::string>* homes,
                  const std::string& region) {
    if (homes == nullptr || homes->empty()) return true;
    return std::find(homes->begin(), homes->end(), region) != homes->end();
  }
};

}  // namespace leverwick

#endif  // LEVERWICK_HOMES_H_
