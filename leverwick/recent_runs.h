// Which requests had begun at an endpoint shortly before it ended.
//
// A request that brings its endpoint down does so some time after its run has
// begun, even if the run was given up meanwhile or had ended well: in a
// recorded incident 45 to 110 ms after. So a run counts as under way at the
// endpoint for a second longer than it lasted. And a whole answer shows
// that a request does no harm only once its endpoint is seen alive some time
// after.
//
//   RecentRuns runs;
//   uint64_t run = runs.Began(request, endpoint, version, now);
//   runs.Ended(endpoint, run, RunEnd::kWhole, now);  // or Forget
//   if (!runs.AnyOpenSince(endpoint, broke_at)) {
//     for (const EndpointRun& under : runs.TakeUnder(endpoint, now)) ...
//   }
//   for (const EndpointRun& sound : runs.TakeSurvived(is_alive, now)) ...

#ifndef LEVERWICK_RECENT_RUNS_H_
#define LEVERWICK_RECENT_RUNS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "leverwick/request_digest.h"
#include "leverwick/time.h"

namespace leverwick {

enum class RunEnd {
  kWhole,    // its whole answer came
  kGivenUp,  // this box or its caller broke it off
  kBroken,   // the connection ended first
};

struct EndpointRun {
  RequestDigest request;
  std::string endpoint;
  std::string version;
  TimePoint begin{};
  std::optional<TimePoint> end;  // nothing: still under way
  RunEnd how = RunEnd::kBroken;  // if it has ended
};

// Not thread-safe.
class RecentRuns {
 public:
  // How long after the end of a run an endpoint's end may be due to it. Nine
  // times the longest that was recorded.
  static constexpr milliseconds kAftermath{1000};
  // How long after a whole answer its endpoint must be seen alive. Nearly three
  // times the longest that was recorded; longer, and a popular request that is
  // under way wherever endpoints end by chance is not proved sound in time.
  static constexpr milliseconds kLivesOn{300};

  // Returns the number by which the run is named from now on.
  uint64_t Began(const RequestDigest& request, const std::string& endpoint,
                 const std::string& version, TimePoint now);
  // It has not run there.
  void Forget(const std::string& endpoint, uint64_t run);
  void Ended(const std::string& endpoint, uint64_t run, RunEnd how,
             TimePoint now);

  // Whether the endpoint's end might be due to a run of this box.
  bool HasAny(const std::string& endpoint) const {
    return runs_.count(endpoint) > 0;
  }
  // Whether a run that had begun before `broke_at` is still under way: the
  // endpoint has not ended then.
  bool AnyOpenSince(const std::string& endpoint, TimePoint broke_at) const;

  // The runs that the endpoint's end at `ended_at` may be due to. They are
  // forgotten with the endpoint.
  std::vector<EndpointRun> TakeUnder(const std::string& endpoint,
                                     TimePoint ended_at);
  // Those among them that were given up: all that a refused connection, which
  // may be due to a cut, tells of.
  std::vector<EndpointRun> TakeGivenUp(const std::string& endpoint,
                                       TimePoint ended_at);

  // Runs that came whole and whose endpoints are seen alive since. That nothing
  // is heard of an end is not enough: the news may be on its way. Forgets what
  // has ended too long ago.
  std::vector<EndpointRun> TakeSurvived(
      const std::function<bool(const std::string& endpoint)>& is_alive,
      TimePoint now);

  size_t size() const;

 private:
  using Runs = std::map<uint64_t, EndpointRun>;  // by number, in order of begin

  // Runs that are kept of one endpoint at most, unless more are under way: its
  // 64 places and 134 in its queue, in the users' deployments, and some more.
  static constexpr size_t kMostEach = 256;

  std::map<std::string, Runs> runs_;  // by endpoint
  uint64_t next_ = 1;
};

}  // namespace leverwick

#endif  // LEVERWICK_RECENT_RUNS_H_
