// The client is Boost.Beast's and not CivetWeb's, whose WebSocket client waits
// without bound for the handshake of a frozen peer and takes a thread for each
// connection. Each step is begun asynchronously and the connection's own
// io_context is run until it ended or the time is over; after a failure the
// connection is dropped, so a late reply never meets another call.

#include "net/frames.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/websocket.hpp>

#include "leverwick/result.h"
#include "net/http_client.h"

namespace leverwick {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
using boost::asio::ip::tcp;

constexpr char kTaken = 1;
constexpr char kRefusedReply = 0;
// What both sides say at the start, about; only for accounting.
constexpr uint64_t kHandshakeBytes = 400;
constexpr size_t kLargestFrame = 16 << 20;

}  // namespace

const char* const kFramePath = "/frames";

uint64_t FrameBytes(size_t size, bool masked) {
  constexpr size_t kShort = 126;
  constexpr size_t kMiddle = 65536;
  uint64_t head = size < kShort ? 2 : size < kMiddle ? 4 : 10;
  return head + (masked ? 4 : 0) + size;
}

class FrameClient::Connection {
 public:
  Connection() : stream_(context_) {}

  bool Open(const std::string& host, int port, const std::string& target,
            TimePoint deadline) {
    boost::system::error_code error;
    asio::ip::address ip = asio::ip::make_address(host, error);
    if (error) return false;
    tcp::endpoint endpoint(ip, static_cast<uint16_t>(port));
    stream_.next_layer().async_connect(endpoint, Ended());
    if (!Run(deadline)) return false;
    stream_.next_layer().set_option(tcp::no_delay(true), error);
    stream_.binary(true);
    stream_.auto_fragment(false);  // the server takes whole frames only
    stream_.read_message_max(kLargestFrame);
    stream_.async_handshake(host + ":" + std::to_string(port), target, Ended());
    return Run(deadline);
  }

  bool Exchange(const std::string& request, std::string* reply,
                TimePoint deadline) {
    stream_.async_write(asio::buffer(request), Counted());
    if (!Run(deadline)) return false;
    beast::flat_buffer buffer;
    stream_.async_read(buffer, Counted());
    if (!Run(deadline)) return false;
    *reply = beast::buffers_to_string(buffer.data());
    return true;
  }

 private:
  // Handlers of the operations: each notes how it ended.
  std::function<void(boost::system::error_code)> Ended() {
    return [this](boost::system::error_code error) { Note(error); };
  }
  std::function<void(boost::system::error_code, size_t)> Counted() {
    return [this](boost::system::error_code error, size_t) { Note(error); };
  }

  void Note(boost::system::error_code error) {
    ended_ = true;
    error_ = error;
  }

  // Runs until the operation ended. When it did not, it is cancelled and run
  // to its end, for it holds references to its caller's buffers.
  bool Run(TimePoint deadline) {
    ended_ = false;
    context_.restart();
    context_.run_until(deadline);
    if (ended_) return !error_;
    boost::system::error_code ignored;
    stream_.next_layer().close(ignored);
    context_.restart();
    context_.run();
    return false;
  }

  asio::io_context context_{1};
  beast::websocket::stream<tcp::socket> stream_;
  bool ended_ = false;
  boost::system::error_code error_;
};

FrameClient::FrameClient(std::string address, std::string life)
    : address_(std::move(address)), life_(std::move(life)) {}

FrameClient::~FrameClient() = default;

bool FrameClient::Exchange(const std::string& request, std::string* reply,
                           TimePoint deadline) {
  bool kept = connection_ != nullptr;
  if (kept && connection_->Exchange(request, reply, deadline)) return true;
  connection_.reset();
  if (Clock::now() >= deadline) return false;
  std::string host;
  int port = 0;
  if (!SplitAddress(address_, &host, &port)) return false;
  auto fresh = std::make_unique<Connection>();
  bytes_ += kHandshakeBytes;
  bool good = fresh->Open(host, port, std::string(kFramePath) + "?to=" + life_,
                          deadline) &&
              fresh->Exchange(request, reply, deadline);
  if (good) connection_ = std::move(fresh);
  return good;
}

std::error_code FrameClient::Call(FrameMethod method,
                                  const google::protobuf::Message& request,
                                  google::protobuf::Message* reply,
                                  std::chrono::milliseconds timeout) {
  std::string frame(1, static_cast<char>(method));
  request.AppendToString(&frame);
  std::string answer;
  std::lock_guard<std::mutex> lock(mutex_);
  bytes_ += FrameBytes(frame.size(), true);
  bool answered = Exchange(frame, &answer, Clock::now() + timeout);
  if (!answered || answer.empty()) return Result::kUnreachable;
  bytes_ += FrameBytes(answer.size(), false);
  if (answer[0] != kTaken) return Result::kRefused;
  bool read = reply->ParseFromArray(answer.data() + 1,
                                    static_cast<int>(answer.size()) - 1);
  return read ? std::error_code() : Result::kBadResponse;
}

std::string FrameServer::Handle(const std::string& frame) const {
  std::string reply;
  auto method = frame.empty() ? methods_.end() : methods_.find(frame[0]);
  bool taken =
      method != methods_.end() && method->second(frame.substr(1), &reply);
  return taken ? kTaken + reply : std::string(1, kRefusedReply);
}

}  // namespace leverwick
