// The caller learns "not run" only from AnswerNotRun, which is reached only
// while no byte of the request left this box or each endpoint that got it
// said that it did not run it.

#include "daemon/relayed_request.h"

#include <algorithm>
#include <boost/asio/post.hpp>

namespace leverwick {
namespace {

// What an answer needs to reach the caller before it stops waiting.
constexpr milliseconds kReturnTime{20};
// Of a caller that names no time on a route without a limit.
constexpr milliseconds kLongestHold{60000};
// How long a request that only limits keep from all endpoints goes on asking
// for a permit: boxes answer within a few ms, far ones within some tens.
constexpr milliseconds kMostWaitForPermit{100};
// Between two looks for capacity of brittle endpoints.
constexpr milliseconds kCapacityInterval{20};
// Endpoints whose limit this box deals out itself that one request asks for in
// a row: more than a service most likely has in need at once.
constexpr int kMostAsksAtOnce = 16;
// Callers that no endpoint has room for come back spread over this.
constexpr milliseconds kSpreadReturns{1000};
// When to come back if the time of a request at the endpoints is not known: the
// pool drains some requests in this time.
constexpr milliseconds kComeBackAfter{250};
// A body that is shorter is sent with its head in one call, from a copy.
constexpr size_t kShortBody = 16UL * 1024;

int MaxAttempts(const ServiceRoute& route, const ForwardOrigin& origin) {
  int most = std::max(1, route.max_attempts);
  return origin.box.empty() ? most : std::min(most, origin.max_attempts);
}

}  // namespace

RelayedRequest::RelayedRequest(Relay* relay,
                               std::shared_ptr<ServerExchange> exchange,
                               CallerRequest request, const ServiceRoute& route,
                               ApiKeyOwner holder, ForwardOrigin origin)
    : relay_(relay),
      exchange_(std::move(exchange)),
      request_(std::move(request)),
      config_(relay->config_),
      route_(route),
      holder_(std::move(holder)),
      origin_(std::move(origin)),
      terms_(&request_, &route_, &holder_),
      service_(PickService(route, relay->Draw())),
      digest_(ComputeRequestDigest({request_.host, exchange_->head().target,
                                    holder_.organisation, exchange_->body()})),
      parts_(ComputePartDigests(service_, request_.prompt)),
      timer_(*relay->loop_),
      log_(route.repeatable(), MaxAttempts(route, origin_)) {}

void RelayedRequest::Start() {
  auto self = shared_from_this();
  milliseconds hold =
      route_.timeout.count() > 0 ? route_.timeout : kLongestHold;
  std::optional<milliseconds> patience = request_.patience;
  if (is_forwarded()) patience = origin_.time_left;
  if (patience) hold = std::min(hold, *patience - kReturnTime);
  deadline_ = exchange_->received() + hold;
  timer_.expires_at(deadline_);
  timer_.async_wait([self](auto error) {
    if (!error) self->OnTimeUp();
  });
  exchange_->OnLeft([self] { self->OnCallerLeft(); });
  exchange_->OnDrained([self] { self->ResumeReading(); });
  if (is_forwarded()) {
    relay_->forwarder_.admission()->RecordStart(exchange_->body().size());
  }
  relay_->BudgetOf(service_)->RecordRequest();
  side_ = origin_.side;
  if (side_ == ServiceRollouts::Side::kAny) {
    side_ = relay_->rollouts_.SideFor(service_, terms_.session_or_id(),
                                      Clock::now());
  }
  relay_->rollouts_.RecordRequestStart(service_, request_.session,
                                       Clock::now());
  if (request_.any_model) {
    model_ = relay_->cascade_.ChooseFirstModel(
        route_, config_->FindService(service_), relay_->Draw());
  }
  Dispatch();
}

milliseconds RelayedRequest::TimeLeft(TimePoint now) const {
  return std::chrono::duration_cast<milliseconds>(deadline_ - now);
}

EndpointCriteria RelayedRequest::Wanted(size_t model) {
  using Side = ServiceRollouts::Side;
  // A roll-out was ordered after the request began: it began on the version
  // before, and its session stays there.
  bool ordered_since =
      side_ == Side::kAny && !relay_->rollouts_.TargetFor(service_).empty();
  if (ordered_since) side_ = Side::kBaseline;
  // What a new version failed to answer, the version before it may.
  if (failed_on_target_ || ends_target_) side_ = Side::kBaseline;
  // A target that was found bad meanwhile gets nothing more.
  if (!relay_->rollouts_.MayUseTarget(service_)) side_ = Side::kBaseline;
  EndpointCriteria wanted;
  wanted.service = service_;
  wanted.side = side_;
  wanted.affinity = terms_.affinity();
  wanted.request_hash = StableHash(request_.id);
  wanted.work = terms_.Work(model);
  wanted.body_bytes = exchange_->body().size();
  wanted.homes = terms_.homes();
  wanted.attempted = tried_;
  wanted.last_attempted = last_tried_;
  return wanted;
}

std::string RelayedRequest::ChooseEndpoint(size_t model) {
  return relay_->choice_.Select(Wanted(model), Clock::now());
}

// Looked up before each send, since what other boxes have found may have come
// meanwhile. Not for the sake of this try, which has bounds of its own: a
// request that ends endpoints comes again under other ids, at any box, and goes
// on to end them where nothing outlives a try.
bool RelayedRequest::MaySendOn() {
  using Kind = PoisonVerdict::Kind;
  TimePoint now = Clock::now();
  PoisonVerdict verdict = relay_->JudgeRequest(digest_, parts_, service_, now);
  if (verdict.may_claim_trial)
    relay_->poison_parts_.ClaimTrial(verdict.parts, now);
  if (verdict.kind == Kind::kQuarantine) {
    AnswerHeld(verdict);
    return false;
  }
  ends_target_ = verdict.kind == Kind::kAvoidTarget;
  if (verdict.kind == Kind::kTrial) {
    is_trial_ = true;
    relay_->poison_.RecordTrial(digest_, now);
    relay_->poison_parts_.RecordTrial(verdict.parts, now);
    TellTrial(verdict);
  }
  return true;
}

void RelayedRequest::AnswerHeld(const PoisonVerdict& verdict) {
  if (stream_started_) return BreakStream("stream_broken");
  if (log_.may_have_run()) return AnswerFailure(Result::kEndsEndpoints);
  // To come back helps only if a trial is due while the caller still waits.
  std::optional<milliseconds> come_back_after = verdict.time_until_trial;
  bool in_time = come_back_after && *come_back_after < TimeLeft(Clock::now());
  if (!in_time) come_back_after.reset();
  AnswerNotRun(Result::kHeld, come_back_after);
}

void RelayedRequest::Dispatch() {
  if (finished_ || !MaySendOn()) return;
  waited_since_ = Clock::now();
  SendOrWait();
}

void RelayedRequest::SendOrWait() {
  if (finished_) return;
  // The timer of the deadline may fire after what led here.
  if (TimeLeft(Clock::now()) <= milliseconds(0)) return OnTimeUp();
  if (PrefersForwarding()) {
    if (Forward()) return;
    if (!MayTryEndpoint()) return AnswerUnreached(Result::kNoEndpoint);
  }
  TimePoint now = Clock::now();
  if (AskForPlace(now)) return;
  bool is_asking = AskForPermit(now);
  std::string chosen = ChooseEndpoint(model_);
  const DirectoryEntry* endpoint = relay_->directory_.Find(chosen);
  bool may_wait =
      now - waited_since_ < kMostWaitForPermit && TimeLeft(now) > kLeastTime;
  if (endpoint == nullptr && is_asking && may_wait) {
    auto self = shared_from_this();
    return relay_->limits_.Wait([self] { self->SendOrWait(); });
  }
  if (endpoint == nullptr && relay_->brittle_.IsBrittle(service_, now)) {
    bool has_part = relay_->HasCapacityShare(service_);
    if (!has_part && is_forwarded())
      return AnswerUnreached(Result::kNoEndpoint);
    if (!has_part && Forward()) return;
    if (may_wait) return WaitForCapacity();
  }
  ++dispatches_;
  if (endpoint != nullptr && RefuseIfTooLate(*endpoint, now)) return;
  if (endpoint != nullptr) return SendTo(*endpoint);
  Result why = relay_->choice_.ReasonForNone(Wanted(model_), now);
  if (why != Result::kNoEndpoint) TellUnavailable(why, now);
  if (why == Result::kNoEndpoint && Forward()) return;
  AnswerUnreached(why);
}

std::optional<PlaceUse> RelayedRequest::PlaceUseAt(
    const DirectoryEntry& endpoint) const {
  if (!endpoint.lists_places || terms_.Work(model_).is_for_model())
    return std::nullopt;
  return PlaceUse{endpoint.places, relay_->loads_.RunningAt(endpoint.id)};
}

// The other endpoints are looked at only if the chosen one is too late.
bool RelayedRequest::RefuseIfTooLate(const DirectoryEntry& chosen,
                                     TimePoint now) {
  if (stream_started_ || log_.may_have_run()) return false;
  std::optional<PlaceUse> use = PlaceUseAt(chosen);
  Seconds time_left = TimeLeft(now);
  auto is_too_late = [&](const PlaceUse& queue) {
    return relay_->room_.IsTooLate(service_, queue, time_left, now);
  };
  if (!use || !is_too_late(*use)) return false;
  std::optional<PlaceUse> shortest =
      relay_->choice_.ShortestQueue(Wanted(model_), now);
  if (!shortest || !is_too_late(*shortest)) return false;
  TellTooLate(*shortest, now);
  AnswerNotRun(Result::kQueueTimeout);
  return true;
}

void RelayedRequest::AnswerUnreached(Result why) {
  if (stream_started_) return BreakStream("stream_broken");
  if (!log_.may_have_run()) return AnswerNotRun(why);
  AnswerFailure(Result::kUnknownOutcome);
}

// Another request of this box may end at a brittle endpoint meanwhile.
void RelayedRequest::WaitForCapacity() {
  auto timer = std::make_shared<Timer>(*relay_->loop_, kCapacityInterval);
  timer->async_wait([self = shared_from_this(), timer](auto error) {
    if (!error) self->SendOrWait();
  });
}

// A limit is one sum over all boxes, which no box sees: each may be within it
// while the endpoint gets a multiple. So a request takes an endpoint that names
// one only with a permit of the boxes that deal it out.
bool RelayedRequest::AskForPermit(TimePoint now) {
  preferred_.clear();
  if (!relay_->limits_.limits().any()) return false;
  SendPermits* permits = relay_->limits_.permits();
  for (int asks = 0; asks < kMostAsksAtOnce; ++asks) {
    std::string wished =
        relay_->choice_.SelectForPermitRequest(Wanted(model_), now);
    const DirectoryEntry* endpoint = relay_->directory_.Find(wished);
    if (endpoint == nullptr) return false;
    preferred_ = wished;
    permits->RequestPermit(wished, endpoint->data_centre, now);
    if (permits->IsRequestPending(wished)) return true;
    // This box deals it out itself and has answered.
  }
  return false;
}

void RelayedRequest::SendTo(const DirectoryEntry& endpoint) {
  tried_.insert(endpoint.id);
  last_tried_ = endpoint.id;
  log_.RecordAttempt();
  relay_->pool_.RecordStart(endpoint.id);
  relay_->demand_.RecordStart(service_, Clock::now());
  relay_->gates_.RecordSend(endpoint.id, endpoint.places, Clock::now());
  try_.emplace();
  try_->endpoint = endpoint.id;
  try_->version = endpoint.version;
  try_->data_centre = endpoint.data_centre;
  try_->sent_at = Clock::now();
  std::optional<PlaceUse> use = PlaceUseAt(endpoint);
  try_->had_free_place = use && (use->has_free_place() || place_ != 0);
  SendBounds bounds;
  bounds.time_left = TimeLeft(try_->sent_at);
  if (endpoint.lists_places) bounds.places = endpoint.places;
  try_->ticket = relay_->loads_.RecordSend(endpoint.id, terms_.Work(model_),
                                           bounds, try_->sent_at);
  relay_->rollouts_.RecordSend(service_, request_.session, endpoint.version);
  try_->run = relay_->ends_.runs()->RecordStart(
      digest_, endpoint.id, endpoint.version, try_->sent_at, parts_);
  TellSend(endpoint);
  try_->call =
      relay_->connections_.Send(endpoint.address, RequestFor(endpoint), this);
}

ClientRequest RelayedRequest::RequestFor(const DirectoryEntry& endpoint) const {
  EndpointOrder order =
      terms_.OrderFor(endpoint.id, model_, TimeLeft(Clock::now()));
  order.last_event_id = LastEventId();
  HttpHead head = relay_->dialect_->ToEndpoint(exchange_->head(), order);
  const std::string& body = exchange_->body();
  bool has_body = !body.empty() || exchange_->head().has_length;
  if (has_body) head.Set("Content-Length", std::to_string(body.size()));
  if (body.size() < kShortBody)
    return {RequestText(head) + body, nullptr, request_.id};
  return {RequestText(head), exchange_->shared_body(), request_.id};
}

void RelayedRequest::PassAnswer(HttpHead head, std::string body) {
  RemoveHopFields(&head);
  RemoveForwardResult(&head);
  answer_status_ = head.status;
  exchange_->Answer(std::move(head), std::move(body));
  Finish(kAnswered);
}

void RelayedRequest::AnswerNotRun(Result result) {
  TimePoint now = Clock::now();
  bool lacks_room =
      result == Result::kEndpointRefused || result == Result::kQueueTimeout;
  if (lacks_room) return AnswerNotRun(result, ComeBackForRoom(now));
  milliseconds come_back_after =
      relay_->choice_.RetryAfter(Wanted(model_), now);
  // All who were refused would otherwise come back at the same moment.
  bool share_end = result == Result::kEndpointsLimited ||
                   result == Result::kEndpointsBackOff;
  if (share_end) {
    come_back_after += std::chrono::duration_cast<milliseconds>(kSpreadReturns *
                                                                relay_->Draw());
  }
  AnswerNotRun(result, come_back_after);
}

milliseconds RelayedRequest::ComeBackForRoom(
    TimePoint now, std::optional<Seconds> time_until_room) {
  Seconds waited = now - exchange_->received();
  RefusedRequest refused;
  refused.mean_time = kComeBackAfter;
  refused.priority = holder_.priority.value_or(route_.priority);
  refused.time_left = TimeLeft(now);
  if (request_.patience) refused.time_left = *request_.patience - waited;
  refused.draw = relay_->Draw();
  std::optional<Seconds> mean = relay_->room_.ConfirmedMeanTime(service_, now);
  EndpointCriteria any = Wanted(model_);
  any.attempted.clear();
  std::optional<PlaceUse> shortest = relay_->choice_.ShortestQueue(any, now);
  if (mean && shortest) {
    refused.mean_time = *mean;
    refused.time_until_room = relay_->room_.ExpectedWait(service_, *shortest);
  }
  if (time_until_room) refused.time_until_room = *time_until_room;
  milliseconds time = ComeBackAfter(refused);
  relay_->metrics_.Time("leverwick_come_back_seconds",
                        "route=\"" + route_.name + "\"", time);
  return time;
}

void RelayedRequest::AnswerNotRun(Result result,
                                  std::optional<milliseconds> come_back_after) {
  answer_status_ = ResultInfoFor(result).http_status;
  relay_->Refuse(exchange_, request_.id, result, come_back_after);
  Finish("not_run");
}

void RelayedRequest::AnswerOwn(Result result) {
  answer_status_ = ResultInfoFor(result).http_status;
  relay_->Refuse(exchange_, request_.id, result, {});
  Finish(ResultInfoFor(result).name);
}

void RelayedRequest::AnswerFailure(Result own_result) {
  if (failure_) return PassAnswer(failure_->first, std::move(failure_->second));
  AnswerOwn(own_result);
}

void RelayedRequest::BreakStream(const char* outcome) {
  exchange_->BreakOff();
  Finish(outcome);
}

bool RelayedRequest::MayHaveRun() const {
  bool is_sent = (try_ && try_->call && try_->call->sent()) ||
                 (forward_ && forward_->call->sent());
  return is_sent || log_.may_have_run();
}

void RelayedRequest::EndForStop() {
  if (finished_) return;
  if (stream_started_) return BreakStream("stream_cut_by_stop");
  if (!MayHaveRun()) return AnswerNotRun(Result::kStopping);
  AnswerOwn(Result::kUnknownOutcome);
}

void RelayedRequest::OnTimeUp() {
  if (finished_) return;
  if (stream_started_) {
    NoteStream(false);
    return BreakStream("stream_timed_out");
  }
  if (!MayHaveRun()) return AnswerNotRun(Result::kQueueTimeout);
  AnswerOwn(Result::kDeadline);
}

void RelayedRequest::OnCallerLeft() { Finish("caller_left"); }

void RelayedRequest::Finish(const char* outcome) {
  if (finished_) return;
  finished_ = true;
  auto self = shared_from_this();
  timer_.cancel();
  exchange_->OnLeft(nullptr);
  exchange_->OnDrained(nullptr);
  if (try_ && try_->call) {
    TimeUnended();
    try_->call->Abort();
    ReleaseEndpoint(true, RunOutcome::kAbandoned);
  }
  ReleasePlace();
  if (forward_) {
    forward_->call->Abort();
    EndForward(ForwardOutcome::kAborted);
  }
  if (is_forwarded()) {
    relay_->forwarder_.admission()->RecordEnd(exchange_->body().size());
  }
  relay_->rollouts_.RecordRequestEnd(service_, request_.session, Clock::now());
  TellEnd(outcome);
  relay_->open_.erase(self);
}

}  // namespace leverwick
