// What the kernel knows of the bytes that a socket has yet to deliver.
//
// It tells a peer that reads slowly from one that is gone: the first one
// acknowledges every probe of its closed window, the second one nothing.

#ifndef NET_TCP_SEND_STATE_H_
#define NET_TCP_SEND_STATE_H_

#include <cstdint>
#include <optional>

namespace leverwick {

struct TcpSendState {
  // Sent data, or a probe of a closed window, awaits an acknowledgement.
  bool is_awaiting_ack = false;
  bool has_unsent = false;         // bytes that the peer's window keeps back
  uint32_t segments_received = 0;  // of the peer; wraps around
};

// Nothing where the kernel doesn't tell.
std::optional<TcpSendState> ReadTcpSendState(int socket);

// Bytes that have come over the connection, those that wait to be read among
// them. Nothing where the kernel doesn't tell.
std::optional<uint64_t> ReadTcpBytesReceived(int socket);

}  // namespace leverwick

#endif  // NET_TCP_SEND_STATE_H_
