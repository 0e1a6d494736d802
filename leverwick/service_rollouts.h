// Brings a new version of a service in, step by step, on all boxes alike.
//
// An operator orders a target version and a time within which it is to be in
// use. The boxes share one record of how far the roll-out has come; whoever
// sees that a step has lasted long enough proposes the next, and the store
// lets exactly one proposal through. Which requests run on the target is
// decided by a hash of their session, so boxes agree without talking, and a
// session that began on one version stays there during the first half.
//
// Sessions go through many boxes, so a box can't tell a new one from one that
// another box has just served. Before the target's first use boxes therefore
// tell each other which sessions of the target's share run on the version
// before it: a list when the first step is recorded, and then each one that
// begins there until the target is used. Whatever makes such a session run on
// the old version later (the target has no endpoint within reach, or failed) is
// told as well. A told session is pinned: it stays there through the first
// half.
//
//   ServiceRollouts rollouts(options);
//   rollouts.Ordered("chat", "v2", 24s, now);
//   Side side = rollouts.SideFor("chat", session, now);
//   rollouts.Began("chat", session, now); ... rollouts.Ended("chat", ...);
//   rollouts.Sent("chat", session, version);
//   std::vector<uint64_t> news = rollouts.TakeUntold("chat");
//   for (const RolloutRecord& next : rollouts.Proposals(now)) ...
//   rollouts.Learned(record, now);   // what the shared record says
//   rollouts.Heard(as_of);           // all that was written by then is known
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

enum class RolloutStep {
  kCanary,      // a small share of new sessions
  kWider,       // the same share, also of sessions that began before
  kAll,         // every request; the old version only finishes what it has
  kCompleted,   // the old version's endpoints may be stopped
  kRolledBack,  // the target turned out bad
};

// The shared record of a roll-out.
struct RolloutRecord {
  std::string service;
  std::string target_version;
  RolloutStep step = RolloutStep::kCanary;

  bool ended() const {
    return step == RolloutStep::kCompleted || step == RolloutStep::kRolledBack;
  }
};

// Until its ordered time is over, a target that turns out bad may have had a
// certain share of a service's requests (the operators' bound), also one that
// shows nothing before all requests go to it. So these do only in the last part
// of that time, and before it a share that leaves room for that part.
struct RolloutOptions {
  // For a bound between 0 and 1. With 0.15 the target has 0.07 of the sessions
  // for 0.92 of the time, with 0.0975 it has 0.03 for 0.935. On 65 boxes with
  // the latter bound a target that shows nothing before its end got 3,731 to
  // 4,086 of some 23,500 requests with the former shares and 2,515 to 2,776
  // with its own, in a burst of 1.4 at the end; 2,285 to 2,401 were allowed
  // (five seeds, processor time counted).
  static RolloutOptions ForExposure(double bound);

  double target_share = 0.07;  // of sessions, before all of them
  // Parts of the ordered time at whose end each step begins. The first half
  // keeps sessions where they are, so kWider begins after it.
  double wider_from = 0.53;
  double all_from = 0.92;
  double completed_from = 0.965;
  // Least time that all requests run on the target before the old version's
  // endpoints may be stopped, as a part of the ordered time: what a bad version
  // shows only then must have time to show.
  double all_lasts = 0.045;
  // How long a session may pause and still be the same.
  milliseconds session_pause{5000};
  // From the first step's record to the first use of the target: in this time
  // the sessions that boxes tell reach all others, and so does the list of the
  // target's endpoints, which a box may know 1.4 s later than another. On 91
  // boxes of 0.12 of a core the last learned the step 62 ms after the first
  // (one calm day, from the logs of all).
  milliseconds settling{1500};
};

// Not thread-safe.
class ServiceRollouts {
 public:
  enum class Side { kAny, kBaseline, kTarget };
  static const char* SideName(Side side);

  explicit ServiceRollouts(const RolloutOptions& options) : options_(options) {}

  // Ordering the same target again changes nothing. A version that was found
  // bad is a target again when it is ordered after another one; evidence
  // against it that boxes remember still counts.
  void Ordered(const std::string& service, const std::string& target_version,
               milliseconds duration, TimePoint now);

  // What the shared record says; a step never goes back.
  void Learned(const RolloutRecord& record, TimePoint now);

  // The target version is bad. Holds at once and is never undone.
  void Trip(const std::string& service, const std::string& why);

  // Where a request of `session` (or, without one, of that id) runs.
  Side SideFor(const std::string& service, const std::string& session,
               TimePoint now) const;

  // A request of the session began or ended here. Each that began ends. An
  // empty session is none, here and in Sent.
  void Began(const std::string& service, const std::string& session,
             TimePoint now);
  void Ended(const std::string& service, const std::string& session,
             TimePoint now);
  // A request of the session is sent to an endpoint of that version.
  void Sent(const std::string& service, const std::string& session,
            const std::string& version);
  // Hashes of the sessions that other boxes have yet to learn of: those of the
  // target's share that run here on the version before it. All that this box
  // serves or has served within the longest pause are among them once the first
  // step is recorded. The caller tells them; `Retell` gives back what could not
  // be told.
  std::vector<uint64_t> TakeUntold(const std::string& service);
  void Retell(const std::string& service, const std::string& target_version,
              const std::vector<uint64_t>& sessions);
  // All that boxes had written up to `as_of` is learned and pinned.
  void Heard(TimePoint as_of);
  // These sessions stay on the version before the target for now.
  void Pin(const std::string& service, const std::string& target_version,
           const std::vector<uint64_t>& sessions);

  // The version that an order names; empty when there is no order.
  std::string TargetOf(const std::string& service) const;
  // How far each roll-out has come, ended ones too.
  std::vector<RolloutRecord> records() const;
  // Within which the target is to be in use; zero when none is ordered.
  nanoseconds DurationOf(const std::string& service) const;
  // Whether the order is still being carried out, as far as this box knows.
  bool IsActive(const std::string& service) const;
  bool AnyActive() const { return !active_services().empty(); }
  std::vector<std::string> active_services() const;
  // Whether anything may be sent to the target: false once it is known bad.
  bool MayUseTarget(const std::string& service) const;
  // Whether the version is the target and known bad, or was so before the
  // newest order: its endpoints stay listed for some seconds.
  bool IsBad(const std::string& service, const std::string& version) const;
  // Whether endpoints of the version end as the operator plans: it was found
  // bad, or another has taken its place.
  bool IsLeft(const std::string& service, const std::string& version) const;
  // Whether the target is held against the version before it.
  bool IsWatched(const std::string& service) const;
  // Whether requests are sent to the target by now.
  bool IsUsed(const std::string& service, TimePoint now) const;
  // From the first step's record to the first use of a target.
  milliseconds settling() const { return options_.settling; }
  // Of sessions, before all of them.
  double target_share() const { return options_.target_share; }
  // Whether its latency can be compared with the version's before it: a target
  // that has just got all requests is slow until its caches are warm.
  bool IsTimed(const std::string& service) const;

  // Records that this box would write now.
  std::vector<RolloutRecord> Proposals(TimePoint now) const;

  // Forgets sessions that have paused for too long.
  void Expire(TimePoint now);

 private:
  struct Rollout {
    bool IsBad() const { return tripped || step == RolloutStep::kRolledBack; }

    std::string target;
    milliseconds duration{0};
    TimePoint ordered_at{};
    TimePoint step_at{};  // when this box learned of the step
    RolloutStep step = RolloutStep::kCanary;
    bool recorded = false;    // the shared record names this target
    TimePoint recorded_at{};  // when this box learned that
    bool heard = false;       // of what was written after that
    bool tripped = false;     // by this box
    std::string why;
    std::set<std::string> bad_before;     // targets of earlier orders
    std::unordered_set<uint64_t> pinned;  // sessions, by hash
    std::unordered_set<uint64_t> untold;  // of those pinned here
  };

  // A session as far as this box serves it.
  struct Session {
    int open = 0;  // requests in progress
    TimePoint used_at{};
  };

  bool IsOver(const Session& session, TimePoint now) const;
  // Whether requests may be sent to the target at the first step.
  bool HasSettled(const Rollout& rollout, TimePoint now) const;
  void PinRecent(const std::string& service, Rollout* rollout, TimePoint now);
  void PinHere(Rollout* rollout, uint64_t session);
  // Whether the session belongs to the share that runs on the target first.
  bool IsInShare(const std::string& service, const Rollout& rollout,
                 uint64_t session) const;
  bool IsDue(const Rollout& rollout, RolloutStep* next, TimePoint now) const;

  const RolloutOptions options_;
  std::map<std::string, Rollout> rollouts_;  // by service
  // Sessions that are served here, by service and hash.
  std::map<std::string, std::unordered_map<uint64_t, Session>> sessions_;
};

const char* RolloutStepName(RolloutStep step);

// What Guard holds evidence about a service's version under, on every box.
std::string GuardSubject(const std::string& service,
                         const std::string& version);

}  // namespace leverwick

#endif  // LEVERWICK_SERVICE_ROLLOUTS_H_
