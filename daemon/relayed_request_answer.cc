// What an endpoint's answer, or its lack, means for the request: the answer is
// passed on, dropped for a larger model's, or the request goes on elsewhere.

#include <algorithm>
#include <boost/asio/post.hpp>

#include "daemon/relayed_request.h"

namespace leverwick {
namespace {

// Endpoints that could not be reached are not counted as attempts; this
// bounds how many a request looks for.
constexpr int kMostDispatches = 6;
// A caller that reads slower than its endpoint writes stops the reading.
constexpr size_t kMostPending = 256UL * 1024;

// Bytes of an event that is not complete yet. Usual events have some hundred.
constexpr size_t kLargeEvent = 64UL * 1024;

// Whether the endpoint ended the connection, not the way to it.
bool IsEndpointsOwn(const ClientCall::Failure& failure) {
  return failure.sent &&
         (failure.garbled || failure.error == Result::kShortAnswer ||
          failure.error == std::errc::connection_reset);
}

// Nothing: it has not run.
std::optional<RunOutcome> RunEndOf(AttemptOutcome outcome) {
  if (outcome == AttemptOutcome::kBroken) return RunOutcome::kDisconnected;
  if (outcome == AttemptOutcome::kFailed) return RunOutcome::kFailed;
  return std::nullopt;
}

// An answer that promises the request was not run, by its status alone.
bool PromisesNotRun(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

}  // namespace

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
  double slowness = relay_->loads_.speeds()->Slowness(endpoint, now);
  bool fits = relay_->escalation_.FitsDeadline(terms_.KindOf(model), begins_in,
                                               slowness, TimeLeft(now), now);
  if (!fits) TellKept(model, begins_in, slowness, now);
  return fits;
}

void RelayedRequest::NoteStream(bool whole) {
  if (!stream_started_ || resumed_ || forward_) return;
  TimePoint now = Clock::now();
  double slowness = relay_->loads_.speeds()->Slowness(try_->endpoint, now);
  relay_->escalation_.RecordStream(
      {terms_.KindOf(model_), events_.event_count(), now - first_event_at_,
       whole, slowness},
      now);
}

void RelayedRequest::NotePace(std::optional<Seconds> interval, TimePoint now) {
  if (!interval) return;
  relay_->loads_.RecordPace(try_->endpoint, terms_.Work(model_).kind, *interval,
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
  bool has_known_length = try_->head.has_length && !try_->head.chunked;
  if (!has_known_length) return NoteHeldBytes(try_->body.size());
  if (!relay_->answer_reads_.Record(try_->run, try_->body.size()))
    PauseReading();
}

bool RelayedRequest::ResumeAnswer(uint64_t run) {
  bool is_own = try_ && try_->call && try_->run == run;
  if (is_own) try_->call->ResumeReading();
  return is_own;
}

void RelayedRequest::NoteHeldBytes(size_t bytes) {
  relay_->held_answers_.Record(try_->run, bytes);
  relay_->DropLargestAnswer();
}

// Not from inside the reader of the answer that is dropped.
bool RelayedRequest::DropAnswer(uint64_t run) {
  bool is_own = try_ && try_->call && try_->run == run;
  if (!is_own) return false;
  boost::asio::post(*relay_->loop_, [self = shared_from_this(), run] {
    bool is_over = self->finished_ || !self->try_ || !self->try_->call ||
                   self->try_->run != run;
    if (is_over) return;
    self->TellDropped();
    self->try_->call->Abort();
    self->EndTry(AttemptOutcome::kBroken);
  });
  return true;
}

void RelayedRequest::PassEvents(const HttpHead& head, std::string_view bytes) {
  size_t events_before = events_.event_count();
  std::string whole = events_.Append(bytes);
  bool is_large = events_.partial_event_bytes() > kLargeEvent;
  if (is_large && try_ && try_->call && !forward_)
    NoteHeldBytes(events_.partial_event_bytes());
  if (whole.empty()) return;
  if (try_ && try_->call && !forward_) {
    TimePoint now = Clock::now();
    size_t events = events_.event_count() - events_before;
    NotePace(try_->pace.RecordEvents(events, now), now);
  }
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
  if (try_ && try_->call) {
    try_->pace = {};  // the pause was this box's
    try_->call->ResumeReading();
  }
  if (forward_) forward_->call->ResumeReading();
}

void RelayedRequest::OnAnswerEnd() {
  auto self = shared_from_this();
  if (try_->weak) return;  // AskLargerModel is on its way
  if (!try_->head.has_length)
    relay_->ends_.EndedWithConnection(try_->endpoint, Clock::now());
  if (!try_->streams) return OnWholeAnswer();
  // Without an event, a stream that ends with its connection has most likely
  // not begun; one that is resumed may have had its last event before.
  bool has_begun = events_.event_count() > 0 || !LastEventId().empty();
  bool is_cut =
      events_.has_partial_event() || (!try_->head.has_length && !has_begun);
  if (is_cut) {
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
  NotePace(try_->pace.Finish(), Clock::now());
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
    if (!PromisesNotRun(answer.status))
      failure_ = {try_->head, std::move(try_->body)};
    return EndTry(AttemptOutcome::kFailed);
  }
  if (answer.succeeded() && !answer.signed_whole) {
    return EndTry(AttemptOutcome::kBroken);
  }
  ReleaseEndpoint(
      true, answer.succeeded() ? RunOutcome::kComplete : RunOutcome::kFailed);
  TimePoint now = Clock::now();
  if (try_->had_free_place)
    relay_->room_.RecordResponse(service_, now - try_->sent_at, now);
  relay_->watch_.Answered(Watched(), false, now - try_->sent_at);
  // The caller has the head of a stream, which this is no rest of.
  if (stream_started_) return BreakStream("stream_broken");
  PassAnswer(try_->head, std::move(try_->body));
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
  if (failure.closed_unanswered) {
    relay_->partition_.ClosedUnanswered(service_, try_->endpoint);
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
  relay_->ReleaseAnswer(try_->run);
  ReleasePlace();
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

}  // namespace leverwick
