// Counts this box's requests by organisation and window, tells the sums to the
// box that holds the duties, and reports the fleet's sums to the platform while
// that is this box.
//
// A report is written to the store before it is sent, on condition that nobody
// else has written one since the store was read. So there is one report of a
// window, and the next holder sends the same one again.
//
//   UsageReporter usage(&loop, &log, &duties, &calls, options, &metrics);
//   usage.Record("acme");
//   usage.Tick(now);       // a few times a second
//   usage.Receive(body);   // what another box tells

#ifndef DAEMON_USAGE_REPORTER_H_
#define DAEMON_USAGE_REPORTER_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <system_error>
#include <vector>

#include "daemon/duty_calls.h"
#include "daemon/duty_holder.h"
#include "leverwick/keyed_log.h"
#include "leverwick/stable_wall_clock.h"
#include "leverwick/usage_windows.h"
#include "net/async_http_client.h"
#include "net/metrics.h"

namespace leverwick {

struct UsageReporterOptions {
  std::string box;
  std::string topic;  // of the reports
  UsageOptions usage;
};

// Belongs to the thread that runs its event loop.
class UsageReporter {
 public:
  UsageReporter(boost::asio::io_context* loop, KeyedLog* log,
                DutyHolder* duties, DutyCalls* calls,
                const UsageReporterOptions& options, Metrics* metrics);

  // A request of the organisation has begun to run at an endpoint.
  void Record(const std::string& organisation);
  void Tick(TimePoint now);
  // The names of all boxes but this one.
  void SetBoxes(std::vector<std::string> others);
  // Takes in what another box tells; false if it can't be read.
  bool Receive(const std::string& body);
  // This box is about to end: what it has counted is told at once.
  void TellNow() { tell_at_ = {}; }

  // Where boxes tell each other their sums.
  static constexpr char kPath[] = "/usage";

 private:
  WallTime WallNow();

  // On every box.
  void Tell(TimePoint now);
  void TellOther(const std::string& address, const std::string& recipient,
                 const std::vector<BoxUsage>& usage);
  void RecordReceipts(const std::string& recipient,
                      const std::vector<BoxUsage>& usage);

  // On the holder of the duties.
  void Report(TimePoint now);
  void StopReporting();
  // Reads the reports that this box or holders before it have written.
  void ReadReports(const std::string& after_key);
  void OnReports(std::error_code error, const NewestPage& page);
  void LearnReport(const KeyedRecord& record);
  void WriteReport(UsageWindow window);
  void OnWritten(UsageWindow window, const std::string& report,
                 std::error_code error);
  void SendReport(uint64_t token, UsageWindow window);
  void OnSent(UsageWindow window, std::error_code error);
  // Calls again after a pause that grows with each failure in a row.
  void BackOff();
  bool IsLate(UsageWindow window);

  boost::asio::io_context* const loop_;
  KeyedLog* const log_;
  DutyHolder* const duties_;
  DutyCalls* const calls_;
  const UsageReporterOptions options_;
  Metrics* const metrics_;
  HttpConnections connections_;
  StableWallClock clock_;
  UsageCounter counter_;
  UsageLedger ledger_;
  std::vector<std::string> names_;  // of all boxes

  bool telling_ = false;
  TimePoint tell_at_{};

  bool reporting_ = false;      // this box held the duties at the last tick
  bool reports_known_ = false;  // all reports in the store are known
  uint64_t reports_end_ = 0;    // where their topic ended
  std::map<UsageWindow, std::string> unsent_;  // written, not yet accepted
  bool calling_ = false;  // a call of the holder is under way
  TimePoint call_at_{};   // the next call of the holder, at the soonest
  int failures_ = 0;      // in a row
};

}  // namespace leverwick

#endif  // DAEMON_USAGE_REPORTER_H_
