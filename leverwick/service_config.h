// The routes, services and keys that operators put in force as one record.
//
// Where an operator's platform keeps its own configuration, the adapter
// decodes each record into a ServiceConfig. It is a plain value that is
// replaced as a whole: a higher version replaces a lower one, never the other
// way round.
//
//   ServiceConfig config = ServiceConfig::Builder(7).Add(route).Build();
//   const ServiceRoute* route = config.FindRoute("api.example", "/chat/1");
//   const ApiKeyOwner* holder = config.FindKeyOwner(key);

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
  kStream,  // a series of events; as kUnsafe unless it may be resumed
};

// A part of a route's traffic.
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
  bool requires_key = true;  // false: anyone may call it
  milliseconds timeout{0};   // longest that a request is held; 0: no limit
  milliseconds latency_objective{0};  // answers within it earn their full worth
  milliseconds max_event_gap{0};  // between events of a stream that is in time
  int max_attempts = 1;           // endpoints that one request may be sent to
  int priority = 5;               // 0 is the most urgent
  // Models that may answer, smallest first; empty: the caller names one.
  std::vector<std::string> models;
  std::vector<WeightedService> services;
  // Regions whose endpoints may take its requests; empty: all.
  std::vector<std::string> allowed_regions;

  // Whether a request may run again after it ran or may have run.
  bool repeatable() const {
    return kind == RouteKind::kSafe ||
           (kind == RouteKind::kStream && resumable);
  }
};

struct ServiceModel {
  std::string name;
  double cost = 0;  // a 1,000 tokens made; tokens read count a quarter
};

// What an endpoint bears while it is cold.
struct SlowStartLimit {
  double requests_per_second = 0;  // requests a second, from all boxes together
  nanoseconds warm_up{0};          // from its start until it is warm
};

struct ServiceSpec {
  std::string name;
  std::string health_path;
  size_t max_connections = 0;  // of each endpoint, from all callers together
  bool serves_models = false;
  size_t max_batch_size = 0;    // requests in one batch of an engine
  int64_t kv_cache_tokens = 0;  // tokens that an engine's memory holds
  std::optional<SlowStartLimit> slow_start_limit;
  std::vector<ServiceModel> models;
};

// Who holds an API key.
struct ApiKeyOwner {
  std::string organisation;
  std::optional<int> priority;  // replaces the route's
  // Regions whose endpoints may take its requests; empty: all.
  std::vector<std::string> allowed_regions;
};

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
  // Whether the configuration has organisations at all; without them no
  // request needs a key.
  bool has_keys() const { return has_organisations_; }

  // The route of the host with the longest prefix of `path`; null: none.
  const ServiceRoute* FindRoute(const std::string& host,
                                const std::string& path) const;
  const ApiKeyOwner* FindKeyOwner(const std::string& key) const;
  const ServiceSpec* FindService(const std::string& name) const;

  // By service, of those whose endpoints bear less while they are cold.
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
  // Host and prefix, joined by a blank, to the index of the route.
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

// Which of a route's services takes a request; `draw` is uniform in [0, 1).
// Empty when the route has none.
std::string PickService(const ServiceRoute& route, double draw);

}  // namespace leverwick

#endif  // LEVERWICK_SERVICE_CONFIG_H_
