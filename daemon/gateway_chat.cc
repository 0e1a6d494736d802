// Chat: session, candidates, plan, roll-out, place, legs, and what is learned.
//
// A unary request may have two legs: when the first answer is weak and the
// plan names a better version, that one is asked too, and the caller gets its
// answer. If the better version can't answer, the weak answer is given.

#include <algorithm>
#include <cmath>

#include "daemon/gateway.h"
#include "leverwick/digest.h"
#include "net/json.h"

namespace leverwick {
namespace {

constexpr int kOk = 200;
constexpr char kJson[] = "application/json";
constexpr char kEventStream[] = "text/event-stream";
constexpr char kNewSession[] = "new";
constexpr size_t kNonceBytes = 8;

std::string KeyOf(const Version& version) {
  return VersionKey(version.model(), version.version());
}

}  // namespace

Outcome Gateway::ReadSession(const Exchange& exchange, Choice* choice) const {
  const std::string id = exchange.request->Header(kSessionHeader);
  if (id.empty() || id == kNewSession) return Outcome();
  const Table& table = *exchange.table;
  const std::string& organisation = exchange.organisation->name();
  choice->has_pin = true;
  choice->session = id;
  const Session* named = table.FindSession(organisation, id);
  if (named != nullptr) {
    choice->pin = SessionPin{organisation, named->model(), named->version()};
    return Outcome();
  }
  if (!ParseSessionId(table.signing_keys(), id, &choice->pin) ||
      choice->pin.organisation != organisation) {
    return Outcome{Result::kBadSession, ""};
  }
  return Outcome();
}

void Gateway::StartSession(const Exchange& exchange, Choice* choice) const {
  std::vector<const SigningKey*> keys = exchange.table->signing_keys();
  bool wanted = exchange.request->Header(kSessionHeader) == kNewSession;
  if (!wanted || keys.empty()) return;
  SessionPin pin{exchange.organisation->name(), choice->first->model(),
                 choice->first->version()};
  choice->session = MakeSessionId(*keys.back(), pin, RandomHex(kNonceBytes));
}

Outcome Gateway::Choose(Exchange* exchange, const ChatRequest& chat,
                        Choice* choice) {
  Outcome outcome = ReadSession(*exchange, choice);
  if (!outcome.ok()) return outcome;
  RouteRequest route;
  route.organisation = exchange->organisation;
  route.model = chat.model;
  route.pin = choice->has_pin ? &choice->pin : nullptr;
  route.new_session = exchange->request->Header(kSessionHeader) == kNewSession;
  std::vector<const Version*> candidates;
  std::error_code error = FindCandidates(*exchange->table, route, &candidates);
  if (error) return Outcome{ToResult(error), ""};
  std::vector<const Version*> live;
  for (const Version* version : candidates) {
    exchange->trace["candidates"].append(KeyOf(*version));
    if (node_->endpoints.HasUsable(KeyOf(*version), Clock::now())) {
      live.push_back(version);
    }
  }
  if (live.empty()) return Outcome{Result::kNoEndpoint, ""};
  PlanRequest request;
  request.organisation = exchange->organisation;
  request.request_class = exchange->request_class;
  request.prompt_tokens = chat.prompt_tokens;
  request.max_tokens = chat.max_tokens;
  request.streamed = chat.streamed;
  request.draw = UnitHash("explore/" + exchange->id);
  Plan plan = node_->planner.Choose(request, live);
  choice->first = plan.first;
  choice->better = plan.second;
  choice->expected_quality = plan.expected_quality;
  exchange->bill.set_why(plan.reason);
  exchange->trace["why"] = plan.reason;
  if (choice->has_pin || exchange->cut_off) return Outcome();
  const Rollout* rollout = nullptr;
  const Version* to = ApplyRollouts(
      *exchange->table, *exchange->organisation, *plan.first, exchange->id,
      [this](const std::string& name) {
        return node_->guard.IsTripped(name, nullptr);
      },
      &rollout);
  if (to == nullptr || !node_->endpoints.HasUsable(KeyOf(*to), Clock::now())) {
    return Outcome();
  }
  choice->replaced = choice->first;
  choice->first = to;
  choice->rollout = rollout;
  exchange->bill.set_why(plan.reason + "; roll-out " + rollout->name());
  exchange->trace["rollout"] = rollout->name();
  return Outcome();
}

Outcome Gateway::TakePlace(Exchange* exchange, const std::string& target,
                           int64_t tokens, Places::Place* place) {
  TimePoint now = Clock::now();
  size_t places = node_->endpoints.TotalMaxInFlight(target, now);
  if (places == 0) return Outcome{Result::kNoEndpoint, ""};
  int members = std::max(1, node_->CurrentRoster().members_size());
  auto mine = static_cast<size_t>(
      std::max(1.0, std::ceil(static_cast<double>(places) / members)));
  TimePoint until =
      std::min(exchange->deadline,
               now + FromProto(node_->settings.requests().queue_time()));
  std::error_code error = places_.Wait(target, mine, *exchange->organisation,
                                       static_cast<double>(tokens), until,
                                       place, &exchange->retry_after);
  return Outcome{ToResult(error), ""};
}

LegRequest Gateway::LegOf(const Exchange& exchange, const ChatRequest& chat,
                          const Version& version) const {
  LegRequest leg;
  leg.target = KeyOf(version);
  leg.model = version.model();
  leg.version = version.version();
  // The organisation is part of it: nobody's prompts meet another's.
  leg.affinity = StableHash(exchange.organisation->name() + "/" + chat.prefix);
  leg.body = chat.body;
  leg.body["model"] = version.model();
  leg.body["version"] = version.version();
  leg.prompt_price = version.prompt_price();
  leg.completion_price = version.completion_price();
  return leg;
}

HttpHeaders Gateway::HeadersOf(const Exchange& exchange, const Choice& choice,
                               const Version& version) const {
  HttpHeaders headers = {{"X-Request-Id", exchange.id},
                         {"X-Leverwick-Version", KeyOf(version)}};
  if (!choice.session.empty()) {
    headers["X-Leverwick-Session"] = choice.session;
  }
  return headers;
}

void Gateway::Learn(const Exchange& exchange, const Version& version,
                    const Choice& choice, const Outcome& outcome,
                    const LegAnswer& answer, bool is_final) {
  // Only what the version itself did wrong counts against it.
  bool failed = outcome.result == Result::kFailed ||
                outcome.result == Result::kShortAnswer;
  if (!outcome.ok() && !failed) return;
  Observation observation;
  observation.error = failed;
  observation.latency = answer.first_token;
  observation.completion_tokens = answer.completion_tokens;
  observation.weak =
      answer.confidence < node_->settings.requests().weak_answer();
  bool in_rollout = choice.rollout != nullptr && &version == choice.first;
  if (in_rollout) {
    node_->guard.RecordResponse(
        choice.rollout->name(), ToRegressionLimits(*choice.rollout),
        node_->estimates.StatsFor(KeyOf(*choice.replaced),
                                  exchange.request_class),
        observation);
  }
  node_->estimates.RecordResponse(KeyOf(version), exchange.request_class,
                                  observation);
  node_->metrics.Observe("leverwick_first_token_seconds",
                         "target=\"" + KeyOf(version) + "\"",
                         answer.first_token.count());
  bool sampled =
      UnitHash(exchange.id) < node_->settings.requests().rated_share();
  if (failed || (!sampled && !in_rollout)) return;
  RatedAnswer about;
  about.version_key = KeyOf(version);
  about.request_class = exchange.request_class;
  about.confident = !observation.weak;
  if (in_rollout) {
    about.rollout = choice.rollout->name();
    about.baseline_key = KeyOf(*choice.replaced);
  }
  about.organisation = exchange.organisation->name();
  if (is_final) about.expected = choice.expected_quality;
  watcher_->Offer(is_final ? exchange.id : exchange.id + ".weak", answer.text,
                  about);
}

Outcome Gateway::RunUnary(Exchange* exchange, const ChatRequest& chat,
                          Choice* choice) {
  LegAnswer answer;
  Outcome outcome = dispatcher_.Unary(
      exchange, LegOf(*exchange, chat, *choice->first), &answer);
  bool weak = answer.confidence < node_->settings.requests().weak_answer();
  bool again_wanted = weak && choice->better != nullptr;
  Learn(*exchange, *choice->first, *choice, outcome, answer, !again_wanted);
  if (!outcome.ok()) return outcome;
  const Version* answered = choice->first;
  if (again_wanted) {
    LegAnswer second;
    Outcome again = dispatcher_.Unary(
        exchange, LegOf(*exchange, chat, *choice->better), &second);
    Learn(*exchange, *choice->better, *choice, again, second, true);
    if (again.ok()) {
      answer = std::move(second);
      answered = choice->better;
    }
  }
  answer.body["id"] = exchange->id;
  answer.body["model"] = answered->model();
  answer.body["version"] = answered->version();
  std::string body = WriteJson(answer.body);
  // The claim's outcome first: a caller that has the answer may ask again.
  Bill(exchange, outcome);
  FinishClaim(exchange, outcome, kOk, kJson, body);
  Remember(exchange, outcome);
  HttpHeaders headers = HeadersOf(*exchange, *choice, *answered);
  headers["Content-Type"] = kJson;
  exchange->responder->Send(kOk, headers, body);
  return outcome;
}

Outcome Gateway::RunStream(Exchange* exchange, const ChatRequest& chat,
                           Choice* choice) {
  LegAnswer answer;
  HttpHeaders headers = HeadersOf(*exchange, *choice, *choice->first);
  headers["Content-Type"] = kEventStream;
  headers["Cache-Control"] = "no-store";
  Outcome outcome = dispatcher_.Stream(
      exchange, LegOf(*exchange, chat, *choice->first), headers, &answer);
  Learn(*exchange, *choice->first, *choice, outcome, answer, true);
  if (!outcome.ok()) return outcome;
  Bill(exchange, outcome);
  FinishClaim(exchange, outcome, kOk, "", "");
  Remember(exchange, outcome);
  exchange->responder->EndStream();
  return outcome;
}

Outcome Gateway::RunChat(Exchange* exchange, const ChatRequest& chat,
                         Choice* choice) {
  Places::Place place;
  Outcome outcome = TakePlace(
      exchange, KeyOf(*choice->first),
      chat.prompt_tokens + std::max<int64_t>(1, chat.max_tokens), &place);
  if (!outcome.ok()) return outcome;
  return chat.streamed ? RunStream(exchange, chat, choice)
                       : RunUnary(exchange, chat, choice);
}

// True if another table is in force than the choice was made by, and nothing
// was sent yet.
bool Gateway::AdoptNewTable(Exchange* exchange) const {
  std::shared_ptr<const Table> table = node_->tables.table();
  if (exchange->attempts > 0 || table == exchange->table) return false;
  const Organisation* organisation =
      table->FindOrganisation(exchange->organisation->name());
  if (organisation == nullptr) return false;
  exchange->table = std::move(table);
  exchange->organisation = organisation;
  return true;
}

void Gateway::Chat(Exchange* exchange) {
  Outcome outcome = Open(exchange);
  if (!outcome.ok()) return Refuse(exchange, outcome);
  if (exchange->request->Header("content-type").rfind(kJson, 0) != 0) {
    return Refuse(exchange, Outcome{Result::kBadContentType, ""});
  }
  ChatRequest chat;
  std::string why;
  if (!ReadChatRequest(exchange->request->body, &chat, &why)) {
    return Refuse(exchange, Outcome{Result::kBadRequest, why});
  }
  exchange->request_class =
      RequestClass(chat.prompt_tokens, chat.streamed,
                   exchange->request->Header(kTaskHeader));
  Choice choice;
  outcome = Choose(exchange, chat, &choice);
  if (!outcome.ok()) return Refuse(exchange, outcome);
  double expected =
      static_cast<double>(chat.prompt_tokens) +
      node_->estimates.EstimateResponse(*choice.first, exchange->request_class)
          .completion_tokens;
  outcome = TakeLimit(exchange, expected);
  if (!outcome.ok()) return Refuse(exchange, outcome);
  if (!ClaimKeyOf(exchange)) return;
  StartSession(*exchange, &choice);
  // Holds what the first choice names.
  std::shared_ptr<const Table> chosen_by = exchange->table;
  outcome = RunChat(exchange, chat, &choice);
  // Its version may have been withdrawn since it was chosen, and another one
  // may serve the request.
  if (outcome.result == Result::kNoEndpoint && AdoptNewTable(exchange)) {
    choice = Choice();
    outcome = Choose(exchange, chat, &choice);
    if (outcome.ok()) {
      StartSession(*exchange, &choice);
      outcome = RunChat(exchange, chat, &choice);
    }
  }
  double actual = 0;
  for (const BillLeg& leg : exchange->bill.legs()) {
    actual +=
        static_cast<double>(leg.prompt_tokens() + leg.completion_tokens());
  }
  node_->limiter.ReconcileTokens(exchange->organisation->name(), expected,
                                 actual);
  if (outcome.ok()) return;
  Bill(exchange, outcome);
  FinishClaim(exchange, outcome, kOk, "", "");
  Refuse(exchange, outcome);
}

}  // namespace leverwick
