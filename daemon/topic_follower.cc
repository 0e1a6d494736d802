// The pages of newest records are no snapshot: they are read one after the
// other while the log grows. The log is followed from where it ended at the
// first page, so that what changed meanwhile is applied again, in order.

#include "daemon/topic_follower.h"

#include <algorithm>

#include "leverwick/result.h"
#include "net/log.h"

namespace leverwick {
namespace {

const Log kLog("follower");

// After a failed call: soon enough that an outage's end costs little of the
// two seconds in which a change must be in force, and seldom enough that all
// boxes together stay under the store's rate.
constexpr int kLeastPauseMs = 150;
constexpr int kMostPauseMs = 350;
// After so many failures in a row the store is away rather than unlucky, and
// calls that it refuses are charged too: pauses are twice as long. Where no
// other box has current records, the log itself paces the calls to the store.
constexpr int kAwayAfter = 4;
// After an attempt at a connection that nothing answered: the box is cut off,
// no call has reached the store, and what it believes of endpoints grows old. A
// box may have to act on the list again three seconds after its cut; of these
// an attempt in vain takes 0.4 s and a doubtful entry two (EndpointDirectory).
constexpr int kLeastCutOffPauseMs = 50;
constexpr int kMostCutOffPauseMs = 150;

}  // namespace

TopicFollower::TopicFollower(boost::asio::io_context* loop, KeyedLog* log,
                             const FollowerOptions& options, Listener* listener)
    : log_(log),
      options_(options),
      listener_(listener),
      timer_(*loop),
      random_(std::random_device{}()) {}

void TopicFollower::Start() {
  if (running_) return;
  running_ = true;
  ++starts_;
  has_snapshot_ = false;
  ReadNewest("");
}

void TopicFollower::Stop() {
  running_ = false;
  cache_.Invalidate();
  timer_.cancel();
}

LogQuery TopicFollower::Query() const {
  LogQuery query;
  query.topic = options_.topic;
  query.from = next_;
  query.era = era_;
  query.no_long_poll = failures_ > 0;
  query.max_wait = query.no_long_poll ? milliseconds(0) : options_.wait;
  query.max_age = options_.most_age;
  return query;
}

void TopicFollower::ReadNewest(const std::string& after_key) {
  if (after_key.empty()) snapshot_.clear();
  log_->ReadNewest(
      Query(), after_key,
      [this, start = starts_](std::error_code error, NewestPage page) {
        if (running_ && start == starts_) {
          OnNewest(error, std::move(page));
        }
      });
}

void TopicFollower::OnNewest(std::error_code error, NewestPage page) {
  if (error) return OnError(error);
  if (IsEarlierEra(page.era, era_)) return OnError(Result::kStaleTable);
  // The next one is asked for by the last key of this one.
  if (page.has_more && page.records.empty()) {
    return OnError(Result::kBadResponse);
  }
  if (snapshot_.empty()) {
    snapshot_end_ = page.end;
    snapshot_as_of_ = page.as_of;
    snapshot_era_ = page.era;
  }
  if (page.era > snapshot_era_) return StartEra(page.era);
  for (KeyedRecord& record : page.records) {
    snapshot_.push_back(std::move(record));
  }
  if (page.has_more) return ReadNewest(snapshot_.back().key);
  next_ = snapshot_end_;
  era_ = std::max(era_, snapshot_era_);
  has_snapshot_ = true;
  listener_->OnSnapshot(snapshot_);
  listener_->OnRead(snapshot_as_of_);
  cache_.LoadSnapshot(snapshot_, snapshot_end_, snapshot_as_of_, era_);
  snapshot_.clear();
  After(options_.interval);
}

void TopicFollower::ReadLog() {
  log_->Read(Query(),
             [this, start = starts_](std::error_code error, LogPage page) {
               if (running_ && start == starts_) OnPage(error, page);
             });
}

void TopicFollower::OnPage(std::error_code error, const LogPage& page) {
  if (error == Result::kExpired) {
    kLog.Info("Records are gone; reading all newest ones.",
              {{"topic", options_.topic}, {"from", std::to_string(next_)}});
    has_snapshot_ = false;
    return ReadNewest("");
  }
  if (error) return OnError(error);
  if (IsEarlierEra(page.era, era_)) return OnError(Result::kStaleTable);
  if (page.era > era_) return StartEra(page.era);
  failures_ = 0;
  next_ = page.next;
  cache_.ApplyPage(
      page, [this](const KeyedRecord& record) { listener_->OnRecord(record); });
  // A read that came with less than there is proves nothing yet.
  if (next_ >= page.end) listener_->OnRead(page.as_of);
  // An empty page before the end would be asked for again without an end.
  if (next_ < page.end && !page.records.empty()) return ReadLog();
  if (next_ < page.end) return OnError(Result::kBadResponse);
  After(page.is_long_polled ? milliseconds(0) : PauseAfter(page.as_of));
}

void TopicFollower::StartEra(StoreEra era) {
  kLog.Info("The store came back from an older copy; reading all newest.",
            {{"topic", options_.topic}, {"era", std::to_string(era)}});
  era_ = std::max(era_, era);
  next_ = 0;
  has_snapshot_ = false;
  After(PauseAfterError(Result::kStaleTable));
}

milliseconds TopicFollower::PauseAfter(TimePoint as_of) const {
  if (options_.most_age.count() == 0) return options_.interval;
  auto until_old = std::chrono::duration_cast<milliseconds>(
      as_of + options_.most_age - Clock::now());
  return std::clamp(until_old, milliseconds(0), options_.interval);
}

void TopicFollower::OnError(std::error_code error) {
  kLog.Warning("The store did not answer.",
               {{"topic", options_.topic}, {"why", error.message()}});
  ++failures_;
  listener_->OnReadFailed(error);
  After(PauseAfterError(error));
}

milliseconds TopicFollower::PauseAfterError(std::error_code error) {
  if (auto pause = listener_->PauseAfterFailure()) return *pause;
  if (error == Result::kNoConnection) {
    std::uniform_int_distribution<int> pause(kLeastCutOffPauseMs,
                                             kMostCutOffPauseMs);
    return milliseconds(pause(random_));
  }
  std::uniform_int_distribution<int> pause(kLeastPauseMs, kMostPauseMs);
  bool is_store = error != Result::kStaleTable;
  int factor = is_store && failures_ >= kAwayAfter ? 2 : 1;
  return milliseconds(factor * pause(random_));
}

void TopicFollower::After(milliseconds pause) {
  if (!running_) return;
  timer_.expires_after(pause);
  timer_.async_wait([this, start = starts_](auto error) {
    if (error || !running_ || start != starts_) return;
    if (has_snapshot_) {
      ReadLog();
    } else {
      ReadNewest("");
    }
  });
}

}  // namespace leverwick
