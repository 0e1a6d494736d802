// The control server starts first, so that peers can answer while this box
// still learns; the callers' server answers "not ready" until there is a table.

#include "daemon/daemon.h"

#include <thread>

#include "daemon/peer_service.h"
#include "net/log.h"

namespace leverwick {
namespace {

const Log log_("daemon");
constexpr milliseconds kPoll(20);
constexpr Seconds kHandOver(5.0);

HttpServerOptions ServerOptions(const DaemonSettings& settings,
                                const std::string& address, int threads) {
  HttpServerOptions options;
  options.address = address;
  options.threads = threads;
  options.read_timeout = ToMilliseconds(settings.listen().read_timeout());
  options.max_body_bytes =
      static_cast<size_t>(settings.listen().max_body_bytes());
  return options;
}

}  // namespace

Daemon::Daemon(const DaemonSettings& settings)
    : node_(NodeBuilder().Settings(settings).Build()),
      tables_(node_.get()),
      bills_(node_.get()),
      claims_(node_.get()),
      roster_(node_.get(), &claims_),
      watcher_(node_.get()),
      gateway_(node_.get(), &bills_, &claims_, &watcher_, &explanations_),
      rpc_(node_->life),
      frames_(node_->life),
      admin_(node_.get(), &bills_, &gateway_, &explanations_, &rpc_,
             [this] { return control_.bytes(); }) {}

std::error_code Daemon::StartServers() {
  const DaemonSettings& settings = node_->settings;
  AddPeerMethods(node_.get(), &tables_, &roster_, &claims_, &watcher_, &rpc_);
  AddPeerFrames(node_.get(), &roster_, &frames_);
  HttpServerOptions control =
      ServerOptions(settings, settings.listen().control(),
                    settings.listen().control_threads());
  control.max_body_bytes = 64 << 20;  // snapshots and claims are larger
  std::error_code error = control_.Start(
      control, [this](const HttpRequest& request, HttpResponder* responder) {
        admin_.Handle(request, responder);
      });
  if (error) return error;
  control_.ServeFrames(&frames_);
  return callers_.Start(
      ServerOptions(settings, settings.listen().callers(),
                    settings.listen().caller_threads()),
      [this](const HttpRequest& request, HttpResponder* responder) {
        gateway_.Handle(request, responder);
      });
}

std::error_code Daemon::Start() {
  std::error_code error = StartServers();
  if (error) {
    log_.Error("A listening address is taken.",
               {{"callers", node_->settings.listen().callers()},
                {"control", node_->settings.listen().control()}});
    return error;
  }
  tables_.Start();
  watcher_.Start();
  bills_.Start();
  roster_.Start();
  log_.Info("Started.", {{"life", node_->life},
                         {"callers", node_->settings.listen().callers()},
                         {"control", node_->settings.listen().control()}});
  return {};
}

bool Daemon::WaitForRequests(TimePoint bound) {
  while (node_->in_progress > 0) {
    if (Clock::now() >= bound) return false;
    std::this_thread::sleep_for(kPoll);
  }
  return true;
}

void Daemon::HandOver(TimePoint bound) {
  bool held = false;
  bool left = false;
  while (Clock::now() < bound && !(held && left)) {
    held = held || bills_.Flush();
    left = left || roster_.Leave();
    if (!(held && left)) std::this_thread::sleep_for(kPoll);
  }
  log_.Info("Handed over.",
            {{"bills", held ? "yes" : "no"}, {"roster", left ? "yes" : "no"}});
}

int Daemon::Stop() {
  log_.Info("Stopping.");
  TimePoint bound = Clock::now() + FromProto(node_->settings.stop().bound());
  node_->stopping = true;
  watcher_.AnnounceLeaving();
  int cut = WaitForRequests(bound) ? 0 : node_->in_progress.load();
  if (cut > 0) {
    log_.Error("Requests were cut at the bound.",
               {{"count", std::to_string(cut)}});
  }
  roster_.Stop();
  // Also after a bound that requests used up: bills and the roster need a
  // moment, but the log may be out for long.
  HandOver(Clock::now() + FromSeconds(kHandOver.count()));
  callers_.Stop();
  watcher_.Stop();
  bills_.Stop();
  tables_.Stop();
  control_.Stop();
  log_.Info("Stopped.", {{"cut", std::to_string(cut)}});
  return cut;
}

}  // namespace leverwick
