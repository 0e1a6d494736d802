// A request passes the same stations whatever it asks for: open (who, and is
// this box fit), limit, claim, run, bill, claim's outcome, memory. The chat
// part is in gateway_chat.cc.

#include "daemon/gateway.h"

#include <algorithm>
#include <cmath>

#include "leverwick/digest.h"
#include "net/json.h"
#include "net/log.h"

namespace leverwick {
namespace {

const Log log_("gateway");
constexpr char kJson[] = "application/json";
constexpr milliseconds kDefaultRetry(1000);
constexpr size_t kLongestKey = 255;

// Counts a request for as long as it is handled.
class InProgress {
 public:
  explicit InProgress(std::atomic<int>* count) : count_(count) { ++*count_; }
  ~InProgress() { --*count_; }

 private:
  std::atomic<int>* const count_;
};

std::string BearerKey(const HttpRequest& request) {
  static const std::string kBearer = "Bearer ";
  std::string value = request.Header("authorization");
  return value.rfind(kBearer, 0) == 0 ? value.substr(kBearer.size()) : "";
}

bool IsName(const std::string& text) {
  return !text.empty() &&
         std::all_of(text.begin(), text.end(), [](unsigned char c) {
           return std::isalnum(c) || c == '-' || c == '_';
         });
}

// What may follow a service's name: no dots in a row, nothing to encode.
bool IsPlainPath(const std::string& path) {
  bool plain = std::all_of(path.begin(), path.end(), [](unsigned char c) {
    return std::isalnum(c) || std::string("-_~./").find(c) != std::string::npos;
  });
  return plain && path.find("..") == std::string::npos &&
         path.find("//") == std::string::npos;
}

bool IsPlainQuery(const std::string& query) {
  return std::all_of(query.begin(), query.end(), [](unsigned char c) {
    return c > ' ' && c < 127 && c != '"' && c != '<' && c != '>';
  });
}

}  // namespace

const std::vector<Gateway::Route>& Gateway::Routes() {
  static const std::vector<Route> routes = {
      {"POST", "/v1/chat/completions", false, &Gateway::Chat},
      {"GET", "/v1/models", false, &Gateway::Models},
      {nullptr, "/v1/services/", true, &Gateway::Service},
      {"GET", "/healthz", false, &Gateway::Health},
      {"GET", "/readyz", false, &Gateway::Readiness},
  };
  return routes;
}

void Gateway::Handle(const HttpRequest& request, HttpResponder* responder) {
  InProgress counted(&node_->in_progress);
  Exchange exchange;
  exchange.request = &request;
  exchange.responder = responder;
  exchange.begin = Clock::now();
  exchange.sequence = node_->next_sequence++;
  exchange.id = RequestId(node_->life, exchange.sequence);
  Result missing = Result::kUnknownPath;
  for (const Route& route : Routes()) {
    bool matches = route.prefix ? request.path.rfind(route.path, 0) == 0
                                : request.path == route.path;
    if (!matches) continue;
    if (route.method == nullptr || request.method == route.method) {
      (this->*route.handler)(&exchange);
      return;
    }
    missing = Result::kBadMethod;
  }
  Refuse(&exchange, Outcome{missing, ""});
}

std::error_code Gateway::Ready() const {
  if (node_->stopping) return Result::kStopping;
  if (!node_->table_ready || !node_->list_ready) return Result::kNotReady;
  TableFreshness::State state = node_->freshness.StateAt(Clock::now());
  if (state == TableFreshness::kStalled || state == TableFreshness::kBehind) {
    return Result::kStaleTable;
  }
  if (node_->bills.full()) return Result::kBillsFull;
  return {};
}

std::error_code Gateway::Authenticate(Exchange* exchange) const {
  std::string key = BearerKey(*exchange->request);
  if (key.empty()) return Result::kBadKey;
  exchange->organisation =
      exchange->table->FindOrganisationByKeyHash(Sha256Hex(key));
  if (exchange->organisation == nullptr) return Result::kBadKey;
  return {};
}

Outcome Gateway::Open(Exchange* exchange) const {
  std::error_code error = Ready();
  if (error) return Outcome{ToResult(error), ""};
  exchange->cut_off =
      node_->freshness.StateAt(Clock::now()) == TableFreshness::kCutOff;
  exchange->table = node_->tables.table();
  error = Authenticate(exchange);
  if (error) return Outcome{ToResult(error), ""};
  node_->retries.RecordRequest();
  const HttpRequest& request = *exchange->request;
  exchange->repeatable = request.Header(kRepeatableHeader) != "false";
  nanoseconds bound = FromProto(node_->settings.requests().deadline());
  std::string wanted = request.Header(kDeadlineHeader);
  if (!wanted.empty()) {
    char* end = nullptr;
    long ms = std::strtol(wanted.c_str(), &end, 10);
    if (*end != '\0' || ms <= 0) {
      return Outcome{Result::kBadRequest,
                     "X-Leverwick-Deadline-Ms must be a whole number from 1."};
    }
    bound = std::min<nanoseconds>(bound, milliseconds(ms));
  }
  exchange->deadline = exchange->begin + bound;
  if (request.Header(kKeyHeader).size() > kLongestKey) {
    return Outcome{Result::kBadRequest, "Idempotency-Key is too long."};
  }
  exchange->bill.set_sequence(exchange->sequence);
  exchange->bill.set_organisation(exchange->organisation->name());
  exchange->trace["organisation"] = exchange->organisation->name();
  exchange->trace["cut_off"] = exchange->cut_off;
  return Outcome();
}

Outcome Gateway::TakeLimit(Exchange* exchange, double tokens) {
  RateLimiter::Decision decision =
      node_->limiter.Admit(*exchange->organisation, tokens, Clock::now());
  if (decision.admitted) return Outcome();
  exchange->retry_after = decision.retry_after;
  return Outcome{Result::kLimited, ""};
}

bool Gateway::ClaimKeyOf(Exchange* exchange) {
  const std::string key = exchange->request->Header(kKeyHeader);
  if (key.empty()) return true;
  Claim claim;
  claim.set_key(ClaimKey(exchange->organisation->name(), key));
  claim.set_request(
      ShortDigest(exchange->request->path + "\n" + exchange->request->body));
  claim.set_request_id(exchange->id);
  ClaimReply reply = claims_->Make(*exchange->organisation, claim);
  exchange->trace["claim"] =
      ResultInfoFor(static_cast<Result>(reply.code())).name;
  if (reply.code() == 0) return true;
  if (reply.code() == static_cast<int>(Result::kClaimsUnavailable)) {
    // It may have been made although its answer was lost; give it back.
    claim.set_state(Claim::RELEASED);
    claims_->Finish(*exchange->organisation, claim);
  }
  TellClaim(exchange, reply);
  return false;
}

void Gateway::TellClaim(Exchange* exchange, const ClaimReply& reply) {
  auto result = static_cast<Result>(reply.code());
  const Claim& found = reply.found();
  if (found.state() == Claim::DONE && result == Result::kAnswerNotKept &&
      !found.body().empty()) {
    exchange->trace["replayed"] = found.request_id();
    Remember(exchange, Outcome());
    exchange->responder->Send(found.status(),
                              {{"Content-Type", found.content_type()},
                               {"X-Request-Id", found.request_id()},
                               {"X-Leverwick-Replayed", "true"}},
                              found.body());
    return;
  }
  Refuse(exchange, Outcome{result, ""});
}

void Gateway::FinishClaim(Exchange* exchange, const Outcome& outcome,
                          int status, const std::string& content_type,
                          const std::string& body) {
  const std::string key = exchange->request->Header(kKeyHeader);
  if (key.empty()) return;
  Claim claim;
  claim.set_key(ClaimKey(exchange->organisation->name(), key));
  claim.set_request_id(exchange->id);
  RunState state = ResultInfoFor(outcome.result).run_state;
  if (outcome.ok() || state == RunState::kRan) {
    claim.set_state(Claim::DONE);
  } else {
    bool ran = exchange->dispatches > 0 || state == RunState::kUnknown;
    claim.set_state(ran ? Claim::UNKNOWN : Claim::RELEASED);
  }
  auto most = static_cast<size_t>(node_->settings.claims().max_stored_answer());
  if (claim.state() == Claim::DONE && outcome.ok() && body.size() <= most) {
    claim.set_status(status);
    claim.set_content_type(content_type);
    claim.set_body(body);
  }
  claims_->Finish(*exchange->organisation, claim);
}

void Gateway::Bill(Exchange* exchange, const Outcome& outcome) {
  BillLine& line = exchange->bill;
  if (exchange->attempts == 0) return;
  if (outcome.ok()) {
    line.set_outcome(BillLine::ANSWERED);
  } else if (exchange->dispatches == 0) {
    line.set_outcome(BillLine::VOID);
  } else {
    bool ran = ResultInfoFor(outcome.result).run_state == RunState::kRan;
    line.set_outcome(ran ? BillLine::FAILED : BillLine::UNKNOWN);
  }
  bills_->Close(line);
}

void Gateway::Refuse(Exchange* exchange, const Outcome& outcome) {
  const ResultInfo& info = ResultInfoFor(outcome.result);
  RunState state = info.run_state;
  // An earlier attempt may have run although the last one did not.
  if (state == RunState::kNotRun && exchange->dispatches > 0) {
    state = RunState::kUnknown;
  }
  bool come_back = info.http_status == 503 || info.http_status == 429 ||
                   outcome.result == Result::kInProgress;
  milliseconds retry(0);
  if (come_back) {
    retry = std::max(
        milliseconds(1),
        exchange->retry_after.count() > 0
            ? std::chrono::duration_cast<milliseconds>(exchange->retry_after)
            : kDefaultRetry);
  }
  std::string body =
      ErrorBody(static_cast<int>(info.result), info.name,
                outcome.detail.empty() ? info.message : outcome.detail,
                RunStateName(state), exchange->id, retry);
  Remember(exchange, outcome);
  if (exchange->responder->started()) {
    // The stream ends without its marker: an error, never a short success.
    exchange->responder->Write("data: " + body + "\n\n");
    exchange->responder->EndStream();
    return;
  }
  HttpHeaders headers = {{"Content-Type", kJson},
                         {"X-Request-Id", exchange->id}};
  if (come_back) {
    auto seconds = static_cast<int64_t>(std::ceil(ToSeconds(retry)));
    headers["Retry-After"] = std::to_string(std::max<int64_t>(1, seconds));
  }
  // The balancer should send the caller's next request to another box.
  if (outcome.result == Result::kStopping) headers["Connection"] = "close";
  exchange->responder->Send(info.http_status, headers, body);
}

void Gateway::Remember(Exchange* exchange, const Outcome& outcome) {
  const char* name = ResultInfoFor(outcome.result).name;
  node_->metrics.Add("leverwick_requests_total",
                     std::string("result=\"") + name + "\"", 1);
  if (exchange->organisation == nullptr) return;
  exchange->trace["request_id"] = exchange->id;
  exchange->trace["result"] = name;
  exchange->trace["milliseconds"] = Json::Int64(
      std::chrono::duration_cast<milliseconds>(Clock::now() - exchange->begin)
          .count());
  if (exchange->attempts > 0) {
    Json::Value bill;
    if (ReadJson(MessageToJson(exchange->bill), &bill)) {
      exchange->trace["bill"] = bill;
    }
  }
  explanations_->Add(exchange->id, WriteJson(exchange->trace));
  log_.Debug("Request ended.", {{"id", exchange->id}, {"result", name}});
}

void Gateway::Health(Exchange* exchange) {
  exchange->responder->Send(200, {{"Content-Type", "text/plain"}}, "ok\n");
}

void Gateway::Readiness(Exchange* exchange) {
  std::error_code error = Ready();
  const ResultInfo& info = ResultInfoFor(ToResult(error));
  bool cut_off =
      node_->freshness.StateAt(Clock::now()) == TableFreshness::kCutOff;
  std::string text = error     ? std::string(info.name) + ": " + info.message
                     : cut_off ? "ready: cut off, stable versions only"
                               : "ready";
  exchange->responder->Send(error ? 503 : 200, {{"Content-Type", "text/plain"}},
                            text + "\n");
}

void Gateway::Models(Exchange* exchange) {
  Outcome outcome = Open(exchange);
  if (!outcome.ok()) return Refuse(exchange, outcome);
  Json::Value body;
  body["object"] = "list";
  body["data"] = Json::Value(Json::arrayValue);
  for (const Version* version : exchange->table->versions()) {
    bool served = version->state() == Version::STABLE ||
                  version->state() == Version::DRAINING;
    if (!served || !IsAllowed(*exchange->organisation, *version)) continue;
    Json::Value entry;
    entry["id"] = VersionKey(version->model(), version->version());
    entry["object"] = "model";
    entry["owned_by"] = "leverwick";
    body["data"].append(entry);
  }
  exchange->responder->Send(200, {{"Content-Type", kJson}}, WriteJson(body));
}

void Gateway::Service(Exchange* exchange) {
  Outcome outcome = Open(exchange);
  if (!outcome.ok()) return Refuse(exchange, outcome);
  const HttpRequest& request = *exchange->request;
  std::string rest = request.path.substr(sizeof "/v1/services/" - 1);
  size_t slash = rest.find('/');
  std::string name = rest.substr(0, slash);
  std::string path = slash == std::string::npos ? "/" : rest.substr(slash);
  if (!IsName(name) || !IsPlainPath(path) || !IsPlainQuery(request.query)) {
    return Refuse(exchange, Outcome{Result::kBadRequest, ""});
  }
  if (!request.query.empty()) path += "?" + request.query;
  const leverwick::Service* service = exchange->table->FindService(name);
  const auto& allowed = exchange->organisation->services();
  // A service that exists is not told from one that does not.
  if (service == nullptr ||
      std::find(allowed.begin(), allowed.end(), name) == allowed.end()) {
    return Refuse(exchange, Outcome{Result::kNotAllowed, ""});
  }
  exchange->repeatable = exchange->repeatable && service->repeatable();
  outcome = TakeLimit(exchange, 1);
  if (!outcome.ok()) return Refuse(exchange, outcome);
  if (!ClaimKeyOf(exchange)) return;
  LegRequest leg;
  leg.target = "service/" + name;
  leg.model = leg.target;
  leg.affinity = exchange->sequence;
  LegAnswer answer;
  Places::Place place;
  outcome = TakePlace(exchange, leg.target, 1, &place);
  if (outcome.ok()) {
    outcome = dispatcher_.Service(exchange, leg, path, &answer);
  }
  place.Release();
  Bill(exchange, outcome);
  FinishClaim(exchange, outcome, answer.status, answer.content_type,
              answer.raw);
  if (!outcome.ok()) return Refuse(exchange, outcome);
  Remember(exchange, outcome);
  exchange->responder->Send(
      answer.status,
      {{"Content-Type", answer.content_type}, {"X-Request-Id", exchange->id}},
      answer.raw);
}

}  // namespace leverwick
