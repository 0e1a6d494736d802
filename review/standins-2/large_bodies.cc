// A replica reads slowly while clients send large bodies.
//
// One box of 120 MB, one replica, and 20 clients, each with a kept connection,
// on which it posts a body of 4 MB (the configuration's max_body_bytes) to an
// unsafe route; they do so one after the other, 100 ms apart. With the
// disruption the replica reads nothing of a large body for 3 s, and then goes
// on. The platform kills a process that goes over its memory: the stand-in
// looks at its resident size each 20 ms.

#include "harness.h"

namespace {

using namespace review;

constexpr size_t kBodyBytes = 4UL << 20;
constexpr int kDeadlineMs = 10000;
constexpr int kPauseMs = 3000;
constexpr int kBetweenMs = 100;
constexpr char kIdField[] = "Leverwick-Request-Id: ";

double ResidentMb(pid_t pid) {
  std::ifstream in("/proc/" + std::to_string(pid) + "/status");
  std::string line;
  while (std::getline(in, line))
    if (line.rfind("VmRSS:", 0) == 0)
      return std::strtod(line.c_str() + 6, nullptr) / 1024;
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  Options options = Begin(argc, argv);
  constexpr int kClients = 20;
  constexpr double kMemoryMb = 120;
  Store store;
  store.Begin();
  store.Put(
      "keyed.op", "config",
      Config(
          7,
          {{"deploy-approve", "unsafe", "pipeline-api", kDeadlineMs, 1000, 2,
            ""}},
          {R"({"name":"pipeline-api","health_path":"/health","max_conns":460})"},
          std::string("\"") + kKey + "\""));
  std::atomic<int> runs{0};
  std::mutex mutex;
  std::set<std::string> passed_on;  // large requests that have begun to arrive
  // The replica reads its connections itself: a slow reader.
  Server server;
  server.Begin([&](int fd) {
    Reader reader(fd);
    Message request;
    for (;;) {
      pollfd ready{fd, POLLIN, 0};
      if (poll(&ready, 1, 60000) <= 0) break;
      char bytes[4096];
      ssize_t size = recv(fd, bytes, sizeof(bytes), MSG_PEEK);
      bool is_large = size == sizeof(bytes);
      if (is_large) {
        std::string begin(bytes, sizeof(bytes));
        size_t at = begin.find(kIdField);
        std::lock_guard<std::mutex> lock(mutex);
        if (at != std::string::npos)
          passed_on.insert(begin.substr(at + strlen(kIdField), 16));
      }
      if (options.trouble && is_large) SleepMs(kPauseMs);
      if (reader.Read(&request, In(60000), false) != Reader::kMessage) break;
      ++runs;
      RECORD("replica ran %s", request.Field("Leverwick-Request-Id").c_str());
      if (!WriteAll(fd, "HTTP/1.1 200 OK\r\nLeverwick-Request-Id: " +
                            request.Field("Leverwick-Request-Id") +
                            "\r\nLeverwick-Replica-Stamp: "
                            "i-7f3a91c2\r\nContent-Length: 4\r\n\r\ndone"))
        break;
    }
    close(fd);
  });
  store.Put("keyed.servers", "i-7f3a91c2",
            "{\"service\":\"pipeline-api\",\"address\":\"127.0.0.1:" +
                std::to_string(server.port()) +
                "\",\"zone\":\"hall-a\",\"version\":\"v1\",\"slots\":64,"
                "\"state\":\"ready\",\"cold_remaining_ms\":0,\"seq\":1}");
  Box box(options.repository, options.folder, "front-hall-a-1", "hall-a",
          store.port());
  box.UseGrownBounds();
  box.Begin();
  box.AwaitReady();
  SleepMs(4500);
  std::atomic<bool> ends{false}, killed{false};
  double most = 0;
  std::thread platform([&] {
    while (!ends) {
      double now = ResidentMb(box.pid());
      most = std::max(most, now);
      if (now > kMemoryMb && !killed) {
        RECORD(
            "the process has %.0f MB, more than memory_mb = %.0f: the platform "
            "kills it",
            now, kMemoryMb);
        killed = true;
        box.Signal(SIGKILL);
      }
      SleepMs(20);
    }
  });
  std::atomic<int> kept{0}, lost{0}, served{0};
  std::vector<std::thread> clients;
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back([&, i] {
      int fd = Connect(box.callers());
      Reader reader(fd);
      Message answer;
      // A small request first: the connection is a kept one.
      WriteAll(fd, RequestText("POST", "/deploy-approve/0", NewId(),
                               kDeadlineMs, "x"));
      reader.Read(&answer, In(kDeadlineMs), true);
      if (answer.status() != 200) return;
      ++kept;
      while (kept < kClients) SleepMs(5);
      SleepMs(static_cast<int64_t>(i) * kBetweenMs);
      std::string id = NewId();
      RECORD("client %d sends %s", i, id.c_str());
      WriteAll(fd, RequestText("POST", "/deploy-approve/1", id, kDeadlineMs,
                               std::string(kBodyBytes, 'x')));
      Reader::Result result = reader.Read(&answer, In(kDeadlineMs + 500), true);
      RECORD("client %d: %s: %s, status %d", i, id.c_str(), NameOf(result),
             answer.status());
      std::lock_guard<std::mutex> lock(mutex);
      bool is_closed = result == Reader::kClosed || result == Reader::kReset;
      if (is_closed && passed_on.count(id) > 0) ++lost;
      if (answer.status() == 200) ++served;
      close(fd);
    });
  }
  for (std::thread& client : clients) client.join();
  ends = true;
  platform.join();
  char text[200];
  snprintf(text, sizeof(text),
           "%d kept connections closed without an answer behind requests that "
           "were passed on (bound 3), %d served; the process had %.0f MB at "
           "its peak",
           lost.load(), served.load(), most);
  Finish({&box}, lost.load() > 3, text);
}
