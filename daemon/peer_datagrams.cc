// A datagram that can't be sent or read is counted and costs nothing but
// accuracy.

#include "daemon/peer_datagrams.h"

#include "net/log.h"
#include "net/tcp_connection.h"

namespace leverwick {
namespace {

const Log kLog("peers");

constexpr char kNotes[] = "leverwick_load_notes_total";

}  // namespace

PeerDatagrams::PeerDatagrams(boost::asio::io_context* loop, Metrics* metrics)
    : metrics_(metrics), socket_(*loop) {}

std::error_code PeerDatagrams::Start(const Address& address) {
  boost::system::error_code error;
  socket_.open(address.protocol(), error);
  if (!error) socket_.bind(address, error);
  if (!error) socket_.non_blocking(true, error);
  if (error) return error;
  Receive();
  return {};
}

std::vector<PeerDatagrams::Peer> PeerDatagrams::PeersOf(
    const std::vector<FleetBox>& boxes) {
  std::vector<Peer> peers;
  for (const FleetBox& box : boxes) {
    boost::asio::ip::tcp::endpoint address;
    if (!ParseAddress(box.address, &address)) {
      kLog.Error("A box's address can't be read.", {{"box", box.name}});
      continue;
    }
    peers.push_back(
        {box.name, box.data_centre, {address.address(), address.port()}});
  }
  return peers;
}

void PeerDatagrams::Receive() {
  socket_.async_receive_from(
      boost::asio::buffer(buffer_), sender_,
      [this](boost::system::error_code error, size_t size) {
        if (error == boost::asio::error::operation_aborted) return;
        // An error is that of a datagram sent before, to a box that is gone.
        if (!error) Learn(size);
        Receive();
      });
}

void PeerDatagrams::Learn(size_t size) {
  PeerNotes notes;
  bool readable = notes.ParseFromArray(buffer_.data(), static_cast<int>(size));
  metrics_->Add(kNotes, readable ? "result=\"heard\"" : "result=\"unreadable\"",
                1);
  if (!readable) return;
  for (Listener* listener : listeners_) listener->OnNotes(notes, sender_);
}

void PeerDatagrams::Send(const PeerNotes& notes, const Address& to) {
  SendBytes(notes.SerializeAsString(), to);
}

void PeerDatagrams::Send(const PeerNotes& notes,
                         const std::vector<Address>& to) {
  if (to.empty()) return;
  std::string bytes = notes.SerializeAsString();
  for (const Address& address : to) SendBytes(bytes, address);
}

void PeerDatagrams::SendBytes(const std::string& bytes, const Address& to) {
  boost::system::error_code error;
  socket_.send_to(boost::asio::buffer(bytes), to, 0, error);
  metrics_->Add(kNotes, error ? "result=\"not_sent\"" : "result=\"sent\"", 1);
}

}  // namespace leverwick
