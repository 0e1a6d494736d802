// A box knows the requests at endpoints of its own data centre. If none of
// these has a free place, or if there is none and no other endpoint seems to
// have one, it asks the granters of several endpoints and holds the request
// meanwhile (leverwick/place_claim.h). A request asks once; further sends are
// decided as if there were no granters.

#include <algorithm>

#include "daemon/relayed_request.h"
#include "leverwick/digest.h"

namespace leverwick {

bool RelayedRequest::NeedsGrant(const std::vector<EndpointQueue>& queues,
                                TimePoint now) {
  auto is_near = [](const EndpointQueue& queue) { return queue.is_near; };
  bool any_near = std::any_of(queues.begin(), queues.end(), is_near);
  bool has_free_place = std::any_of(
      queues.begin(), queues.end(), [&](const EndpointQueue& queue) {
        return queue.is_near == any_near && queue.use.has_free_place();
      });
  if (!has_free_place) relay_->shortages_.RecordShortage(service_, now);
  return relay_->shortages_.IsShort(service_, now);
}

bool RelayedRequest::AskForPlace(TimePoint now) {
  // A stream is in time by its first event, but holds its place to its last.
  bool may_ask = relay_->places_ != nullptr && !has_asked_for_place_ &&
                 route_.kind != RouteKind::kStream && !is_trial_ &&
                 !stream_started_ && !log_.may_have_run() &&
                 !terms_.Work(model_).is_for_model();
  if (!may_ask) return false;
  std::vector<EndpointQueue> queues =
      relay_->choice_.Queues(Wanted(model_), now);
  if (queues.empty() || !NeedsGrant(queues, now)) return false;
  std::vector<std::string> endpoints;
  for (const EndpointQueue& queue : queues) {
    if (endpoints.size() < PlaceClaim::kMaxEndpoints)
      endpoints.push_back(queue.endpoint);
  }
  has_asked_for_place_ = true;
  auto self = shared_from_this();
  place_ = relay_->places_->Ask(
      RequestForPlace(), endpoints,
      [self](const PlaceOutcome& outcome) { self->OnPlaceOutcome(outcome); });
  return place_ != 0;
}

PlaceRequest RelayedRequest::RequestForPlace() const {
  TimePoint now = Clock::now();
  PlaceRequest request;
  request.organisation = holder_.organisation;
  request.priority = holder_.priority.value_or(route_.priority);
  request.fingerprint = StableHash(digest_.bytes());
  request.arrived_at = exchange_->received();
  request.give_up_at = deadline_;
  TimePoint due = request.arrived_at + route_.latency_objective;
  bool has_objective = route_.latency_objective.count() > 0 && due > now;
  request.due_at = has_objective ? std::min(due, deadline_) : deadline_;
  request.mean_time = relay_->room_.ConfirmedMeanTime(service_, now);
  return request;
}

void RelayedRequest::OnPlaceOutcome(const PlaceOutcome& outcome) {
  if (finished_) return;
  TimePoint now = Clock::now();
  TellPlaceOutcome(outcome, now);
  switch (outcome.state) {
    case PlaceClaim::State::kGranted:
      return UsePlace(outcome);
    case PlaceClaim::State::kDenied:
      place_ = 0;
      return AnswerNotRun(Result::kQueueTimeout,
                          ComeBackForRoom(now, outcome.retry_after));
    default:
      place_ = 0;
      relay_->shortages_.RecordUnanswered(service_, now);
      return SendOrWait();
  }
}

// The endpoint may have become ineligible while the request waited.
void RelayedRequest::UsePlace(const PlaceOutcome& outcome) {
  TimePoint now = Clock::now();
  if (TimeLeft(now) <= milliseconds(0)) return OnTimeUp();
  if (!MaySendOn()) return;
  std::vector<EndpointQueue> queues =
      relay_->choice_.Queues(Wanted(model_), now);
  bool is_eligible = std::any_of(queues.begin(), queues.end(),
                                 [&](const EndpointQueue& queue) {
                                   return queue.endpoint == outcome.endpoint;
                                 });
  const DirectoryEntry* endpoint = relay_->directory_.Find(outcome.endpoint);
  if (endpoint == nullptr || !is_eligible) {
    ReleasePlace();
    return SendOrWait();
  }
  ++dispatches_;
  SendTo(*endpoint);
  if (try_) {
    relay_->places_->RecordSend(place_, try_->ticket, TimeLeft(try_->sent_at));
  }
}

void RelayedRequest::ReleasePlace() {
  if (place_ == 0) return;
  relay_->places_->Release(place_);
  place_ = 0;
}

}  // namespace leverwick
