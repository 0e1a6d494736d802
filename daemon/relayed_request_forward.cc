// A request is forwarded once over the whole path: a box that got it from
// another one never forwards it. It is forwarded to several boxes in turn only
// while each of them says that it has not run, or if it may run again.
//
// A box that gets the request may use all attempts but one, which is kept for
// the case that the connection to it breaks.

#include <algorithm>

#include "daemon/relayed_request.h"

namespace leverwick {
namespace {

// Boxes that one request is forwarded to.
constexpr size_t kMaxForwards = 3;
// Refused connections of one request after which it is forwarded. A connection
// that timed out is enough, since it has used up much of the caller's time.
constexpr int kFailedConnects = 5;

}  // namespace

bool RelayedRequest::PrefersForwarding() const {
  return connect_timed_out_ || failed_connects_ >= kFailedConnects ||
         relay_->partition_.IsPartitioned(service_);
}

bool RelayedRequest::MayTryEndpoint() {
  bool is_partitioned = relay_->partition_.IsPartitioned(service_);
  if (!is_partitioned) return true;
  // A box without others has no better way.
  if (!is_forwarded() && !relay_->forwarder_.has_peers()) return true;
  return relay_->partition_.TakeTrial(service_);
}

ForwardOrigin RelayedRequest::OriginFor(int max_attempts) const {
  ForwardOrigin origin;
  origin.box = relay_->forwarder_.box();
  origin.time_left = TimeLeft(Clock::now());
  origin.config_version = config_->version();
  origin.max_attempts = max_attempts;
  origin.side = side_;
  origin.last_event_id = LastEventId();
  return origin;
}

bool RelayedRequest::Forward() {
  TimePoint now = Clock::now();
  bool may_forward = !is_forwarded() && !is_trial_ &&
                     forwarded_to_.size() < kMaxForwards &&
                     log_.has_attempts_left() && TimeLeft(now) >= kLeastTime &&
                     (route_.repeatable() || !log_.may_have_run()) &&
                     relay_->choice_.HasListed(Wanted(model_));
  if (!may_forward) return false;
  const ForwardPeer* peer = relay_->forwarder_.Pick(forwarded_to_, now);
  if (peer == nullptr) return false;
  forwarded_to_.insert(peer->name);
  int max_attempts = std::max(1, log_.attempts_left() - 1);
  log_.RecordAttempt(max_attempts);
  ForwardedCall::Listener* listener = this;
  forward_ = OpenForward{
      peer->name, now,
      std::make_shared<ForwardedCall>(relay_->dialect_, request_.id, listener)};
  TellForward();
  ForwardMessage message;
  message.start = EncodeForwardStart(
      exchange_->head(), exchange_->body().size(), OriginFor(max_attempts));
  message.body = exchange_->shared_body();
  relay_->forwarder_.Send(*peer, message, forward_->call.get());
  return true;
}

void RelayedRequest::EndForward(ForwardOutcome outcome) {
  TimePoint now = Clock::now();
  relay_->forwarder_.RecordEnd(forward_->box, outcome, now);
  TellForwardEnd(outcome);
  forward_.reset();
}

void RelayedRequest::ForwardElsewhere(ForwardOutcome outcome) {
  EndForward(outcome);
  log_.DecideNextStep(AttemptOutcome::kNotSent, true);
  Dispatch();
}

void RelayedRequest::OnForwardEvents(const HttpHead& head,
                                     std::string_view bytes) {
  PassEvents(head, bytes);
}

void RelayedRequest::OnForwardStreamEnd(const HttpHead& head) {
  auto self = shared_from_this();
  if (events_.has_partial_event()) return OnForwardFailed(true);
  EndForward(ForwardOutcome::kServed);
  if (!stream_started_) return PassAnswer(head, "");
  exchange_->EndStream();
  Finish(kAnswered);
}

void RelayedRequest::OnForwardResponse(const HttpHead& head,
                                       const std::string& body) {
  auto self = shared_from_this();
  EndForward(ForwardOutcome::kServed);
  if (stream_started_) return BreakStream("stream_broken");
  PassAnswer(head, body);
}

void RelayedRequest::OnForwardResult(const ForwardResult& result) {
  auto self = shared_from_this();
  if (IsDeclined(result.result)) {
    return ForwardElsewhere(ForwardOutcome::kDeclined);
  }
  EndForward(ForwardOutcome::kServed);
  if (stream_started_) return BreakStream("stream_broken");
  const ResultInfo& info = ResultInfoFor(result.result);
  if (info.run_state != RunState::kNotRun) return AnswerFailure(result.result);
  if (log_.may_have_run()) return AnswerFailure(Result::kUnknownOutcome);
  AnswerNotRun(result.result, result.retry_after);
}

void RelayedRequest::OnForwardFailed(bool sent) {
  auto self = shared_from_this();
  events_.DiscardPartialEvent();
  if (!sent) return ForwardElsewhere(ForwardOutcome::kFailed);
  EndForward(ForwardOutcome::kFailed);
  bool may_retry =
      route_.repeatable() && log_.has_attempts_left() &&
      TimeLeft(Clock::now()) >= kLeastTime &&
      relay_->TakeRetry(service_, RetryBudget::Purpose::kFirstResponse);
  NextStep step = log_.DecideNextStep(AttemptOutcome::kBroken, may_retry);
  if (step == NextStep::kRetry) {
    resumed_ = stream_started_;
    return Dispatch();
  }
  if (stream_started_) return BreakStream("stream_broken");
  AnswerFailure(Result::kUnknownOutcome);
}

}  // namespace leverwick
