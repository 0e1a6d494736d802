// Detects prompt parts that crash the endpoints that run requests with them
// ("poison parts"), although no two of these requests are alike.
//
// A crash of an endpoint is recorded for every part of every request that was
// running there. Most of these parts are innocent, and some are present at each
// crash because thousands of requests have them. As in spectrum-based fault
// localisation, parts are ranked by the crashes and the healthy runs that they
// are present at:
//
//   suspicion = crashes since the last healthy run - log2(1 + healthy runs)
//
// The most suspicious part is quarantined if its suspicion reaches
// kSuspicionThreshold, by requests that differ. The crashes that it was present
// at are explained by it and count against no other part; of what remains, the
// next one is chosen. So a popular part is not quarantined for a poison part
// that always comes with it.
//
// Requests with a quarantined part are sent to no endpoint, except for an
// occasional trial of a single attempt. A healthy run clears the crashes of its
// parts on that version. Callers choose the names of parts, so crashes under
// requests of one organisation quarantine a part for that organisation only;
// those of two, for all.
//
// Boxes exchange what they have observed, as described in poison_requests.h.
// They come to the same ranking, since a report contains the number of healthy
// runs too.
//
//   PoisonParts parts("box-a1");
//   parts.RecordCrash(runs, crashed_at);
//   parts.RecordSurvivedRun(run, now);
//   PoisonVerdict verdict =
//       parts.Evaluate({part_digests, organisation}, target, is_listed, now);
//   if (parts.TakeChangeFlag()) parts.AppendNotes(now, &notes);
//   parts.Merge(notes, now, false);  // a report of another box

#ifndef LEVERWICK_POISON_PARTS_H_
#define LEVERWICK_POISON_PARTS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "leverwick/healthy_parts.h"
#include "leverwick/part_digest.h"
#include "leverwick/poison_verdict.h"
#include "leverwick/recent_runs.h"
#include "leverwick/time.h"
#include "schema/peer.pb.h"

namespace leverwick {

// What decides whether a request is affected by quarantined parts.
struct PartsOfRequest {
  PartDigests parts;
  uint32_t organisation = 0;  // RequestDigest::organisation_hash
};

// Reports that a part was quarantined or released.
struct PartQuarantineChange {
  PartDigest part = 0;
  bool quarantined = false;
  std::vector<std::string> endpoints;  // that crashed while running it
  size_t requests = 0;                 // that differ, at these crashes
  uint32_t healthy_runs = 0;           // before the crashes
};

// Not thread-safe.
class PoisonParts {
 public:
  // One less than the crashes that a part may cause before it must be known.
  static constexpr double kSuspicionThreshold = 4;
  // A request that is retried meets several crashes by itself.
  static constexpr size_t kMinRequests = 2;
  static constexpr size_t kMaxParts = 2048;
  // The number of parts in a report, of some 100 bytes each.
  static constexpr size_t kMaxReportedParts = 64;
  // How long a part is kept after its last crash or trial: as long as a
  // request (poison_requests.h) if it is quarantined.
  static constexpr std::chrono::hours kQuarantineRetention{2};
  static constexpr std::chrono::minutes kRetention{10};

  // Within this time, boxes in touch have heard of each other's claims.
  static constexpr milliseconds kClaimTime{3000};

  explicit PoisonParts(std::string box) : box_(std::move(box)) {}

  // Records that the endpoint of these runs crashed at `crashed_at`. Endpoints
  // are named by incarnation.
  void RecordCrash(const std::vector<EndpointRun>& runs, TimePoint crashed_at);
  // Records a complete run whose endpoint has survived it.
  void RecordSurvivedRun(const EndpointRun& run, TimePoint now);
  // Records that the endpoint responded to a call that was sent at `sent_at`,
  // and so has not crashed before.
  void RecordResponse(const std::string& endpoint, TimePoint sent_at);

  // Records that the endpoint is no longer registered. A later response under
  // the same name doesn't disprove its crash.
  void RecordEndpointRemoved(const std::string& endpoint);

  // Decides whether a request may be sent. `target` is the target version of a
  // roll-out, or empty. `is_listed` returns whether any endpoint of a version
  // is registered.
  PoisonVerdict Evaluate(
      const PartsOfRequest& request, const std::string& target,
      const std::function<bool(const std::string&)>& is_listed,
      TimePoint now) const;
  // Claims the next trial of these quarantined parts. It is granted after
  // kClaimTime unless a box with a higher rank claims it too, so that requests
  // that arrive at many boxes make one trial.
  void ClaimTrial(const std::vector<PartDigest>& parts, TimePoint now);
  // Records a trial of a request with these quarantined parts.
  void RecordTrial(const std::vector<PartDigest>& parts, TimePoint now);
  // A box that does not exchange reports with its peers sends no trials.
  void SetConnectedToPeers(bool connected) { connected_to_peers_ = connected; }

  // Returns whether there are changes to report since the last call.
  bool TakeChangeFlag();
  // Adds what this box has observed itself to a report.
  void AppendNotes(TimePoint now, PoisonNotes* notes) const;
  // Merges a report that was written at `as_of` or, by its transit time,
  // before. `is_local` is true for a report of this box, possibly from an
  // earlier incarnation. Returns the time of each crash that this box was not
  // aware of, by endpoint.
  std::map<std::string, TimePoint> Merge(const PoisonNotes& notes,
                                         TimePoint as_of, bool is_local);

  // Returns the changes since the last call, for logging.
  std::vector<PartQuarantineChange> TakeQuarantineChanges();
  void Expire(TimePoint now);

  size_t size() const { return parts_.size(); }
  size_t quarantined_count() const { return quarantined_count_; }

 private:
  // A run of a request with the part, at an endpoint that crashed.
  struct Strike {
    std::string endpoint;
    std::string version;
    TimePoint run_started_at{};
    TimePoint crashed_at{};
    uint64_t request = 0;  // a hash of its digest
    uint32_t organisation = 0;
    bool is_local = false;  // observed by this box
  };
  struct Trial {
    TimePoint at{};
    bool is_local = false;  // sent by this box
  };
  // Of the next trial; the one with the highest rank is kept.
  struct Claim {
    TimePoint at{};
    uint64_t rank = 0;
    bool is_local = false;  // of this box
  };
  struct HealthyRun {
    TimePoint at{};
    bool is_reported = false;  // to be told to other boxes
  };
  struct Part {
    std::vector<Strike> strikes;  // ordered by time of the crash
    std::map<std::string, HealthyRun> last_healthy;  // by version
    uint32_t reported_healthy_runs = 0;              // the most of any box
    std::vector<Trial> trials;
    std::optional<Claim> claim;
    TimePoint last_event_at{};  // of the latest crash or trial
    bool quarantined = false;
  };
  static bool IsEarlier(const Strike& a, const Strike& b);
  using Endpoints = std::set<std::string>;
  // Strikes of a part that count.
  struct Evidence {
    size_t crashes = 0;
    size_t requests = 0;
    double suspicion = 0;
  };

  // Records a crash, or that it was earlier than known: reports are late by
  // their transit times, so the earliest time is the most accurate. Returns
  // whether the crash was not known.
  bool RecordCrashTime(const std::string& endpoint, TimePoint crashed_at);
  void AddStrike(PartDigest part, Strike strike);
  // Removes strikes on the version up to `at`.
  void ClearStrikes(Part* part, const std::string& version, TimePoint at);
  void AddClaim(Part* part, const Claim& claim);
  // Whether the claim is of the next trial, and its box has not given it up.
  static bool HasValidClaim(const Part& part, TimePoint now);
  void AddTrial(Part* part, TimePoint at, bool is_local);
  void RemoveStrikesAt(const std::string& endpoint, TimePoint before);
  void MergeCrashes(const PoisonNotes& notes, TimePoint written_at,
                    std::map<std::string, TimePoint>* new_crashes);
  void MergePart(const PoisonNotes& notes, const StruckPart& note,
                 TimePoint written_at, bool is_local);
  // Returns what to add to the times of a report so that no crash in it is
  // later than known.
  TimePoint::duration ReportOffset(const PoisonNotes& notes,
                                   TimePoint written_at) const;

  uint32_t CountHealthyRuns(PartDigest digest, const Part& part) const;
  // Ignores crashes of `explained` endpoints, and those of version `excluded`
  // unless that is empty.
  Evidence WeighEvidence(PartDigest digest, const Part& part,
                         const Endpoints& explained,
                         const std::string& excluded = "") const;
  // Chooses the parts to quarantine anew.
  void UpdateQuarantine();
  void SetQuarantined(PartDigest digest, Part* part, bool quarantined);
  static bool AppliesTo(const Part& part, uint32_t organisation);
  PoisonVerdict EvaluatePart(
      PartDigest digest, const Part& part, const std::string& target,
      const std::function<bool(const std::string&)>& is_listed,
      TimePoint now) const;
  void Evict();
  void AppendPart(PartDigest digest, const Part& part, TimePoint now,
                  std::map<std::string, uint32_t>* crash_indices,
                  PoisonNotes* notes) const;

  const std::string box_;
  std::map<PartDigest, Part> parts_;
  struct RecordedCrash {
    TimePoint at{};
    bool is_removed = false;  // the endpoint is not registered any more
  };
  std::map<std::string, RecordedCrash> crashes_;  // by endpoint
  // Endpoints that responded after a supposed crash.
  std::map<std::string, TimePoint> survivors_;
  HealthyParts healthy_;
  std::vector<PartQuarantineChange> quarantine_changes_;
  size_t quarantined_count_ = 0;
  bool has_unreported_changes_ = false;
  bool connected_to_peers_ = true;
};

}  // namespace leverwick

#endif  // LEVERWICK_POISON_PARTS_H_
