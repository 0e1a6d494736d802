// Servers whose answers have a head that HTTP does not allow, before the
// product's own clients.

#include <doctest/doctest.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <string>
#include <thread>

#include "net/endpoint_client.h"
#include "net/http_client.h"

namespace leverwick {
namespace {

using boost::asio::ip::tcp;

const char* const kBadHeads[] = {
    "HTTP/1.1 000 None\r\n",           "HTTP/1.1 099 Below\r\n",
    "HTTP/1.1 600 Above\r\n",          "HTTP/1.1 200 OK\r\nX Y: 1\r\n",
    "HTTP/1.1 200 OK\r\nX\x01: 1\r\n", "HTTP/1.1 200 OK\r\nX\x7f: 1\r\n",
};
constexpr char kBlankBeforeColon[] = "HTTP/1.1 200 OK\r\nX : 1\r\n";
constexpr char kGoodHead[] = "HTTP/1.1 200 OK\r\nX-Y: 1\r\n";

// Answers one request with `head` and a body of two bytes.
class OneAnswer {
 public:
  explicit OneAnswer(const std::string& head)
      : acceptor_(loop_, {boost::asio::ip::address_v4::loopback(), 0}),
        text_(head + "Content-Length: 2\r\n\r\nok"),
        thread_([this] { Serve(); }) {}
  ~OneAnswer() { thread_.join(); }

  std::string address() const {
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
  }

 private:
  void Serve() {
    tcp::socket socket = acceptor_.accept();
    std::string request;
    boost::system::error_code ignored;  // the client says what it got
    boost::asio::read_until(socket, boost::asio::dynamic_buffer(request),
                            "\r\n\r\n", ignored);
    boost::asio::write(socket, boost::asio::buffer(text_), ignored);
  }

  boost::asio::io_context loop_;
  tcp::acceptor acceptor_;
  const std::string text_;
  std::thread thread_;
};

EndpointAnswer CallEndpoint(const std::string& head) {
  OneAnswer server(head);
  EndpointClient client;
  EndpointCall call;
  call.address = server.address();
  call.path = "/";
  call.keep_headers = true;
  call.connect_timeout = std::chrono::seconds(5);
  call.timeout = std::chrono::seconds(5);
  return client.Call(call);
}

HttpResult CallServer(const std::string& head) {
  OneAnswer server(head);
  HttpClient client(server.address());
  return client.Call("GET", "/", "", std::chrono::seconds(5), {}, false);
}

TEST_CASE("a head that HTTP does not allow is no endpoint's answer") {
  for (const char* head : kBadHeads) {
    CAPTURE(head);
    CHECK(CallEndpoint(head).kind == EndpointAnswer::kLost);
  }
  CHECK(CallEndpoint(kBlankBeforeColon).kind == EndpointAnswer::kLost);
  CHECK(CallEndpoint(kGoodHead).kind == EndpointAnswer::kAnswered);
}

TEST_CASE("a head that HTTP does not allow is no server's answer") {
  for (const char* head : kBadHeads) {
    CAPTURE(head);
    HttpResult result = CallServer(head);
    CHECK(result.error);
    CHECK(result.status == 0);
  }
  CHECK_FALSE(CallServer(kGoodHead).error);
}

TEST_CASE("a blank before the colon of a field is in no server's answer") {
  CHECK(CallServer(kBlankBeforeColon).error);
}

}  // namespace
}  // namespace leverwick
