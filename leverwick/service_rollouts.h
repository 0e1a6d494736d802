// Rolls out a new version of a service step by step, alike on all boxes.
//
// An operator orders a target version and a time within which it is to be in
// use. The boxes share one record of the roll-out's current step; any box that
// finds a step's time over proposes the next step, and the store accepts
// exactly one proposal. A hash of the session decides which requests run on the
// target, so boxes agree without exchanging messages, and a session that began
// on one version stays there during the first half.
//
// A session's requests reach many boxes, so a box can't tell a new session from
// one that another box has just served. Before the first use of the target,
// boxes therefore report the sessions of the target's share that run on the
// baseline version: a list when the first step is recorded, and then each one
// that begins there until the target is used. Sessions that run on the baseline
// later for any other reason (the target has no reachable endpoint, or failed)
// are reported as well. A reported session is pinned: it stays on the baseline
// through the first half.
//
//   ServiceRollouts rollouts(options);
//   rollouts.RecordOrder("chat", "v2", 24s, now);
//   Side side = rollouts.SideFor("chat", session, now);
//   rollouts.RecordRequestStart("chat", session, now);
//   rollouts.RecordSend("chat", session, version);
//   rollouts.RecordRequestEnd("chat", session, now);
//   std::vector<uint64_t> sessions = rollouts.TakeUnreportedPins("chat");
//   for (const RolloutRecord& next : rollouts.DueRecords(now)) ...
//   rollouts.ApplyRecord(record, now);  // the shared record as it was read
//   rollouts.RecordSyncedUpTo(as_of);
//   rollouts.Trip("chat", "more errors");

#ifndef LEVERWICK_SERVICE_ROLLOUTS_H_
#define LEVERWICK_SERVICE_ROLLOUTS_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "leverwick/time.h"

namespace leverwick {

// What the endpoints of a version are to the requests of its service.
enum class VersionUse {
  kServes,  // they run all requests, or most of them
  kOther,   // few or none yet or any more; the platform keeps them for now
  // None any more, but an order starts more of them, as the platform does not
  // know yet that another version has replaced theirs.
  kReplaced,
  kStopped,  // the platform ends them at once
};

enum class RolloutStep {
  kCanary,      // a small share of new sessions
  kWider,       // the same share, also of sessions that began earlier
  kAll,         // every request; the baseline only completes its requests
  kCompleted,   // the baseline's endpoints may be stopped
  kRolledBack,  // the target was found unhealthy
};

// The shared record of a roll-out.
struct RolloutRecord {
  std::string service;
  std::string target_version;
  RolloutStep step = RolloutStep::kCanary;

  bool is_finished() const {
    return step == RolloutStep::kCompleted || step == RolloutStep::kRolledBack;
  }
};

// Operators bound the share of a service's requests that an unhealthy target
// may get within the ordered time, also when its fault shows only once it gets
// all requests. All requests therefore go to the target only in the last part
// of that time, and before it a share that leaves room for that part.
struct RolloutOptions {
  // Returns options that keep to the given bound, between 0 and 1. With 0.15
  // the target gets 0.07 of the sessions for 0.92 of the time, with 0.0975 it
  // gets 0.03 for 0.935.
  static RolloutOptions ForExposureBound(double bound);

  // Share of sessions that run on the target before kAll.
  double target_share = 0.07;
  // Fractions of the ordered time after which each step begins. Sessions keep
  // their version during the first half, so kWider begins after it.
  double wider_start_fraction = 0.53;
  double all_start_fraction = 0.92;
  double completed_start_fraction = 0.965;
  // Minimum duration of kAll as a fraction of the ordered time. A fault that
  // shows only under all requests needs time to show before the baseline's
  // endpoints may be stopped.
  double min_all_fraction = 0.045;
  // A session that is idle for longer is over.
  milliseconds session_idle_timeout{5000};
  // Time from the first step's record to the first use of the target. In this
  // time, the reported sessions reach all boxes, and so does the list of the
  // target's endpoints, which one box may receive 1.4 s later than another.
  // The record itself reaches the last of 91 boxes 62 ms after the first.
  milliseconds settling_time{1500};
};

// Not thread-safe.
class ServiceRollouts {
 public:
  enum class Side { kAny, kBaseline, kTarget };
  static const char* SideName(Side side);

  explicit ServiceRollouts(const RolloutOptions& options) : options_(options) {}

  // Records an operator's order. Ordering the same target again changes
  // nothing. A version that was found unhealthy may be ordered again after
  // another one; the scores against it that boxes have kept still count.
  void RecordOrder(const std::string& service,
                   const std::string& target_version, milliseconds duration,
                   TimePoint now);

  // Applies the shared record; a step never goes back.
  void ApplyRecord(const RolloutRecord& record, TimePoint now);

  // Records that the platform was told of the roll-out's end.
  void RecordStatusWritten(const RolloutRecord& record);

  // Marks the target version as unhealthy. Takes effect at once and is
  // permanent.
  void Trip(const std::string& service, const std::string& reason);

  // Returns where a request runs; `session` is its session or, without one, its
  // own id.
  Side SideFor(const std::string& service, const std::string& session,
               TimePoint now) const;

  // Record the start and the end of a request of the session at this box. Each
  // start needs an end. An empty session is ignored, here and in RecordSend.
  void RecordRequestStart(const std::string& service,
                          const std::string& session, TimePoint now);
  void RecordRequestEnd(const std::string& service, const std::string& session,
                        TimePoint now);
  // Records that a request of the session is sent to an endpoint of `version`.
  void RecordSend(const std::string& service, const std::string& session,
                  const std::string& version);
  // Returns the hashes of the sessions that were pinned here and not yet
  // reported to the other boxes: those of the target's share that run here on
  // the baseline. Once the first step is recorded, they include all that this
  // box serves or has served within the idle timeout. The caller reports them,
  // and returns those that could not be reported with RequeueUnreportedPins.
  std::vector<uint64_t> TakeUnreportedPins(const std::string& service);
  void RequeueUnreportedPins(const std::string& service,
                             const std::string& target_version,
                             const std::vector<uint64_t>& sessions);
  // Records that everything that boxes had written up to `as_of` is applied
  // here.
  void RecordSyncedUpTo(TimePoint as_of);
  // Keeps the sessions on the baseline through the first half.
  void PinSessions(const std::string& service,
                   const std::string& target_version,
                   const std::vector<uint64_t>& sessions);

  // Returns the ordered target version; empty when there is no order.
  std::string TargetFor(const std::string& service) const;
  // The current step of each roll-out, including finished ones.
  std::vector<RolloutRecord> records() const;
  // Returns the time within which the target is to be in use; zero when there
  // is no order.
  nanoseconds DurationFor(const std::string& service) const;
  // Returns whether the roll-out is unfinished, as far as this box is aware.
  bool IsActive(const std::string& service) const;
  bool HasActive() const { return !active_services().empty(); }
  std::vector<std::string> active_services() const;
  // Returns whether requests may be sent to the target at all: false once it
  // was found unhealthy.
  bool MayUseTarget(const std::string& service) const;
  // Returns whether the version was found unhealthy as the target of this or an
  // earlier order. The endpoints of an earlier target stay listed for some
  // seconds.
  bool IsUnhealthy(const std::string& service,
                   const std::string& version) const;
  // Returns whether the operator is expected to stop the version's endpoints:
  // it was found unhealthy, or another version has replaced it.
  bool IsRetired(const std::string& service, const std::string& version) const;
  VersionUse UseOf(const std::string& service,
                   const std::string& version) const;
  // Returns whether the target is compared with the baseline.
  bool IsMonitored(const std::string& service) const;
  // Returns whether requests are sent to the target at `now`.
  bool IsTargetInUse(const std::string& service, TimePoint now) const;
  // Time from the first step's record to the first use of a target.
  milliseconds settling_time() const { return options_.settling_time; }
  // Share of sessions that run on the target before kAll.
  double target_share() const { return options_.target_share; }
  // Returns whether the target's latency can be compared with the baseline's: a
  // target that has just got all requests is slow until its caches are warm.
  bool IsLatencyComparable(const std::string& service) const;

  // Returns the records of the steps that are due and not yet recorded.
  std::vector<RolloutRecord> DueRecords(TimePoint now) const;

  // Removes sessions that were idle for longer than the idle timeout.
  void ExpireSessions(TimePoint now);

 private:
  struct Rollout {
    bool IsUnhealthy() const {
      return is_tripped || step == RolloutStep::kRolledBack;
    }

    std::string target;
    milliseconds duration{0};
    TimePoint ordered_at{};
    TimePoint step_at{};  // when this box received the step
    RolloutStep step = RolloutStep::kCanary;
    bool is_recorded = false;  // the shared record names this target
    TimePoint recorded_at{};   // when this box received that record
    bool is_synced = false;    // with everything written before recorded_at
    bool is_tripped = false;   // by this box
    bool is_status_written = false;  // the platform knows of the end
    std::string reason;
    std::set<std::string> unhealthy_before;        // targets of earlier orders
    std::unordered_set<uint64_t> pinned;           // sessions, by hash
    std::unordered_set<uint64_t> unreported_pins;  // of those pinned here
  };

  // A session as far as this box serves it.
  struct Session {
    int in_flight = 0;  // requests
    TimePoint used_at{};
  };

  bool IsOver(const Session& session, TimePoint now) const;
  // Returns whether requests may be sent to the target at the first step.
  bool HasSettled(const Rollout& rollout, TimePoint now) const;
  void PinRecentSessions(const std::string& service, Rollout* rollout,
                         TimePoint now);
  void AddPin(Rollout* rollout, uint64_t session);
  // Returns whether the session belongs to the share that runs on the target
  // first.
  bool IsInTargetShare(const std::string& service, const Rollout& rollout,
                       uint64_t session) const;
  bool IsNextStepDue(const Rollout& rollout, RolloutStep* next,
                     TimePoint now) const;

  const RolloutOptions options_;
  std::map<std::string, Rollout> rollouts_;  // by service
  // Sessions that are served here, by service and hash.
  std::map<std::string, std::unordered_map<uint64_t, Session>> sessions_;
};

const char* RolloutStepName(RolloutStep step);

// Returns the subject under which RegressionDetector keeps the scores of a
// service's version, alike on every box.
std::string RegressionSubject(const std::string& service,
                              const std::string& version);

}  // namespace leverwick

#endif  // LEVERWICK_SERVICE_ROLLOUTS_H_
