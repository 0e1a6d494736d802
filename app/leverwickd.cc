// The entry box's daemon.
//
//   leverwickd --config etc/box.yaml            serve
//   leverwickd --config etc/box.yaml --check    check the settings and exit
//   leverwickd --config etc/box.yaml --print-settings
//
// `platform.kind` decides what it runs as: the product's own daemon before a
// log service, or a relay before a store of keyed records. SIGTERM and SIGINT
// begin a planned stop; SIGHUP makes a relay read its settings again, and so
// does a change of the file without a signal.
//
// Exit codes: 0 a planned stop that cut nothing, 1 it could not start, 2 the
// settings are not valid, 3 the stop cut requests at its bound.

#include <CLI/CLI.hpp>
#include <boost/asio/signal_set.hpp>
#include <filesystem>
#include <iostream>

#include "daemon/daemon.h"
#include "net/log.h"
#include "net/settings.h"
#include "net/timer.h"
#include "platform/front.h"
#include "process/freed_memory.h"
#include "process/stop_signal.h"

namespace {

const leverwick::Log kLog("process");

constexpr int kCantStart = 1;
constexpr int kInvalidSettings = 2;
constexpr int kCutRequests = 3;
// How often the settings file is looked at: it changes seldom, and what can
// change in it while a box runs is the store's address.
constexpr std::chrono::seconds kLookInterval{2};

struct Options {
  std::string config;
  bool check = false;
  bool print_settings = false;
  bool reference = false;
};

int Serve(const leverwick::DaemonSettings& settings) {
  sigset_t signals = leverwick::BlockStopSignals();
  leverwick::StartLogging(settings.log());
  leverwick::Daemon daemon(settings);
  if (daemon.Start()) return kCantStart;
  leverwick::WaitForStop(signals);
  return daemon.Stop() == 0 ? 0 : kCutRequests;
}

// Runs a relay on this thread's event loop until it has stopped.
class RelayProcess {
 public:
  RelayProcess(const leverwick::DaemonSettings& settings, std::string file)
      : file_(std::move(file)),
        front_(&loop_, settings),
        signals_(loop_, SIGTERM, SIGINT, SIGHUP) {}

  int Run() {
    if (front_.Start()) return kCantStart;
    AwaitSignal();
    sigset_t handled = leverwick::DaemonSignals();
    pthread_sigmask(SIG_UNBLOCK, &handled, nullptr);
    WatchFile();
    loop_.run();
    return cut_ == 0 ? 0 : kCutRequests;
  }

 private:
  void AwaitSignal() {
    signals_.async_wait([this](auto error, int signal) {
      if (error) return;
      if (signal == SIGHUP) {
        Reload();
      } else {
        front_.Stop([this](int cut) {
          cut_ = cut;
          loop_.stop();
        });
      }
      AwaitSignal();
    });
  }

  // A failure to look is a file that is being replaced: the next look tells.
  void WatchFile() {
    std::error_code missing;
    auto written = std::filesystem::last_write_time(file_, missing);
    if (!missing && written != written_) {
      bool first = written_ == std::filesystem::file_time_type();
      written_ = written;
      if (!first) Reload();
    }
    watch_.expires_after(kLookInterval);
    watch_.async_wait([this](auto error) {
      if (!error) WatchFile();
    });
  }

  void Reload() {
    leverwick::DaemonSettings settings;
    auto report = leverwick::LoadSettings(file_, &settings);
    for (const std::string& problem : report.problems) {
      kLog.Error("Settings stay as they were.", {{"problem", problem}});
    }
    if (report.problems.empty()) front_.Reload(settings);
  }

  const std::string file_;
  boost::asio::io_context loop_{1};
  leverwick::platform::Front front_;
  boost::asio::signal_set signals_;
  leverwick::Timer watch_{loop_};
  std::filesystem::file_time_type written_{};
  int cut_ = 0;
};

int Run(const Options& options) {
  leverwick::DaemonSettings settings;
  if (options.reference) {
    leverwick::ParseSettings("{}", "", &settings);
    std::cout << leverwick::SettingsReference(settings);
    return 0;
  }
  leverwick::SettingsReport report =
      leverwick::LoadSettings(options.config, &settings);
  for (const std::string& problem : report.problems) {
    std::cerr << problem << "\n";
  }
  if (!report.problems.empty()) return kInvalidSettings;
  if (options.print_settings) {
    std::cout << leverwick::PrintSettings(settings, report);
    return 0;
  }
  if (options.check) {
    std::cout << options.config << ": valid\n";
    return 0;
  }
  if (settings.platform().kind() != "keyed_store") return Serve(settings);
  leverwick::ReturnFreedMemory();
  signal(SIGPIPE, SIG_IGN);
  leverwick::StartLogging(settings.log());
  return RelayProcess(settings, options.config).Run();
}

}  // namespace

int main(int argc, char** argv) {
  sigset_t unhandled = leverwick::DaemonSignals();
  pthread_sigmask(SIG_BLOCK, &unhandled, nullptr);
  CLI::App app{"leverwickd routes requests to versions of language models."};
  Options options;
  app.add_option("-c,--config", options.config, "Settings file (YAML).");
  app.add_flag("--check", options.check, "Check the settings and exit.");
  app.add_flag("--print-settings", options.print_settings,
               "Print all settings with their sources and exit.");
  app.add_flag("--reference", options.reference,
               "Print the reference of all settings and exit.");
  CLI11_PARSE(app, argc, argv);
  return Run(options);
}
