// A withdrawn key works again at a box that starts after the store came back
// from an older copy.
//
// Seven boxes in three zones, one replica. The operator takes a key away.
// Two seconds later the store is away for 3.5 s and comes back from a copy that
// is 3 s older than its outage; the operator writes its configuration again 2 s
// after the return. One box is killed and starts again at the return, with and
// without the disruption. Clients use the key at all boxes all the time.

#include "harness.h"

namespace {

using namespace review;

constexpr char kTakenAway[] = "k2taken0away0soon000";
constexpr int kRevokeMs = 5000;
constexpr int kCopyAgeMs = 3000;
constexpr int kAwayMs = 3500;
constexpr int kWrittenAgainMs = 2000;
constexpr int kDeadlineMs = 1500;

std::string ConfigOf(int version, const std::string& keys) {
  std::string service =
      R"({"name":"portal-api","health_path":"/health","max_conns":100})";
  return Config(
      version,
      {{"status-lookup", "unsafe", "portal-api", kDeadlineMs, 300, 2, ""}},
      {service}, keys);
}

}  // namespace

int main(int argc, char** argv) {
  Options options = Begin(argc, argv);
  std::string first_key = std::string("\"") + kKey + "\"";
  std::string both = first_key + ",\"" + kTakenAway + "\"";
  Store store;
  store.Begin();
  store.Put("keyed.op", "config", ConfigOf(7, both));
  std::mutex mutex;
  std::set<std::string> with_key;  // ids of requests with the key taken away
  std::map<std::string, double> sent_at;
  double taken_away_at = 1e9;
  int late_runs = 0;
  Replica replica(&store, "i-7f3a91c2", "portal-api", "hall-a");
  replica.slots = 32;
  replica.Begin([&](Replica* self, int fd, const Message& request) {
    std::string id = request.Field("Leverwick-Request-Id");
    {
      std::lock_guard<std::mutex> lock(mutex);
      double after = sent_at[id] - taken_away_at;
      if (with_key.count(id) > 0 && after > kRevokeMs / 1000.0) {
        ++late_runs;
        RECORD("the replica runs %s, sent %.3f s after its key was taken away",
               id.c_str(), after);
      }
    }
    return WriteAll(
        fd, self->Head("200 OK", request, "Content-Length: 4\r\n") + "done");
  });
  std::vector<std::unique_ptr<Box>> boxes;
  std::vector<Box*> all;
  for (const char* place : {"hall-a-1", "hall-a-2", "hall-a-3", "hall-b-1",
                            "hall-b-2", "hall-c-1", "hall-c-2"}) {
    boxes.push_back(std::make_unique<Box>(options.repository, options.folder,
                                          std::string("front-") + place,
                                          std::string(place, 6), store.port()));
    all.push_back(boxes.back().get());
    all.back()->Begin();
  }
  for (Box* box : all) box->AwaitReady();
  SleepMs(3500);
  std::atomic<bool> ends{false};
  std::atomic<int> served{0};
  std::vector<std::thread> clients;
  for (size_t i = 0; i < 2 * all.size(); ++i) {
    clients.emplace_back([&, i] {
      while (!ends) {
        SleepMs(50);
        std::string id = NewId();
        std::string text =
            RequestText("POST", "/status-lookup/1", id, kDeadlineMs, "x");
        if (i % 2 == 0) ReplaceAll(&text, kKey, kTakenAway);
        int fd = Connect(all[i / 2]->callers());
        if (fd < 0) continue;
        {
          std::lock_guard<std::mutex> lock(mutex);
          sent_at[id] = Seconds();
          if (i % 2 == 0) with_key.insert(id);
        }
        WriteAll(fd, text);
        Reader reader(fd);
        Message answer;
        reader.Read(&answer, In(kDeadlineMs), true);
        if (answer.status() == 200) ++served;
        close(fd);
      }
    });
  }
  SleepMs(2000);
  store.Put("keyed.op", "config", ConfigOf(8, first_key));
  {
    std::lock_guard<std::mutex> lock(mutex);
    taken_away_at = Seconds();
  }
  RECORD("the store has taken version 8, without the key");
  SleepMs(2000);
  double away_at = Seconds();
  if (options.trouble) store.GoAway();
  SleepMs(kAwayMs - 600);
  all.back()->Signal(SIGKILL);
  SleepMs(500);
  all.back()->Restart();
  SleepMs(100);
  if (options.trouble) store.ComeBack(away_at - kCopyAgeMs / 1000.0);
  replica.Renew();
  SleepMs(kWrittenAgainMs);
  if (options.trouble) {
    store.Put("keyed.op", "config", ConfigOf(8, first_key));
    RECORD("the operator has written version 8 again");
  }
  SleepMs(3000);
  ends = true;
  for (std::thread& client : clients) client.join();
  if (served.load() == 0) CannotRun("nothing was served");
  std::lock_guard<std::mutex> lock(mutex);
  Finish(all, late_runs > 0,
         std::to_string(late_runs) +
             " requests ran that were sent later than revoke_ms after their "
             "key's removal had been acknowledged (bound 0)");
}
