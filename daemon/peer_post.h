// Sends something to another box of the fleet, over the server at which boxes
// read from each other (LogServer::Receive).

#ifndef DAEMON_PEER_POST_H_
#define DAEMON_PEER_POST_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <string>

#include "net/async_http_client.h"
#include "net/http_call.h"

namespace leverwick {

// Longest wait for the other box's answer.
constexpr milliseconds kPeerPostTime{500};

// `done` is told whether the other box has taken it.
inline void PostToBox(boost::asio::io_context* loop,
                      HttpConnections* connections, const std::string& address,
                      const char* path, const std::string& body,
                      std::function<void(bool)> done) {
  HttpHead head;
  head.method = "POST";
  head.target = path;
  head.Set("Host", address);
  head.Set("Content-Length", std::to_string(body.size()));
  HttpCall::Start(
      loop, connections, address, RequestText(head) + body, kPeerPostTime,
      [done = std::move(done)](std::error_code error, const HttpHead& answer,
                               const std::string&) {
        done(!error && answer.status == 200);
      });
}

}  // namespace leverwick

#endif  // DAEMON_PEER_POST_H_
