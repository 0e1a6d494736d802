// Safety rests on three facts. An append names the end of the log that its box
// has read, so it follows exactly the record that the box knows as the newest.
// A box takes over only after a term without a new record, counted from when
// it received the newest one. The holder counts the same term from when it
// sent that record, which was earlier.
//
// They hold in each era of the store by itself. When the store goes back, all
// boxes watch it for a term before one takes over. A holder whose record is
// lost has noticed it or lost its term by then.

#include "leverwick/duty_lease.h"

#include <algorithm>

namespace leverwick {
namespace {

// Renewals in a term: two may be lost before the lease is.
constexpr int kRenewalsPerTerm = 3;
// Appends whose effect is unknown; older ones have been overtaken.
constexpr size_t kMaxAttempts = 8;
// By which tokens rise with each era of the store: more than the clocks of two
// boxes differ, since the token before may be lost with its record.
constexpr milliseconds kTokensPerEra{20000};

}  // namespace

DutyLease::DutyLease(LeaseCandidate self, const LeaseOptions& options,
                     TimePoint started)
    : self_(std::move(self)),
      options_(options),
      started_(started),
      reading_since_(started) {}

bool DutyLease::IsOwn(const LeaseRecord& record) const {
  return record.box == self_.box && record.life == self_.life;
}

bool DutyLease::IsHeldBy(const LeaseRecord& newest) const {
  return IsOwn(newest) && !newest.released && newest.token == token_;
}

bool DutyLease::IsNewestOfEra() const {
  if (!newest_) return saw_first_log_ && !store_went_back_;
  return newest_->era == era_.value_or(0);
}

void DutyLease::RecordRead(const LeaseLog& log, TimePoint as_of,
                           TimePoint now) {
  bool went_back = era_ && log.era > *era_;
  // The answer left the store before an append of this box took effect.
  if (!went_back && end_ && log.end < *end_ && holds_) return;
  if (went_back || end_ != log.end) {
    end_ = log.end;
    changed_at_ = now;
    newest_ = log.newest;
  }
  if (!era_) {
    saw_first_log_ = options_.is_first_start && !log.newest &&
                     now < reading_since_ + options_.call_time;
  }
  era_ = log.era;
  store_went_back_ = store_went_back_ || went_back;
  unchanged_until_ = std::max(unchanged_until_, as_of);
  if (newest_) {
    highest_token_ = std::max(highest_token_, newest_->token);
    if (IsHeldBy(*newest_)) Confirm(newest_->number);
  }
  bool is_lost = holds_ && (!newest_ || !IsHeldBy(*newest_));
  if (is_lost) Lose(now);
  CheckTerm(now);
}

void DutyLease::RecordReadFailure() { end_.reset(); }

void DutyLease::Confirm(uint64_t number) {
  for (const Attempt& attempt : attempts_) {
    if (attempt.number != number) continue;
    holds_ = true;
    confirmed_at_ = std::max(confirmed_at_, attempt.sent_at);
  }
}

void DutyLease::Lose(TimePoint now) {
  DropLease();
  absent_until_ = std::max(absent_until_, now + options_.absence);
}

void DutyLease::CheckTerm(TimePoint now) {
  if (holds_ && now >= confirmed_at_ + options_.term) DropLease();
}

// Another box may have held the lease next, even if its record is lost. No
// record that was sent before confirms the lease again.
void DutyLease::DropLease() {
  holds_ = false;
  attempts_.clear();
  release_at_.reset();
}

bool DutyLease::MayTakeOver(nanoseconds turn_delay, TimePoint now) const {
  // Nobody has held the lease yet.
  if (!newest_ && IsNewestOfEra()) return now >= started_ + turn_delay;
  // An earlier term of this box: no other box has held the lease since, but a
  // call of an earlier process may still be on its way.
  bool was_ours = newest_ && newest_->box == self_.box && !newest_->released;
  if (was_ours && IsNewestOfEra() && now >= absent_until_) {
    return now >= started_ + options_.call_time;
  }
  bool is_absent = now < started_ + options_.absence || now < absent_until_;
  if (is_absent) return false;
  bool is_free = newest_ && newest_->released && IsNewestOfEra();
  if (is_free) return now >= changed_at_ + turn_delay;
  return unchanged_until_ >= changed_at_ + options_.term + turn_delay;
}

std::optional<LeaseAppend> DutyLease::NextAppend(nanoseconds turn_delay,
                                                 TimePoint now, WallTime wall) {
  CheckTerm(now);
  if (!end_ || open_) return std::nullopt;
  bool is_holder = holds_ && newest_ && IsHeldBy(*newest_);
  if (is_holder) {
    if (release_at_) {
      if (now < *release_at_) return std::nullopt;
      LeaseRecord record = *newest_;
      record.released = true;
      return Send(record, now);
    }
    nanoseconds interval = options_.term / kRenewalsPerTerm;
    if (now < confirmed_at_ + interval) return std::nullopt;
    return Send(*newest_, now);
  }
  if (!MayTakeOver(turn_delay, now)) return std::nullopt;
  LeaseRecord record;
  record.box = self_.box;
  record.life = self_.life;
  record.address = self_.address;
  record.token = NextToken(wall);
  return Send(record, now);
}

uint64_t DutyLease::NextToken(WallTime wall) const {
  auto by_clock = static_cast<uint64_t>(SinceEpoch(wall).count());
  by_clock += era_.value_or(0) * kTokensPerEra.count();
  return std::max(highest_token_ + 1, by_clock);
}

LeaseAppend DutyLease::Send(LeaseRecord record, TimePoint now) {
  record.number = ++numbers_;
  record.era = era_.value_or(0);
  token_ = record.token;
  highest_token_ = std::max(highest_token_, token_);
  if (!record.released) attempts_.push_back({record.number, now});
  if (attempts_.size() > kMaxAttempts) attempts_.pop_front();
  open_ = {std::move(record), *end_};
  return *open_;
}

void DutyLease::RecordAppend(std::error_code error, TimePoint now) {
  if (!open_) return;
  LeaseAppend append = std::move(*open_);
  open_.reset();
  bool is_lost = append.record.era != era_.value_or(0);
  if (error || is_lost) {
    // Whatever has happened, the end that the append named is in doubt.
    end_.reset();
    return;
  }
  // A read has shown more meanwhile.
  if (end_ && *end_ > append.at + 1) return;
  newest_ = append.record;
  end_ = append.at + 1;
  changed_at_ = now;
  if (append.record.released) return Lose(now);
  Confirm(append.record.number);
}

void DutyLease::Release(nanoseconds absence, TimePoint now) {
  absent_until_ = std::max(absent_until_, now + absence);
  if (holds_ && !release_at_) release_at_ = now + options_.call_time;
}

std::optional<uint64_t> DutyLease::TokenAt(TimePoint now) const {
  bool is_valid = holds_ && !release_at_ &&
                  now + options_.call_time < confirmed_at_ + options_.term;
  if (!is_valid) return std::nullopt;
  return token_;
}

}  // namespace leverwick
