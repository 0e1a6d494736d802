// The holder works on one call at a time: it reads the reports in the store,
// writes the report of the next window that is due, and sends what is written.
// A call that fails is repeated; one that fails at the store first reads the
// reports again, since it may have taken effect.

#include "daemon/usage_reporter.h"

#include <algorithm>

#include "daemon/peer_post.h"
#include "leverwick/digest.h"
#include "leverwick/result.h"
#include "net/json.h"
#include "net/log.h"
#include "schema/peer.pb.h"

namespace leverwick {
namespace {

const Log kLog("usage");

// Between two messages of a box to the holder. A box that ends without notice
// takes along what it has counted since the last one.
constexpr milliseconds kTellInterval{1000};
// Messages that the holder gets in that time, at most, beside those that close
// a window. With more boxes the current window is told only when it is over.
constexpr size_t kMaxEarlyTellers = 100;
// After a failed call of the holder, doubled with each further one.
constexpr milliseconds kMinBackoff{200};
constexpr int kMaxDoublings = 4;

}  // namespace

UsageReporter::UsageReporter(boost::asio::io_context* loop, KeyedLog* log,
                             DutyHolder* duties, DutyCalls* calls,
                             const UsageReporterOptions& options,
                             Metrics* metrics)
    : loop_(loop),
      log_(log),
      duties_(duties),
      calls_(calls),
      options_(options),
      metrics_(metrics),
      connections_(loop, ShortAnswerOptions()),
      counter_(options.usage),
      ledger_(options.usage),
      names_({options.box}) {}

WallTime UsageReporter::WallNow() {
  return clock_.At(Clock::now(), std::chrono::system_clock::now());
}

void UsageReporter::Record(const std::string& organisation) {
  counter_.Record(organisation, WallNow());
}

void UsageReporter::SetBoxes(std::vector<std::string> others) {
  names_ = std::move(others);
  names_.push_back(options_.box);
}

void UsageReporter::Tick(TimePoint now) {
  Tell(now);
  Report(now);
}

// Boxes tell at different moments of the interval.
void UsageReporter::Tell(TimePoint now) {
  const auto& holder = duties_->holder();
  bool is_due = !telling_ && now >= tell_at_ && holder && !holder->released;
  if (!is_due) return;
  tell_at_ = now + kTellInterval / 2 +
             std::chrono::duration_cast<milliseconds>(Seconds(kTellInterval) *
                                                      UnitHash(options_.box));
  bool tells_early = names_.size() <= kMaxEarlyTellers;
  // A holder that starts again needs all anew.
  std::string recipient = holder->box + "/" + std::to_string(holder->token);
  std::vector<BoxUsage> usage =
      counter_.UsageFor(recipient, tells_early, WallNow());
  if (usage.empty()) return;
  if (holder->box == options_.box) {
    for (const BoxUsage& one : usage) {
      ledger_.Record(options_.box, one, WallNow());
    }
    return RecordReceipts(recipient, usage);
  }
  TellOther(holder->address, recipient, usage);
}

void UsageReporter::TellOther(const std::string& address,
                              const std::string& recipient,
                              const std::vector<BoxUsage>& usage) {
  UsageNote note;
  note.set_box(options_.box);
  for (const BoxUsage& one : usage) {
    UsageNote::Window* window = note.add_windows();
    window->set_window(one.window);
    window->set_final(one.is_final);
    window->mutable_counts()->insert(one.counts.begin(), one.counts.end());
  }
  telling_ = true;
  auto told = [this, recipient, usage](bool is_received) {
    telling_ = false;
    metrics_->Add(
        "leverwick_usage_told_total",
        std::string("outcome=\"") + (is_received ? "ok" : "failed") + "\"", 1);
    if (is_received) RecordReceipts(recipient, usage);
  };
  PostToBox(loop_, &connections_, address, kPath, note.SerializeAsString(),
            told);
}

void UsageReporter::RecordReceipts(const std::string& recipient,
                                   const std::vector<BoxUsage>& usage) {
  for (const BoxUsage& one : usage) counter_.RecordReceipt(recipient, one);
}

bool UsageReporter::Receive(const std::string& body) {
  UsageNote note;
  if (!note.ParseFromString(body)) {
    kLog.Error("What another box has counted can't be read.", {});
    return false;
  }
  // Also before this box knows that it holds the duties, so that nothing is
  // told twice.
  for (const UsageNote::Window& window : note.windows()) {
    BoxUsage usage{window.window(),
                   {window.counts().begin(), window.counts().end()},
                   window.final()};
    ledger_.Record(note.box(), usage, WallNow());
  }
  return true;
}

void UsageReporter::Report(TimePoint now) {
  std::optional<uint64_t> token = duties_->token();
  bool is_named = duties_->holder() && duties_->holder()->box == options_.box;
  if (!token) {
    // One whose term is over for a moment may still renew its lease.
    if (!is_named) StopReporting();
    return;
  }
  reporting_ = true;
  size_t missed = ledger_.TakeMissed(WallNow());
  if (missed > 0) {
    kLog.Error("Usage of a window was missed.",
               {{"windows", std::to_string(missed)},
                {"reports_known", reports_known_ ? "yes" : "no"},
                {"failures", std::to_string(failures_)}});
    metrics_->Add("leverwick_usage_windows_total", "outcome=\"missed\"",
                  static_cast<double>(missed));
  }
  if (calling_ || now < call_at_) return;
  if (!reports_known_) return ReadReports("");
  while (!unsent_.empty() && IsLate(unsent_.begin()->first)) {
    unsent_.erase(unsent_.begin());
  }
  if (!unsent_.empty()) return SendReport(*token, unsent_.begin()->first);
  auto due = ledger_.NextDue(names_, WallNow());
  if (due) WriteReport(*due);
}

void UsageReporter::StopReporting() {
  if (!reporting_) return;
  reporting_ = false;
  reports_known_ = false;
  failures_ = 0;
  unsent_.clear();
  ledger_.Clear();
}

bool UsageReporter::IsLate(UsageWindow window) {
  return WallNow() >= UsageWindowEnd(window, options_.usage.length) +
                          options_.usage.report_within;
}

void UsageReporter::ReadReports(const std::string& after_key) {
  calling_ = true;
  if (after_key.empty()) unsent_.clear();
  LogQuery query;
  query.topic = options_.topic;
  log_->ReadNewest(query, after_key,
                   [this, after_key](std::error_code error, NewestPage page) {
                     calling_ = false;
                     if (after_key.empty()) reports_end_ = page.end;
                     OnReports(error, page);
                   });
}

void UsageReporter::OnReports(std::error_code error, const NewestPage& page) {
  if (error) {
    kLog.Warning("Usage reports were not read.", {{"why", error.message()}});
    return BackOff();
  }
  for (const KeyedRecord& record : page.records) LearnReport(record);
  if (page.has_more && !page.records.empty()) {
    return ReadReports(page.records.back().key);
  }
  failures_ = 0;
  reports_known_ = true;
}

// A report may have been sent by the box before; the platform takes it again.
void UsageReporter::LearnReport(const KeyedRecord& record) {
  UsageReportNote note;
  bool is_readable = record.value && MessageFromJson(*record.value, &note);
  if (!is_readable) {
    kLog.Error("A usage report can't be read.", {{"key", record.key}});
    return;
  }
  bool is_done = IsLate(note.window()) || ledger_.IsReported(note.window());
  if (!is_done) unsent_[note.window()] = note.report();
}

void UsageReporter::WriteReport(UsageWindow window) {
  std::string report = calls_->EncodeUsage(window, ledger_.CountsOf(window));
  UsageReportNote note;
  note.set_window(window);
  note.set_report(report);
  // Keys are used again once their reports are too late.
  UsageWindow keys = options_.usage.report_within / options_.usage.length + 3;
  KeyedRecord record{"report/" + std::to_string(window % keys),
                     MessageToJson(note)};
  calling_ = true;
  log_->Append(options_.topic, record, reports_end_,
               [this, window, report](std::error_code error) {
                 OnWritten(window, report, error);
               });
}

void UsageReporter::OnWritten(UsageWindow window, const std::string& report,
                              std::error_code error) {
  calling_ = false;
  if (error) {
    kLog.Warning(
        "A usage report was not written.",
        {{"window", std::to_string(window)}, {"why", error.message()}});
    reports_known_ = false;
    return BackOff();
  }
  ++reports_end_;
  unsent_[window] = report;
  Report(Clock::now());
}

void UsageReporter::SendReport(uint64_t token, UsageWindow window) {
  calling_ = true;
  calls_->ReportUsage(
      token, unsent_[window],
      [this, window](std::error_code error) { OnSent(window, error); });
}

void UsageReporter::OnSent(UsageWindow window, std::error_code error) {
  calling_ = false;
  if (error) {
    kLog.Warning(
        "A usage report was not sent.",
        {{"window", std::to_string(window)}, {"why", error.message()}});
    // Another holder's token was higher: the next one of this box is, too.
    if (error == Result::kStaleRevision) duties_->Release(milliseconds(0));
    return BackOff();
  }
  failures_ = 0;
  unsent_.erase(window);
  ledger_.RecordReported(window);
  metrics_->Add("leverwick_usage_windows_total", "outcome=\"reported\"", 1);
}

void UsageReporter::BackOff() {
  int doublings = std::min(failures_++, kMaxDoublings);
  call_at_ = Clock::now() + kMinBackoff * (1 << doublings);
}

}  // namespace leverwick
