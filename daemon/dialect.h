// What the relay needs to know of a request, an endpoint's answer and a
// refusal, whatever their headers are called.
//
// A Dialect reads the names on the wire into these types and writes them out
// again; the relay itself knows no header by name.

#ifndef DAEMON_DIALECT_H_
#define DAEMON_DIALECT_H_

#include <cstdint>
#include <optional>
#include <string>

#include "leverwick/prompt.h"
#include "leverwick/result.h"
#include "leverwick/time.h"
#include "net/http_codec.h"

namespace leverwick {

struct CallerRequest {
  std::string id;                        // of this try; passed on as it came
  std::string host;                      // in lower case, without the port
  std::string path;                      // without the query
  std::string key;                       // the bearer key; empty: none
  std::optional<milliseconds> patience;  // how long the caller waits
  std::string last_event_id;             // resumes a stream behind this event
  std::string session;                   // empty: none
  std::string model;                     // empty: not a request to a model
  bool any_model = false;                // the caller leaves the choice to us
  Prompt prompt;
  int64_t prompt_tokens = 0;
  int64_t max_answer_tokens = 0;
};

// What is set on a request on its way to an endpoint.
struct EndpointOrder {
  std::string endpoint;      // the id that must answer; others refuse
  std::string organisation;  // empty: none is named
  std::string model;         // empty: as the caller named it
  std::string last_event_id;
  std::optional<milliseconds> time_left;
};

struct AnswerHead {
  int status = 0;
  std::string request_id;
  bool not_run = false;         // the endpoint says so
  bool signed_whole = false;    // carries the endpoint's signature
  bool other_endpoint = false;  // the address belongs to another one now
  bool event_stream = false;
  std::optional<int> confidence;  // of the model in its answer, in percent
  // Requests a second that it takes from all boxes together; unset: it names
  // no limit, or one that can't be read.
  std::optional<double> most_per_second;
  bool limit_unreadable = false;
  // Of a 503: how long the endpoint wants no request of this box; unset: it
  // names no time, or one that can't be read.
  std::optional<milliseconds> retry_after;
  bool retry_after_unreadable = false;
  bool leaving = false;  // the endpoint is about to end
  // The endpoint ends if it has to turn away more requests in a second than
  // this, from all boxes together; unset: it bears any number.
  std::optional<double> most_turned_away;
  bool succeeded() const { return status >= 200 && status < 300; }
};

class Dialect {
 public:
  virtual ~Dialect() = default;

  // False when the request lacks what every request must carry.
  virtual bool ReadRequest(const HttpHead& head,
                           CallerRequest* request) const = 0;

  // The head that goes to the endpoint, without framing fields.
  virtual HttpHead ToEndpoint(const HttpHead& head,
                              const EndpointOrder& order) const = 0;

  virtual AnswerHead ReadAnswer(const HttpHead& head) const = 0;

  // An answer of our own. `come_back_after` only for what has not run.
  virtual HttpHead Refusal(
      Result result, const std::string& request_id,
      std::optional<milliseconds> come_back_after) const = 0;
};

}  // namespace leverwick

#endif  // DAEMON_DIALECT_H_
