// A server that answers one request with exactly the bytes a test gives it and
// then ends the connection, for clients that block.

#ifndef NET_TESTING_ONE_ANSWER_H_
#define NET_TESTING_ONE_ANSWER_H_

#include <algorithm>
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <cstdint>
#include <cstdlib>
#include <string>
#include <thread>
#include <utility>

namespace leverwick {

struct OneAnswerOptions {
  // Written again and again behind the answer until the client closes.
  std::string piece;
  // Answers an earlier request.
  std::string earlier_answer;
  // Whether the connection is closed behind the earlier answer, so that the
  // later request needs another one.
  bool closes_between = false;
  // Whether the connection is reset rather than closed.
  bool resets = false;
};

class OneAnswer {
  using Socket = boost::asio::ip::tcp::socket;

 public:
  explicit OneAnswer(std::string answer, OneAnswerOptions options = {})
      : acceptor_(loop_, {NextAddress(), 0}),
        ip_(acceptor_.local_endpoint().address()),
        port_(acceptor_.local_endpoint().port()),
        answer_(std::move(answer)),
        options_(std::move(options)),
        thread_([this] { Serve(); }) {}
  // A server that still waits for a call is given calls until it ends.
  ~OneAnswer() {
    boost::system::error_code error;
    while (!error) {
      Socket socket(loop_);
      socket.connect({ip_, port_}, error);
    }
    thread_.join();
  }
  OneAnswer(const OneAnswer&) = delete;
  OneAnswer& operator=(const OneAnswer&) = delete;

  std::string address() const {
    return ip_.to_string() + ":" + std::to_string(port_);
  }

 private:
  void Serve() {
    Socket socket = acceptor_.accept();
    boost::system::error_code error;
    if (!options_.earlier_answer.empty()) {
      ReadRequest(&socket);
      Write(&socket, options_.earlier_answer, &error);
    }
    if (options_.closes_between) {
      socket.close(error);
      socket = acceptor_.accept();
    }
    acceptor_.close();
    ReadRequest(&socket);
    Write(&socket, answer_, &error);
    while (!options_.piece.empty() && !error) {
      Write(&socket, options_.piece, &error);
    }
    if (options_.resets) {
      socket.set_option(boost::asio::socket_base::linger(true, 0), error);
    }
    // The destructor would not reset it.
    socket.close(error);
  }

  // A port that was closed rests for a minute: many servers take the ports of
  // several loopback addresses.
  static boost::asio::ip::address_v4 NextAddress() {
    constexpr uint32_t kAddresses = 60;
    static std::atomic<uint32_t> next{0};
    uint32_t loopback = boost::asio::ip::address_v4::loopback().to_uint();
    return boost::asio::ip::address_v4(loopback + next++ % kAddresses);
  }

  // Reads the body too: a socket that is closed with bytes unread is reset.
  static void ReadRequest(Socket* socket) {
    const std::string kLength = "Content-Length: ";
    std::string request;
    boost::system::error_code ignored;  // the client says what it got
    size_t head = boost::asio::read_until(
        *socket, boost::asio::dynamic_buffer(request), "\r\n\r\n", ignored);
    size_t length_at = request.find(kLength);
    if (length_at == std::string::npos) return;
    size_t size =
        std::strtoul(request.c_str() + length_at + kLength.size(), nullptr, 10);
    size_t missing = head + size - std::min(request.size(), head + size);
    boost::asio::read(*socket, boost::asio::dynamic_buffer(request),
                      boost::asio::transfer_exactly(missing), ignored);
  }

  static void Write(Socket* socket, const std::string& bytes,
                    boost::system::error_code* error) {
    boost::asio::write(*socket, boost::asio::buffer(bytes), *error);
  }

  boost::asio::io_context loop_;
  boost::asio::ip::tcp::acceptor acceptor_;
  const boost::asio::ip::address ip_;
  const uint16_t port_;
  const std::string answer_;
  const OneAnswerOptions options_;
  std::thread thread_;
};

}  // namespace leverwick

#endif  // NET_TESTING_ONE_ANSWER_H_
