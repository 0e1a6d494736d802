// The entry box's daemon.
//
//   leverwickd --config etc/box.yaml            serve
//   leverwickd --config etc/box.yaml --check    check the settings and exit
//   leverwickd --config etc/box.yaml --print-settings
//
// Exit codes: 0 a planned stop that cut nothing, 1 it could not start, 2 the
// settings are not valid, 3 the stop cut requests at its bound.

#include <CLI/CLI.hpp>
#include <iostream>

#include "app/stop_signal.h"
#include "daemon/daemon.h"
#include "net/log.h"
#include "net/settings.h"

namespace {

constexpr int kCantStart = 1;
constexpr int kInvalidSettings = 2;
constexpr int kCutRequests = 3;

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
  return Serve(settings);
}

}  // namespace

int main(int argc, char** argv) {
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
