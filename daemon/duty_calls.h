// Calls to the platform that one box at a time may make, with the fencing token
// of that box.

#ifndef DAEMON_DUTY_CALLS_H_
#define DAEMON_DUTY_CALLS_H_

#include <cstdint>
#include <functional>
#include <string>
#include <system_error>

#include "leverwick/endpoint_scaler.h"
#include "leverwick/usage_windows.h"

namespace leverwick {

// Errors: kNoConnection (the call never left this box), kUnreachable (no
// answer), kStaleRevision (a call with a higher token came before),
// kOverloaded (too many calls), kRefused. Callbacks run on the event loop.
class DutyCalls {
 public:
  using Callback = std::function<void(std::error_code)>;

  virtual ~DutyCalls() = default;

  // The report of one window. The same counts always give the same text.
  virtual std::string EncodeUsage(UsageWindow window,
                                  const UsageCounts& counts) const = 0;
  // Sends such a text.
  virtual void ReportUsage(uint64_t token, const std::string& report,
                           Callback callback) = 0;
  // kNoEndpoint: the platform has no endpoints of that kind there at present.
  virtual void OrderEndpoints(uint64_t token, const ScaleOrder& order,
                              Callback callback) = 0;
};

}  // namespace leverwick

#endif  // DAEMON_DUTY_CALLS_H_
