// Route prefixes end with a slash. Longest-prefix matching therefore looks up
// the path truncated after each of its slashes, starting with the last one.

#include "leverwick/service_config.h"

namespace leverwick {
namespace {

// The key of a route: host and prefix, joined by a space.
std::string PrefixKey(const std::string& host, const std::string& prefix) {
  return host + " " + prefix;
}

}  // namespace

const ServiceRoute* ServiceConfig::FindRoute(const std::string& host,
                                             const std::string& path) const {
  for (size_t end = path.rfind('/'); end != std::string::npos;
       end = end == 0 ? std::string::npos : path.rfind('/', end - 1)) {
    auto found =
        route_by_prefix_.find(PrefixKey(host, path.substr(0, end + 1)));
    if (found != route_by_prefix_.end()) return &routes_[found->second];
  }
  return nullptr;
}

const ApiKeyOwner* ServiceConfig::FindKeyOwner(const std::string& key) const {
  auto found = owner_by_key_.find(key);
  return found == owner_by_key_.end() ? nullptr : &found->second;
}

std::map<std::string, SlowStartLimit> ServiceConfig::SlowStartLimits() const {
  std::map<std::string, SlowStartLimit> limits;
  for (const auto& [name, service] : services_) {
    if (service.slow_start_limit) limits[name] = *service.slow_start_limit;
  }
  return limits;
}

const ServiceSpec* ServiceConfig::FindService(const std::string& name) const {
  auto found = services_.find(name);
  return found == services_.end() ? nullptr : &found->second;
}

ServiceConfig::Builder& ServiceConfig::Builder::Add(ServiceRoute route) {
  config_.route_by_prefix_[PrefixKey(route.host, route.prefix)] =
      config_.routes_.size();
  config_.routes_.push_back(std::move(route));
  return *this;
}

ServiceConfig::Builder& ServiceConfig::Builder::Add(ServiceSpec service) {
  std::string name = service.name;
  config_.services_[name] = std::move(service);
  return *this;
}

ServiceConfig::Builder& ServiceConfig::Builder::AddOrganisation(
    const std::string& name, const std::vector<std::string>& keys,
    std::optional<int> priority,
    const std::vector<std::string>& allowed_regions) {
  config_.has_organisations_ = true;
  for (const std::string& key : keys) {
    config_.owner_by_key_[key] = {name, priority, allowed_regions};
  }
  return *this;
}

ServiceConfig::Builder& ServiceConfig::Builder::SetLimits(
    const CallerLimits& limits) {
  config_.limits_ = limits;
  return *this;
}

std::string PickService(const ServiceRoute& route, double draw) {
  double total = 0;
  for (const WeightedService& candidate : route.services)
    total += candidate.weight;
  double remaining = draw * total;
  for (const WeightedService& candidate : route.services) {
    remaining -= candidate.weight;
    if (remaining < 0) return candidate.service;
  }
  return route.services.empty() ? "" : route.services.back().service;
}

}  // namespace leverwick
