// Tells other boxes which prompts this box has sent where, and hears theirs.
//
// A box alone sees a small part of what an endpoint has to read, and sends to
// one that is busy for other boxes while several are idle. So boxes send each
// other datagrams, gathered for some milliseconds. Nothing is acknowledged or
// kept. Gains 0.025 of a day's worth on six boxes and 0.008 and 0.002 on seven
// (30 played days each, paired); late answers of a calm day fall from 41 to 9.
//
// Boxes of the own data centre get every note. Those of other data centres get
// them only where there are few, since a note to each costs bytes between data
// centres with each request.
//
//   LoadExchange exchange(&loop, &loads, &metrics, data_centre, most_far);
//   std::error_code error = exchange.Start(address);
//   exchange.SetBoxes(boxes);

#ifndef DAEMON_LOAD_EXCHANGE_H_
#define DAEMON_LOAD_EXCHANGE_H_

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <string>
#include <system_error>
#include <vector>

#include "daemon/log_boxes.h"
#include "leverwick/engine_loads.h"
#include "net/metrics.h"
#include "schema/peer.pb.h"

namespace leverwick {

// Belongs to the thread that runs its event loop.
class LoadExchange : private EngineLoads::Observer {
 public:
  // `most_far`: boxes of other data centres are told if there are at most so
  // many.
  LoadExchange(boost::asio::io_context* loop, EngineLoads* loads,
               Metrics* metrics, std::string data_centre, size_t most_far);
  ~LoadExchange() override;

  // Listens for datagrams and begins to tell.
  std::error_code Start(const boost::asio::ip::udp::endpoint& address);

  // All boxes but this one.
  void SetBoxes(const std::vector<FleetBox>& boxes);

 private:
  using Address = boost::asio::ip::udp::endpoint;

  // EngineLoads::Observer.
  void OnSent(const SentPrompt& prompt) override;
  void OnRead(uint64_t ticket) override;

  void Receive();
  void Learn(size_t size);
  // Sends the notes soon, or at once when they fill a datagram.
  void SendSoon();
  void Send();

  EngineLoads* const loads_;
  Metrics* const metrics_;
  const std::string data_centre_;
  const size_t most_far_;
  boost::asio::ip::udp::socket socket_;
  boost::asio::steady_timer timer_;
  bool waiting_ = false;  // the timer runs
  LoadNotes notes_;
  std::vector<Address> told_;
  std::array<char, 2048> buffer_{};
  Address sender_;
};

}  // namespace leverwick

#endif  // DAEMON_LOAD_EXCHANGE_H_
