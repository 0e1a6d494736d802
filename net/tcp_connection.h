// One TCP connection on the event loop.
//
// Bytes are read as they arrive into a buffer that all connections of a
// thread share, so that an idle connection holds no buffer of its own. Writes
// are queued; `pending_bytes` tells a producer when to wait. A connection that
// is closed calls its observer no more.
//
//   auto connection = std::make_shared<TcpConnection>(std::move(socket));
//   connection->Start(&observer);
//   connection->Write("...");
//   connection->Close();

#ifndef NET_TCP_CONNECTION_H_
#define NET_TCP_CONNECTION_H_

#include <boost/asio/ip/tcp.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <system_error>

#include "leverwick/time.h"

namespace leverwick {

// Not thread-safe: belongs to the thread that runs its event loop.
class TcpConnection : public std::enable_shared_from_this<TcpConnection> {
 public:
  using Socket = boost::asio::ip::tcp::socket;

  class Observer {
   public:
    virtual ~Observer() = default;
    virtual void OnBytes(std::string_view bytes) = 0;
    // The other side closed (no error) or the connection broke. Called once.
    virtual void OnClosed(std::error_code why) = 0;
    // All queued bytes were taken by the kernel.
    virtual void OnDrained() {}
  };

  explicit TcpConnection(Socket socket);
  ~TcpConnection();
  TcpConnection(const TcpConnection&) = delete;
  TcpConnection& operator=(const TcpConnection&) = delete;

  // Begins to read; `observer` must outlive the connection or its Close.
  void Start(Observer* observer);

  void Write(std::string bytes);
  // The same without a copy; the string may be in use elsewhere too.
  void Write(std::shared_ptr<const std::string> bytes);

  // From now on a peer that acknowledges what it gets may close its window for
  // any time; whoever awaits it bounds that. One that is silent for
  // kUnacknowledged still ends the connection. For connections whose options
  // were set with kUnacknowledged.
  void AllowClosedWindow() { allows_closed_window_ = true; }

  // Lets the queued bytes leave, then closes; the observer is not told.
  void CloseWhenDrained();
  void Close();
  // Closes so that bytes which have not arrived yet never do.
  void CloseWithReset();

  // A slow receiver elsewhere: stop reading, and go on again.
  void PauseReading() { paused_ = true; }
  void ResumeReading();

  bool is_open() const { return socket_.is_open(); }
  // Whether the kernel has been given any byte since `ForgetSent`.
  bool any_sent() const { return any_sent_; }
  void ForgetSent() { any_sent_ = false; }
  size_t pending_bytes() const { return pending_bytes_; }
  // Adds the pending bytes of this connection to a sum over several.
  void CountPendingIn(std::shared_ptr<size_t> sum);

 private:
  // Bytes that are queued; owned here unless `shared` is set.
  struct Piece {
    std::string own;
    std::shared_ptr<const std::string> shared;
    std::string_view bytes() const { return shared ? *shared : own; }
  };

  // How the peer answers while bytes are on their way to it.
  struct PeerWatch;

  void Queue(Piece piece);
  void SetPending(size_t bytes);
  void AwaitBytes();
  void ReadBytes();
  void WriteSome();
  void OnWritable();
  // Looks at the peer's acknowledgements until all bytes have arrived.
  void WatchPeer();
  void AwaitNextLook();
  void LookAtPeer();
  // TCP_USER_TIMEOUT, or none.
  void UseKernelTimeout(bool uses);
  void Linger();
  void Fail(std::error_code why);

  Socket socket_;
  Observer* observer_ = nullptr;
  std::deque<Piece> queue_;
  size_t front_offset_ = 0;  // bytes of the first piece that were written
  size_t pending_bytes_ = 0;
  std::shared_ptr<size_t> pending_sum_;  // may be null
  bool any_sent_ = false;
  bool awaiting_writable_ = false;
  bool awaiting_bytes_ = false;
  bool paused_ = false;
  bool close_when_drained_ = false;
  bool is_lingering_ = false;
  size_t lingered_bytes_ = 0;
  bool allows_closed_window_ = false;
  // Null: the peer has not been watched yet.
  std::unique_ptr<PeerWatch> watch_;
};

// Connects within `limit` and gives an open connection or an error.
using ConnectCallback = std::function<void(
    std::error_code error, std::shared_ptr<TcpConnection> connection)>;
void ConnectTcp(boost::asio::io_context* loop,
                const boost::asio::ip::tcp::endpoint& address,
                milliseconds limit, ConnectCallback callback);
using ConnectFunction =
    std::function<void(boost::asio::io_context* loop,
                       const boost::asio::ip::tcp::endpoint& address,
                       milliseconds limit, ConnectCallback callback)>;

// A peer that acknowledges nothing for this long is gone. Boxes judge each
// other's silence within 3 s (docs/PLATFORM-MOVE.md), so it lies below that
// and above two retransmissions of a lost packet.
constexpr milliseconds kUnacknowledged{2000};

// Options of every connection: no delay for small writes, and the kernel's
// own notice of a peer that fell silent, or takes nothing, for a time.
void SetTcpOptions(TcpConnection::Socket* socket,
                   milliseconds unacknowledged = kUnacknowledged);

// "ip:port" as an address; false when it is malformed.
bool ParseAddress(const std::string& text,
                  boost::asio::ip::tcp::endpoint* address);

}  // namespace leverwick

#endif  // NET_TCP_CONNECTION_H_
