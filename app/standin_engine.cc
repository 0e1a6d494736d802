// Runs the stand-in of a model engine or plain service until SIGTERM, and
// announces it to the platform.

#include <unistd.h>

#include <CLI/CLI.hpp>
#include <thread>

#include "net/http_client.h"
#include "process/stop_signal.h"
#include "standin/engine.h"

namespace {

constexpr leverwick::milliseconds kAnnounceInterval(500);

struct Announcement {
  std::string platform;
  std::string address;
  std::string target;
  std::string data_centre;
  size_t places;
};

void Announce(const Announcement& about, const leverwick::EngineStandIn& engine,
              leverwick::HttpClient* platform) {
  std::string body =
      "{\"address\":\"" + about.address + "\",\"target\":\"" + about.target +
      "\",\"data_centre\":\"" + about.data_centre +
      "\",\"places\":" + std::to_string(about.places) +
      ",\"leaving\":" + (engine.leaving() ? "true" : "false") + "}";
  platform->Call("POST", "/endpoints", body, kAnnounceInterval);
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"A stand-in for a model engine or a plain service."};
  leverwick::EngineStandInOptions options;
  Announcement about;
  double token_ms = 5;
  double first_token_ms = 10;
  int threads = 64;
  app.add_option("--address", about.address, "ip:port.")->required();
  app.add_option("--platform", about.platform, "ip:port.")->required();
  app.add_option("--data-centre", about.data_centre, "Name.")->required();
  app.add_option("--target", options.target, "model@version or service/NAME.")
      ->required();
  app.add_option("--places", options.places, "Requests served at once.");
  app.add_option("--token-ms", token_ms, "Time a token.");
  app.add_option("--first-token-ms", first_token_ms, "Time to the first.");
  app.add_option("--mean-tokens", options.mean_tokens, "Tokens an answer.");
  app.add_option("--quality", options.quality, "Share of good answers.");
  app.add_option("--threads", threads, "Connections at once.");
  app.add_option("--checks-fence", options.checks_fence,
                 "Whether orders of an old fence are refused.");
  CLI11_PARSE(app, argc, argv);
  sigset_t signals = leverwick::BlockStopSignals();
  options.token_time = leverwick::FromSeconds(token_ms / 1000);
  options.first_token_time = leverwick::FromSeconds(first_token_ms / 1000);
  about.target = options.target;
  about.places = options.places;
  leverwick::EngineStandIn engine(options);
  leverwick::HttpServerOptions server_options;
  server_options.address = about.address;
  server_options.threads = threads;
  leverwick::HttpServer server;
  if (server.Start(server_options,
                   [&engine](const leverwick::HttpRequest& request,
                             leverwick::HttpResponder* responder) {
                     engine.Handle(request, responder);
                   })) {
    return 1;
  }
  leverwick::HttpClient platform(about.platform);
  timespec pause{};
  pause.tv_nsec = std::chrono::nanoseconds(kAnnounceInterval).count();
  for (;;) {
    Announce(about, engine, &platform);
    if (sigtimedwait(&signals, nullptr, &pause) > 0) break;
  }
  _exit(0);  // hanging handlers are not waited for
}
