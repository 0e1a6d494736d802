// DutyLease decides which box of the fleet may carry out duties that only one
// box at a time may carry out, such as calls to a platform that bills by them.
//
// The boxes share one log. The holder of the lease renews it by records that
// are appended only if nothing else was written since the holder read the
// log's end. Another box takes the lease over in the same way, once it has
// watched the log for a whole term without a new record. So of several boxes
// that try, one succeeds, and an append that takes effect late does so only
// while it is still the next record.
//
// No clocks of different boxes are compared. The holder counts its term from
// before it sent the record, the others from after they received it, so the
// lease of the holder ends first. A box that was suspended finds by its own
// clock that its term is over.
//
// Each holder has a fencing token that is higher than that of every holder
// before it. A box that has lost the lease, or whose term has ended by its own
// clock, never uses its token again, whatever the log shows. A box that has
// held the lease stays away from it for a while after it has lost it, so that
// two boxes don't alternate.
//
// A store that came back from an older copy may lack the record of a box that
// still holds the lease. What was written in an earlier era therefore proves
// nothing until a whole term has passed, except to a holder whose term has not
// ended.
//
//   DutyLease lease({"box-1", "box-1/4711", address}, options, started_at);
//   lease.RecordRead({newest, end, era}, as_of, now);  // after each read
//   if (auto append = lease.NextAppend(now)) ...  // send it to the store
//   lease.RecordAppend(error);
//   std::optional<uint64_t> token = lease.TokenAt(now);  // nullopt: not holder

#ifndef LEVERWICK_DUTY_LEASE_H_
#define LEVERWICK_DUTY_LEASE_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <system_error>

#include "leverwick/keyed_log.h"
#include "leverwick/time.h"

namespace leverwick {

// One record of the log: who holds the lease, and that it was renewed.
struct LeaseRecord {
  std::string box;        // the holder
  std::string life;       // of the holder's process
  std::string address;    // ip:port at which other boxes reach the holder
  uint64_t token = 0;     // fencing token of the holder
  uint64_t number = 0;    // of the record among those of its process, from 1
  bool released = false;  // the holder gives the lease up
  StoreEra era = 0;       // of the store, as far as the holder knew
};

// What a read of the log has shown.
struct LeaseLog {
  std::optional<LeaseRecord> newest;
  uint64_t end = 0;
  StoreEra era = 0;
};

struct LeaseAppend {
  LeaseRecord record;
  uint64_t at = 0;  // append only if the log ends here
};

// The process that seeks the lease.
struct LeaseCandidate {
  std::string box;
  std::string life;  // differs between two starts of one box
  std::string address;
};

struct LeaseOptions {
  // How long a record keeps the lease for its holder.
  nanoseconds term{0};
  // Time that a call of the holder takes at most. The holder stops this much
  // before its term is over.
  nanoseconds call_time{0};
  // A box that has lost the lease, or has just started, doesn't take it over
  // for this long. At most `term`.
  nanoseconds absence{0};
  // All boxes start for the first time, so that nobody has held the lease if
  // the log is empty.
  bool is_first_start = false;
};

class DutyLease {
 public:
  DutyLease(LeaseCandidate self, const LeaseOptions& options,
            TimePoint started);

  // The log is read from now on; by default, from the start of the process.
  void BeginReading(TimePoint now) { reading_since_ = now; }
  // Records that the log was read. `as_of` is a time at which it had not grown
  // beyond that end.
  void RecordRead(const LeaseLog& log, TimePoint as_of, TimePoint now);
  // Records that a read failed. A term without news counts only if the log
  // was readable throughout.
  void RecordReadFailure();

  // Returns the record that is to be appended now, if any. The caller reports
  // the result before it asks again. `turn_delay` is how long after the end of
  // a term this box waits for boxes whose turn comes before its own; `wall` is
  // the time of day, by which tokens keep rising even if the log is lost.
  std::optional<LeaseAppend> NextAppend(nanoseconds turn_delay, TimePoint now,
                                        WallTime wall);
  // Records the result of the append. After an error it may have taken effect
  // all the same; the next read shows it.
  void RecordAppend(std::error_code error, TimePoint now);

  // Gives the lease up: for a planned stop, or because this box can't carry
  // the duties out. TokenAt() returns nothing from now on; the record follows
  // when the calls under way have ended. The box stays away from the lease for
  // `absence`.
  void Release(nanoseconds absence, TimePoint now);

  // Returns the fencing token if a call that starts now ends while this box
  // holds the lease.
  std::optional<uint64_t> TokenAt(TimePoint now) const;

  // Returns the record of whoever holds the lease, as far as is known.
  const std::optional<LeaseRecord>& newest() const { return newest_; }

 private:
  struct Attempt {
    uint64_t number = 0;
    TimePoint sent_at{};
  };

  bool IsOwn(const LeaseRecord& record) const;
  // Whether the newest record keeps the lease for this process.
  bool IsHeldBy(const LeaseRecord& newest) const;
  // Whether no record can have followed the newest one known and been lost.
  bool IsNewestOfEra() const;
  uint64_t NextToken(WallTime wall) const;
  bool MayTakeOver(nanoseconds turn_delay, TimePoint now) const;
  LeaseAppend Send(LeaseRecord record, TimePoint now);
  // The record of that number is in the log.
  void Confirm(uint64_t number);
  void Lose(TimePoint now);
  // Drops the lease once its term has ended.
  void CheckTerm(TimePoint now);
  void DropLease();

  const LeaseCandidate self_;
  const LeaseOptions options_;
  const TimePoint started_;

  TimePoint reading_since_;
  std::optional<LeaseRecord> newest_;
  std::optional<uint64_t> end_;   // of the log, when it was last read
  std::optional<StoreEra> era_;   // of the store, when it was last read
  bool store_went_back_ = false;  // in the life of this process
  // This process has read the log before any box can have held the lease for
  // long.
  bool saw_first_log_ = false;
  TimePoint changed_at_{};           // when this box first saw that end
  TimePoint unchanged_until_{};      // the log had not grown by then
  std::deque<Attempt> attempts_;     // appends whose effect is not yet known
  std::optional<LeaseAppend> open_;  // the append that is under way
  uint64_t numbers_ = 0;             // of records sent
  TimePoint confirmed_at_{};         // when the newest confirmed one was sent
  uint64_t token_ = 0;               // of the newest record that was sent
  uint64_t highest_token_ = 0;       // of all records known
  bool holds_ = false;  // the newest record known is this process's
  // Set: the lease is given up then, when all calls of this box have ended.
  std::optional<TimePoint> release_at_;
  TimePoint absent_until_{};
};

}  // namespace leverwick

#endif  // LEVERWICK_DUTY_LEASE_H_
