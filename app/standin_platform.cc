// Runs the platform's stand-in until SIGTERM.

#include <unistd.h>

#include <CLI/CLI.hpp>

#include "process/stop_signal.h"
#include "standin/platform.h"

int main(int argc, char** argv) {
  CLI::App app{"A stand-in for the platform's service, for tests only."};
  std::string address = "127.0.0.1:7000";
  double appends = 100;
  double rated_share = 1;
  int list_lag_ms = 500;
  int list_expiry_ms = 2000;
  app.add_option("--address", address, "ip:port to listen on.");
  app.add_option("--appends-per-second", appends, "Limit of the log.");
  app.add_option("--rated-share", rated_share, "Share of answers rated.");
  app.add_option("--list-lag-ms", list_lag_ms, "Lag of the box list.");
  app.add_option("--list-expiry-ms", list_expiry_ms,
                 "Time after which a silent box leaves the list.");
  CLI11_PARSE(app, argc, argv);
  sigset_t signals = leverwick::BlockStopSignals();
  leverwick::PlatformStandInOptions options;
  options.appends_per_second = appends;
  options.rated_share = rated_share;
  options.list_lag = leverwick::milliseconds(list_lag_ms);
  options.list_expiry = leverwick::milliseconds(list_expiry_ms);
  leverwick::PlatformStandIn platform(options);
  leverwick::HttpServerOptions server_options;
  server_options.address = address;
  server_options.threads = 1500;
  server_options.max_body_bytes = 64 << 20;
  leverwick::HttpServer server;
  if (server.Start(server_options,
                   [&platform](const leverwick::HttpRequest& request,
                               leverwick::HttpResponder* responder) {
                     platform.Handle(request, responder);
                   })) {
    return 1;
  }
  leverwick::WaitForStop(signals);
  _exit(0);  // long polls and hanging handlers are not waited for
}
