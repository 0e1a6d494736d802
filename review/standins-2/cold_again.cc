// A replica that has been warm becomes cold again.
//
// Three boxes, three replicas, 120 requests a second: half safe, half unsafe.
// With the disruption one replica turns cold for 3 s, and says so in its entry
// at once. Nothing is judged within the first 1.5 s, which its entry has to
// reach the boxes. If it then gets well above what the rules allow, it falls
// over.

#include <deque>

#include "harness.h"

namespace {

using namespace review;

constexpr double kColdPerS = 10;
constexpr int kColdMs = 3000;
constexpr int kBound = 20;  // cold_per_s x cold_overrun (1.5) + cold_slack (5)
constexpr int kFallsOver = 25;  // requests in a second
constexpr int kGraceMs = 1500;
constexpr int kWorkMs = 120;
constexpr int kRequestsPerS = 120;
constexpr int kDeadlineMs = 1500;

}  // namespace

int main(int argc, char** argv) {
  Options options = Begin(argc, argv);
  Store store;
  store.Begin();
  std::string service =
      R"({"name":"logbook-app","health_path":"/health","max_conns":470,"cold_per_s":10,"cold_start_s":3})";
  store.Put(
      "keyed.op", "config",
      Config(
          7,
          {{"call-lookup", "safe", "logbook-app", kDeadlineMs, 300, 2, ""},
           {"log-contact", "unsafe", "logbook-app", kDeadlineMs, 300, 2, ""}},
          {service}, std::string("\"") + kKey + "\""));
  std::mutex mutex;
  std::deque<double> arrivals;  // at the cold replica, while it is judged
  int most = 0;
  std::atomic<double> judged_from{1e9};
  auto serve = [&](Replica* self, int fd, const Message& request) {
    bool falls = false;
    if (self->is_cold() && Seconds() >= judged_from) {
      std::lock_guard<std::mutex> lock(mutex);
      double now = Seconds();
      arrivals.push_back(now);
      while (now - arrivals.front() >= 1) arrivals.pop_front();
      int count = static_cast<int>(arrivals.size());
      most = std::max(most, count);
      RECORD("the cold replica %s gets %s: %d in the last second",
             self->id().c_str(), request.Field("Leverwick-Request-Id").c_str(),
             count);
      falls = count > kFallsOver;
    }
    if (falls) {
      self->Crash();
      return false;
    }
    SleepMs(kWorkMs);
    if (self->has_crashed()) return false;
    return WriteAll(
        fd, self->Head("200 OK", request, "Content-Length: 4\r\n") + "done");
  };
  std::vector<std::unique_ptr<Replica>> replicas;
  for (const char* zone : {"hall-a", "hall-b", "hall-c"}) {
    replicas.push_back(std::make_unique<Replica>(
        &store, std::string("i-7f3a91c") + zone[5], "logbook-app", zone));
    replicas.back()->slots = 16;
    replicas.back()->Begin(serve);
  }
  std::vector<std::unique_ptr<Box>> boxes;
  std::vector<Box*> all;
  for (const char* zone : {"hall-a", "hall-b", "hall-c"}) {
    boxes.push_back(std::make_unique<Box>(options.repository, options.folder,
                                          std::string("front-") + zone + "-1",
                                          zone, store.port()));
    all.push_back(boxes.back().get());
    all.back()->UseGrownBounds();
    all.back()->Begin();
  }
  for (Box* box : all) box->AwaitReady();
  SleepMs(3500);
  std::atomic<bool> ends{false};
  std::atomic<int> sent{0}, served{0}, refused{0}, lost{0}, lost_unsafe{0};
  std::vector<std::thread> clients;
  constexpr int kThreads = 24;
  for (int i = 0; i < kThreads; ++i) {
    clients.emplace_back([&, i] {
      auto next = Clock::now() + milliseconds(1000 * i / kRequestsPerS);
      while (!ends) {
        std::this_thread::sleep_until(next);
        next += milliseconds(1000 * kThreads / kRequestsPerS);
        bool is_unsafe = i % 2 == 1;
        Box* box = all[static_cast<size_t>(i / 2) % all.size()];
        std::string id = NewId();
        int fd = Connect(box->callers());
        ++sent;
        WriteAll(
            fd, RequestText(is_unsafe ? "POST" : "GET",
                            is_unsafe ? "/log-contact/1" : "/call-lookup/1", id,
                            kDeadlineMs, is_unsafe ? "x" : ""));
        Reader reader(fd);
        Message answer;
        Reader::Result result =
            reader.Read(&answer, In(kDeadlineMs + 300), true);
        close(fd);
        int status = result == Reader::kMessage ? answer.status() : 0;
        if (status == 200) {
          ++served;
        } else if (status == 503 || status == 429) {
          ++refused;
        } else {
          ++lost;
          if (is_unsafe) ++lost_unsafe;
          RECORD("client: %s (%s) is lost: %s, status %d", id.c_str(),
                 is_unsafe ? "unsafe" : "safe", NameOf(result), status);
        }
      }
    });
  }
  SleepMs(3000);
  if (options.trouble) {
    replicas[0]->TurnCold(kColdMs);
    RECORD(
        "replica %s is cold again for %d ms, and its entry in the store says "
        "so",
        replicas[0]->id().c_str(), kColdMs);
    judged_from = Seconds() + kGraceMs / 1000.0;
  }
  SleepMs(kColdMs + 1500);
  ends = true;
  for (std::thread& client : clients) client.join();
  RECORD("sent %d, served %d, refused %d, lost %d (%d of them unsafe)",
         sent.load(), served.load(), refused.load(), lost.load(),
         lost_unsafe.load());
  if (served.load() == 0) CannotRun("nothing was served");
  std::lock_guard<std::mutex> lock(mutex);
  Finish(all, most > kBound,
         "the cold replica got " + std::to_string(most) +
             " requests in a second (bound " + std::to_string(kBound) + "); " +
             std::to_string(lost.load()) + " requests were lost, " +
             std::to_string(lost_unsafe.load()) + " of them unsafe");
}
