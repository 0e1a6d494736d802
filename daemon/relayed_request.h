// One request from its admission to its last byte.
//
// A request is sent to one endpoint at a time. AttemptHistory decides what
// follows an attempt: another attempt, the endpoint's response, or a response
// by this box; this class carries the decision out. The head of a stream is
// held back until its first complete event. A stream that breaks is resumed at
// another endpoint after the last complete event that was passed on.
//
//   auto relayed = std::make_shared<RelayedRequest>(relay, exchange, request,
//                                                   route, holder);
//   relayed->Start();  // the relay holds it until it ends

#ifndef DAEMON_RELAYED_REQUEST_H_
#define DAEMON_RELAYED_REQUEST_H_

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "daemon/dialect.h"
#include "daemon/forwarded_call.h"
#include "daemon/place_exchange.h"
#include "daemon/relay.h"
#include "daemon/request_terms.h"
#include "leverwick/attempt_history.h"
#include "leverwick/event_stream.h"
#include "leverwick/stream_pace.h"
#include "net/timer.h"

namespace leverwick {

// One send to one endpoint.
struct EndpointTry {
  std::string endpoint;
  std::string version;
  std::string data_centre;
  std::shared_ptr<ClientCall> call;
  TimePoint sent_at{};
  uint64_t ticket = 0;  // of EngineLoads
  uint64_t run = 0;     // of RecentRuns
  bool has_head = false;
  AnswerHead answer;
  HttpHead head;
  std::string body;
  bool streams = false;  // a success whose events are passed on
  StreamPace pace;
  bool weak = false;  // to be replaced by a larger model's answer
  // Whether it was sent to an endpoint that was known to have a free place.
  bool had_free_place = false;
};

class RelayedRequest : public std::enable_shared_from_this<RelayedRequest>,
                       private ClientCall::Observer,
                       private ForwardedCall::Listener {
 public:
  // `origin` names the box that forwarded the request. It is empty if a caller
  // sent the request to this box.
  RelayedRequest(Relay* relay, std::shared_ptr<ServerExchange> exchange,
                 CallerRequest request, const ServiceRoute& route,
                 ApiKeyOwner holder, ForwardOrigin origin);

  void Start();
  // Breaks off the answer of this run; false if it is not this request's.
  bool DropAnswer(uint64_t run);
  // Reads the answer of this run on; false if it is not this request's.
  bool ResumeAnswer(uint64_t run);
  // Answers the caller now, since the box ends: with a refusal while the
  // request can't have run, else with a failure. A stream that has begun is
  // broken off.
  void EndForStop();

 private:
  // Sending.
  // Returns false if the request is held because endpoints end while they run
  // it. The caller has been answered then.
  bool MaySendOn();
  void AnswerHeld(const PoisonVerdict& verdict);
  void Dispatch();
  // Sends the request, or waits while a permit is being requested.
  void SendOrWait();
  // Calls SendOrWait again soon.
  void WaitForCapacity();
  // Refuses the request if no endpoint can answer it in time because of the
  // requests that wait there. Returns whether it was refused.
  bool RefuseIfTooLate(const DirectoryEntry& chosen, TimePoint now);
  // Returns how many requests the endpoint has; unset: it serves models, or
  // does not list its places.
  std::optional<PlaceUse> PlaceUseAt(const DirectoryEntry& endpoint) const;

  // Places granted by other boxes; in relayed_request_places.cc.
  // Asks for a place if no endpoint is known to have a free one. Returns
  // whether the request waits for the outcome.
  bool AskForPlace(TimePoint now);
  // Returns whether a place is to be asked for before the request is sent.
  bool NeedsGrant(const std::vector<EndpointQueue>& queues, TimePoint now);
  PlaceRequest RequestForPlace() const;
  void OnPlaceOutcome(const PlaceOutcome& outcome);
  // Sends the request to the endpoint that granted it a place.
  void UsePlace(const PlaceOutcome& outcome);
  // The request waits for no place, or has ended at the endpoint.
  void ReleasePlace();

  // Answers a request that can't be sent to any endpoint any more.
  void AnswerUnreached(Result why);
  // Requests a permit if the best endpoint for the request has a rate limit.
  // Returns whether the request has to wait for the reply.
  bool AskForPermit(TimePoint now);
  EndpointCriteria Wanted(size_t model);
  std::string ChooseEndpoint(size_t model);
  void SendTo(const DirectoryEntry& endpoint);
  ClientRequest RequestFor(const DirectoryEntry& endpoint) const;
  // The id of the event after which a stream is resumed. Empty: the stream
  // starts at its beginning.
  std::string LastEventId() const {
    return events_.last_id().empty() ? origin_.last_event_id
                                     : events_.last_id();
  }

  // Forwarding; in relayed_request_forward.cc.
  // Whether another box more likely reaches an endpoint than this one.
  bool PrefersForwarding() const;
  // Forwards the request to another box; false if there is none for it.
  bool Forward();
  // Whether the request may be sent to an endpoint although no other box
  // takes it and this one is partitioned.
  bool MayTryEndpoint();
  bool is_forwarded() const { return !origin_.box.empty(); }
  ForwardOrigin OriginFor(int max_attempts) const;
  void EndForward(ForwardOutcome outcome);
  // Continues with another box or an endpoint after a forward that has not run.
  void ForwardElsewhere(ForwardOutcome outcome);
  void OnForwardEvents(const HttpHead& head, std::string_view bytes) override;
  void OnForwardStreamEnd(const HttpHead& head) override;
  void OnForwardResponse(const HttpHead& head,
                         const std::string& body) override;
  void OnForwardResult(const ForwardResult& result) override;
  void OnForwardFailed(bool sent) override;

  // ClientCall::Observer.
  void OnConnected() override { relay_->partition_.Accepted(service_); }
  bool OnAnswerHead(const HttpHead& head) override;
  void OnAnswerBody(std::string_view bytes) override;
  void OnAnswerEnd() override;
  void OnCallFailed(const ClientCall::Failure& failure) override;

  // Judging a try; in relayed_request_answer.cc.
  // Records that the request has begun to run.
  void NoteRun();
  bool IsTooWeak();
  // Whether the model of that index is expected to finish in time.
  bool CanFinish(size_t model);
  // Records the end of a stream; `whole` is false if it was cut off.
  void NoteStream(bool whole);
  // Records how fast the endpoint makes events.
  void NotePace(std::optional<Seconds> interval, TimePoint now);
  void AskLargerModel();
  void OnWholeAnswer();
  // Records how many bytes of an answer of unknown length are held.
  void NoteHeldBytes(size_t bytes);
  // Records a broken connection, which may mean that the endpoint has ended.
  void NoteBreak(const std::string& endpoint,
                 const ClientCall::Failure& failure, TimePoint broke_at);
  void EndTry(AttemptOutcome outcome);
  bool MayResend(AttemptOutcome outcome);
  // Returns the result for the caller after the last endpoint has refused.
  Result WhyRefused();
  // `how` tells how the run ended; empty if the request has not run.
  void ReleaseEndpoint(bool good, std::optional<RunOutcome> how);
  WatchedTry Watched() const;

  // Ending.
  void PassEvents(const HttpHead& head, std::string_view bytes);
  void PauseReading();
  void ResumeReading();
  // Records the duration of an attempt that was given up before its response
  // was complete.
  void TimeUnended();
  void PassAnswer(HttpHead head, std::string body);
  void AnswerNotRun(Result result);
  // When a caller that was refused for want of room should come back.
  // `time_until_room`: as a granter told; empty: as this box expects it.
  milliseconds ComeBackForRoom(TimePoint now,
                               std::optional<Seconds> time_until_room = {});
  void AnswerNotRun(Result result, std::optional<milliseconds> come_back_after);
  void AnswerOwn(Result result);
  // Answers with the endpoint's own error response if there is one, else with
  // `own_result`.
  void AnswerFailure(Result own_result);
  void BreakStream(const char* outcome);
  // Whether an endpoint may be running the request, or may have run it.
  bool MayHaveRun() const;
  void OnTimeUp();
  void OnCallerLeft();
  void Finish(const char* outcome);

  // Logs and metrics; in relayed_request_log.cc.
  static constexpr char kAnswered[] = "answered";  // an outcome of Finish
  std::string LastEvent() const;
  std::string PartsText() const;
  // Describes the endpoint that was preferred but has reached its rate limit.
  std::string PreferredText() const;
  // Logs that rate limits or back-offs exclude all endpoints.
  void TellUnavailable(Result why, TimePoint now);
  std::string TryStatus() const;
  // Logs a send and what decided the choice of the endpoint.
  void TellSend(const DirectoryEntry& endpoint);
  // Logs that a weak answer is passed on because the answer of `model` would
  // not be complete in time.
  void TellKept(size_t model, const TimeEstimate& begins_in, double slowness,
                TimePoint now);
  // Describes an endpoint's slowness and the age of its newest sample.
  std::string SlownessText(const std::string& endpoint) const;
  // Logs that a request is refused since it could not be answered in time.
  void TellTooLate(const PlaceUse& shortest, TimePoint now);
  // Logs how a request for a place ended.
  void TellPlaceOutcome(const PlaceOutcome& outcome, TimePoint now);
  // Logs a trial of a held request.
  void TellTrial(const PoisonVerdict& verdict);
  void TellSurplus(const AnswerHead& answer);
  void TellBroken(const ClientCall::Failure& failure);
  void TellDropped();
  // Logs an attempt without a response to pass on, and the next step.
  void TellTryEnd(AttemptOutcome outcome, NextStep step);
  void TellForward();
  void TellForwardEnd(ForwardOutcome outcome);
  // Logs a request that has ended, with all that decided it.
  void TellEnd(const char* outcome);

  // An attempt is not begun with less time left than a response takes.
  static constexpr milliseconds kLeastTime{30};
  milliseconds TimeLeft(TimePoint now) const;

  Relay* const relay_;
  const std::shared_ptr<ServerExchange> exchange_;
  const CallerRequest request_;
  const std::shared_ptr<const ServiceConfig> config_;  // holds route_
  const ServiceRoute& route_;
  const ApiKeyOwner holder_;
  const ForwardOrigin origin_;
  const RequestTerms terms_;
  const std::string service_;
  const RequestDigest digest_;
  const PartDigests parts_;
  Timer timer_;
  TimePoint deadline_{};
  AttemptHistory log_;
  bool has_run_ = false;  // at any endpoint
  std::set<std::string> tried_;
  std::string last_tried_;
  int dispatches_ = 0;
  TimePoint waited_since_{};  // for a permit
  bool has_asked_for_place_ = false;
  // Of the request for a place or of the place in use; 0: none.
  uint64_t place_ = 0;
  // An endpoint that a permit was asked for; empty: none.
  std::string preferred_;
  ServiceRollouts::Side side_ = ServiceRollouts::Side::kAny;
  bool failed_on_target_ = false;  // of a roll-out
  bool ends_target_ = false;       // ended endpoints of a roll-out's target
  bool is_trial_ = false;          // of a held request: one send
  size_t model_ = 0;               // index among the route's models
  std::optional<EndpointTry> try_;
  int failed_connects_ = 0;
  bool connect_timed_out_ = false;
  struct OpenForward {
    std::string box;
    TimePoint sent_at{};
    std::shared_ptr<ForwardedCall> call;
  };
  std::optional<OpenForward> forward_;
  std::set<std::string> forwarded_to_;  // boxes
  // A stream that is passed on.
  EventStreamSplitter events_;
  bool stream_started_ = false;
  TimePoint first_event_at_{};
  bool resumed_ = false;  // the stream broke and went on elsewhere
  // The last failure an endpoint answered with.
  std::optional<std::pair<HttpHead, std::string>> failure_;
  int answer_status_ = 0;  // that the caller gets; 0: none yet
  bool finished_ = false;
};

}  // namespace leverwick

#endif  // DAEMON_RELAYED_REQUEST_H_
