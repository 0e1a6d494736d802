// Takes callers' requests, finds an endpoint for each and passes answers back.
//
// The same relay serves whatever interface a Dialect reads: it routes by the
// ServiceConfig in force, admits keyed work by its KeyValidityPolicy, and hands
// each request to a RelayedRequest, which carries it to its end. One thread
// runs it all.
//
//   Relay relay(&loop, &dialect, options);
//   relay.SetConfig(config);
//   server handler: relay.Handle(exchange);

#ifndef DAEMON_RELAY_H_
#define DAEMON_RELAY_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>

#include "daemon/backoff_watch.h"
#include "daemon/dialect.h"
#include "daemon/endpoint_directory.h"
#include "daemon/endpoint_ends.h"
#include "daemon/limit_watch.h"
#include "daemon/partition_watch.h"
#include "daemon/request_forwarder.h"
#include "daemon/version_watch.h"
#include "leverwick/answer_reads.h"
#include "leverwick/endpoint_pool.h"
#include "leverwick/endpoint_selector.h"
#include "leverwick/engine_loads.h"
#include "leverwick/escalation_policy.h"
#include "leverwick/held_answers.h"
#include "leverwick/key_admissions.h"
#include "leverwick/key_validity.h"
#include "leverwick/model_cascade.h"
#include "leverwick/place_claim.h"
#include "leverwick/poison_parts.h"
#include "leverwick/poison_requests.h"
#include "leverwick/read_proof.h"
#include "leverwick/recent_refusals.h"
#include "leverwick/regression_detector.h"
#include "leverwick/request_sampler.h"
#include "leverwick/retry_budget.h"
#include "leverwick/send_eligibility.h"
#include "leverwick/service_config.h"
#include "leverwick/service_demand.h"
#include "leverwick/service_rollouts.h"
#include "leverwick/service_room.h"
#include "leverwick/version_estimates.h"
#include "net/async_http_client.h"
#include "net/async_http_server.h"
#include "net/metrics.h"

namespace leverwick {

class PlaceExchange;
class RelayedRequest;
struct EndpointTry;

struct RelayOptions {
  std::string life;          // names this box's life in sums and logs
  std::string data_centre;   // of this box
  RegionMap regions;         // of all data centres
  nanoseconds proof_age{0};  // oldest proof of the configuration in force
  // Whether keyed work is refused without a proof (leverwick/key_validity.h).
  bool strict_withdrawal = true;
  double retry_share = 0.6;  // sends beyond a request's first, of requests
  // Saved up by a box that has just started, and at most; one of them is left
  // to requests without an answer (leverwick/retry_budget.h).
  double retry_start = 3;
  double retry_most = 6;
  nanoseconds far_megabyte{0};  // weight of bytes to other data centres
  // For whole answers while they are read from endpoints.
  size_t answer_bytes = 32UL << 20;
  double weak_answer = 0.5;  // confidence under which a larger model is asked
  RolloutOptions rollout;
  HttpConnectionsOptions connections;
};

class Relay {
 public:
  Relay(boost::asio::io_context* loop, const Dialect* dialect,
        const RelayOptions& options);
  ~Relay();

  void Handle(const std::shared_ptr<ServerExchange>& exchange);
  // Serves a request that another box forwards.
  void HandleForwarded(const std::shared_ptr<ServerExchange>& exchange);

  // Replaces the configuration; one that is not newer changes nothing.
  bool SetConfig(ServiceConfig config);
  const std::shared_ptr<const ServiceConfig>& config() const { return config_; }

  // Drops state that is too old to matter. To be called a few times a second.
  void Expire(TimePoint now);

  // State that the adapter updates.
  EngineLoads* loads() { return &loads_; }
  ReadProof* proof() { return &proof_; }
  EndpointDirectory* directory() { return &directory_; }
  DrainedDataCentres* drained() { return &drained_; }
  SlowStart* slow_start() { return &slow_start_; }
  LimitWatch* limits() { return &limits_; }
  ServiceRollouts* rollouts() { return &rollouts_; }
  RegressionDetector* guard() { return &guard_; }
  PoisonRequests* poison() { return &poison_; }
  PoisonParts* poison_parts() { return &poison_parts_; }
  EndpointEnds* ends() { return &ends_; }
  ServiceDemand* demand() { return &demand_; }
  RequestForwarder* forwarder() { return &forwarder_; }
  BrittleEndpoints* brittle() { return &brittle_; }
  const ServiceRoom* room() const { return &room_; }
  // Through which places are asked for; null: they are not.
  void SetPlaces(PlaceExchange* places) { places_ = places; }
  const VersionWatch* watch() const { return &watch_; }

  // Refuses requests from now on with a result that says that they have not
  // run. For a planned stop.
  void StopIntake() { intake_ = false; }
  // Answers all open requests now: the process ends before their endpoints do.
  void EndRequests();
  size_t open_requests() const { return open_.size(); }

  // Returns the metrics as text, with the current values of the gauges.
  std::string MetricsText();
  // Sets a callback for when an endpoint has ended by itself.
  void OnEnds(std::function<void()> callback) {
    ends_told_ = std::move(callback);
  }
  // Sets a callback for when a request has begun to run at an endpoint. It gets
  // the request's organisation and is not called for requests without one.
  void OnRun(std::function<void(const std::string&)> callback) {
    run_began_ = std::move(callback);
  }
  // Sets a callback that runs before each MetricsText and updates gauges whose
  // values are kept elsewhere.
  void OnMetrics(std::function<void()> callback) {
    state_gauges_ = std::move(callback);
  }
  Metrics* metrics() { return &metrics_; }

 private:
  friend class RelayedRequest;

  void Serve(const std::shared_ptr<ServerExchange>& exchange,
             const ForwardOrigin& origin);
  // Returns why a request that another box forwards can't be served here, or
  // kOk.
  Result WhyDeclined(const ForwardOrigin& origin, size_t body_bytes,
                     TimePoint now);
  // Answers the request without an endpoint. `come_back_after` is empty for
  // results after which the caller should not retry.
  void Refuse(const std::shared_ptr<ServerExchange>& exchange,
              const std::string& request_id, Result result,
              std::optional<milliseconds> come_back_after);
  // Returns whether the request's key admits it, and sets the key's holder.
  Result Admit(const ServiceRoute& route, const CallerRequest& request,
               TimePoint now, ApiKeyOwner* holder);
  // Logs for how long keys were admitted that the new configuration lacks.
  void TellWithdrawnKeys(TimePoint now);
  // Records what the head of a response says about its endpoint.
  void Heard(const EndpointTry& answered);
  // Records what a response says about the endpoints of a brittle service.
  void HeardBrittle(const std::string& endpoint, const AnswerHead& answer,
                    TimePoint now);
  // Whether this box may use any place of the service's endpoints while they
  // are brittle.
  bool HasCapacityShare(const std::string& service) const;
  // Drops what is known of an endpoint that has restarted.
  void OnNewLife(const std::string& endpoint);
  void OnEndpointEnd(const EndpointEnd& end);
  PoisonVerdict JudgeRequest(const RequestDigest& digest,
                             const PartDigests& parts,
                             const std::string& service, TimePoint now) const;
  void TellPoisonParts();
  // Breaks off the largest answer of unknown length if there are too many bytes
  // of such answers.
  void DropLargestAnswer();
  // Ends the count of what is held of a run's answer.
  void ReleaseAnswer(uint64_t run);
  void TellPoison();
  void SetRolloutGauges(const RolloutRecord& rollout);
  void SetSpeedGauges();
  // Counts a request that has ended. `status` is the HTTP status that the
  // caller got, 0 if it got none.
  void CountEnd(const std::string& organisation, const std::string& outcome,
                int status);
  // Whether the budget of the service allows one more send.
  bool TakeRetry(const std::string& service, RetryBudget::Purpose purpose);
  RetryBudget* BudgetOf(const std::string& service);
  milliseconds ProofAge() const;
  // Returns a uniformly random number from 0 to 1.
  double Draw() { return std::uniform_real_distribution<>(0, 1)(random_); }

  boost::asio::io_context* const loop_;
  const Dialect* const dialect_;
  const RelayOptions options_;
  std::shared_ptr<const ServiceConfig> config_;
  EndpointPool pool_;
  DrainedDataCentres drained_;
  SlowStart slow_start_;
  EndpointDirectory directory_;
  LimitWatch limits_;
  BackoffWatch backoffs_;
  ReadProof proof_;
  KeyAdmissions key_admissions_;
  const KeyValidityPolicy& key_trust_;
  ServiceRollouts rollouts_;
  VersionEstimates estimates_;
  RegressionDetector guard_;
  VersionWatch watch_;
  ModelCascade cascade_;
  EscalationPolicy escalation_;
  EngineLoads loads_;
  Reachability reach_;
  RecentRefusals refusals_;
  ServiceRoom room_;
  PlaceShortages shortages_;
  PlaceExchange* places_ = nullptr;
  BrittleEndpoints brittle_;
  const SendEligibility gates_;
  const EndpointSelector choice_;
  HttpConnections connections_;
  PartitionWatch partition_;
  RequestForwarder forwarder_;
  EndpointEnds ends_;
  ServiceDemand demand_;
  PoisonRequests poison_;
  PoisonParts poison_parts_;
  HeldAnswers held_answers_;  // of unknown length
  AnswerReads answer_reads_;  // of known length
  Metrics metrics_;
  std::map<std::string, std::unique_ptr<RetryBudget>> budgets_;
  std::set<std::shared_ptr<RelayedRequest>> open_;
  std::mt19937_64 random_;
  RequestSampler sampler_;
  bool intake_ = true;
  TimePoint limit_told_at_{};                 // the last line on a limit
  std::set<std::string> told_organisations_;  // those with own counters
  std::function<void()> state_gauges_ = [] {};
  std::function<void()> ends_told_ = [] {};
  std::function<void(const std::string&)> run_began_ = [](const std::string&) {
  };
};

}  // namespace leverwick

#endif  // DAEMON_RELAY_H_
