// One thread a connection pumps both ways. While the link is cut it reads
// nothing, so the bytes stay in the sender's and our buffers, and it drops the
// connection when the cut ends: what was sent during a cut never arrives.

#include "scenario/tcp_link.h"

#include <arpa/inet.h>
#include <dirent.h>
#include <linux/inet_diag.h>
#include <linux/netlink.h>
#include <linux/sock_diag.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdio>
#include <cstdlib>

namespace leverwick {
namespace {

constexpr int kPollMs = 20;
constexpr size_t kBufferBytes = 65536;

sockaddr_in Loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

int Listen(int port) {
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in address = Loopback(port);
  if (bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 ||
      listen(fd, 256) != 0) {
    close(fd);
    return -1;
  }
  return fd;
}

int Connect(int port) {
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = Loopback(port);
  if (connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
    close(fd);
    return -1;
  }
  int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return fd;
}

bool Move(int from, int to) {
  char buffer[kBufferBytes];
  ssize_t size = read(from, buffer, sizeof buffer);
  for (ssize_t done = 0; done < size;) {
    ssize_t written =
        send(to, buffer + done, static_cast<size_t>(size - done), MSG_NOSIGNAL);
    if (written <= 0) return false;
    done += written;
  }
  return size > 0;
}

// The inode of the client's end of a connection to us; 0 when it is gone.
// Asks the kernel for this one socket: its whole table can be long.
uint32_t InodeOfConnection(int client_port, int our_port) {
  struct {
    nlmsghdr header;
    inet_diag_req_v2 request;
  } message{};
  message.header.nlmsg_len = sizeof message;
  message.header.nlmsg_type = SOCK_DIAG_BY_FAMILY;
  message.header.nlmsg_flags = NLM_F_REQUEST;
  message.request.sdiag_family = AF_INET;
  message.request.sdiag_protocol = IPPROTO_TCP;
  message.request.idiag_states = ~0U;
  inet_diag_sockid& id = message.request.id;
  id.idiag_sport = htons(static_cast<uint16_t>(client_port));
  id.idiag_dport = htons(static_cast<uint16_t>(our_port));
  id.idiag_src[0] = htonl(INADDR_LOOPBACK);
  id.idiag_dst[0] = htonl(INADDR_LOOPBACK);
  id.idiag_cookie[0] = INET_DIAG_NOCOOKIE;
  id.idiag_cookie[1] = INET_DIAG_NOCOOKIE;
  int fd = socket(AF_NETLINK, SOCK_RAW | SOCK_CLOEXEC, NETLINK_SOCK_DIAG);
  char buffer[1024];
  ssize_t size = -1;
  if (send(fd, &message, sizeof message, 0) == sizeof message) {
    size = recv(fd, buffer, sizeof buffer, 0);
  }
  close(fd);
  auto* header = reinterpret_cast<nlmsghdr*>(buffer);
  bool found = size > 0 && header->nlmsg_type == SOCK_DIAG_BY_FAMILY;
  if (!found) return 0;
  return static_cast<inet_diag_msg*>(NLMSG_DATA(header))->idiag_inode;
}

bool HoldsSocket(int pid, uint32_t inode) {
  std::string folder = "/proc/" + std::to_string(pid) + "/fd";
  DIR* entries = opendir(folder.c_str());
  if (entries == nullptr) return false;
  std::string wanted = "socket:[" + std::to_string(inode) + "]";
  bool found = false;
  for (dirent* entry = readdir(entries); entry != nullptr && !found;
       entry = readdir(entries)) {
    char link[64];
    std::string path = folder + "/" + entry->d_name;
    ssize_t size = readlink(path.c_str(), link, sizeof link);
    std::string target(link, size > 0 ? static_cast<size_t>(size) : 0);
    found = target == wanted;
  }
  closedir(entries);
  return found;
}

}  // namespace

int ProcessOfPort(int client_port, int our_port, const std::vector<int>& pids) {
  uint32_t inode = InodeOfConnection(client_port, our_port);
  if (inode == 0) return 0;
  for (int pid : pids) {
    if (HoldsSocket(pid, inode)) return pid;
  }
  return 0;
}

TcpLink::TcpLink(int port, int target_port, NameOf name_of, IsOpen is_open)
    : target_port_(target_port),
      name_of_(std::move(name_of)),
      is_open_(std::move(is_open)),
      listener_(Listen(port)) {
  acceptor_ = std::thread([this] { Accept(); });
}

TcpLink::~TcpLink() {
  stopped_ = true;
  acceptor_.join();
  for (std::thread& pump : pumps_) pump.join();
  close(listener_);
}

void TcpLink::Accept() {
  while (!stopped_) {
    pollfd waiting{listener_, POLLIN, 0};
    if (poll(&waiting, 1, kPollMs) <= 0) continue;
    sockaddr_in peer{};
    socklen_t size = sizeof peer;
    int client = accept4(listener_, reinterpret_cast<sockaddr*>(&peer), &size,
                         SOCK_CLOEXEC);
    if (client < 0) continue;
    int on = 1;
    setsockopt(client, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    int port = ntohs(peer.sin_port);
    std::lock_guard<std::mutex> lock(mutex_);
    pumps_.emplace_back([this, client, port] { Pump(client, name_of_(port)); });
  }
}

void TcpLink::Pump(int client, const std::string& from) {
  int target = -1;
  bool was_cut = false;
  while (!stopped_) {
    bool open = is_open_(from);
    was_cut = was_cut || !open;
    if (open && was_cut) break;
    if (open && target < 0) target = Connect(target_port_);
    if (open && target < 0) break;
    pollfd ends[2] = {{open ? client : -1, POLLIN, 0},
                      {open ? target : -1, POLLIN, 0}};
    if (poll(ends, 2, kPollMs) <= 0) continue;
    if (ends[0].revents != 0 && !Move(client, target)) break;
    if (ends[1].revents != 0 && !Move(target, client)) break;
  }
  close(client);
  if (target >= 0) close(target);
}

}  // namespace leverwick
