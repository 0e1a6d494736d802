// Holds a new version's answers against those of the version before it.
//
// Failures are compared as shares, and so are streams that break off. Times
// can't be compared as they are: while a roll-out is watched, the target bears
// a small part of the load, so a slow target may still answer sooner than a
// loaded baseline. Its pace is therefore held against the fastest tenth of the
// baseline's streams, which shows what the engines can do; and the time until
// an answer begins against the slowest tenth of the baseline's, which it should
// rarely reach. A trip stops the roll-out on this box at once; what still comes
// from a version that was found bad counts for neither side.
//
//   VersionWatch watch(&estimates, &guard, &rollouts, &directory);
//   watch.Answered(tried, failed, time_to_first_byte);
//   watch.Streamed(tried, events, time);
//   watch.CutShort(tried, events, time);
//   watch.StreamEnded(tried); ... watch.StreamBroke(tried, now);
//   watch.GaveUp(tried, time);

#ifndef DAEMON_VERSION_WATCH_H_
#define DAEMON_VERSION_WATCH_H_

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <cstdint>
#include <map>
#include <string>

#include "daemon/endpoint_directory.h"
#include "leverwick/regression_detector.h"
#include "leverwick/service_rollouts.h"
#include "leverwick/version_estimates.h"

namespace leverwick {

// What a try was, as far as its outcome is compared with others.
struct WatchedTry {
  std::string service;
  std::string version;
  std::string route;
  std::string model;  // empty: not a request to a model
  std::string endpoint;
};

// Counts of a target's answers at one box, for logs and metrics.
struct TargetAnswers {
  uint64_t answered = 0;  // heads that came, failures among them
  uint64_t failed = 0;    // by their status
  uint64_t broken = 0;    // ended before they were whole
  uint64_t timed = 0;     // times that were held against a bound
  uint64_t slow = 0;      // of those, beyond it
};

// Not thread-safe.
class VersionWatch {
 public:
  VersionWatch(VersionEstimates* estimates, RegressionDetector* guard,
               ServiceRollouts* rollouts, const EndpointDirectory* directory)
      : estimates_(estimates),
        guard_(guard),
        rollouts_(rollouts),
        directory_(directory) {}

  // The endpoint answered; `time` is that until its answer began.
  void Answered(const WatchedTry& tried, bool failed, Seconds time);
  // A stream of so many events ended whole, `time` after its first one.
  void Streamed(const WatchedTry& tried, size_t events, Seconds time);
  // A stream was given up so long after its first event, when so many had come.
  // Without it only the quick streams of a slow version would be timed.
  void CutShort(const WatchedTry& tried, size_t events, Seconds time);
  // The request was given up when its answer had not begun for so long.
  void GaveUp(const WatchedTry& tried, Seconds time);

  // A stream came whole.
  void StreamEnded(const WatchedTry& tried);
  // The endpoint closed or reset the connection, or sent bytes that are no
  // answer, in the middle of a stream. Answers that come at once are not
  // counted beside streams: they hardly break, and would hide those that do.
  void StreamBroke(const WatchedTry& tried, TimePoint now);

  // What this box has seen of the target of a service's roll-out.
  const TargetAnswers& SeenOf(const std::string& service) const;

  // How many of the target's answers each box has timed by now, on average, by
  // what this box has timed of the version before it.
  double TimedByEach(const std::string& service) const;

 private:
  // An estimate of one quantile of times, in seconds.
  using Quantile = boost::accumulators::accumulator_set<
      double,
      boost::accumulators::stats<boost::accumulators::tag::count,
                                 boost::accumulators::tag::p_square_quantile>>;

  bool IsWatchedTarget(const WatchedTry& tried) const;
  void CountBaseline(const std::string& service);
  VersionStats Baseline(const WatchedTry& tried) const;
  Quantile& PacesOf(const WatchedTry& tried);
  Quantile& BeginsOf(const WatchedTry& tried);
  // The target's pace, or the baseline's.
  void TimePace(const WatchedTry& tried, Seconds pace);
  // The target's time until an answer began; `ended`: it has begun.
  void TimeBegin(const WatchedTry& tried, Seconds time, bool ended);
  // How streams of a service's other versions have ended.
  VersionStats& EndsOf(const std::string& service) { return ends_[service]; }
  // A time of the target's that is slow beyond `bound`, or not.
  void Timed(const WatchedTry& tried, TimingMetric measure, Seconds time,
             Seconds bound);
  void CheckTrip(const WatchedTry& tried);

  VersionEstimates* const estimates_;
  RegressionDetector* const guard_;
  ServiceRollouts* const rollouts_;
  const EndpointDirectory* const directory_;
  std::map<std::string, Quantile> paces_;   // fastest tenth, "service/model"
  std::map<std::string, Quantile> begins_;  // slowest tenth, with the route
  // Answers of the version before it since the target is used, by subject.
  std::map<std::string, double> baseline_answers_;
  std::map<std::string, TargetAnswers> seen_;  // by subject
  // By service: those that broke off as errors.
  std::map<std::string, VersionStats> ends_;
  std::map<std::string, TimePoint> broke_at_;  // by endpoint
};

}  // namespace leverwick

#endif  // DAEMON_VERSION_WATCH_H_
