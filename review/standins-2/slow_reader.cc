// Clients that read slowly while their box is stopped as planned.
//
// Each client sends one safe request, whose replica answers at once with a body
// of 256 KB, and reads 8 KB of it each 40 ms. The box gets SIGTERM half a
// second after the requests. With the disruption each client reads nothing for
// 3 s from the begin of its answer on.

#include "harness.h"

namespace {

using namespace review;

constexpr int kClients = 8;
constexpr int kDeadlineMs = 20000;
constexpr int kPauseMs = 3000;
constexpr int kReceiveBuffer = 16384;
constexpr double kGraceS = 8;
constexpr size_t kAnswerBytes = 256UL << 10;

struct Outcome {
  Reader::Result result = Reader::kTimeout;
  int status = 0;
  size_t bytes = 0;
  double ended = 0;
  bool passed_on = false;  // to the replica
};

}  // namespace

int main(int argc, char** argv) {
  Options options = Begin(argc, argv);
  Store store;
  store.Begin();
  store.Put(
      "keyed.op", "config",
      Config(
          7, {{"filings", "safe", "portal-api", kDeadlineMs, 1000, 3, ""}},
          {R"({"name":"portal-api","health_path":"/health","max_conns":100})"},
          std::string("\"") + kKey + "\""));
  std::atomic<int> runs{0};
  std::mutex mutex;
  std::set<std::string> ran;
  Replica replica(&store, "i-7f3a91c2", "portal-api", "hall-a");
  replica.slots = 16;
  replica.Begin([&](Replica* self, int fd, const Message& request) {
    ++runs;
    {
      std::lock_guard<std::mutex> lock(mutex);
      ran.insert(request.Field("Leverwick-Request-Id"));
    }
    std::string body(kAnswerBytes, 'x');
    bool sent = WriteAll(
        fd,
        self->Head("200 OK", request,
                   "Content-Length: " + std::to_string(body.size()) + "\r\n") +
            body);
    RECORD("replica ran %s and %s",
           request.Field("Leverwick-Request-Id").c_str(),
           sent ? "sent the whole answer" : "could not send its answer");
    return sent;
  });
  Box box(options.repository, options.folder, "front-hall-a-1", "hall-a",
          store.port());
  box.UseGrownBounds();
  box.Begin();
  box.AwaitReady();
  SleepMs(4500);
  std::vector<Outcome> outcomes(kClients);
  std::vector<std::thread> clients;
  double stopped_at = Seconds() + 0.5;
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back([&, i] {
      std::string id = NewId();
      int fd = Connect(box.callers(), kReceiveBuffer);
      RECORD("client %d sends %s", i, id.c_str());
      WriteAll(fd, RequestText("GET", "/filings/1", id, kDeadlineMs, ""));
      bool paused = !options.trouble;
      if (!paused) {
        pollfd ready{fd, POLLIN, 0};
        poll(&ready, 1, 5000);
        RECORD("client %d: the answer has begun; it reads nothing for %d ms", i,
               kPauseMs);
        SleepMs(kPauseMs);
      }
      Reader reader(fd);
      reader.pace_ms = 40;
      Message answer;
      Outcome& outcome = outcomes[static_cast<size_t>(i)];
      outcome.result = reader.Read(&answer, In(kDeadlineMs), true);
      outcome.status = answer.status();
      outcome.bytes = answer.body.size();
      outcome.ended = Seconds();
      {
        std::lock_guard<std::mutex> lock(mutex);
        outcome.passed_on = ran.count(id) > 0;
      }
      RECORD("client %d: %s: %s, status %d, %zu of %zu bytes", i, id.c_str(),
             NameOf(outcome.result), outcome.status, outcome.bytes,
             kAnswerBytes);
      close(fd);
    });
  }
  while (Seconds() < stopped_at) SleepMs(5);
  double term = Seconds();
  box.Signal(SIGTERM);
  for (std::thread& client : clients) client.join();
  // An answer of any status is complete if it is whole.
  int cut = 0;
  for (const Outcome& outcome : outcomes) {
    bool has_ended =
        outcome.result == Reader::kClosed || outcome.result == Reader::kReset;
    bool is_near_stop = outcome.ended <= term + kGraceS + 1;
    if (has_ended && is_near_stop && outcome.passed_on) ++cut;
  }
  RECORD("SIGTERM was at %.3f s; the replica ran %d requests", term,
         runs.load());
  if (runs.load() == 0) CannotRun("no request reached the replica");
  Finish({&box}, cut > 0,
         std::to_string(cut) + " of " + std::to_string(kClients) +
             " connections ended without a complete answer after their "
             "requests had been passed on");
}
