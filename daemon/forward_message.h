// A forwarded request and its response, as they pass between two boxes.
//
// The request is enclosed in a message. The response is the endpoint's own or,
// if the receiving box has none to pass on, an empty one whose head names a
// result.

#ifndef DAEMON_FORWARD_MESSAGE_H_
#define DAEMON_FORWARD_MESSAGE_H_

#include <cstdint>
#include <optional>
#include <string>

#include "leverwick/result.h"
#include "leverwick/service_rollouts.h"
#include "leverwick/time.h"
#include "net/http_codec.h"

namespace leverwick {

// Where boxes take forwarded requests, at the address for other boxes.
constexpr char kForwardPath[] = "/forward";

// What the receiving box needs to know of a request that it did not get from
// the caller itself.
struct ForwardOrigin {
  std::string box;  // that forwarded it
  milliseconds time_left{0};
  int64_t config_version = 0;  // that admitted it
  int max_attempts = 0;        // endpoints that it may still be sent to
  ServiceRollouts::Side side = ServiceRollouts::Side::kAny;
  std::string last_event_id;  // a stream goes on behind this event
};

// Returns the message for a request whose body has so many bytes, up to the
// body itself, which follows as it is.
std::string EncodeForwardStart(const HttpHead& head, size_t body_bytes,
                               const ForwardOrigin& origin);
// Returns the whole message.
std::string EncodeForward(const HttpHead& head, const std::string& body,
                          const ForwardOrigin& origin);
// Returns nothing if the message can't be read.
std::optional<ForwardOrigin> DecodeForward(const std::string& message,
                                           HttpHead* head, std::string* body);

// The receiving box's own result, in place of an endpoint's response.
struct ForwardResult {
  Result result = Result::kOk;
  std::optional<milliseconds> retry_after;
};

// SetForwardResult adds the result to the head of a response;
// RemoveForwardResult makes sure that an endpoint's response names none.
void SetForwardResult(const ForwardResult& result, HttpHead* head);
void RemoveForwardResult(HttpHead* head);
// Returns nothing if the response is an endpoint's.
std::optional<ForwardResult> ReadForwardResult(const HttpHead& head);

// Whether the result says that the receiving box is unable to serve the request
// and another one may be able to.
bool IsDeclined(Result result);

}  // namespace leverwick

#endif  // DAEMON_FORWARD_MESSAGE_H_
