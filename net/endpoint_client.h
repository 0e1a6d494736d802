// Calls to model engines and plain services, over libcurl.
//
// CivetWeb's client fills its whole buffer before it returns, so it can't
// relay a stream token by token, and its read timeout is fixed; libcurl is its
// nearest kin that can. A call tells exactly what is known of the request: no
// byte was sent, or the endpoint refused before starting, or it may have run.

#ifndef NET_ENDPOINT_CLIENT_H_
#define NET_ENDPOINT_CLIENT_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <system_error>
#include <vector>

#include "leverwick/time.h"

namespace leverwick {

struct EndpointCall {
  std::string address;  // ip:port
  std::string method = "POST";
  std::string path;
  std::vector<std::string> headers;  // "Name: value"
  std::string body;
  nanoseconds connect_timeout{0};
  nanoseconds timeout{0};         // of the whole call
  nanoseconds stall{0};           // longest silence; 0: none
  bool fresh_connection = false;  // never reuse: nothing is sent twice
  bool keep_headers = false;      // of the answer
  // Gets parts of a good answer's body as they come; false ends the call.
  std::function<bool(const char* data, size_t size)> on_data;
};

struct EndpointAnswer {
  enum Kind {
    kAnswered,  // a whole HTTP answer, of any status
    kNotSent,   // no byte of the request left this box
    kLost,      // sent, and no whole answer came
    kTimedOut,  // sent, and the time was over
    kStopped,   // on_data ended it
  };
  Kind kind = kNotSent;
  int status = 0;
  bool not_started = false;  // the endpoint says that it did not start it
  std::string body;          // when there is no on_data, and of errors
  std::string content_type;
  std::map<std::string, std::string> headers;  // names in lower case
};

// Thread-safe.
class EndpointClient {
 public:
  EndpointClient();
  ~EndpointClient();

  EndpointAnswer Call(const EndpointCall& call);

 private:
  struct Pool;
  std::unique_ptr<Pool> pool_;
};

}  // namespace leverwick

#endif  // NET_ENDPOINT_CLIENT_H_
