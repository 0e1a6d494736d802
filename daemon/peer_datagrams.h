// Datagrams between boxes: what may get lost and must not wait.
//
// Nothing is acknowledged or kept. One socket serves all that boxes tell each
// other this way; each listener takes its part of the notes.
//
//   PeerDatagrams datagrams(&loop, &metrics);
//   datagrams.AddListener(&listener);
//   std::error_code error = datagrams.Start(address);
//   datagrams.Send(notes, box.address);

#ifndef DAEMON_PEER_DATAGRAMS_H_
#define DAEMON_PEER_DATAGRAMS_H_

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <string>
#include <system_error>
#include <vector>

#include "daemon/log_boxes.h"
#include "net/metrics.h"
#include "schema/peer.pb.h"

namespace leverwick {

// Belongs to the thread that runs its event loop.
class PeerDatagrams {
 public:
  using Address = boost::asio::ip::udp::endpoint;

  // Notes that fill a datagram; with the one that came last it stays below
  // 1,400 bytes, what an Ethernet frame takes.
  static constexpr size_t kFullBytes = 1000;

  // A box that can be told something.
  struct Peer {
    std::string name;
    std::string data_centre;
    Address address;
  };

  class Listener {
   public:
    virtual ~Listener() = default;
    virtual void OnNotes(const PeerNotes& notes, const Address& from) = 0;
  };

  PeerDatagrams(boost::asio::io_context* loop, Metrics* metrics);

  // Listeners must outlive the datagrams, or the loop.
  void AddListener(Listener* listener) { listeners_.push_back(listener); }
  // Listens at the address, which is also what others see as the sender's.
  std::error_code Start(const Address& address);
  // Counts what can't be sent; before Start nothing can.
  void Send(const PeerNotes& notes, const Address& to);
  // Sends the same notes to each address.
  void Send(const PeerNotes& notes, const std::vector<Address>& to);

  // The boxes whose addresses can be read.
  static std::vector<Peer> PeersOf(const std::vector<FleetBox>& boxes);

 private:
  void Receive();
  void Learn(size_t size);
  void SendBytes(const std::string& bytes, const Address& to);

  Metrics* const metrics_;
  boost::asio::ip::udp::socket socket_;
  std::vector<Listener*> listeners_;
  std::array<char, 2048> buffer_{};
  Address sender_;
};

}  // namespace leverwick

#endif  // DAEMON_PEER_DATAGRAMS_H_
