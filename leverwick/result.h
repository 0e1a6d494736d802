// The result codes of the system, as a std::error_code category.
//
// Every rejection or failure that a caller, an operator or a peer can see has a
// number of its own, listed in docs/ERRORS.md. The code determines the HTTP
// status and whether the request did not run, ran, or may have run.
//
//   std::error_code error = Result::kLimited;
//   if (ResultInfoFor(Result::kLimited).run_state == RunState::kNotRun) ...

#ifndef LEVERWICK_RESULT_H_
#define LEVERWICK_RESULT_H_

#include <string>
#include <system_error>
#include <vector>

namespace leverwick {

enum class Result {
  kOk = 0,
  // The request is invalid.
  kBadRequest = 1001,
  kBadKey = 1002,
  kNotAllowed = 1003,
  kUnknownModel = 1004,
  kBadSession = 1005,
  kSessionWithdrawn = 1006,
  kBodyTooLarge = 1007,
  kBadContentType = 1008,
  kKeyReused = 1009,
  kUnknownPath = 1010,
  kBadMethod = 1011,
  kUnknownRequest = 1012,
  // The request did not run and may be retried later.
  kLimited = 2001,
  kOverloaded = 2002,
  kStopping = 2003,
  kNotReady = 2004,
  kStaleTable = 2005,
  kNoEndpoint = 2006,
  kClaimsUnavailable = 2007,
  kBillsFull = 2008,
  kQueueTimeout = 2009,
  kEndpointRefused = 2010,
  kHeld = 2011,
  kEndpointsLimited = 2012,
  kEndpointsBackOff = 2013,
  // The request ran or may have run.
  kUnknownOutcome = 3001,
  kFailed = 3002,
  kDeadline = 3003,
  kShortAnswer = 3004,
  kInProgress = 3005,
  kKeyOutcomeUnknown = 3006,
  kAnswerNotKept = 3007,
  kEndsEndpoints = 3008,
  // A change of the configuration table was rejected.
  kStaleRevision = 4001,
  kInvalidRow = 4002,
  kImmutableCell = 4003,
  kUnknownKind = 4004,
  kUnknownReference = 4005,
  kStaleRoster = 4006,
  kStepOutOfOrder = 4007,
  kRolloutStopped = 4008,
  kUnusableRecord = 4009,
  // Errors between the components of the system.
  kUnreachable = 5001,
  kBadResponse = 5002,
  kRefused = 5003,
  kInvalidSettings = 5004,
  kAppendUnknown = 5005,
  kExpired = 5006,
  kNotOwner = 5007,
  kNoConnection = 5008,
  kConnectionLost = 5009,
};

// What is known about the execution of a request when its result is returned.
enum class RunState { kNotRun, kRan, kUnknown };

struct ResultInfo {
  Result result;
  const char* name;  // as listed in docs/ERRORS.md
  int http_status;
  RunState run_state;
  const char* message;  // one sentence, sent in the error body
};

// Returns the attributes of `result`. A value that is no Result gets the
// attributes of an "unlisted" error with HTTP status 500.
const ResultInfo& ResultInfoFor(Result result);

// Returns the attributes of all results, in ascending order of their codes.
const std::vector<ResultInfo>& AllResults();

// Returns "not_run", "ran" or "unknown".
const char* RunStateName(RunState state);

const std::error_category& ResultCategory();

std::error_code make_error_code(Result result);

// Returns the Result in `error`, or kBadResponse when `error` belongs to
// another category.
Result ToResult(const std::error_code& error);

}  // namespace leverwick

namespace std {
template <>
struct is_error_code_enum<leverwick::Result> : true_type {};
}  // namespace std

#endif  // LEVERWICK_RESULT_H_
