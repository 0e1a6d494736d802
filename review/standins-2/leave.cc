// Clients leave while a replica is still reading their requests.
//
// One box, one replica of a streaming route, 40 clients that each post a prompt
// of 72,000 bytes. The replica is a slow reader with a small receive buffer: it
// reads nothing of a request for 1.4 s from its first bytes on, and then the
// rest. With the disruption 12 of the clients (0.3 of them) close their
// connections 0.3 s after they have sent their requests.

#include "harness.h"

namespace {

using namespace review;

constexpr int kClients = 40;
constexpr int kLeaving = 12;
constexpr size_t kBodyBytes = 72000;
constexpr int kReceiveBuffer = 8192;
constexpr int kDeadlineMs = 25000;
constexpr int kReplicaPauseMs = 1400;
constexpr int kLeaveMs = 300;
constexpr int kFew = 3;
constexpr double kBoundS = 0.5;

std::string AnswerTo(const std::string& id) {
  std::string body;
  for (int event = 1; event <= 3; ++event) {
    std::string number = std::to_string(event);
    body += "id: " + number + "\ndata: piece " + number + "\n\n";
  }
  return "HTTP/1.1 200 OK\r\nLeverwick-Request-Id: " + id +
         "\r\nLeverwick-Replica-Stamp: i-7f3a91c2\r\nContent-Type: "
         "text/event-stream\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

}  // namespace

int main(int argc, char** argv) {
  Options options = Begin(argc, argv);
  Store store;
  store.Begin();
  std::string service =
      R"({"name":"assist-models","health_path":"/health","max_conns":590,)"
      R"("engine":{"slots":64,"kv_capacity":597293,"models":[]}})";
  store.Put("keyed.op", "config",
            Config(7,
                   {{"failure-triage", "streaming", "assist-models",
                     kDeadlineMs, 3000, 3, ",\"gap_aim_ms\":1500"}},
                   {service}, std::string("\"") + kKey + "\""));
  std::mutex mutex;
  std::map<std::string, double> closed_at;
  std::map<std::string, double> arrived_at;
  Server server;
  server.receive_buffer = kReceiveBuffer;
  server.Begin([&](int fd) {
    Reader reader(fd);
    Message request;
    for (;;) {
      pollfd ready{fd, POLLIN, 0};
      if (poll(&ready, 1, 60000) <= 0) break;
      SleepMs(kReplicaPauseMs);
      if (reader.Read(&request, In(20000), false) != Reader::kMessage) break;
      std::string id = request.Field("Leverwick-Request-Id");
      {
        std::lock_guard<std::mutex> lock(mutex);
        arrived_at[id] = Seconds();
      }
      RECORD("%s has arrived at the replica, %zu bytes of body; it runs it",
             id.c_str(), request.body.size());
      if (!WriteAll(fd, AnswerTo(id))) break;
    }
    close(fd);
  });
  store.Put("keyed.servers", "i-7f3a91c2",
            "{\"service\":\"assist-models\",\"address\":\"127.0.0.1:" +
                std::to_string(server.port()) +
                "\",\"zone\":\"hall-a\",\"version\":\"v1\",\"slots\":64,"
                "\"state\":\"ready\",\"cold_remaining_ms\":0,\"seq\":1}");
  Box box(options.repository, options.folder, "front-hall-a-1", "hall-a",
          store.port());
  box.UseGrownBounds();
  box.Begin();
  box.AwaitReady();
  SleepMs(4500);
  std::atomic<int> served{0};
  std::vector<std::thread> clients;
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back([&, i] {
      std::string id = NewId();
      int fd = Connect(box.callers());
      RECORD("client %d sends %s", i, id.c_str());
      WriteAll(fd, RequestText("POST", "/failure-triage/1", id, kDeadlineMs,
                               std::string(kBodyBytes, 'x')));
      if (options.trouble && i < kLeaving) {
        SleepMs(kLeaveMs);
        close(fd);
        std::lock_guard<std::mutex> lock(mutex);
        closed_at[id] = Seconds();
        RECORD("client %d: %s: it has closed its connection", i, id.c_str());
        return;
      }
      Reader reader(fd);
      Message answer;
      Reader::Result result = reader.Read(&answer, In(kDeadlineMs + 500), true);
      RECORD("client %d: %s: %s, status %d", i, id.c_str(), NameOf(result),
             answer.status());
      if (answer.status() == 200) ++served;
      close(fd);
    });
  }
  for (std::thread& client : clients) client.join();
  SleepMs(3000);
  std::lock_guard<std::mutex> lock(mutex);
  int late = 0;
  for (const auto& closed : closed_at) {
    auto arrived = arrived_at.find(closed.first);
    if (arrived == arrived_at.end()) continue;
    double after = arrived->second - closed.second;
    RECORD("%s reached the replica %.3f s after its client had closed",
           closed.first.c_str(), after);
    if (after > kBoundS) ++late;
  }
  if (served.load() == 0) CannotRun("nothing was served");
  Finish({&box}, late > kFew,
         std::to_string(late) + " of " + std::to_string(kLeaving) +
             " requests whose clients closed reached the replica over 0.5 s "
             "later (bound " +
             std::to_string(kFew) + "); " + std::to_string(served.load()) +
             " others were served");
}
