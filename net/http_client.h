// The HTTP client for the platform, peers and operators' calls: CivetWeb's
// client over kept connections. Answers are read whole. Calls to endpoints go
// through endpoint_client.h, which can relay a stream as it comes.
//
//   HttpClient client("127.0.0.1:9000");
//   HttpResult result = client.Call("GET", "/boxes", "", milliseconds(500));

#ifndef NET_HTTP_CLIENT_H_
#define NET_HTTP_CLIENT_H_

#include <atomic>
#include <chrono>
#include <map>
#include <mutex>
#include <string>
#include <system_error>
#include <vector>

struct mg_connection;

namespace leverwick {

struct HttpResult {
  std::error_code error;  // none: a whole answer came, of any status
  bool sent = false;      // some byte of the request may have left this box
  int status = 0;
  std::string body;
  std::map<std::string, std::string> headers;  // names in lower case
};

// Thread-safe; each call in progress has a connection of its own.
class HttpClient {
 public:
  explicit HttpClient(std::string address) : address_(std::move(address)) {}
  ~HttpClient();

  // `repeatable`: a kept connection that turns out closed is tried once more.
  HttpResult Call(const std::string& method, const std::string& path,
                  const std::string& body, std::chrono::milliseconds timeout,
                  const std::map<std::string, std::string>& headers = {},
                  bool repeatable = true);

  // Bytes of all calls, bodies and headers, both ways.
  uint64_t bytes() const { return bytes_; }
  const std::string& address() const { return address_; }

 private:
  mg_connection* Connect();
  mg_connection* TakeIdle();
  HttpResult Exchange(mg_connection* connection, const std::string& bytes,
                      std::chrono::milliseconds timeout);

  const std::string address_;
  std::mutex mutex_;
  std::vector<mg_connection*> idle_;
  std::atomic<uint64_t> bytes_{0};
};

// Splits "ip:port"; false when it is not of that form.
bool SplitAddress(const std::string& address, std::string* host, int* port);

}  // namespace leverwick

#endif  // NET_HTTP_CLIENT_H_
