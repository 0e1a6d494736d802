// One request that a server has read, and its answer.
//
// A handler keeps it for as long as it works on the request. The memory of the
// request stays reserved until the last user of its body has let go.
//
//   exchange->Answer(std::move(head), "body");
//
//   exchange->StartStream(std::move(head));
//   exchange->Write("part");
//   exchange->EndStream();

#ifndef NET_SERVER_EXCHANGE_H_
#define NET_SERVER_EXCHANGE_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "leverwick/request_memory.h"
#include "leverwick/time.h"
#include "net/http_codec.h"

namespace leverwick {

class ServerConnection;

// Exactly one of Answer, StartStream or BreakOff is called first. Outlives the
// connection safely: calls then do nothing.
class ServerExchange {
 public:
  // `hold` may be null: no memory is reserved for the request.
  ServerExchange(std::weak_ptr<ServerConnection> connection, HttpHead head,
                 std::string body, std::shared_ptr<RequestHold> hold,
                 TimePoint received);

  const HttpHead& head() const { return head_; }
  const std::string& body() const { return *body_; }
  // The body for those that need it for longer than the exchange.
  const std::shared_ptr<const std::string>& shared_body() const {
    return body_;
  }
  TimePoint received() const { return received_; }

  // Replaces the request by the one that it encloses.
  void Unwrap(HttpHead head, std::string body);
  bool is_unwrapped() const { return is_unwrapped_; }

  // Called at most once, when the caller closes before the answer's end.
  void OnLeft(std::function<void()> callback) { left_ = std::move(callback); }
  // Called when a stream's written parts have all left this box.
  void OnDrained(std::function<void()> callback) {
    drained_ = std::move(callback);
  }

  // A whole answer; the framing fields are added.
  void Answer(HttpHead head, std::string body);

  void StartStream(HttpHead head);
  void Write(std::string_view bytes);
  void EndStream();

  // Ends the connection, so that the answer can't be taken for whole.
  void BreakOff();

  size_t pending_bytes() const;

 private:
  friend class ServerConnection;

  std::weak_ptr<ServerConnection> connection_;
  HttpHead head_;
  const std::shared_ptr<RequestHold> hold_;
  std::shared_ptr<const std::string> body_;  // keeps the hold too
  TimePoint received_;
  std::function<void()> left_;
  std::function<void()> drained_;
  bool started_ = false;
  bool chunked_ = false;
  bool is_unwrapped_ = false;
};

}  // namespace leverwick

#endif  // NET_SERVER_EXCHANGE_H_
