// The routes, services and API keys that operators configure as one record.
//
// Where an operator's platform stores its own configuration, the adapter
// decodes each record into a ServiceConfig. It is an immutable value that is
// replaced as a whole: a higher version replaces a lower one, never the
// reverse.
//
//   ServiceConfig config = ServiceConfig::Builder(7).Add(route).Build();
//   const ServiceRoute* route = config.FindRoute("api.example", "/chat/1");
//   const ApiKeyOwner* owner = config.FindKeyOwner(key);

#ifndef LEVERWICK_SERVICE_CONFIG_H_
#define LEVERWICK_SERVICE_CONFIG_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "leverwick/time.h"

namespace leverwick {

enum class RouteKind {
  kSafe,    // may run any number of times
  kUnsafe,  // runs at most once
  kStream,  // a stream of events; as kUnsafe unless it is resumable
};

// A service that receives a part of a route's requests.
struct WeightedService {
  std::string service;
  double weight = 1;
};

struct ServiceRoute {
  std::string name;
  std::string host;
  std::string prefix;  // begins and ends with a slash
  RouteKind kind = RouteKind::kUnsafe;
  bool resumable = false;    // streams only
  bool requires_key = true;  // false: callers need no API key
  // Upper bound of the time that a request may take; 0: none.
  milliseconds timeout{0};
  // A response within it has its full value.
  milliseconds latency_objective{0};
  // The longest gap between the events of a stream that meets its objective.
  milliseconds max_event_gap{0};
  int max_attempts = 1;  // endpoints that one request may be sent to
  int priority = 5;      // 0 is the most urgent
  // Models that may serve the route, smallest first; empty: the caller names
  // the model.
  std::vector<std::string> models;
  std::vector<WeightedService> services;
  // Regions whose endpoints may receive the route's requests; empty: all.
  std::vector<std::string> allowed_regions;

  // Returns whether a request may run again after it ran or may have run.
  bool repeatable() const {
    return kind == RouteKind::kSafe ||
           (kind == RouteKind::kStream && resumable);
  }
};

struct ServiceModel {
  std::string name;
  // Of 1,000 completion tokens; a prompt token costs a quarter of a completion
  // token.
  double cost = 0;
};

// The request rate that an endpoint can serve during slow start.
struct SlowStartLimit {
  double requests_per_second = 0;  // from all boxes together
  nanoseconds warm_up{0};          // from the endpoint's start
};

// How many endpoints of a service may be ordered, and at which prices.
struct EndpointScaling {
  size_t min_per_data_centre = 1;
  size_t max_per_data_centre = 1;
  nanoseconds boot_time{0};  // from an order until a new endpoint serves
  // Price of an endpoint that the platform may reclaim at any time, as a part
  // of the regular price; 0: there are none.
  double reclaimable_price = 0;
  std::map<std::string, double> price_by_data_centre;  // regular

  double PriceIn(const std::string& data_centre) const {
    auto price = price_by_data_centre.find(data_centre);
    return price == price_by_data_centre.end() ? 1 : price->second;
  }
};

struct ServiceSpec {
  std::string name;
  std::string health_path;
  size_t max_connections = 0;  // to each endpoint, from all callers together
  bool serves_models = false;
  size_t max_batch_size = 0;    // requests in one batch of an engine
  int64_t kv_cache_tokens = 0;  // capacity of an engine's KV cache
  std::optional<SlowStartLimit> slow_start_limit;
  std::vector<ServiceModel> models;
  std::optional<EndpointScaling> scaling;  // unset: the operator's matter
};

// The organisation that an API key belongs to.
struct ApiKeyOwner {
  std::string organisation;
  std::optional<int> priority;  // overrides the route's priority
  // Regions whose endpoints may receive its requests; empty: all.
  std::vector<std::string> allowed_regions;
};

// Limits on the requests and connections of callers.
struct CallerLimits {
  size_t max_header_bytes = 16UL * 1024;
  uint64_t max_body_bytes = 4u << 20;
  milliseconds header_timeout{3000};
  milliseconds idle_timeout{15000};
};

class ServiceConfig {
 public:
  class Builder;

  int64_t version() const { return version_; }
  const CallerLimits& limits() const { return limits_; }
  // Returns whether the configuration has any organisation. Without one, no
  // request needs an API key.
  bool has_keys() const { return has_organisations_; }

  // Returns the route of `host` with the longest prefix of `path`; null when
  // there is none.
  const ServiceRoute* FindRoute(const std::string& host,
                                const std::string& path) const;
  // Return null for an unknown API key or service.
  const ApiKeyOwner* FindKeyOwner(const std::string& key) const;
  const ServiceSpec* FindService(const std::string& name) const;

  // Returns the slow-start limits by service; services without one are left
  // out.
  std::map<std::string, SlowStartLimit> SlowStartLimits() const;

  const std::vector<ServiceRoute>& routes() const { return routes_; }
  const std::map<std::string, ServiceSpec>& services() const {
    return services_;
  }

 private:
  int64_t version_ = 0;
  CallerLimits limits_;
  bool has_organisations_ = false;
  std::vector<ServiceRoute> routes_;
  // PrefixKey() of a route to its index in routes_.
  std::unordered_map<std::string, size_t> route_by_prefix_;
  std::unordered_map<std::string, ApiKeyOwner> owner_by_key_;
  std::map<std::string, ServiceSpec> services_;
};

class ServiceConfig::Builder {
 public:
  explicit Builder(int64_t version) { config_.version_ = version; }

  Builder& Add(ServiceRoute route);
  Builder& Add(ServiceSpec service);
  Builder& AddOrganisation(
      const std::string& name, const std::vector<std::string>& keys,
      std::optional<int> priority,
      const std::vector<std::string>& allowed_regions = {});
  Builder& SetLimits(const CallerLimits& limits);
  ServiceConfig Build() { return std::move(config_); }

 private:
  ServiceConfig config_;
};

// Selects one of a route's services at random, in proportion to their weights.
// `draw` is uniform in [0, 1). Returns "" when the route has no service.
std::string PickService(const ServiceRoute& route, double draw);

}  // namespace leverwick

#endif  // LEVERWICK_SERVICE_CONFIG_H_
