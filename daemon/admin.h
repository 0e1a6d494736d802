// The control server's pages for operators and scrapers.

#ifndef DAEMON_ADMIN_H_
#define DAEMON_ADMIN_H_

#include "daemon/bill_keeper.h"
#include "daemon/explain.h"
#include "daemon/gateway.h"
#include "daemon/node.h"
#include "net/rpc.h"

namespace leverwick {

class Admin {
 public:
  Admin(Node* node, const BillKeeper* bills, Gateway* gateway,
        Explanations* explanations, RpcServer* rpc,
        std::function<uint64_t()> control_bytes)
      : node_(node),
        bills_(bills),
        gateway_(gateway),
        explanations_(explanations),
        rpc_(rpc),
        control_bytes_(std::move(control_bytes)) {}

  // Answers one request of the control server.
  void Handle(const HttpRequest& request, HttpResponder* responder);

 private:
  struct Route {
    const char* path;
    void (Admin::*handler)(const HttpRequest&, HttpResponder*);
  };

  void Rpc(const HttpRequest& request, HttpResponder* responder);
  void Status(const HttpRequest& request, HttpResponder* responder);
  void Explain(const HttpRequest& request, HttpResponder* responder);
  void MetricsPage(const HttpRequest& request, HttpResponder* responder);
  void Health(const HttpRequest& request, HttpResponder* responder);

  Node* const node_;
  const BillKeeper* const bills_;
  Gateway* const gateway_;
  Explanations* const explanations_;
  RpcServer* const rpc_;
  const std::function<uint64_t()> control_bytes_;
};

}  // namespace leverwick

#endif  // DAEMON_ADMIN_H_
