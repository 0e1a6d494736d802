// Requests that end the endpoints that run them ("poison requests"), and when
// they may be sent.
//
// A strike is a run under which an endpoint ended. Most runs under an end are
// innocent, and engines run dozens at once. What sets the guilty request apart
// is that it is there each time, and that none of its runs has been answered by
// an endpoint that lived on. After three ends a request is held on all boxes
// that know of them: it is sent to no endpoint, but for a trial of one send now
// and then, so that one which was held by mistake, or whose endpoints have been
// mended, is let in again. What speaks for a request:
//
//   - an answer whose endpoint lives on takes back its strikes on that version;
//   - one that was answered well before is excused from three ends in a row;
//   - an endpoint that answers a later call has not ended; endpoints are named
//     by their lives, since one that starts again under its id may answer;
//   - ends at the same moment, as of a whole data centre, count as one.
//
// What boxes know is merged in any order and any number of times: strikes are
// only added, and taken back for good. Ages stand for times, since boxes have
// no clock in common.
//
//   PoisonRequests poison("box-a1");
//   poison.EndedUnder(runs, ended_at);       // strikes
//   poison.Survived(run, now);               // a sound answer
//   PoisonVerdict verdict = poison.Judge(digest, target, is_listed, now);
//   if (poison.TakeChanged()) Tell(poison.Notes(now));
//   poison.Merge(notes, written_at, false);  // what another box tells

#ifndef LEVERWICK_POISON_REQUESTS_H_
#define LEVERWICK_POISON_REQUESTS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "leverwick/recent_runs.h"
#include "leverwick/request_digest.h"
#include "leverwick/sound_requests.h"
#include "leverwick/time.h"
#include "schema/peer.pb.h"

namespace leverwick {

struct PoisonVerdict {
  enum class Kind {
    kSend,         // as any other
    kAvoidTarget,  // it ends endpoints of a roll-out's target only
    kTrial,        // to one endpoint, once; the caller tells TrialBegan
    kHold,         // to none
  };
  Kind kind = Kind::kSend;
  size_t ends = 0;                         // that count against it
  std::optional<milliseconds> next_trial;  // if held: when this box may try
};

// A request has come to be held, or is let in again.
struct PoisonNews {
  RequestDigest request;
  bool held = false;
  std::vector<std::string> endpoints;  // that have ended under it
};

// Not thread-safe.
class PoisonRequests {
 public:
  // Ends after which a request is held: the users' bound.
  static constexpr size_t kMostEnds = 3;
  // Requests that are remembered.
  static constexpr size_t kMostRequests = 1024;
  // Requests that a box tells others of; some 100 bytes each.
  static constexpr size_t kMostTold = 64;
  // How long after its last end or trial a request is remembered: longer than
  // the longest pause between trials, so that one which is still asked for is
  // not forgotten.
  static constexpr std::chrono::hours kRemembered{2};

  explicit PoisonRequests(std::string box) : box_(std::move(box)) {}

  // The endpoint of these runs ended at `ended_at` by itself.
  void EndedUnder(const std::vector<EndpointRun>& runs, TimePoint ended_at);
  // The run came whole and its endpoint has lived on.
  void Survived(const EndpointRun& run, TimePoint now);
  // The endpoint's entry is gone: whoever answers under this name later proves
  // nothing of the ends before.
  void Gone(const std::string& endpoint) { struck_.erase(endpoint); }
  // The endpoint has answered a call that was sent at `sent_at`.
  void Answered(const std::string& endpoint, TimePoint sent_at);

  // `target`: the version that a roll-out brings in; empty: none. `is_listed`:
  // whether endpoints of a version are listed.
  PoisonVerdict Judge(const RequestDigest& request, const std::string& target,
                      const std::function<bool(const std::string&)>& is_listed,
                      TimePoint now) const;
  void TrialBegan(const RequestDigest& request, TimePoint now);
  // Whether boxes hear of each other; a box out of touch tries nothing, since
  // others would not know and try, too.
  void SetInTouch(bool in_touch) { in_touch_ = in_touch; }

  // Whether others are to be told; asked once for each change.
  bool TakeChanged();
  // What this box has found. `wall` is its wall clock.
  PoisonNotes Notes(TimePoint now, WallTime wall) const;
  // What a box wrote at `written_at`; `own`: this box, perhaps in an earlier
  // life. Returns the ends that were news here, by endpoint.
  std::map<std::string, TimePoint> Merge(const PoisonNotes& notes,
                                         TimePoint written_at, bool own);

  // For log lines, once each.
  std::vector<PoisonNews> TakeNews();
  void Expire(TimePoint now);

  size_t size() const { return requests_.size(); }
  size_t held() const { return held_; }

 private:
  struct Strike {
    std::string endpoint;
    std::string version;
    TimePoint begin{};  // of the run
    TimePoint end{};    // of the endpoint
    bool own = false;   // seen by this box
  };
  struct Trial {
    TimePoint at{};
    bool own = false;
  };
  struct Life {
    TimePoint at{};    // when the endpoint is known to have been alive
    bool own = false;  // seen by this box
  };
  struct Request {
    std::vector<Strike> strikes;
    std::map<std::string, bool> refuted;  // by endpoint; true: by this box
    std::vector<Trial> trials;
    TimePoint last{};  // its newest strike or trial
    bool held = false;
  };

  // Whether the strike was news.
  bool Add(const RequestDigest& digest, const Strike& strike);
  // Takes back what this box knows of ends on that version by `now`.
  void Clear(Request* request, const std::string& version, TimePoint now);
  void Refute(Request* request, const std::string& endpoint, bool own);
  void AddTrial(Request* request, TimePoint at, bool own);
  // Takes back all strikes of the endpoint before that; whether one mattered.
  bool TakeBack(const std::string& endpoint, const Life& life);
  // Holds and lets in what the strikes now say.
  void Recount();
  void SetHeld(const RequestDigest& digest, Request* request, bool held);
  TimePoint TrialDue(const RequestDigest& digest, const Request& request,
                     bool versions_left) const;
  // Makes room when all places are taken.
  void Evict();
  void Forget(const RequestDigest& digest);
  void AddTo(PoisonNotes* notes, const RequestDigest& digest,
             const Request& request, TimePoint now) const;
  static bool IsOwn(const Request& request);
  // Ends that count against it: at one moment there is one.
  // Those of one version, if that is not empty, are left out.
  static size_t EndsOf(const Request& request,
                       const std::string& but_version = "");

  const std::string box_;
  std::map<RequestDigest, Request> requests_;
  // Endpoints that strikes name, and when they are last thought to have ended.
  std::map<std::string, TimePoint> struck_;
  std::map<std::string, Life> lives_;  // those that answered after that
  SoundRequests sound_;
  std::vector<PoisonNews> news_;
  size_t held_ = 0;
  bool changed_ = false;
  bool in_touch_ = true;
};

}  // namespace leverwick

#endif  // LEVERWICK_POISON_REQUESTS_H_
