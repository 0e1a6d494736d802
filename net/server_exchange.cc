#include "net/server_exchange.h"

#include <utility>

#include "net/server_connection.h"

namespace leverwick {
namespace {

// A body that is shorter is sent with its head in one call.
constexpr size_t kShortBody = 16UL * 1024;

struct HeldBody {
  std::string bytes;
  std::shared_ptr<RequestHold> hold;
};

std::shared_ptr<const std::string> Hold(std::string bytes,
                                        std::shared_ptr<RequestHold> hold) {
  auto held =
      std::make_shared<HeldBody>(HeldBody{std::move(bytes), std::move(hold)});
  return {held, &held->bytes};
}

}  // namespace

ServerExchange::ServerExchange(std::weak_ptr<ServerConnection> connection,
                               HttpHead head, std::string body,
                               std::shared_ptr<RequestHold> hold,
                               TimePoint received)
    : connection_(std::move(connection)),
      head_(std::move(head)),
      hold_(std::move(hold)),
      body_(Hold(std::move(body), hold_)),
      received_(received) {}

void ServerExchange::Unwrap(HttpHead head, std::string body) {
  head_ = std::move(head);
  body_ = Hold(std::move(body), hold_);
  is_unwrapped_ = true;
}

void ServerExchange::Answer(HttpHead head, std::string body) {
  auto connection = connection_.lock();
  if (connection == nullptr || started_) return;
  started_ = true;
  head.Set("Content-Length", std::to_string(body.size()));
  if (connection->will_close()) head.Set("Connection", "close");
  std::string text = ResponseText(head);
  if (body.size() < kShortBody) {
    connection->Write(text + body);
  } else {
    connection->Write(std::move(text));
    connection->Write(std::move(body));
  }
  connection->Finish();
}

void ServerExchange::StartStream(HttpHead head) {
  auto connection = connection_.lock();
  if (connection == nullptr || started_) return;
  started_ = true;
  chunked_ = !connection->old_caller();
  if (chunked_) head.Set("Transfer-Encoding", "chunked");
  if (connection->will_close()) head.Set("Connection", "close");
  connection->Write(ResponseText(head));
}

void ServerExchange::Write(std::string_view bytes) {
  auto connection = connection_.lock();
  if (connection == nullptr) return;
  connection->Write(chunked_ ? ChunkText(bytes) : std::string(bytes));
}

void ServerExchange::EndStream() {
  auto connection = connection_.lock();
  if (connection == nullptr) return;
  if (chunked_) connection->Write(kLastChunk);
  connection->Finish();
}

void ServerExchange::BreakOff() {
  started_ = true;
  if (auto connection = connection_.lock()) connection->BreakOff();
}

size_t ServerExchange::pending_bytes() const {
  auto connection = connection_.lock();
  return connection == nullptr ? 0 : connection->pending_bytes();
}

}  // namespace leverwick
