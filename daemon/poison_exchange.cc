// A record is as old as its way took when it comes by itself, and as its box's
// wall clock says when it comes with a snapshot. Clocks differ, but what counts
// there are minutes: how long a request is held.

#include "daemon/poison_exchange.h"

#include <algorithm>

#include "leverwick/endpoint_incarnation.h"
#include "net/log.h"

namespace leverwick {
namespace {

const Log kLog("poison");

// How long a read is held for news. Boxes in touch must know of each other's
// findings within three seconds (the users' bound), also when the connection
// has fallen silent; what is left is for the way.
constexpr milliseconds kHeldRead{2000};
// What another box passes on is up to two held reads old; the rest is for the
// way and for a slow store.
constexpr milliseconds kMostAge{5200};
// Many boxes write at the same moment: their records are read together.
constexpr milliseconds kReadPause{50};
// Between two records of a box: a tenth of the bound above.
constexpr milliseconds kWriteInterval{300};
constexpr milliseconds kWriteRetry{500};

milliseconds WallTimeNow() {
  return SinceEpoch(std::chrono::system_clock::now());
}

}  // namespace

PoisonExchange::PoisonExchange(boost::asio::io_context* loop, KeyedLog* log,
                               PoisonFindings findings, std::string box,
                               std::string topic)
    : log_(log),
      findings_(findings),
      box_(std::move(box)),
      topic_(std::move(topic)),
      follower_(loop, log, {topic_, kHeldRead, kReadPause, kMostAge}, this) {}

void PoisonExchange::Tick(TimePoint now) {
  if (!follower_.running()) return;
  bool in_touch = now - heard_at_ <= kMostAge;
  findings_.requests->SetConnectedToPeers(in_touch);
  findings_.parts->SetConnectedToPeers(in_touch);
  due_ = findings_.requests->TakeChangeFlag() || due_;
  due_ = findings_.parts->TakeChangeFlag() || due_;
  bool may_write = !writing_ && now >= write_after_;
  if (due_ && may_write) Write(now);
}

void PoisonExchange::OnSnapshot(const std::vector<KeyedRecord>& records) {
  bool has_own = false;
  for (const KeyedRecord& record : records) {
    has_own = has_own || record.key == box_;
    Learn(record, false);
  }
  // What this box had told is gone.
  bool has_findings =
      findings_.requests->size() > 0 || findings_.parts->size() > 0;
  if (!has_own && has_findings) due_ = true;
}

void PoisonExchange::OnRecord(const KeyedRecord& record) {
  Learn(record, true);
}

void PoisonExchange::Learn(const KeyedRecord& record, bool is_fresh) {
  bool own = record.key == box_;
  // Its own word comes back to a box that runs on.
  if (!record.value || (own && is_fresh)) return;
  PoisonNotes notes;
  if (!notes.ParseFromString(*record.value)) {
    kLog.Error("A box's findings can't be read.", {{"box", record.key}});
    return;
  }
  milliseconds age{0};
  if (!is_fresh) {
    age = WallTimeNow() - milliseconds(notes.written_at_ms());
    age = std::max(age, milliseconds(0));
  }
  if (age > PoisonRequests::kRetention) return;
  TimePoint as_of = Clock::now() - age;
  auto ended = findings_.requests->Merge(notes, as_of, own);
  ended.merge(findings_.parts->Merge(notes, as_of, own));
  for (const auto& [life, at] : ended)
    findings_.ends->Told(EndpointIdFromIncarnation(life), at);
}

void PoisonExchange::Write(TimePoint now) {
  due_ = false;
  writing_ = true;
  PoisonNotes notes =
      findings_.requests->BuildNotes(now, std::chrono::system_clock::now());
  findings_.parts->AppendNotes(now, &notes);
  KeyedRecord record{box_, notes.SerializeAsString()};
  log_->Append(topic_, record, std::nullopt,
               [this](std::error_code error) { OnWritten(error); });
}

void PoisonExchange::OnWritten(std::error_code error) {
  writing_ = false;
  write_after_ = Clock::now() + (error ? kWriteRetry : kWriteInterval);
  if (!error) return;
  due_ = true;
  kLog.Warning("The other boxes were not told of an endpoint's end.",
               {{"why", error.message()}});
}

}  // namespace leverwick
