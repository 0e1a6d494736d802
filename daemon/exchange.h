// One caller's request on its way through the daemon.

#ifndef DAEMON_EXCHANGE_H_
#define DAEMON_EXCHANGE_H_

#include <json/value.h>

#include <memory>
#include <string>

#include "leverwick/result.h"
#include "leverwick/table.h"
#include "leverwick/time.h"
#include "net/http_server.h"
#include "schema/bills.pb.h"

namespace leverwick {

struct Exchange {
  const HttpRequest* request = nullptr;
  HttpResponder* responder = nullptr;
  std::shared_ptr<const Table> table;
  const Organisation* organisation = nullptr;  // lives in `table`
  uint64_t sequence = 0;
  std::string id;
  TimePoint begin{};
  TimePoint deadline{};
  bool repeatable = true;
  bool cut_off = false;  // only stable versions may serve
  int dispatches = 0;    // requests that may have left this box
  int attempts = 0;      // dispatches and refused connections
  uint32_t request_class = 0;
  Json::Value trace;  // for explain
  BillLine bill;
  nanoseconds retry_after{0};  // told with a refusal
};

// How an attempt at an answer ended.
struct Outcome {
  Result result = Result::kOk;
  std::string detail;  // one sentence for the caller, or empty

  bool ok() const { return result == Result::kOk; }
};

}  // namespace leverwick

#endif  // DAEMON_EXCHANGE_H_
