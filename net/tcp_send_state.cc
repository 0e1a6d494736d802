// The kernel's own header: the C library's has fewer fields, and the two can't
// be included together.

#include "net/tcp_send_state.h"

#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <cstddef>

namespace leverwick {

namespace {

// Nothing if the kernel's answer ends before `needed` bytes.
std::optional<tcp_info> ReadTcpInfo(int socket, size_t needed) {
  tcp_info info{};
  socklen_t size = sizeof(info);
  bool is_told = getsockopt(socket, IPPROTO_TCP, TCP_INFO, &info, &size) == 0 &&
                 size >= needed;
  if (!is_told) return std::nullopt;
  return info;
}

}  // namespace

std::optional<TcpSendState> ReadTcpSendState(int socket) {
  auto info = ReadTcpInfo(socket, offsetof(tcp_info, tcpi_notsent_bytes) +
                                      sizeof(tcp_info::tcpi_notsent_bytes));
  if (!info) return std::nullopt;
  TcpSendState state;
  state.is_awaiting_ack = info->tcpi_unacked > 0 || info->tcpi_probes > 0;
  state.has_unsent = info->tcpi_notsent_bytes > 0;
  state.segments_received = info->tcpi_segs_in;
  return state;
}

std::optional<uint64_t> ReadTcpBytesReceived(int socket) {
  auto info = ReadTcpInfo(socket, offsetof(tcp_info, tcpi_bytes_received) +
                                      sizeof(tcp_info::tcpi_bytes_received));
  if (!info) return std::nullopt;
  return info->tcpi_bytes_received;
}

}  // namespace leverwick
