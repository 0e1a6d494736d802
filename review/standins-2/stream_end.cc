// Streams whose replica crashes behind their last event.
//
// Three boxes, four replicas of a resumable streaming route, 72 streams. Each
// stream has five events, and its end comes a second behind the last of
// them. With the disruption one replica crashes within that second. For a
// request that comes with the last event's id nothing is left: the others,
// which are sound, answer it 204, signed. ANSWER=404 lets them fail it instead.

#include "harness.h"

namespace {

using namespace review;

constexpr int kTimeoutMs = 6000;
constexpr int kDeadlineMs = 12000;
constexpr int kStreams = 72;
constexpr int kEvents = 5;
constexpr int kEventPauseMs = 200;
constexpr int kEndPauseMs = 1000;

std::string Chunk(const std::string& bytes) {
  char size[20];
  snprintf(size, sizeof(size), "%zx\r\n", bytes.size());
  return size + bytes + "\r\n";
}

struct Outcome {
  double sent = 0;
  double ended = 0;
  Reader::Result result = Reader::kTimeout;
  int status = 0;
  int events = 0;
};

}  // namespace

int main(int argc, char** argv) {
  Options options = Begin(argc, argv);
  const char* wanted = getenv("ANSWER");
  std::string nothing_left =
      wanted == nullptr ? "204 No Content" : std::string(wanted) + " -";
  Store store;
  store.Begin();
  store.Put(
      "keyed.op", "config",
      Config(
          7,
          {{"change-notice", "streaming", "lever-llm", kTimeoutMs, 4000, 3,
            ",\"resumable\":true,\"gap_aim_ms\":1200"}},
          {R"({"name":"lever-llm","health_path":"/health","max_conns":360,"engine":{"slots":64,"kv_capacity":439367,"models":[]}})"},
          std::string("\"") + kKey + "\""));
  std::atomic<int> resumed{0};
  std::atomic<int> at_last_event{0};
  auto serve = [&](Replica* self, int fd, const Message& request) {
    std::string id = request.Field("Leverwick-Request-Id");
    int last = atoi(request.Field("Last-Event-Id").c_str());
    if (last >= kEvents) {
      ++resumed;
      RECORD("replica %s: %s goes on behind event %d, nothing is left: %s",
             self->id().c_str(), id.c_str(), last, nothing_left.c_str());
      return WriteAll(
          fd,
          self->Head(nothing_left, request,
                     nothing_left[0] == '2' ? "" : "Content-Length: 0\r\n"));
    }
    RECORD("replica %s runs %s from event %d on", self->id().c_str(),
           id.c_str(), last + 1);
    if (!WriteAll(
            fd,
            self->Head("200 OK", request,
                       "Content-Type: text/event-stream\r\nTransfer-Encoding: "
                       "chunked\r\n")))
      return false;
    for (int event = last + 1; event <= kEvents; ++event) {
      std::string number = std::to_string(event);
      if (!WriteAll(
              fd, Chunk("id: " + number + "\ndata: piece " + number + "\n\n")))
        return false;
      if (event < kEvents) SleepMs(kEventPauseMs);
    }
    if (self->id() == "i-7f3a91c0") ++at_last_event;
    SleepMs(kEndPauseMs);
    if (self->has_crashed()) return false;
    return WriteAll(fd, "0\r\n\r\n");
  };
  std::vector<std::unique_ptr<Replica>> replicas;
  for (const char* zone : {"hall-a", "hall-b", "hall-c", "hall-a"}) {
    std::string id = "i-7f3a91c" + std::to_string(replicas.size());
    replicas.push_back(
        std::make_unique<Replica>(&store, id, "lever-llm", zone));
    replicas.back()->slots = 64;
    replicas.back()->Begin(serve);
  }
  Replica& first = *replicas.front();
  std::vector<std::unique_ptr<Box>> boxes;
  std::vector<Box*> all;
  for (const char* zone : {"hall-a", "hall-b", "hall-c"}) {
    boxes.push_back(std::make_unique<Box>(options.repository, options.folder,
                                          std::string("front-") + zone + "-1",
                                          zone, store.port()));
    all.push_back(boxes.back().get());
    all.back()->Begin();
  }
  for (Box* box : all) box->AwaitReady();
  SleepMs(3500);
  std::vector<Outcome> outcomes(kStreams);
  std::vector<std::thread> clients;
  for (int i = 0; i < kStreams; ++i) {
    clients.emplace_back([&, i] {
      Outcome& outcome = outcomes[static_cast<size_t>(i)];
      Box* box = all[static_cast<size_t>(i) % all.size()];
      std::string id = NewId();
      int fd = Connect(box->callers());
      outcome.sent = Seconds();
      RECORD("client %d sends %s to %s", i, id.c_str(), box->name().c_str());
      WriteAll(fd,
               RequestText("POST", "/change-notice/2f", id, kDeadlineMs, "x"));
      Reader reader(fd);
      reader.on_piece = [&](const std::string& piece) {
        for (size_t at = piece.find("id: "); at != std::string::npos;
             at = piece.find("id: ", at + 1))
          ++outcome.events;
      };
      Message answer;
      outcome.result = reader.Read(&answer, In(kDeadlineMs), true);
      outcome.ended = Seconds();
      outcome.status = answer.status();
      RECORD("client %d: %s: %s after %.3f s, status %d, %d of %d events", i,
             id.c_str(),
             outcome.result == Reader::kTimeout ? "NO FINAL ANSWER"
                                                : NameOf(outcome.result),
             outcome.ended - outcome.sent, outcome.status, outcome.events,
             kEvents);
      close(fd);
    });
  }
  if (options.trouble) {
    double begun = Seconds();
    while (at_last_event.load() < 1 && Seconds() < begun + 5) SleepMs(5);
    SleepMs(kEndPauseMs / 2);
    first.Crash();
  }
  for (std::thread& client : clients) client.join();
  int late = 0;
  int hung = 0;
  for (const Outcome& outcome : outcomes) {
    double held = outcome.ended - outcome.sent;
    if (held > kTimeoutMs / 1000.0) ++late;
    if (held > kTimeoutMs / 1000.0 + 0.5) ++hung;
  }
  RECORD("%d streams were taken up again behind their last event",
         resumed.load());
  bool broken = hung >= 8 && 4 * hung > late;
  Finish(all, broken,
         std::to_string(late) +
             " requests ran past their route's timeout_ms; " +
             std::to_string(hung) +
             " of them had no final answer 0.5 s after it (bound: fewer than "
             "8, or at most a quarter)");
}
