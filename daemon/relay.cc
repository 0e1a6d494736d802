// Refusals come in the order in which a caller can do something about them:
// malformed, not ready, no such route, no proof, no such key.

#include "daemon/relay.h"

#include <algorithm>
#include <vector>

#include "daemon/relayed_request.h"
#include "net/log.h"

namespace leverwick {
namespace {

const Log kLog("relay");

// A caller that came before the box was ready, or to a box that can't prove
// its configuration: another box may take it at once.
constexpr milliseconds kComeBackElsewhere{100};
// A roll-out gives some dozen answers of a service with little traffic. Two or
// three slow or failed ones in a row don't reach this, four or five do.
constexpr double kTripThreshold = 9;
// Log lines of requests that went well: two each at a hundred requests a
// second, which is five times what a box of the present sites gets.
constexpr double kLinesPerSecond = 200;

std::string MillisecondsText(nanoseconds span) {
  auto count = std::chrono::duration_cast<milliseconds>(span).count();
  return std::to_string(count);
}

}  // namespace

Relay::Relay(boost::asio::io_context* loop, const Dialect* dialect,
             const RelayOptions& options)
    : loop_(loop),
      dialect_(dialect),
      options_(options),
      slow_start_(options.life),
      directory_(&pool_, &slow_start_),
      limits_({options.life, options.data_centre}, &directory_, &metrics_),
      backoffs_(&directory_, &metrics_),
      proof_(options.proof_age),
      key_trust_(KeyValidityPolicyFor(options.strict_withdrawal)),
      rollouts_(options.rollout),
      estimates_(options.life),
      guard_(options.life, kTripThreshold),
      watch_(&estimates_, &guard_, &rollouts_, &directory_),
      cascade_(options.weak_answer),
      brittle_(options.life),
      gates_({&reach_, backoffs_.backoffs(), &slow_start_, limits_.permits(),
              &brittle_}),
      choice_(
          {&pool_, &rollouts_, &loads_, &gates_, &drained_, &refusals_, &room_},
          RemoteCost(options.far_megabyte), options.data_centre,
          options.regions),
      connections_(loop, options.connections),
      partition_(loop_, &pool_, &directory_, &reach_, &connections_, &metrics_),
      forwarder_(loop, options.life, options.data_centre, &metrics_),
      ends_(loop, &directory_, &rollouts_, &connections_),
      demand_(Clock::now()),
      poison_(options.life),
      poison_parts_(options.life),
      answer_reads_(options.answer_bytes),
      random_(std::random_device{}()),
      sampler_(kLinesPerSecond) {
  ends_.OnEnded([this](const EndpointEnd& end) { OnEndpointEnd(end); });
  directory_.OnNewLife([this](const std::string& id) { OnNewLife(id); });
  directory_.OnListed([this](const DirectoryEntry& entry) {
    loads_.speeds()->SetService(entry.id, entry.service);
  });
  directory_.OnUnlisted(
      [this](const std::string& id) { loads_.speeds()->Remove(id); });
  directory_.OnGone([this](const std::string& life) {
    poison_.RecordEndpointRemoved(life);
    poison_parts_.RecordEndpointRemoved(life);
  });
}

Relay::~Relay() = default;

void Relay::Heard(const EndpointTry& answered) {
  TimePoint now = Clock::now();
  const std::string& endpoint = answered.endpoint;
  const AnswerHead& answer = answered.answer;
  loads_.RecordReachable(answered.data_centre);
  reach_.RecordResponse(endpoint);
  // The word of another one at its address says that it has ended.
  if (answer.other_endpoint) return;
  std::string life = directory_.LifeOf(endpoint);
  poison_.RecordResponse(life, answered.sent_at);
  poison_parts_.RecordResponse(life, answered.sent_at);
  limits_.Answered(endpoint, answer, answered.sent_at, now);
  backoffs_.Answered(endpoint, answer, now);
  // One that names a time is believed.
  if (answer.not_run && !answer.retry_after)
    refusals_.RecordRefusal(endpoint, now);
  if (!answer.not_run) refusals_.RecordAcceptance(endpoint);
  if (answer.leaving) directory_.SaidLeaving(endpoint, now);
  HeardBrittle(endpoint, answer, now);
}

void Relay::HeardBrittle(const std::string& endpoint, const AnswerHead& answer,
                         TimePoint now) {
  const DirectoryEntry* entry = directory_.Find(endpoint);
  if (entry == nullptr || !answer.most_turned_away) return;
  if (answer.not_run) brittle_.RecordRejection(endpoint, now);
  bool begins =
      brittle_.RecordReport(entry->service, *answer.most_turned_away, now);
  if (!begins) return;
  metrics_.Add("leverwick_brittle_services_total", "", 1);
  kLog.Warning("The endpoints of a service are brittle.",
               {{"service", entry->service},
                {"endpoint", endpoint},
                {"bears", std::to_string(*answer.most_turned_away)}});
}

bool Relay::HasCapacityShare(const std::string& service) const {
  return pool_.AnyListed(service, [this](const ListedEndpoint& endpoint) {
    return brittle_.CapacityShare(endpoint.address, endpoint.max_in_flight) > 0;
  });
}

void Relay::OnNewLife(const std::string& endpoint) {
  backoffs_.backoffs()->Forget(endpoint);
  refusals_.RecordAcceptance(endpoint);
  reach_.RecordResponse(endpoint);
  loads_.RecordRestart(endpoint);
  limits_.Restarted(endpoint, Clock::now());
  brittle_.RecordRestart(endpoint);
}

void Relay::OnEndpointEnd(const EndpointEnd& end) {
  metrics_.Add("leverwick_endpoint_ends_total", "", 1);
  // What the next life under its id answers says nothing of this one.
  std::vector<EndpointRun> under = end.under;
  for (EndpointRun& run : under) run.endpoint = directory_.LifeOf(run.endpoint);
  poison_.RecordCrash(under, end.at);
  poison_parts_.RecordCrash(under, end.at);
  TellPoison();
  ends_told_();
}

PoisonVerdict Relay::JudgeRequest(const RequestDigest& digest,
                                  const PartDigests& parts,
                                  const std::string& service,
                                  TimePoint now) const {
  std::string target =
      rollouts_.IsActive(service) ? rollouts_.TargetFor(service) : "";
  auto is_listed = [&](const std::string& version) {
    return directory_.VersionsOf(service).count(version) > 0;
  };
  return StricterVerdict(
      poison_.Evaluate(digest, target, is_listed, now),
      poison_parts_.Evaluate({parts, digest.organisation_hash()}, target,
                             is_listed, now));
}

void Relay::TellPoison() {
  for (const QuarantineChange& news : poison_.TakeQuarantineChanges()) {
    std::string endpoints;
    for (const std::string& endpoint : news.endpoints) {
      endpoints += (endpoints.empty() ? "" : ",") + endpoint;
    }
    kLog.Warning(news.quarantined ? "A request ends endpoints; it is held."
                                  : "A held request is let in again.",
                 {{"digest", news.request.ShortHex()},
                  {"ended", endpoints.empty() ? "none" : endpoints}});
    metrics_.Add("leverwick_poison_verdicts_total",
                 news.quarantined ? "verdict=\"held\"" : "verdict=\"let_in\"",
                 1);
  }
  TellPoisonParts();
}

void Relay::TellPoisonParts() {
  for (const PartQuarantineChange& news :
       poison_parts_.TakeQuarantineChanges()) {
    std::string endpoints;
    for (const std::string& endpoint : news.endpoints) {
      endpoints += (endpoints.empty() ? "" : ",") + endpoint;
    }
    kLog.Warning(
        news.quarantined
            ? "A prompt part ends endpoints; requests with it are held."
            : "Requests with a held prompt part are let in again.",
        {{"part", ShortHex(news.part)},
         {"ended", endpoints.empty() ? "none" : endpoints},
         {"requests", std::to_string(news.requests)},
         {"answered", std::to_string(news.healthy_runs)}});
    metrics_.Add("leverwick_poison_part_verdicts_total",
                 news.quarantined ? "verdict=\"held\"" : "verdict=\"let_in\"",
                 1);
  }
}

void Relay::DropLargestAnswer() {
  std::optional<uint64_t> run = held_answers_.AnswerToDrop();
  if (!run) return;
  held_answers_.Remove(*run);
  for (const auto& request : open_) {
    if (request->DropAnswer(*run)) return;
  }
}

void Relay::ReleaseAnswer(uint64_t run) {
  held_answers_.Remove(run);
  for (uint64_t resumed : answer_reads_.Remove(run)) {
    for (const auto& request : open_) {
      if (request->ResumeAnswer(resumed)) break;
    }
  }
}

void Relay::EndRequests() {
  auto open = open_;  // a request that ends leaves the set
  for (const auto& request : open) request->EndForStop();
}

bool Relay::SetConfig(ServiceConfig config) {
  if (config_ != nullptr && config.version() <= config_->version()) {
    return false;
  }
  kLog.Info("Configuration in force.",
            {{"version", std::to_string(config.version())},
             {"before",
              config_ == nullptr ? "none" : std::to_string(config_->version())},
             {"routes", std::to_string(config.routes().size())},
             {"proof_age_ms", std::to_string(ProofAge().count())}});
  config_ = std::make_shared<const ServiceConfig>(std::move(config));
  TellWithdrawnKeys(Clock::now());
  slow_start_.SetLimits(config_->SlowStartLimits());
  return true;
}

void Relay::TellWithdrawnKeys(TimePoint now) {
  std::vector<KeyAdmission> withdrawn = key_admissions_.TakeWithdrawn(*config_);
  if (withdrawn.empty()) return;
  auto last = std::max_element(
      withdrawn.begin(), withdrawn.end(),
      [](const auto& a, const auto& b) { return a.at < b.at; });
  kLog.Info("Keys that were in use are withdrawn.",
            {{"version", std::to_string(config_->version())},
             {"keys", std::to_string(withdrawn.size())},
             {"last_admitted_ms_ago", MillisecondsText(now - last->at)},
             {"its_proof_age_ms", MillisecondsText(last->proof_age)}});
}

Result Relay::Admit(const ServiceRoute& route, const CallerRequest& request,
                    TimePoint now, ApiKeyOwner* holder) {
  if (!route.requires_key || !config_->has_keys()) return Result::kOk;
  const ApiKeyOwner* found =
      request.key.empty() ? nullptr : config_->FindKeyOwner(request.key);
  if (found != nullptr) *holder = *found;
  Result result = AdmitKey(key_trust_, found != nullptr, proof_.IsValidAt(now));
  if (result == Result::kOk) {
    key_admissions_.Record(request.key, {now, proof_.AgeAt(now)});
  }
  return result;
}

void Relay::Handle(const std::shared_ptr<ServerExchange>& exchange) {
  Serve(exchange, {});
}

void Relay::HandleForwarded(const std::shared_ptr<ServerExchange>& exchange) {
  HttpHead head;
  std::string body;
  auto origin = DecodeForward(exchange->body(), &head, &body);
  exchange->Unwrap(std::move(head), std::move(body));
  if (!origin || origin->box.empty()) {
    kLog.Error("A forwarded request can't be read.", {});
    return Refuse(exchange, "", Result::kBadRequest, {});
  }
  Result declined =
      WhyDeclined(*origin, exchange->body().size(), exchange->received());
  metrics_.Add("leverwick_accepted_forwards_total",
               std::string("result=\"") + ResultInfoFor(declined).name + "\"",
               1);
  if (declined != Result::kOk) return Refuse(exchange, "", declined, {});
  Serve(exchange, *origin);
}

Result Relay::WhyDeclined(const ForwardOrigin& origin, size_t body_bytes,
                          TimePoint now) {
  if (!forwarder_.takes_requests()) return Result::kStopping;
  if (config_ == nullptr) return Result::kNotReady;
  // The caller's box may have shown the newer configuration to its callers.
  if (config_->version() < origin.config_version) return Result::kStaleTable;
  bool has_room = forwarder_.admission()->CanAdmit(body_bytes, now);
  return has_room ? Result::kOk : Result::kOverloaded;
}

void Relay::Serve(const std::shared_ptr<ServerExchange>& exchange,
                  const ForwardOrigin& origin) {
  TimePoint now = exchange->received();
  CallerRequest request;
  bool readable = dialect_->ReadRequest(exchange->head(), &request);
  if (!readable) return Refuse(exchange, "", Result::kBadRequest, {});
  if (!intake_) {
    return Refuse(exchange, request.id, Result::kStopping, kComeBackElsewhere);
  }
  if (config_ == nullptr) {
    return Refuse(exchange, request.id, Result::kNotReady, kComeBackElsewhere);
  }
  const ServiceRoute* route = config_->FindRoute(request.host, request.path);
  if (route == nullptr) {
    // Without a proof the route may have been added meanwhile.
    bool known = proof_.IsValidAt(now);
    Result result = known ? Result::kUnknownPath : Result::kStaleTable;
    return Refuse(exchange, request.id, result, kComeBackElsewhere);
  }
  ApiKeyOwner holder;
  Result admitted = Admit(*route, request, now, &holder);
  if (admitted != Result::kOk) {
    return Refuse(exchange, request.id, admitted, kComeBackElsewhere);
  }
  auto relayed = std::make_shared<RelayedRequest>(
      this, exchange, std::move(request), *route, std::move(holder), origin);
  open_.insert(relayed);
  relayed->Start();
}

void Relay::Refuse(const std::shared_ptr<ServerExchange>& exchange,
                   const std::string& request_id, Result result,
                   std::optional<milliseconds> come_back_after) {
  const ResultInfo& info = ResultInfoFor(result);
  bool may_come_back = info.http_status == 503 || info.http_status == 429;
  if (!may_come_back) come_back_after.reset();
  metrics_.Add("leverwick_refused_total",
               std::string("result=\"") + info.name + "\"", 1);
  kLog.Info(info.run_state == RunState::kNotRun ? "Request is refused."
                                                : "Request failed.",
            {{"request", request_id},
             {"result", info.name},
             {"config",
              config_ == nullptr ? "none" : std::to_string(config_->version())},
             {"proof_age_ms", std::to_string(ProofAge().count())}});
  HttpHead head = dialect_->Refusal(result, request_id, come_back_after);
  if (exchange->is_unwrapped()) {
    SetForwardResult({result, come_back_after}, &head);
  }
  exchange->Answer(std::move(head), "");
}

milliseconds Relay::ProofAge() const {
  return std::chrono::duration_cast<milliseconds>(proof_.AgeAt(Clock::now()));
}

void Relay::Expire(TimePoint now) {
  directory_.Expire(now);
  loads_.Expire(now);
  reach_.Expire(now);
  refusals_.Expire(now);
  slow_start_.Expire(now);
  limits_.Expire(now);
  backoffs_.Expire(now);
  brittle_.Expire(now);
  partition_.Tick(now);
  for (const EndpointRun& run : ends_.TakeSurvived(now)) {
    poison_.RecordSurvivedRun(run, now);
    poison_parts_.RecordSurvivedRun(run, now);
  }
  poison_.Expire(now);
  poison_parts_.Expire(now);
  TellPoison();
}

RetryBudget* Relay::BudgetOf(const std::string& service) {
  auto& budget = budgets_[service];
  if (budget == nullptr) {
    budget = std::make_unique<RetryBudget>(
        options_.retry_share, options_.retry_start, options_.retry_most);
  }
  return budget.get();
}

}  // namespace leverwick
