// The callers' interface: who asks, whether it may run, what answers it, and
// what is told, billed and learned afterwards.

#ifndef DAEMON_GATEWAY_H_
#define DAEMON_GATEWAY_H_

#include <string>
#include <vector>

#include "daemon/bill_keeper.h"
#include "daemon/chat_request.h"
#include "daemon/claim_desk.h"
#include "daemon/dispatcher.h"
#include "daemon/exchange.h"
#include "daemon/explain.h"
#include "daemon/node.h"
#include "daemon/places.h"
#include "daemon/platform_watcher.h"
#include "leverwick/routing.h"

namespace leverwick {

// The request headers that callers may set, in lower case.
constexpr char kSessionHeader[] = "x-leverwick-session";
constexpr char kRepeatableHeader[] = "x-leverwick-repeatable";
constexpr char kTaskHeader[] = "x-leverwick-task";
constexpr char kDeadlineHeader[] = "x-leverwick-deadline-ms";
constexpr char kKeyHeader[] = "idempotency-key";

class Gateway {
 public:
  Gateway(Node* node, BillKeeper* bills, ClaimDesk* claims,
          PlatformWatcher* watcher, Explanations* explanations)
      : node_(node),
        bills_(bills),
        claims_(claims),
        watcher_(watcher),
        explanations_(explanations),
        dispatcher_(node, bills) {}

  // Answers one request of the callers' server.
  void Handle(const HttpRequest& request, HttpResponder* responder);

  // Whether new work is taken, and if not, why.
  std::error_code Ready() const;

 private:
  struct Route {
    const char* method;  // nullptr: any
    const char* path;
    bool prefix;
    void (Gateway::*handler)(Exchange*);
  };
  static const std::vector<Route>& Routes();

  // What a chat request will run on.
  struct Choice {
    const Version* first = nullptr;
    const Version* better = nullptr;
    const Rollout* rollout = nullptr;   // that gave `first` its place
    const Version* replaced = nullptr;  // by the roll-out
    bool has_pin = false;
    SessionPin pin;
    std::string session;           // id told to the caller, or empty
    double expected_quality = -1;  // of the plan; negative: none
  };

  void Chat(Exchange* exchange);
  void Models(Exchange* exchange);
  void Service(Exchange* exchange);
  void Health(Exchange* exchange);
  void Readiness(Exchange* exchange);

  std::error_code Authenticate(Exchange* exchange) const;
  Outcome Open(Exchange* exchange) const;
  Outcome TakeLimit(Exchange* exchange, double tokens);
  Outcome ReadSession(const Exchange& exchange, Choice* choice) const;
  Outcome Choose(Exchange* exchange, const ChatRequest& chat, Choice* choice);
  void StartSession(const Exchange& exchange, Choice* choice) const;

  // Claims the caller's key, if there is one. False: the caller has its
  // answer already.
  bool ClaimKeyOf(Exchange* exchange);
  void TellClaim(Exchange* exchange, const ClaimReply& reply);
  void FinishClaim(Exchange* exchange, const Outcome& outcome, int status,
                   const std::string& content_type, const std::string& body);

  bool AdoptNewTable(Exchange* exchange) const;
  Outcome RunChat(Exchange* exchange, const ChatRequest& chat, Choice* choice);
  Outcome RunUnary(Exchange* exchange, const ChatRequest& chat, Choice* choice);
  Outcome RunStream(Exchange* exchange, const ChatRequest& chat,
                    Choice* choice);
  Outcome TakePlace(Exchange* exchange, const std::string& target,
                    int64_t tokens, Places::Place* place);
  LegRequest LegOf(const Exchange& exchange, const ChatRequest& chat,
                   const Version& version) const;
  void Learn(const Exchange& exchange, const Version& version,
             const Choice& choice, const Outcome& outcome,
             const LegAnswer& answer, bool is_final);
  HttpHeaders HeadersOf(const Exchange& exchange, const Choice& choice,
                        const Version& version) const;

  void Bill(Exchange* exchange, const Outcome& outcome);
  void Refuse(Exchange* exchange, const Outcome& outcome);
  void Remember(Exchange* exchange, const Outcome& outcome);

  Node* const node_;
  BillKeeper* const bills_;
  ClaimDesk* const claims_;
  PlatformWatcher* const watcher_;
  Explanations* const explanations_;
  Dispatcher dispatcher_;
  Places places_;
};

}  // namespace leverwick

#endif  // DAEMON_GATEWAY_H_
