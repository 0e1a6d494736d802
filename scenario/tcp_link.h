// A TCP connection through a link under test, so that a scenario can cut it.
//
// The link knows which process connects, by asking the kernel for the socket,
// and can so cut one direction between two processes. A cut is silent, as a
// real one is: connections stay open and nothing passes.

#ifndef SCENARIO_TCP_LINK_H_
#define SCENARIO_TCP_LINK_H_

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace leverwick {

class TcpLink {
 public:
  // Names the process with a pid; "" when it is none of ours.
  using NameOf = std::function<std::string(int client_port)>;
  // Whether `from` may reach this link's target now.
  using IsOpen = std::function<bool(const std::string& from)>;

  TcpLink(int port, int target_port, NameOf name_of, IsOpen is_open);
  ~TcpLink();

 private:
  void Accept();
  void Pump(int client, const std::string& from);

  const int target_port_;
  const NameOf name_of_;
  const IsOpen is_open_;
  int listener_ = -1;
  std::atomic<bool> stopped_{false};
  std::thread acceptor_;
  std::mutex mutex_;
  std::vector<std::thread> pumps_;
};

// The process among `pids` that holds the client end of a connection from
// `client_port` to `our_port`; 0 when none does.
int ProcessOfPort(int client_port, int our_port, const std::vector<int>& pids);

}  // namespace leverwick

#endif  // SCENARIO_TCP_LINK_H_
