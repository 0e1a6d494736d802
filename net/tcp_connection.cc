// The socket is non-blocking: the loop tells when it is readable, and then
// one read is made. A write is tried at once and queued only when the kernel
// takes no more, so that a small answer costs one system call.
//
// TCP_USER_TIMEOUT ends a connection whose peer acknowledges nothing for a
// time, but also one whose peer acknowledges all and takes nothing. So larger
// writes are watched: while the peer is heard and its window is closed, the
// option is off, and silence is measured here.

#include "net/tcp_connection.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <boost/asio/io_context.hpp>
#include <optional>
#include <utility>
#include <vector>

#include "net/tcp_send_state.h"
#include "net/timer.h"

namespace leverwick {
namespace {

using boost::asio::ip::tcp;
using Wait = tcp::socket::wait_type;

constexpr size_t kReadBuffer = 64UL * 1024;
// Probes on a connection that is idle, to notice the same there.
constexpr int kProbeIdleSeconds = 1;
constexpr int kProbeIntervalSeconds = 1;
constexpr int kProbes = 2;
// Every receiver's buffer takes as much at once; a write of this size waits for
// no window.
constexpr size_t kUnwatchedBytes = 2048;
// Several looks before the kernel's option would end a connection.
constexpr milliseconds kLookInterval{500};
// Looks in a row at which nothing was heard of a peer that ends a connection.
// Counted, since a peer can't be heard while this machine is suspended.
constexpr int kMaxSilentLooks = kUnacknowledged / kLookInterval;
// A round trip between far data centres, several times over.
constexpr milliseconds kLinger{500};
// Of what still comes meanwhile and is dropped.
constexpr size_t kMaxLingerBytes = 1UL << 20;

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

struct TcpConnection::PeerWatch {
  explicit PeerWatch(const Socket::executor_type& executor) : timer(executor) {}

  Timer timer;
  bool is_armed = false;
  bool uses_kernel_timeout = true;
  std::optional<uint32_t> segments_received;  // at the last look
  int silent_looks = 0;                       // in a row
};

TcpConnection::TcpConnection(Socket socket) : socket_(std::move(socket)) {}

TcpConnection::~TcpConnection() { SetPending(0); }

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
  if (observer_ != nullptr) {
    observer_->OnBytes({buffer.data(), size});
  } else if (is_lingering_) {
    lingered_bytes_ += size;
    if (lingered_bytes_ > kMaxLingerBytes) return Close();
  }
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
  if (size > kUnwatchedBytes || !queue_.empty()) WatchPeer();
}

void TcpConnection::WatchPeer() {
  if (!allows_closed_window_ || !socket_.is_open()) return;
  if (watch_ == nullptr) {
    watch_ = std::make_unique<PeerWatch>(socket_.get_executor());
  }
  if (watch_->is_armed) return;
  watch_->silent_looks = 0;
  watch_->segments_received.reset();
  AwaitNextLook();
}

void TcpConnection::AwaitNextLook() {
  watch_->is_armed = true;
  watch_->timer.expires_after(kLookInterval);
  watch_->timer.async_wait([weak = weak_from_this()](auto error) {
    auto self = weak.lock();
    if (self == nullptr) return;
    self->watch_->is_armed = false;
    if (!error && self->socket_.is_open()) self->LookAtPeer();
  });
}

void TcpConnection::LookAtPeer() {
  auto state = ReadTcpSendState(socket_.native_handle());
  if (!state) return;  // the kernel's option stays in force
  bool is_delivered =
      queue_.empty() && !state->has_unsent && !state->is_awaiting_ack;
  if (is_delivered) return UseKernelTimeout(true);
  PeerWatch& watch = *watch_;
  bool has_answered = watch.segments_received &&
                      *watch.segments_received != state->segments_received;
  watch.segments_received = state->segments_received;
  bool is_heard = has_answered || !state->is_awaiting_ack;
  watch.silent_looks = is_heard ? 0 : watch.silent_looks + 1;
  if (is_heard && state->has_unsent) UseKernelTimeout(false);
  bool is_silent = watch.silent_looks >= kMaxSilentLooks;
  if (is_silent && !watch.uses_kernel_timeout) {
    return Fail(std::make_error_code(std::errc::timed_out));
  }
  AwaitNextLook();
}

void TcpConnection::UseKernelTimeout(bool uses) {
  if (watch_->uses_kernel_timeout == uses) return;
  watch_->uses_kernel_timeout = uses;
  milliseconds time = uses ? kUnacknowledged : milliseconds(0);
  SetOption(socket_.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT,
            static_cast<int>(time.count()));
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
  is_lingering_ = true;
  socket_.shutdown(TcpConnection::Socket::shutdown_send, ignored);
  ResumeReading();
  auto timer = std::make_shared<Timer>(socket_.get_executor(), kLinger);
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
    Timer timer;
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
    auto tcp = std::make_shared<TcpConnection>(std::move(attempt->socket));
    tcp->AllowClosedWindow();
    callback({}, tcp);
  });
}

}  // namespace leverwick
