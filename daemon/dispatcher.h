// Sends one leg of a request to endpoints of one version until it is answered.
//
// "Not run" is concluded only when no byte of the request left this box or
// the endpoint itself says that it did not start it. Those cases are tried on
// another endpoint always. Everything else may have run: it is tried again
// only if the request is repeatable, within the retry budget and the deadline.
// A stream that breaks off is resumed at its engine from the next token, or
// else continued by another endpoint of the same version.

#ifndef DAEMON_DISPATCHER_H_
#define DAEMON_DISPATCHER_H_

#include <json/value.h>

#include <set>
#include <string>

#include "daemon/bill_keeper.h"
#include "daemon/exchange.h"
#include "daemon/node.h"

namespace leverwick {

// What a leg is to do.
struct LegRequest {
  std::string target;  // "model@version" or "service/NAME"
  std::string model;
  std::string version;
  uint64_t affinity = 0;
  Json::Value body;         // of a chat; the leg adds what engines need
  double prompt_price = 0;  // of a million tokens
  double completion_price = 0;
};

struct LegAnswer {
  Json::Value body;  // of a unary chat
  std::string text;  // generated, of a stream as JSON-escaped text
  double confidence = 1;
  int64_t prompt_tokens = 0;
  int64_t completion_tokens = 0;
  Seconds first_token{0};
  // Of a plain service:
  int status = 0;
  std::string content_type;
  std::string raw;
};

class Dispatcher {
 public:
  Dispatcher(Node* node, BillKeeper* bills) : node_(node), bills_(bills) {}

  // A whole answer in one piece.
  Outcome Unary(Exchange* exchange, const LegRequest& leg, LegAnswer* answer);

  // Relays a stream to the caller as it comes. The response has begun when
  // `exchange->responder->started()`.
  Outcome Stream(Exchange* exchange, const LegRequest& leg,
                 const HttpHeaders& headers, LegAnswer* answer);

  // A call of a plain service.
  Outcome Service(Exchange* exchange, const LegRequest& leg,
                  const std::string& path, LegAnswer* answer);

 private:
  struct Attempt;
  struct Relay;

  bool StillAllowed(const Exchange& exchange, const LegRequest& leg) const;
  bool Begin(Exchange* exchange, const LegRequest& leg,
             std::set<std::string>* excluded, Attempt* attempt,
             Outcome* outcome);
  void End(Exchange* exchange, const Attempt& attempt, const Outcome& outcome);
  bool MayTryAgain(Exchange* exchange, const Outcome& outcome);
  EndpointCall MakeCall(const Exchange& exchange, const Attempt& attempt) const;
  Outcome Classify(const EndpointAnswer& answer) const;
  Outcome ReadUnary(const EndpointAnswer& answer, const Attempt& attempt,
                    LegAnswer* out) const;
  Outcome StreamOnce(Exchange* exchange, const LegRequest& leg,
                     const Attempt& attempt, Relay* relay);
  void Resume(Exchange* exchange, const Attempt& attempt, Relay* relay,
              Outcome* outcome);
  void Cancel(const Attempt& attempt);
  void AddLeg(Exchange* exchange, const LegRequest& leg, const Attempt& attempt,
              const LegAnswer& answer);

  Node* const node_;
  BillKeeper* const bills_;
};

}  // namespace leverwick

#endif  // DAEMON_DISPATCHER_H_
