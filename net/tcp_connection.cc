// The socket is non-blocking: the loop tells when it is readable, and then
// one read is made. A write is tried at once and queued only when the kernel
// takes no more, so that a small answer costs one system call.

#include "net/tcp_connection.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <vector>

namespace leverwick {
namespace {

using boost::asio::ip::tcp;
using Wait = tcp::socket::wait_type;

constexpr size_t kReadBuffer = 64UL * 1024;
// Probes on a connection that is idle, to notice the same there.
constexpr int kProbeIdleSeconds = 1;
constexpr int kProbeIntervalSeconds = 1;
constexpr int kProbes = 2;
// A round trip between far data centres, several times over.
constexpr milliseconds kLinger{500};

// On the heap: thread-local arrays are taken from every thread's stack, also
// of those that never read here, and CivetWeb's workers have small ones.
std::vector<char>& ReadBuffer() {
  thread_local std::vector<char> buffer(kReadBuffer);
  return buffer;
}

void SetOption(int socket, int level, int option, int value) {
  // A kernel without the option leaves its default, which only slows notice.
  setsockopt(socket, level, option, &value, sizeof(value));
}

}  // namespace

void SetTcpOptions(TcpConnection::Socket* socket, milliseconds unacknowledged) {
  int handle = socket->native_handle();
  SetOption(handle, IPPROTO_TCP, TCP_NODELAY, 1);
  SetOption(handle, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetOption(handle, IPPROTO_TCP, TCP_KEEPIDLE, kProbeIdleSeconds);
  SetOption(handle, IPPROTO_TCP, TCP_KEEPINTVL, kProbeIntervalSeconds);
  SetOption(handle, IPPROTO_TCP, TCP_KEEPCNT, kProbes);
  SetOption(handle, IPPROTO_TCP, TCP_USER_TIMEOUT,
            static_cast<int>(unacknowledged.count()));
}

bool ParseAddress(const std::string& text, tcp::endpoint* address) {
  size_t colon = text.rfind(':');
  if (colon == std::string::npos) return false;
  boost::system::error_code error;
  auto ip = boost::asio::ip::make_address(text.substr(0, colon), error);
  if (error) return false;
  char* end = nullptr;
  const std::string digits = text.substr(colon + 1);
  unsigned long port = std::strtoul(digits.c_str(), &end, 10);
  if (digits.empty() || *end != '\0' || port > 65535) return false;
  *address = tcp::endpoint(ip, static_cast<unsigned short>(port));
  return true;
}

void TcpConnection::Start(Observer* observer) {
  observer_ = observer;
  boost::system::error_code error;
  socket_.non_blocking(true, error);
  if (error) return Fail(error);
  AwaitBytes();
}

void TcpConnection::AwaitBytes() {
  if (awaiting_bytes_ || paused_ || !socket_.is_open()) return;
  awaiting_bytes_ = true;
  socket_.async_wait(Wait::wait_read, [self = shared_from_this()](auto error) {
    self->awaiting_bytes_ = false;
    if (!self->socket_.is_open()) return;
    if (error) return self->Fail(error);
    self->ReadBytes();
  });
}

void TcpConnection::ReadBytes() {
  if (paused_) return;
  auto& buffer = ReadBuffer();
  boost::system::error_code error;
  size_t size = socket_.read_some(boost::asio::buffer(buffer), error);
  if (error == boost::asio::error::would_block) return AwaitBytes();
  if (error == boost::asio::error::eof) return Fail({});
  if (error) return Fail(error);
  auto self = shared_from_this();
  if (observer_ != nullptr) observer_->OnBytes({buffer.data(), size});
  AwaitBytes();
}

void TcpConnection::ResumeReading() {
  if (!paused_) return;
  paused_ = false;
  AwaitBytes();
}

void TcpConnection::CountPendingIn(std::shared_ptr<size_t> sum) {
  size_t pending = pending_bytes_;
  SetPending(0);
  pending_sum_ = std::move(sum);
  SetPending(pending);
}

void TcpConnection::SetPending(size_t bytes) {
  if (pending_sum_) *pending_sum_ = *pending_sum_ - pending_bytes_ + bytes;
  pending_bytes_ = bytes;
}

void TcpConnection::Write(std::string bytes) {
  Queue({std::move(bytes), nullptr});
}

void TcpConnection::Write(std::shared_ptr<const std::string> bytes) {
  Queue({"", std::move(bytes)});
}

void TcpConnection::Queue(Piece piece) {
  size_t size = piece.bytes().size();
  if (!socket_.is_open() || size == 0) return;
  SetPending(pending_bytes_ + size);
  queue_.push_back(std::move(piece));
  if (!awaiting_writable_) WriteSome();
}

void TcpConnection::WriteSome() {
  while (!queue_.empty()) {
    std::string_view rest = queue_.front().bytes().substr(front_offset_);
    boost::system::error_code error;
    size_t size = socket_.write_some(
        boost::asio::buffer(rest.data(), rest.size()), error);
    if (error == boost::asio::error::would_block) return OnWritable();
    if (error) return Fail(error);
    any_sent_ = true;
    SetPending(pending_bytes_ - size);
    front_offset_ += size;
    if (size < rest.size()) continue;
    queue_.pop_front();
    front_offset_ = 0;
  }
  if (close_when_drained_) Linger();
}

// A close with unread bytes resets the connection and may take the answer
// with it, so the other side is first given time to close.
void TcpConnection::Linger() {
  boost::system::error_code ignored;  // a connection that broke is closed
  socket_.shutdown(TcpConnection::Socket::shutdown_send, ignored);
  ResumeReading();
  auto timer = std::make_shared<boost::asio::steady_timer>(
      socket_.get_executor(), kLinger);
  timer->async_wait(
      [self = shared_from_this(), timer](auto) { self->Close(); });
}

void TcpConnection::OnWritable() {
  awaiting_writable_ = true;
  socket_.async_wait(Wait::wait_write, [self = shared_from_this()](auto error) {
    self->awaiting_writable_ = false;
    if (!self->socket_.is_open()) return;
    if (error) return self->Fail(error);
    self->WriteSome();
    bool drained = self->queue_.empty();
    if (drained && self->observer_ != nullptr) {
      self->observer_->OnDrained();
    }
  });
}

// The observer hears of a failure from the loop, never from inside Write.
void TcpConnection::Fail(std::error_code why) {
  if (!socket_.is_open()) return;
  boost::system::error_code ignored;  // nothing is left to tell of a close
  socket_.close(ignored);
  queue_.clear();
  SetPending(0);
  boost::asio::post(socket_.get_executor(), [self = shared_from_this(), why] {
    Observer* observer = self->observer_;
    self->observer_ = nullptr;
    if (observer != nullptr) observer->OnClosed(why);
  });
}

void TcpConnection::CloseWhenDrained() {
  observer_ = nullptr;
  close_when_drained_ = true;
  if (queue_.empty() && socket_.is_open()) Linger();
}

void TcpConnection::Close() {
  observer_ = nullptr;
  boost::system::error_code ignored;  // nothing is left to tell of a close
  if (socket_.is_open()) socket_.close(ignored);
  queue_.clear();
  SetPending(0);
}

void TcpConnection::CloseWithReset() {
  boost::system::error_code ignored;  // without the option, a plain close
  if (socket_.is_open()) {
    socket_.set_option(boost::asio::socket_base::linger(true, 0), ignored);
  }
  Close();
}

void ConnectTcp(boost::asio::io_context* loop, const tcp::endpoint& address,
                milliseconds limit, ConnectCallback callback) {
  struct Attempt {
    explicit Attempt(boost::asio::io_context* loop)
        : socket(*loop), timer(*loop) {}
    tcp::socket socket;
    boost::asio::steady_timer timer;
    bool timed_out = false;
  };
  auto attempt = std::make_shared<Attempt>(loop);
  attempt->timer.expires_after(limit);
  attempt->timer.async_wait([attempt](auto error) {
    if (error) return;
    attempt->timed_out = true;
    boost::system::error_code ignored;  // the attempt ends in any case
    attempt->socket.close(ignored);
  });
  attempt->socket.async_connect(address, [attempt, callback](auto error) {
    attempt->timer.cancel();
    if (attempt->timed_out) error = boost::asio::error::timed_out;
    if (error) return callback(error, nullptr);
    SetTcpOptions(&attempt->socket);
    callback({}, std::make_shared<TcpConnection>(std::move(attempt->socket)));
  });
}

}  // namespace leverwick
