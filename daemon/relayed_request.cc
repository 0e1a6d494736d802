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
// A try with less time than this is not begun: it could not be answered.
constexpr milliseconds kLeastTime{30};
// Of a caller that names no time on a route without a limit.
constexpr milliseconds kLongestHold{60000};
// Endpoints that could not be reached are not counted as attempts; this
// bounds how many a request looks for.
constexpr int kMostDispatches = 6;
// A caller that reads slower than its endpoint writes stops the reading.
constexpr size_t kMostPending = 256UL * 1024;
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
// When to come back if every endpoint was full: the pool drains some requests
// in this time.
constexpr milliseconds kComeBackAfter{250};

int MaxAttempts(const ServiceRoute& route, const ForwardOrigin& origin) {
  int most = std::max(1, route.max_attempts);
  return origin.box.empty() ? most : std::min(most, origin.max_attempts);
}

// Whether the endpoint ended the connection, not the way to it.
bool IsEndpointsOwn(const ClientCall::Failure& failure) {
  return failure.sent &&
         (failure.garbled || failure.error == Result::kShortAnswer ||
          failure.error == std::errc::connection_reset);
}

// Nothing: it has not run.
std::optional<RunOutcome> RunEndOf(AttemptOutcome outcome) {
  if (outcome == AttemptOutcome::kBroken) return RunOutcome::kDisconnected;
  if (outcome == AttemptOutcome::kFailed) return RunOutcome::kComplete;
  return std::nullopt;
}

// An answer that promises the request was not run, by its status alone.
bool PromisesNotRun(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
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
  PoisonVerdict verdict = relay_->JudgeRequest(digest_, service_, now);
  if (verdict.kind == Kind::kQuarantine) {
    AnswerHeld(verdict);
    return false;
  }
  ends_target_ = verdict.kind == Kind::kAvoidTarget;
  if (verdict.kind == Kind::kTrial) {
    is_trial_ = true;
    relay_->poison_.RecordTrial(digest_, now);
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
  if (PrefersForwarding()) {
    if (Forward()) return;
    if (!MayTryEndpoint()) return AnswerUnreached(Result::kNoEndpoint);
  }
  TimePoint now = Clock::now();
  bool is_asking = AskForPermit(now);
  std::string chosen = ChooseEndpoint(model_);
  const DirectoryEntry* endpoint = relay_->directory_.Find(chosen);
  bool may_wait =
      now - waited_since_ < kMostWaitForPermit && TimeLeft(now) > kLeastTime;
  if (endpoint == nullptr && is_asking && may_wait) {
    auto self = shared_from_this();
    return relay_->limits_.Wait([self] { self->SendOrWait(); });
  }
  bool is_brittle = relay_->brittle_.IsBrittle(service_, now);
  if (endpoint == nullptr && is_brittle && may_wait) return WaitForCapacity();
  ++dispatches_;
  if (endpoint != nullptr) return SendTo(*endpoint);
  Result why = relay_->choice_.ReasonForNone(Wanted(model_), now);
  if (why != Result::kNoEndpoint) TellUnavailable(why, now);
  if (why == Result::kNoEndpoint && Forward()) return;
  AnswerUnreached(why);
}

void RelayedRequest::AnswerUnreached(Result why) {
  if (stream_started_) return BreakStream("stream_broken");
  if (!log_.may_have_run()) return AnswerNotRun(why);
  AnswerFailure(Result::kUnknownOutcome);
}

// Another request of this box may end at a brittle endpoint meanwhile.
void RelayedRequest::WaitForCapacity() {
  auto timer = std::make_shared<boost::asio::steady_timer>(*relay_->loop_,
                                                           kCapacityInterval);
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
  try_->ticket = relay_->loads_.RecordSend(endpoint.id, terms_.Work(model_),
                                           try_->sent_at);
  relay_->rollouts_.RecordSend(service_, request_.session, endpoint.version);
  try_->run = relay_->ends_.runs()->RecordStart(
      digest_, endpoint.id, endpoint.version, try_->sent_at);
  TellSend(endpoint);
  try_->call =
      relay_->connections_.Send(endpoint.address, RequestFor(endpoint), this);
}

std::string RelayedRequest::RequestFor(const DirectoryEntry& endpoint) const {
  EndpointOrder order =
      terms_.OrderFor(endpoint.id, model_, TimeLeft(Clock::now()));
  order.last_event_id = LastEventId();
  HttpHead head = relay_->dialect_->ToEndpoint(exchange_->head(), order);
  const std::string& body = exchange_->body();
  bool has_body = !body.empty() || exchange_->head().has_length;
  if (has_body) head.Set("Content-Length", std::to_string(body.size()));
  return RequestText(head) + body;
}

bool RelayedRequest::OnAnswerHead(const HttpHead& head) {
  AnswerHead answer = relay_->dialect_->ReadAnswer(head);
  if (answer.request_id != request_.id) {
    TellSurplus(answer);
    return false;
  }
  try_->has_head = true;
  if (answer.succeeded())
    relay_->loads_.RecordResponseStart(try_->ticket, Clock::now());
  try_->answer = answer;
  try_->head = head;
  relay_->Heard(*try_);
  relay_->partition_.Contacted(service_);
  if (!answer.not_run && !answer.other_endpoint) NoteRun();
  try_->streams =
      answer.succeeded() && answer.signed_whole && answer.event_stream;
  if (try_->streams) {
    relay_->watch_.Answered(Watched(), false, Clock::now() - try_->sent_at);
  }
  try_->weak = IsTooWeak();
  // Not from inside the reader of the answer that is dropped.
  if (try_->weak) {
    boost::asio::post(*relay_->loop_,
                      [self = shared_from_this()] { self->AskLargerModel(); });
  }
  return true;
}

// A request that runs again, for a better answer or after a failure, counts
// once.
void RelayedRequest::NoteRun() {
  if (has_run_) return;
  has_run_ = true;
  if (!holder_.organisation.empty()) relay_->run_began_(holder_.organisation);
}

bool RelayedRequest::IsTooWeak() {
  const AnswerHead& answer = try_->answer;
  bool could_ask = request_.any_model && route_.repeatable() && !is_trial_ &&
                   answer.succeeded() && answer.confidence && !stream_started_;
  if (!could_ask) return false;
  double confidence = *answer.confidence / 100.0;
  relay_->cascade_.RecordConfidence(route_.name, model_, confidence);
  size_t better = ModelCascade::EscalationModel(route_, model_);
  return better != model_ && relay_->cascade_.IsWeak(confidence) &&
         log_.has_attempts_left() &&
         TimeLeft(Clock::now()) > route_.latency_objective / 4 &&
         CanFinish(better) &&
         relay_->TakeRetry(service_, RetryBudget::Purpose::kBetterResponse);
}

bool RelayedRequest::CanFinish(size_t model) {
  TimePoint now = Clock::now();
  std::string endpoint = ChooseEndpoint(model);
  if (endpoint.empty()) return false;
  TimeEstimate begins_in{
      relay_->loads_.UnloadedWait(endpoint, terms_.Work(model), now),
      relay_->loads_.QueueDelay(endpoint, now)};
  bool fits = relay_->escalation_.FitsDeadline(terms_.KindOf(model), begins_in,
                                               TimeLeft(now), now);
  if (!fits) TellKept(model, begins_in, now);
  return fits;
}

void RelayedRequest::NoteStream(bool whole) {
  if (!stream_started_ || resumed_ || forward_) return;
  TimePoint now = Clock::now();
  relay_->escalation_.RecordStream(
      {terms_.KindOf(model_), events_.event_count(), now - first_event_at_,
       whole},
      now);
}

void RelayedRequest::AskLargerModel() {
  if (finished_ || !try_ || !try_->weak) return;
  if (try_->call) try_->call->Abort();
  ReleaseEndpoint(true, RunOutcome::kAbandoned);
  relay_->metrics_.Add("leverwick_weak_answers_total",
                       "route=\"" + route_.name + "\"", 1);
  events_.DiscardPartialEvent();
  log_.RecordDiscardedResponse();
  // The same endpoint may hold the prompt's parts for the larger model too.
  tried_.clear();
  model_ = ModelCascade::EscalationModel(route_, model_);
  Dispatch();
}

void RelayedRequest::OnAnswerBody(std::string_view bytes) {
  if (try_->weak) return;
  if (try_->streams) return PassEvents(try_->head, bytes);
  try_->body.append(bytes);
}

void RelayedRequest::PassEvents(const HttpHead& head, std::string_view bytes) {
  std::string whole = events_.Append(bytes);
  if (whole.empty()) return;
  if (!stream_started_) {
    stream_started_ = true;
    first_event_at_ = Clock::now();
    HttpHead passed = head;
    RemoveHopFields(&passed);
    RemoveForwardResult(&passed);
    answer_status_ = passed.status;
    exchange_->StartStream(std::move(passed));
  }
  exchange_->Write(whole);
  if (exchange_->pending_bytes() > kMostPending) PauseReading();
}

void RelayedRequest::PauseReading() {
  if (try_ && try_->call) try_->call->PauseReading();
  if (forward_) forward_->call->PauseReading();
}

void RelayedRequest::ResumeReading() {
  if (try_ && try_->call) try_->call->ResumeReading();
  if (forward_) forward_->call->ResumeReading();
}

void RelayedRequest::OnAnswerEnd() {
  auto self = shared_from_this();
  if (try_->weak) return;  // AskLargerModel is on its way
  if (!try_->streams) return OnWholeAnswer();
  if (events_.has_partial_event()) {
    relay_->watch_.StreamBroke(Watched(), Clock::now());
    return EndTry(AttemptOutcome::kBroken);
  }
  ReleaseEndpoint(true, RunOutcome::kComplete);
  relay_->watch_.StreamEnded(Watched());
  if (!stream_started_) return PassAnswer(try_->head, "");
  if (!resumed_) {
    relay_->watch_.Streamed(Watched(), events_.event_count(),
                            Clock::now() - first_event_at_);
  }
  NoteStream(true);
  exchange_->EndStream();
  Finish(kAnswered);
}

void RelayedRequest::OnWholeAnswer() {
  const AnswerHead& answer = try_->answer;
  if (answer.other_endpoint) {
    relay_->directory_.Gone(try_->endpoint, Clock::now());
  }
  if (answer.not_run || answer.other_endpoint) {
    return EndTry(AttemptOutcome::kRefused);
  }
  bool own_failure = answer.status >= 500 || PromisesNotRun(answer.status);
  if (own_failure) {
    relay_->watch_.Answered(Watched(), true, Clock::now() - try_->sent_at);
    failed_on_target_ = try_->version == relay_->rollouts_.TargetFor(service_);
    failure_.reset();
    if (!PromisesNotRun(answer.status)) failure_ = {try_->head, try_->body};
    return EndTry(AttemptOutcome::kFailed);
  }
  if (answer.succeeded() && !answer.signed_whole) {
    return EndTry(AttemptOutcome::kBroken);
  }
  ReleaseEndpoint(true, RunOutcome::kComplete);
  relay_->watch_.Answered(Watched(), false, Clock::now() - try_->sent_at);
  PassAnswer(try_->head, try_->body);
}

void RelayedRequest::OnCallFailed(const ClientCall::Failure& failure) {
  auto self = shared_from_this();
  if (try_->weak) return;  // AskLargerModel is on its way
  TellBroken(failure);
  bool silent = !failure.sent && failure.error == std::errc::timed_out;
  if (silent) relay_->reach_.RecordTimeout(try_->endpoint, Clock::now());
  connect_timed_out_ = connect_timed_out_ || silent;
  if (!failure.sent) {
    ++failed_connects_;
    relay_->partition_.ConnectFailed(service_, try_->endpoint, failure.error);
  }
  relay_->loads_.RecordFailure(try_->ticket, try_->data_centre, Clock::now());
  std::string endpoint = try_->endpoint;
  // Before the next send: a run that begins after an end is not under it.
  TimePoint broke_at = Clock::now();
  if (try_->streams && IsEndpointsOwn(failure)) {
    relay_->watch_.StreamBroke(Watched(), Clock::now());
  }
  EndTry(failure.sent ? AttemptOutcome::kBroken : AttemptOutcome::kNotSent);
  NoteBreak(endpoint, failure, broke_at);
}

void RelayedRequest::NoteBreak(const std::string& endpoint,
                               const ClientCall::Failure& failure,
                               TimePoint broke_at) {
  bool refused =
      !failure.sent && failure.error == std::errc::connection_refused;
  if (refused) relay_->ends_.Refused(endpoint, broke_at);
  bool broke = IsEndpointsOwn(failure) && !failure.garbled;
  if (broke) relay_->ends_.Broke(endpoint, broke_at);
}

bool RelayedRequest::MayResend(AttemptOutcome outcome) {
  if (dispatches_ >= kMostDispatches || is_trial_) return false;
  if (TimeLeft(Clock::now()) < kLeastTime) return false;
  // What an earlier retry took from the budget has not been used.
  bool never_left = outcome == AttemptOutcome::kNotSent;
  return never_left ||
         relay_->TakeRetry(service_, RetryBudget::Purpose::kFirstResponse);
}

void RelayedRequest::EndTry(AttemptOutcome outcome) {
  bool refused = outcome == AttemptOutcome::kRefused;
  ReleaseEndpoint(refused, RunEndOf(outcome));
  events_.DiscardPartialEvent();
  bool promised = try_->has_head && PromisesNotRun(try_->answer.status);
  // The budget is drawn on only where the route lets the request go again.
  bool could = outcome == AttemptOutcome::kNotSent ||
               (log_.has_attempts_left() &&
                (route_.repeatable() || (refused && !log_.may_have_run())));
  NextStep step = log_.DecideNextStep(outcome, could && MayResend(outcome));
  TellTryEnd(outcome, step);
  if (step == NextStep::kRetry) {
    resumed_ = stream_started_;
    return Dispatch();
  }
  if (stream_started_) return BreakStream("stream_broken");
  if (step == NextStep::kRespondNotRun) {
    return AnswerNotRun(refused ? WhyRefused() : Result::kNoEndpoint);
  }
  AnswerFailure(promised ? Result::kFailed : Result::kUnknownOutcome);
}

Result RelayedRequest::WhyRefused() {
  TimePoint now = Clock::now();
  EndpointCriteria anew = Wanted(model_);
  anew.attempted.clear();
  if (!relay_->choice_.Select(anew, now).empty()) {
    return Result::kEndpointRefused;
  }
  return relay_->choice_.ReasonForNone(anew, now);
}

void RelayedRequest::ReleaseEndpoint(bool good, std::optional<RunOutcome> how) {
  relay_->pool_.RecordCompletion(try_->endpoint, good, Clock::now());
  relay_->demand_.RecordEnd(service_, Clock::now());
  relay_->brittle_.RecordEnd(try_->endpoint);
  relay_->loads_.RecordFinish(try_->ticket);
  RecentRuns* runs = relay_->ends_.runs();
  if (how) {
    runs->RecordEnd(try_->endpoint, try_->run, *how, Clock::now());
  } else {
    runs->Discard(try_->endpoint, try_->run);
  }
  try_->call.reset();
}

WatchedTry RelayedRequest::Watched() const {
  std::string model;
  if (!route_.models.empty()) model = route_.models[model_];
  return {service_, try_->version, route_.name, model, try_->endpoint};
}

void RelayedRequest::TimeUnended() {
  TimePoint now = Clock::now();
  if (!try_->has_head) {
    return relay_->watch_.GaveUp(Watched(), now - try_->sent_at);
  }
  if (!stream_started_ || resumed_ || try_->weak) return;
  relay_->watch_.CutShort(Watched(), events_.event_count(),
                          now - first_event_at_);
}

void RelayedRequest::PassAnswer(HttpHead head, const std::string& body) {
  RemoveHopFields(&head);
  RemoveForwardResult(&head);
  answer_status_ = head.status;
  exchange_->Answer(std::move(head), body);
  Finish(kAnswered);
}

void RelayedRequest::AnswerNotRun(Result result) {
  milliseconds come_back_after = kComeBackAfter;
  if (result != Result::kEndpointRefused && result != Result::kQueueTimeout) {
    come_back_after = relay_->choice_.RetryAfter(Wanted(model_), Clock::now());
  }
  // All who were refused would otherwise come back at the same moment.
  bool share_end = result == Result::kEndpointsLimited ||
                   result == Result::kEndpointsBackOff;
  if (share_end) {
    come_back_after += std::chrono::duration_cast<milliseconds>(kSpreadReturns *
                                                                relay_->Draw());
  }
  AnswerNotRun(result, come_back_after);
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
  if (failure_) return PassAnswer(failure_->first, failure_->second);
  AnswerOwn(own_result);
}

void RelayedRequest::BreakStream(const char* outcome) {
  exchange_->BreakOff();
  Finish(outcome);
}

void RelayedRequest::OnTimeUp() {
  if (finished_) return;
  bool sent = (try_ && try_->call && try_->call->sent()) ||
              (forward_ && forward_->call->sent());
  if (stream_started_) {
    NoteStream(false);
    return BreakStream("stream_timed_out");
  }
  if (!sent && !log_.may_have_run()) return AnswerNotRun(Result::kQueueTimeout);
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
