// One blocking socket with a time-out for each read.

#include "scenario/raw_caller.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <cstdlib>

#include "net/http_client.h"

namespace leverwick {
namespace {

bool Connect(int fd, const std::string& host, int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(port));
  if (inet_pton(AF_INET, host.c_str(), &address.sin_addr) != 1) return false;
  const auto* plain = reinterpret_cast<const sockaddr*>(&address);
  return connect(fd, plain, sizeof address) == 0;
}

std::string ReadAll(int fd) {
  std::string answer;
  char buffer[4096];
  for (ssize_t size = 0; (size = read(fd, buffer, sizeof buffer)) > 0;) {
    answer.append(buffer, static_cast<size_t>(size));
  }
  return answer;
}

}  // namespace

std::string SendRaw(const std::string& address, const std::string& bytes,
                    milliseconds patience) {
  std::string host;
  int port = 0;
  if (!SplitAddress(address, &host, &port)) return "";
  int fd = socket(AF_INET, SOCK_STREAM, 0);
  if (fd < 0) return "";
  timeval bound{};
  bound.tv_sec = patience.count() / 1000;
  bound.tv_usec = patience.count() % 1000 * 1000;
  setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &bound, sizeof bound);
  std::string answer;
  if (Connect(fd, host, port)) {
    send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    shutdown(fd, SHUT_WR);
    answer = ReadAll(fd);
  }
  close(fd);
  return answer;
}

int StatusOfRaw(const std::string& answer) {
  if (answer.rfind("HTTP/1.", 0) != 0) return 0;
  size_t space = answer.find(' ');
  return space == std::string::npos ? 0 : std::atoi(answer.c_str() + space);
}

}  // namespace leverwick
