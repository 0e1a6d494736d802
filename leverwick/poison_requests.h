// Detects requests that crash the endpoints that run them ("poison requests"),
// and decides whether and where a request may be sent.
//
// A crash of an endpoint is recorded for every request that was running there.
// Most of these requests are innocent: an endpoint runs dozens at once. A
// poison request stands out because it is present at each crash, and because no
// run of it completes at an endpoint that survives. After kCrashThreshold
// crashes a request is quarantined on every box that has received the reports:
// it is sent to no endpoint, except for an occasional trial of a single
// attempt. Trials release a request that was quarantined by mistake, or whose
// endpoints have been repaired. The following also clears a request:
//
//   - A complete response from an endpoint that survives clears the request's
//     crashes on that version.
//   - A request that had a healthy run before is excused from its next three
//     crashes.
//   - An endpoint that responds to a later call has not crashed. Endpoints are
//     identified by incarnation, since a restarted endpoint responds under the
//     same id.
//   - Simultaneous crashes, such as those of a whole data centre, count as one.
//
// The times in a report are late by its transit time, which the receiver does
// not know. A crash that was reported before aligns them with the earlier
// report, so that the order of reported crashes is kept.
//
// Reports can be merged in any order and any number of times: crashes are only
// added, and a crash that has been cleared stays cleared. Reports contain ages
// instead of times, since boxes have no common clock.
//
//   PoisonRequests poison("box-a1");
//   poison.RecordCrash(runs, crashed_at);
//   poison.RecordSurvivedRun(run, now);
//   PoisonVerdict verdict = poison.Evaluate(digest, target, is_listed, now);
//   if (poison.TakeChangeFlag()) Broadcast(poison.BuildNotes(now, wall));
//   poison.Merge(notes, now, false);  // a report of another box

#ifndef LEVERWICK_POISON_REQUESTS_H_
#define LEVERWICK_POISON_REQUESTS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "leverwick/healthy_requests.h"
#include "leverwick/poison_verdict.h"
#include "leverwick/recent_runs.h"
#include "leverwick/request_digest.h"
#include "leverwick/time.h"
#include "schema/peer.pb.h"

namespace leverwick {

// Reports that a request was quarantined or released.
struct QuarantineChange {
  RequestDigest request;
  bool quarantined = false;
  std::vector<std::string> endpoints;  // that crashed while running the request
};

// Not thread-safe.
class PoisonRequests {
 public:
  // The number of crashes at which a request is quarantined. No poison request
  // may crash more endpoints than this.
  static constexpr size_t kCrashThreshold = 3;
  // The number of requests that are kept.
  static constexpr size_t kMaxRequests = 1024;
  // The number of requests in a report, of some 100 bytes each.
  static constexpr size_t kMaxReportedRequests = 64;
  // How long a request is kept after its last crash or trial. This is longer
  // than the longest interval between trials, so that a request that callers
  // still send stays quarantined.
  static constexpr std::chrono::hours kRetention{2};

  explicit PoisonRequests(std::string box) : box_(std::move(box)) {}

  // Records that the endpoint of these runs crashed at `crashed_at`.
  void RecordCrash(const std::vector<EndpointRun>& runs, TimePoint crashed_at);
  // Records a complete run whose endpoint has survived it.
  void RecordSurvivedRun(const EndpointRun& run, TimePoint now);
  // Records that the endpoint is no longer registered. A later response under
  // the same name doesn't disprove its earlier crashes.
  void RecordEndpointRemoved(const std::string& endpoint) {
    last_crash_.erase(endpoint);
  }
  // Records that the endpoint responded to a call that was sent at `sent_at`.
  void RecordResponse(const std::string& endpoint, TimePoint sent_at);

  // Decides whether a request may be sent. `target` is the target version of a
  // roll-out, or empty. `is_listed` returns whether any endpoint of a version
  // is registered.
  PoisonVerdict Evaluate(
      const RequestDigest& request, const std::string& target,
      const std::function<bool(const std::string&)>& is_listed,
      TimePoint now) const;
  void RecordTrial(const RequestDigest& request, TimePoint now);
  // Sets whether this box exchanges reports with its peers. A disconnected box
  // sends no trials, since its peers would be unaware of them and send their
  // own.
  void SetConnectedToPeers(bool connected) { connected_to_peers_ = connected; }

  // Returns whether there are changes to report since the last call.
  bool TakeChangeFlag();
  // Builds the report of what this box has observed itself. `wall` is the
  // current time of its wall clock.
  PoisonNotes BuildNotes(TimePoint now, WallTime wall) const;
  // Merges a report that was written at `as_of` or, by the transit time of a
  // report, before. `is_local` is true for a
  // report of this box, possibly from an earlier incarnation. Returns the time
  // of each crash that this box was not aware of, by endpoint.
  std::map<std::string, TimePoint> Merge(const PoisonNotes& notes,
                                         TimePoint as_of, bool is_local);

  // Returns the changes since the last call, for logging.
  std::vector<QuarantineChange> TakeQuarantineChanges();
  // Removes everything older than kRetention.
  void Expire(TimePoint now);

  size_t size() const { return requests_.size(); }
  size_t quarantined_count() const { return quarantined_count_; }

 private:
  struct Crash {
    std::string endpoint;
    std::string version;
    TimePoint run_started_at{};
    TimePoint crashed_at{};
    bool is_local = false;  // observed by this box
  };
  struct Trial {
    TimePoint at{};
    bool is_local = false;  // sent by this box
  };
  // The latest time at which an endpoint was seen alive.
  struct LastSeen {
    TimePoint at{};
    bool is_local = false;  // observed by this box
  };
  struct Request {
    std::vector<Crash> crashes;  // ordered by time of the crash
    // Endpoints whose crashes are cleared; true: by this box.
    std::map<std::string, bool> cleared;
    std::vector<Trial> trials;
    TimePoint last_event_at{};  // of the latest crash or trial
    bool quarantined = false;
  };

  // Returns what to add to the times of a report that is taken to be written at
  // `written_at`; zero if it contains no crash that was reported before.
  TimePoint::duration ReportOffset(const PoisonNotes& notes,
                                   TimePoint written_at) const;
  // Returns whether the crash was not recorded before.
  bool AddCrash(const RequestDigest& digest, const Crash& crash);
  // Clears all recorded crashes on the version up to `now`.
  void ClearCrashes(Request* request, const std::string& version,
                    TimePoint now);
  // Clears the crash of one endpoint.
  void ClearCrash(Request* request, const std::string& endpoint, bool is_local);
  void AddTrial(Request* request, TimePoint at, bool is_local);
  // Removes all crashes of the endpoint before it was last seen alive. Returns
  // whether this may have affected the quarantine of a request.
  bool RecordLastSeen(const std::string& endpoint, const LastSeen& last_seen);
  // Quarantines and releases requests according to their current crashes.
  void UpdateQuarantine();
  void SetQuarantined(const RequestDigest& digest, Request* request,
                      bool quarantined);
  TimePoint ComputeTrialTime(const RequestDigest& digest,
                             const Request& request,
                             bool crashed_version_listed) const;
  // Removes some requests if the maximum number is reached.
  void Evict();
  void Remove(const RequestDigest& digest);
  void AppendNotes(PoisonNotes* notes, const RequestDigest& digest,
                   const Request& request, TimePoint now) const;
  static bool HasLocalRecords(const Request& request);
  // Returns the number of crashes that count against the request, with
  // simultaneous crashes counted as one. Ignores crashes on `excluded`
  // unless that is empty.
  static size_t CountCrashes(const Request& request,
                             const std::string& excluded = "");

  const std::string box_;
  std::map<RequestDigest, Request> requests_;
  // The time of the latest recorded crash, by endpoint.
  std::map<std::string, TimePoint> last_crash_;
  // Endpoints that responded after a recorded crash.
  std::map<std::string, LastSeen> last_seen_;
  HealthyRequests healthy_requests_;
  std::vector<QuarantineChange> quarantine_changes_;
  size_t quarantined_count_ = 0;
  bool has_unreported_changes_ = false;
  bool connected_to_peers_ = true;
};

}  // namespace leverwick

#endif  // LEVERWICK_POISON_REQUESTS_H_
