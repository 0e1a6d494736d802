// A TCP peer that says exactly the bytes a test gives it, for tests of what
// broken servers and callers do.

#ifndef NET_TESTING_RAW_PEER_H_
#define NET_TESTING_RAW_PEER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "net/tcp_connection.h"

namespace leverwick {

// One connection: what it received and what it is told to send.
class RawConnection : public TcpConnection::Observer {
 public:
  using Receiver = std::function<void(RawConnection*)>;

  RawConnection(std::shared_ptr<TcpConnection> tcp, Receiver receiver)
      : tcp(std::move(tcp)), receiver_(std::move(receiver)) {}

  void OnBytes(std::string_view bytes) override {
    received.append(bytes);
    if (receiver_) receiver_(this);
  }
  void OnClosed(std::error_code) override { closed = true; }

  std::shared_ptr<TcpConnection> tcp;
  std::string received;
  bool closed = false;

 private:
  const Receiver receiver_;
};

// Listens on a free loopback port; `receiver` runs whenever bytes came.
class RawServer {
 public:
  RawServer(boost::asio::io_context* loop, RawConnection::Receiver receiver)
      : acceptor_(*loop, {boost::asio::ip::address_v4::loopback(), 0}),
        endpoint_(acceptor_.local_endpoint()),
        receiver_(std::move(receiver)) {
    Accept();
  }

  // As a process that ends: all connections close, new ones are refused. The
  // port stays bound, so that nobody else is given it.
  void Stop() {
    listens_ = false;
    acceptor_.close();
    acceptor_.open(endpoint_.protocol());
    acceptor_.set_option(boost::asio::socket_base::reuse_address(true));
    acceptor_.bind(endpoint_);
    for (const auto& connection : connections) connection->tcp->Close();
    connections.clear();
  }
  // Listens again at the same address.
  void Start() {
    listens_ = true;
    acceptor_.listen();
    Accept();
  }
  bool listens() const { return listens_; }

  std::string address() const {
    return "127.0.0.1:" + std::to_string(endpoint_.port());
  }

  std::vector<std::shared_ptr<RawConnection>> connections;

 private:
  void Accept() {
    acceptor_.async_accept([this](auto error, auto socket) {
      if (error) return;
      auto tcp = std::make_shared<TcpConnection>(std::move(socket));
      connections.push_back(std::make_shared<RawConnection>(tcp, receiver_));
      tcp->Start(connections.back().get());
      Accept();
    });
  }

  boost::asio::ip::tcp::acceptor acceptor_;
  const boost::asio::ip::tcp::endpoint endpoint_;
  const RawConnection::Receiver receiver_;
  bool listens_ = true;
};

}  // namespace leverwick

#endif  // NET_TESTING_RAW_PEER_H_
