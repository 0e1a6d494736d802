// Safety rests on three facts. An append names the end of the log that its box
// has read, so it follows exactly the record that the box knows as the newest.
// A box takes over only after a term without a new record, counted from when
// it received the newest one. The holder counts the same term from when it
// sent that record, which was earlier.

#include "leverwick/duty_lease.h"

#include <algorithm>

namespace leverwick {
namespace {

// Renewals in a term: two may be lost before the lease is.
constexpr int kRenewalsPerTerm = 3;
// Appends whose effect is unknown; older ones have been overtaken.
constexpr size_t kMaxAttempts = 8;

}  // namespace

DutyLease::DutyLease(LeaseCandidate self, const LeaseOptions& options,
                     TimePoint started)
    : self_(std::move(self)), options_(options), started_(started) {}

bool DutyLease::IsOwn(const LeaseRecord& record) const {
  return record.box == self_.box && record.life == self_.life;
}

void DutyLease::RecordRead(const std::optional<LeaseRecord>& newest,
                           uint64_t end, TimePoint as_of, TimePoint now) {
  // The answer left the store before an append of this box took effect.
  if (end_ && end < *end_ && holds_) return;
  if (end_ != end) {
    end_ = end;
    changed_at_ = now;
    newest_ = newest;
  }
  unchanged_until_ = std::max(unchanged_until_, as_of);
  if (!newest_) return;
  bool is_ours = IsOwn(*newest_) && !newest_->released;
  if (is_ours) return Confirm(newest_->number);
  if (holds_) Lose(now);
}

void DutyLease::RecordReadFailure() { end_.reset(); }

void DutyLease::Confirm(uint64_t number) {
  for (const Attempt& attempt : attempts_) {
    if (attempt.number != number) continue;
    holds_ = true;
    token_ = newest_->token;
    confirmed_at_ = std::max(confirmed_at_, attempt.sent_at);
  }
}

void DutyLease::Lose(TimePoint now) {
  holds_ = false;
  release_at_.reset();
  absent_until_ = std::max(absent_until_, now + options_.absence);
}

bool DutyLease::MayTakeOver(nanoseconds turn_delay, TimePoint now) const {
  // Nobody has held the lease yet.
  if (!newest_) return now >= started_ + turn_delay;
  // An earlier process of this box: no other box has held it since, but a call
  // of that process may still be on its way.
  if (newest_->box == self_.box && !newest_->released) {
    return now >= started_ + options_.call_time;
  }
  bool is_absent = now < started_ + options_.absence || now < absent_until_;
  if (is_absent) return false;
  if (newest_->released) return now >= changed_at_ + turn_delay;
  return unchanged_until_ >= changed_at_ + options_.term + turn_delay;
}

std::optional<LeaseAppend> DutyLease::NextAppend(nanoseconds turn_delay,
                                                 TimePoint now, WallTime wall) {
  if (!end_ || open_) return std::nullopt;
  bool is_holder = holds_ && newest_ && IsOwn(*newest_) && !newest_->released;
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
  uint64_t previous = newest_ ? newest_->token : 0;
  auto by_clock = static_cast<uint64_t>(SinceEpoch(wall).count());
  LeaseRecord record;
  record.box = self_.box;
  record.life = self_.life;
  record.address = self_.address;
  record.token = std::max(previous + 1, by_clock);
  return Send(record, now);
}

LeaseAppend DutyLease::Send(LeaseRecord record, TimePoint now) {
  record.number = ++numbers_;
  if (!record.released) attempts_.push_back({record.number, now});
  if (attempts_.size() > kMaxAttempts) attempts_.pop_front();
  open_ = {std::move(record), *end_};
  return *open_;
}

void DutyLease::RecordAppend(std::error_code error, TimePoint now) {
  if (!open_) return;
  LeaseAppend append = std::move(*open_);
  open_.reset();
  if (error) {
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
