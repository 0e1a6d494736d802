// Each attempt has an id of its own, request id and attempt number, which the
// engine must echo: an answer that carries another id is never relayed. The
// open request is copied to peers before every attempt.

#include "daemon/dispatcher.h"

#include <algorithm>

#include "daemon/sse.h"
#include "leverwick/routing.h"
#include "net/json.h"
#include "net/json_fields.h"
#include "net/log.h"

namespace leverwick {
namespace {

const Log log_("dispatch");
constexpr int kOk = 200;
constexpr int kServerError = 500;
constexpr int kResumes = 2;
constexpr milliseconds kResumePause(50);
constexpr double kPerMillion = 1e-6;

std::string Replaced(const std::string& text, const std::string& from,
                     const std::string& to) {
  size_t at = text.find(from);
  if (at == std::string::npos) return text;
  return text.substr(0, at) + to + text.substr(at + from.size());
}

nanoseconds Left(const Exchange& exchange) {
  return std::max<nanoseconds>(milliseconds(1),
                               exchange.deadline - Clock::now());
}

bool IsNotRun(Result result) {
  return ResultInfoFor(result).run_state == RunState::kNotRun;
}

}  // namespace

struct Dispatcher::Attempt {
  std::string id;
  std::string endpoint;
  TimePoint begin{};
};

// What a stream has relayed so far, over all attempts.
struct Dispatcher::Relay {
  const HttpHeaders* headers = nullptr;
  std::string text;
  int64_t tokens = 0;
  int64_t prompt_tokens = 0;
  int64_t completion_tokens = 0;
  Seconds first_token{0};
  bool done = false;
  bool finished = false;
  bool caller_gone = false;
  bool wrong = false;        // an event that is not of this attempt
  int64_t attempt_base = 0;  // tokens relayed before this attempt
};

bool Dispatcher::StillAllowed(const Exchange& exchange,
                              const LegRequest& leg) const {
  if (leg.version.empty()) return true;  // a plain service
  std::shared_ptr<const Table> table = node_->tables.table();
  const Version* version = table->FindVersion(leg.model, leg.version);
  const Organisation* organisation =
      table->FindOrganisation(exchange.organisation->name());
  return version != nullptr && version->state() != Version::WITHDRAWN &&
         organisation != nullptr && IsAllowed(*organisation, *version);
}

bool Dispatcher::Begin(Exchange* exchange, const LegRequest& leg,
                       std::set<std::string>* excluded, Attempt* attempt,
                       Outcome* outcome) {
  TimePoint now = Clock::now();
  if (now >= exchange->deadline) {
    bool dispatched = exchange->dispatches > 0;
    outcome->result = dispatched ? Result::kDeadline : Result::kQueueTimeout;
    return false;
  }
  // The request may have waited, or be tried again, since its version was
  // chosen: it is sent only if the table in force now still lets it.
  if (!StillAllowed(*exchange, leg)) {
    if (outcome->ok()) outcome->result = Result::kNoEndpoint;
    return false;
  }
  EndpointPool::Choice choice =
      node_->endpoints.Pick(leg.target, leg.affinity, *excluded, now);
  if (choice.address.empty()) {
    // Keep what an earlier attempt told, if there was one.
    if (outcome->ok()) outcome->result = Result::kNoEndpoint;
    return false;
  }
  excluded->insert(choice.address);
  ++exchange->attempts;
  attempt->endpoint = choice.address;
  attempt->id = exchange->id + "." + std::to_string(exchange->attempts);
  Intent intent;
  intent.set_sequence(exchange->sequence);
  intent.set_organisation(exchange->organisation->name());
  intent.set_endpoint(attempt->endpoint);
  intent.set_model(leg.model);
  intent.set_version(leg.version);
  intent.set_attempt(static_cast<uint32_t>(exchange->attempts));
  bills_->Open(intent);
  attempt->begin = Clock::now();
  node_->endpoints.RecordStart(attempt->endpoint);
  return true;
}

void Dispatcher::End(Exchange* exchange, const Attempt& attempt,
                     const Outcome& outcome) {
  bool not_run = IsNotRun(outcome.result) && !outcome.ok();
  if (!not_run) ++exchange->dispatches;
  bool refused = outcome.result == Result::kEndpointRefused;
  if (!outcome.ok()) {
    log_.Warning("An attempt failed.",
                 {{"attempt", attempt.id},
                  {"endpoint", attempt.endpoint},
                  {"result", ResultInfoFor(outcome.result).name}});
  }
  node_->endpoints.RecordCompletion(attempt.endpoint, outcome.ok() || refused,
                                    Clock::now());
  Json::Value& entry = exchange->trace["attempts"].append(Json::Value());
  entry["id"] = attempt.id;
  entry["endpoint"] = attempt.endpoint;
  entry["result"] = ResultInfoFor(outcome.result).name;
  node_->metrics.Add(
      "leverwick_attempts_total",
      std::string("result=\"") + ResultInfoFor(outcome.result).name + "\"", 1);
}

bool Dispatcher::MayTryAgain(Exchange* exchange, const Outcome& outcome) {
  if (outcome.ok()) return false;
  if (IsNotRun(outcome.result)) return true;
  if (!exchange->repeatable) return false;
  bool many = exchange->dispatches >= node_->settings.requests().max_attempts();
  return !many && node_->retries.TryConsume();
}

EndpointCall Dispatcher::MakeCall(const Exchange& exchange,
                                  const Attempt& attempt) const {
  EndpointCall call;
  call.address = attempt.endpoint;
  call.headers = {
      "Content-Type: application/json", "X-Request-Id: " + attempt.id,
      "X-Priority: " + std::to_string(exchange.organisation->priority()),
      "X-Deadline-Ms: " +
          std::to_string(
              std::chrono::duration_cast<milliseconds>(Left(exchange))
                  .count())};
  call.connect_timeout =
      FromProto(node_->settings.requests().connect_timeout());
  call.timeout = Left(exchange);
  // A kept connection may be repeated by the client library itself.
  call.fresh_connection = !exchange.repeatable;
  return call;
}

Outcome Dispatcher::Classify(const EndpointAnswer& answer) const {
  switch (answer.kind) {
    case EndpointAnswer::kNotSent:
      return Outcome{Result::kNoEndpoint, ""};
    case EndpointAnswer::kLost:
      return Outcome{Result::kUnknownOutcome, ""};
    case EndpointAnswer::kTimedOut:
      return Outcome{Result::kDeadline, ""};
    case EndpointAnswer::kStopped:
    case EndpointAnswer::kAnswered:
      break;
  }
  if (answer.not_started) return Outcome{Result::kEndpointRefused, ""};
  if (answer.status >= kServerError) return Outcome{Result::kFailed, ""};
  return Outcome();
}

Outcome Dispatcher::ReadUnary(const EndpointAnswer& answer,
                              const Attempt& attempt, LegAnswer* out) const {
  Json::Value& body = out->body;
  if (answer.status != kOk || !ReadJson(answer.body, &body) ||
      !body.isObject()) {
    return Outcome{Result::kFailed, "The engine's answer is not usable."};
  }
  std::string problem;
  JsonFields fields(body, &problem);
  if (fields.Text("id") != attempt.id) {
    log_.Warning("An answer of another request was dropped.",
                 {{"attempt", attempt.id}, {"endpoint", attempt.endpoint}});
    return Outcome{Result::kUnknownOutcome, ""};
  }
  const Json::Value& choices = fields.List("choices");
  bool is_finished = !choices.empty() && choices[0].isObject() &&
                     choices[0]["finish_reason"].isString();
  if (!is_finished) return Outcome{Result::kShortAnswer, ""};
  JsonFields choice(choices[0], &problem);
  out->text = JsonFields(choice.Object("message"), &problem).Text("content");
  JsonFields usage(fields.Object("usage"), &problem);
  out->prompt_tokens = static_cast<int64_t>(usage.Whole("prompt_tokens"));
  out->completion_tokens =
      static_cast<int64_t>(usage.Whole("completion_tokens"));
  if (!problem.empty()) {
    log_.Warning("An engine's answer can't be read.",
                 {{"endpoint", attempt.endpoint}, {"why", problem}});
    return Outcome{Result::kFailed, "The engine's answer is not usable."};
  }
  if (body["confidence"].isNumeric()) {
    out->confidence = body["confidence"].asDouble();
  }
  return Outcome();
}

void Dispatcher::AddLeg(Exchange* exchange, const LegRequest& leg,
                        const Attempt& attempt, const LegAnswer& answer) {
  BillLeg* line = exchange->bill.add_legs();
  line->set_endpoint(attempt.endpoint);
  line->set_model(leg.model);
  line->set_version(leg.version);
  line->set_prompt_tokens(answer.prompt_tokens);
  line->set_completion_tokens(answer.completion_tokens);
  line->set_cost(
      kPerMillion *
      (static_cast<double>(answer.prompt_tokens) * leg.prompt_price +
       static_cast<double>(answer.completion_tokens) * leg.completion_price));
}

Outcome Dispatcher::Unary(Exchange* exchange, const LegRequest& leg,
                          LegAnswer* answer) {
  std::set<std::string> excluded;
  Outcome outcome;
  for (;;) {
    Attempt attempt;
    if (!Begin(exchange, leg, &excluded, &attempt, &outcome)) break;
    EndpointCall call = MakeCall(*exchange, attempt);
    call.path = "/v1/chat/completions";
    call.body = WriteJson(leg.body);
    EndpointAnswer reply = node_->endpoint_client.Call(call);
    outcome = Classify(reply);
    if (outcome.ok()) outcome = ReadUnary(reply, attempt, answer);
    End(exchange, attempt, outcome);
    if (outcome.ok()) {
      answer->first_token = Clock::now() - attempt.begin;
      AddLeg(exchange, leg, attempt, *answer);
    }
    if (!MayTryAgain(exchange, outcome)) break;
  }
  return outcome;
}

Outcome Dispatcher::Service(Exchange* exchange, const LegRequest& leg,
                            const std::string& path, LegAnswer* answer) {
  std::set<std::string> excluded;
  Outcome outcome;
  for (;;) {
    Attempt attempt;
    if (!Begin(exchange, leg, &excluded, &attempt, &outcome)) break;
    EndpointCall call = MakeCall(*exchange, attempt);
    call.method = exchange->request->method;
    call.path = path;
    call.body = exchange->request->body;
    EndpointAnswer reply = node_->endpoint_client.Call(call);
    outcome = Classify(reply);
    End(exchange, attempt, outcome);
    if (outcome.ok()) {
      answer->status = reply.status;
      answer->content_type = reply.content_type;
      answer->raw = reply.body;
      AddLeg(exchange, leg, attempt, *answer);
    }
    if (!MayTryAgain(exchange, outcome)) break;
  }
  return outcome;
}

namespace {

// The event for the caller: the engine's, under the request's own id.
std::string EventFor(const ChatChunk& chunk, const std::string& attempt_id,
                     const std::string& id) {
  return "data: " + Replaced(chunk.data, attempt_id, id) + "\n\n";
}

}  // namespace

Outcome Dispatcher::StreamOnce(Exchange* exchange, const LegRequest& leg,
                               const Attempt& attempt, Relay* relay) {
  SseReader reader;
  EndpointCall call = MakeCall(*exchange, attempt);
  bool resuming = relay->tokens > relay->attempt_base;
  if (resuming) {
    call.method = "GET";
    call.path = "/v1/requests/" + attempt.id + "/stream?from=" +
                std::to_string(relay->tokens - relay->attempt_base);
  } else {
    call.path = "/v1/chat/completions";
    Json::Value body = leg.body;
    if (relay->tokens > 0) {
      body["prefix"] = relay->text;
      body["prefix_tokens"] = Json::Int64(relay->tokens);
    }
    call.body = WriteJson(body);
  }
  call.stall = FromProto(node_->settings.requests().stall());
  call.on_data = [&](const char* data, size_t size) {
    std::vector<ChatChunk> chunks;
    relay->wrong = !reader.Add(data, size, &chunks) || relay->wrong;
    std::string events;
    for (const ChatChunk& chunk : chunks) {
      if (relay->done || relay->wrong) break;
      relay->wrong = !chunk.done && chunk.id != attempt.id;
      if (relay->wrong) break;
      if (chunk.has_usage) {
        relay->prompt_tokens = chunk.prompt_tokens;
        relay->completion_tokens = chunk.completion_tokens;
      }
      relay->finished = relay->finished || chunk.finished;
      // The marker without a finish reason ends a stream that broke off.
      relay->wrong = chunk.done && !relay->finished;
      relay->done = chunk.done && relay->finished;
      if (!chunk.content.empty()) {
        if (relay->tokens == 0) {
          relay->first_token = Clock::now() - exchange->begin;
        }
        relay->text += chunk.content;
        ++relay->tokens;
      }
      if (!relay->wrong) events += EventFor(chunk, attempt.id, exchange->id);
    }
    if (!events.empty() && !exchange->responder->started()) {
      relay->caller_gone =
          !exchange->responder->StartStream(kOk, *relay->headers);
    }
    if (!events.empty() && !relay->caller_gone) {
      relay->caller_gone = !exchange->responder->Write(events);
    }
    return !relay->done && !relay->wrong && !relay->caller_gone;
  };
  EndpointAnswer reply = node_->endpoint_client.Call(call);
  if (relay->done || relay->caller_gone) return Outcome();
  if (relay->wrong) return Outcome{Result::kUnknownOutcome, ""};
  Outcome outcome = Classify(reply);
  return outcome.ok() ? Outcome{Result::kShortAnswer, ""} : outcome;
}

void Dispatcher::Resume(Exchange* exchange, const Attempt& attempt,
                        Relay* relay, Outcome* outcome) {
  LegRequest unused;
  for (int i = 0; i < kResumes; ++i) {
    bool begun = relay->tokens > relay->attempt_base;
    if (outcome->ok() || !begun || relay->wrong) return;
    if (Clock::now() >= exchange->deadline) return;
    std::this_thread::sleep_for(kResumePause);
    node_->metrics.Add("leverwick_resumes_total", "", 1);
    *outcome = StreamOnce(exchange, unused, attempt, relay);
  }
}

void Dispatcher::Cancel(const Attempt& attempt) {
  EndpointCall call;
  call.method = "DELETE";
  call.address = attempt.endpoint;
  call.path = "/v1/requests/" + attempt.id;
  call.connect_timeout =
      FromProto(node_->settings.requests().connect_timeout());
  call.timeout = FromProto(node_->settings.peers().timeout());
  node_->endpoint_client.Call(call);
}

Outcome Dispatcher::Stream(Exchange* exchange, const LegRequest& leg,
                           const HttpHeaders& headers, LegAnswer* answer) {
  std::set<std::string> excluded;
  Outcome outcome;
  Relay relay;
  relay.headers = &headers;
  for (;;) {
    Attempt attempt;
    if (!Begin(exchange, leg, &excluded, &attempt, &outcome)) break;
    relay.attempt_base = relay.tokens;
    relay.wrong = false;
    int64_t billed_before = relay.completion_tokens;
    outcome = StreamOnce(exchange, leg, attempt, &relay);
    Resume(exchange, attempt, &relay, &outcome);
    End(exchange, attempt, outcome);
    if (relay.caller_gone || (!outcome.ok() && !IsNotRun(outcome.result))) {
      Cancel(attempt);
    }
    if (outcome.ok() || relay.tokens > relay.attempt_base) {
      // Without the engine's own count, what was relayed is what is known.
      bool counted = relay.completion_tokens > billed_before;
      answer->prompt_tokens = relay.prompt_tokens;
      answer->completion_tokens =
          counted ? relay.completion_tokens : relay.tokens - relay.attempt_base;
      AddLeg(exchange, leg, attempt, *answer);
    }
    if (!MayTryAgain(exchange, outcome)) break;
  }
  answer->text = relay.text;
  answer->first_token = relay.first_token;
  exchange->trace["caller_gone"] = relay.caller_gone;
  return outcome;
}

}  // namespace leverwick
