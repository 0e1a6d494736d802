// A read is held until there is a record or a third of the term has passed, so
// that all boxes learn of a new holder at once.

#include "daemon/duty_holder.h"

#include "leverwick/result.h"
#include "net/json.h"
#include "net/log.h"
#include "schema/peer.pb.h"

namespace leverwick {
namespace {

const Log kLog("duties");

constexpr char kLeaseKey[] = "lease";
// A renewal comes three times in a term.
constexpr int kReadsPerTerm = 3;
// What another box passes on may be as old as two held reads and its way.
constexpr double kMaxAgeShare = 0.8;
constexpr milliseconds kReadPause{50};
// For the boxes that come first in turn; more boxes take longer, so that few
// of them write at the same moment.
constexpr milliseconds kTurns{1000};
constexpr milliseconds kTurnsPerBox{4};

FollowerOptions OptionsOf(const std::string& topic, nanoseconds term) {
  FollowerOptions options;
  options.topic = topic;
  options.wait = std::chrono::duration_cast<milliseconds>(term / kReadsPerTerm);
  options.interval = kReadPause;
  options.most_age =
      std::chrono::duration_cast<milliseconds>(term * kMaxAgeShare);
  return options;
}

std::string EncodeLease(const LeaseRecord& record) {
  DutyLeaseNote note;
  note.set_box(record.box);
  note.set_life(record.life);
  note.set_token(record.token);
  note.set_number(record.number);
  note.set_released(record.released);
  note.set_address(record.address);
  note.set_era(record.era);
  return MessageToJson(note);
}

std::optional<LeaseRecord> DecodeLease(const KeyedRecord& record) {
  DutyLeaseNote note;
  bool is_readable = record.value && MessageFromJson(*record.value, &note);
  if (!is_readable) {
    kLog.Error("The record of the lease can't be read.", {});
    return std::nullopt;
  }
  return LeaseRecord{note.box(),   note.life(),   note.address(),
                     note.token(), note.number(), note.released(),
                     note.era()};
}

}  // namespace

DutyHolder::DutyHolder(boost::asio::io_context* loop, KeyedLog* log,
                       const LeaseCandidate& self, const LeaseOptions& options,
                       std::string topic, Metrics* metrics)
    : log_(log),
      topic_(std::move(topic)),
      metrics_(metrics),
      lease_(self, options, Clock::now()),
      turns_(self.box, {}),
      follower_(loop, log, OptionsOf(topic_, options.term), this),
      random_(std::random_device{}()) {
  turn_draw_ = std::uniform_real_distribution<>(0, 1)(random_);
}

void DutyHolder::Start() {
  lease_.BeginReading(Clock::now());
  follower_.Start();
}

void DutyHolder::SetBoxes(std::vector<std::string> others) {
  turns_.SetBoxes(std::move(others));
  nanoseconds window = kTurns + kTurnsPerBox * turns_.boxes();
  turn_delay_ = turns_.DelayBefore("duties", window, turn_draw_);
}

void DutyHolder::OnSnapshot(const std::vector<KeyedRecord>& records) {
  newest_.reset();
  for (const KeyedRecord& record : records) OnRecord(record);
}

void DutyHolder::OnRecord(const KeyedRecord& record) {
  if (record.key != kLeaseKey) return;
  auto lease = DecodeLease(record);
  if (lease) newest_ = std::move(lease);
}

void DutyHolder::OnRead(TimePoint as_of) {
  TimePoint now = Clock::now();
  lease_.RecordRead({newest_, follower_.end(), follower_.era()}, as_of, now);
  Tick(now);
}

void DutyHolder::Tick(TimePoint now) {
  if (!follower_.running()) return;
  auto append =
      lease_.NextAppend(turn_delay_, now, std::chrono::system_clock::now());
  if (append) Append(*append);
  TellChange(lease_.TokenAt(now).has_value());
}

void DutyHolder::Append(const LeaseAppend& append) {
  log_->Append(
      topic_, {kLeaseKey, EncodeLease(append.record)}, append.at,
      [this, append](std::error_code error) { OnAppended(append, error); });
}

void DutyHolder::OnAppended(const LeaseAppend& append, std::error_code error) {
  TimePoint now = Clock::now();
  lease_.RecordAppend(error, now);
  if (!error) {
    newest_ = append.record;
  } else if (error != Result::kStaleRevision) {
    kLog.Warning("The record of the lease was not written.",
                 {{"why", error.message()}});
  }
  TellChange(lease_.TokenAt(now).has_value());
}

void DutyHolder::TellChange(bool holds) {
  metrics_->Set("leverwick_duties_held", "", holds ? 1 : 0);
  if (holds == held_) return;
  held_ = holds;
  kLog.Info(holds ? "This box holds the duties."
                  : "This box doesn't hold the duties any more.",
            {{"token", newest_ ? std::to_string(newest_->token) : "none"}});
}

void DutyHolder::Release(nanoseconds absence) {
  lease_.Release(absence, Clock::now());
}

}  // namespace leverwick
