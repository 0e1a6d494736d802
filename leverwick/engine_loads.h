// EngineLoads estimates how long a request would wait at each endpoint until
// its response starts (the time to first token).
//
// A prompt is preferably sent to the endpoint that has its shared parts in its
// prefix cache, unless that endpoint is busier than a second prefill elsewhere
// would cost. The load of an endpoint is estimated from the pending prefill of
// this box's prompts and of those that peers report, from how long this box's
// prompts have been waiting, and from how much later than expected its recent
// responses started. The last two also reflect the requests of boxes that do
// not report. Times at an endpoint are multiplied by its slowness
// (leverwick/endpoint_speeds.h), which the pace of streams shows.
//
//   EngineLoads loads;
//   Seconds wait = loads.ExpectedWait(endpoint, work, preferred, now);
//   uint64_t ticket = loads.RecordSend(endpoint, work, bounds, now);
//   loads.RecordResponseStart(ticket, now);  // its response has started
//   loads.RecordFinish(ticket);              // it ended, with or without one
//   loads.RecordPeerSend(request, now);      // reported by another box
//   size_t count = loads.RunningAt(endpoint);
//   loads.RecordPace(endpoint, kind, interval, now);  // of a stream's events

#ifndef LEVERWICK_ENGINE_LOADS_H_
#define LEVERWICK_ENGINE_LOADS_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "leverwick/endpoint_speeds.h"
#include "leverwick/peer_prompts.h"
#include "leverwick/prompt.h"
#include "leverwick/requests_in_flight.h"
#include "leverwick/stream_pace.h"
#include "leverwick/time.h"

namespace leverwick {

// The work that a request causes at an endpoint.
struct EngineWork {
  std::string kind;  // route and model, which share a latency model
  std::string model;
  const Prompt* prompt = nullptr;

  bool is_for_model() const { return prompt != nullptr || !model.empty(); }
};

// What bounds a request at the endpoint that it is sent to.
struct SendBounds {
  milliseconds time_left{0};  // until it is given up; 0: unknown
  // Requests that the endpoint serves at a time; 0: unknown.
  size_t places = 0;
};

// Not thread-safe.
class EngineLoads {
 public:
  // Called for requests that this box sends, to report them to other boxes: for
  // those with a prompt, and for those to an endpoint of few places. Also for
  // the paces that it measures.
  class Observer {
   public:
    virtual ~Observer() = default;
    // `request.incarnation` is not set; the observer fills it in.
    virtual void OnRequestSent(const SentRequest& request) = 0;
    // The prompt has been read, or the request ended before that. Not called
    // for requests without a prompt.
    virtual void OnPrefillDone(uint64_t ticket) = 0;
    // The request has ended. Not called if its time was unknown.
    virtual void OnRequestEnded(uint64_t ticket) = 0;
    // `sample.incarnation` is this box's own.
    virtual void OnPaceMeasured(const PaceSample&) {}
  };
  // Sets the observer, or none if null. It must outlive this object or be
  // reset.
  void SetObserver(Observer* observer) { observer_ = observer; }

  // Returns the expected time until the response would start. `preferred` is
  // true for the endpoint that all boxes prefer for these prompt parts while no
  // cache state is known.
  Seconds ExpectedWait(const std::string& endpoint, const EngineWork& work,
                       bool preferred, TimePoint now) const;

  // UnloadedWait returns the expected time until the response starts on an idle
  // endpoint; QueueDelay returns the additional delay that other requests cause
  // there.
  Seconds UnloadedWait(const std::string& endpoint, const EngineWork& work,
                       TimePoint now) const;
  Seconds QueueDelay(const std::string& endpoint, TimePoint now) const {
    return PendingPrefill(endpoint) + ObservedDelay(endpoint, now);
  }

  // Returns how much work the endpoint does in a given time, relative to an
  // average one; 1 where the service's endpoints are alike.
  double RelativeCapacity(const std::string& endpoint, TimePoint now) const;

  // Returns how many requests of this box and of the boxes that report to it
  // run or wait at the endpoint. Those of other boxes are some tens of
  // milliseconds old.
  size_t RunningAt(const std::string& endpoint) const;
  // The same, without peers' requests if no peer has reported recently.
  size_t ConfirmedRunningAt(const std::string& endpoint, TimePoint now) const;
  // Returns the time since a peer last reported.
  Seconds PeerReportAge(TimePoint now) const { return now - peers_heard_at_; }

  // Records that a request is sent, and returns its ticket.
  uint64_t RecordSend(const std::string& endpoint, const EngineWork& work,
                      const SendBounds& bounds, TimePoint now);
  uint64_t RecordSend(const std::string& endpoint, const EngineWork& work,
                      TimePoint now) {
    return RecordSend(endpoint, work, SendBounds(), now);
  }
  // Returns the expected prefill time of the prompt of a ticket; 0 if the
  // ticket is unknown.
  Seconds ExpectedPrefill(uint64_t ticket) const;
  // Records that the response has started, and updates the latency model.
  void RecordResponseStart(uint64_t ticket, TimePoint now);
  // Records that a request has ended.
  void RecordFinish(uint64_t ticket);
  // Records that the endpoint could not be reached or closed the connection
  // before it responded.
  void RecordFailure(uint64_t ticket, const std::string& data_centre,
                     TimePoint now);
  // Records that the endpoint restarted: its prefix cache is empty, nothing
  // runs there, and its earlier delays no longer apply.
  void RecordRestart(const std::string& endpoint);
  // Records a response from an endpoint of the data centre, which is thus
  // reachable.
  void RecordReachable(const std::string& data_centre);
  // Returns the wait to add for a data centre that appears to be partitioned.
  Seconds PartitionPenalty(const std::string& data_centre, TimePoint now) const;

  // Records a request that another box sent; the shared parts of its prompt
  // count as cached at the endpoint from now on.
  void RecordPeerSend(const SentRequest& request, TimePoint now);
  // Records that the prefill of a peer's prompt is done or was abandoned.
  void RecordPeerPrefill(uint32_t incarnation, uint64_t ticket) {
    peer_prompts_.RecordPrefillDone(incarnation, ticket);
  }
  // Records that a peer's request has ended.
  void RecordPeerEnd(uint32_t incarnation, uint64_t ticket, TimePoint now);

  // Records the interval of events of a stream at the endpoint, against what is
  // usual for its kind (route and model).
  void RecordPace(const std::string& endpoint, const std::string& kind,
                  Seconds interval, TimePoint now);
  EndpointSpeeds* speeds() { return &speeds_; }
  const EndpointSpeeds& speeds() const { return speeds_; }

  // Removes cached parts that have expired, and idle endpoints.
  void Expire(TimePoint now);

 private:
  struct Pending {
    std::string endpoint;
    std::string kind;
    double uncached_tokens = 0;
    Seconds expected_wait{0};  // until the response starts
    Seconds prefill_time{0};   // included in expected_wait
    double slowness = 1;       // of the endpoint when it was sent
    TimePoint sent{};
    bool observer_notified = false;
  };
  // A request from its start to its end.
  struct Running {
    std::string endpoint;
    bool end_is_reported = false;  // to the observer
    bool is_counted = true;        // false: the endpoint has restarted since
  };
  struct Endpoint {
    // Time of the last send of each prompt part, by key of model and part.
    std::unordered_map<uint64_t, TimePoint> cached_parts;
    // Send times by ticket; tickets are in the order of sending.
    std::map<uint64_t, TimePoint> awaiting_response;
    Seconds prefill_time{0};  // sum over awaiting_response
    Seconds delay{0};         // above expected_wait, as of delay_at
    TimePoint delay_at{};
  };
  // Predicts the time until the response starts for requests of a kind on an
  // idle endpoint of average speed.
  struct LatencyModel {
    Seconds base_latency{0.03};  // without prefill
    Seconds prefill_per_token{5e-5};
  };
  // Endpoints of one data centre that failed since one of them last responded.
  struct Failures {
    std::set<std::string> endpoints;
    TimePoint last{};
  };

  // Returns the expected number of prompt tokens that the endpoint does not
  // have in its cache.
  double UncachedTokens(const std::string& endpoint, const EngineWork& work,
                        bool preferred, TimePoint now) const;
  // Returns the delay that reading a prompt at the endpoint causes to other
  // requests, in multiples of the time that it takes at average speed.
  double Interference(const std::string& endpoint, TimePoint now) const;
  void UpdateMeanRunning();
  static Seconds DecayedDelay(const Endpoint& endpoint, TimePoint now);
  const LatencyModel& LatencyModelFor(const std::string& kind) const;
  // Returns how much later than expected responses start there at present.
  Seconds ObservedDelay(const std::string& endpoint, TimePoint now) const;
  // Returns the pending prefill time at the endpoint, for this box and for the
  // boxes that report.
  Seconds PendingPrefill(const std::string& endpoint) const;
  void UpdateLatencyModel(const Pending& pending, Seconds elapsed);
  // Marks the prompt parts as cached at the endpoint, and returns the keys of
  // those that other requests may share.
  std::vector<uint64_t> RecordCachedParts(const std::string& endpoint,
                                          const EngineWork& work,
                                          TimePoint now);
  // Notifies the observer of a request that other boxes should know.
  void ReportSend(uint64_t ticket, const EngineWork& work,
                  const SendBounds& bounds, TimePoint now);
  // Removes a request whose response has started, or that ended without one.
  void StopAwaiting(uint64_t ticket);
  void StopRunning(uint64_t ticket);
  size_t OwnRunningAt(const std::string& endpoint) const;

  std::unordered_map<std::string, Endpoint> endpoints_;
  std::unordered_map<std::string, LatencyModel> latency_models_;
  std::map<std::string, Failures> failures_;  // by data centre
  std::unordered_map<uint64_t, Pending> pending_;
  std::unordered_map<uint64_t, Running> running_;
  std::unordered_map<std::string, size_t> running_at_;  // by endpoint
  PeerPrompts peer_prompts_;
  EndpointSpeeds speeds_;
  // Of the endpoints that read prompts; kept while speeds differ.
  double mean_running_ = 0;
  UsualPaces usual_paces_;
  RequestsInFlight peer_requests_;
  TimePoint peers_heard_at_{};
  Observer* observer_ = nullptr;
  uint64_t last_ticket_ = 0;
};

}  // namespace leverwick

#endif  // LEVERWICK_ENGINE_LOADS_H_
