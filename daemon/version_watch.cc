// Events of a loaded baseline come several times as slowly as an idle target's:
// its middle hides an engine that is twice as slow, its fastest tenth does not.

#include "daemon/version_watch.h"

#include "leverwick/digest.h"
#include "net/log.h"

namespace leverwick {
namespace {

namespace accumulators = boost::accumulators;

const Log kLog("rollout");

// A target is bad if this many more of its answers fail. A service with little
// traffic gives a box few answers to compare with, so these are padded.
constexpr double kMoreErrors = 0.3;
constexpr double kPriorAnswers = 10;
constexpr double kPriorErrors = 0.1;
const RegressionLimits kErrorsOnly{kMoreErrors, 1.0, 0, kPriorAnswers,
                                   kPriorErrors};
// A sound version's streams break off too, and several at once: where an engine
// crashes or is cut off. So a tenth is taken to, those of one endpoint within a
// second count once, and seven in a row are needed, not four.
constexpr double kUsualBreaks = 0.1;
const RegressionLimits kBreaks{kMoreErrors,   1.0,          0,
                               kPriorAnswers, kPriorErrors, kUsualBreaks};
constexpr milliseconds kOneBreak{1000};
// Some lives of each endpoint of a large fleet; all are forgotten beyond.
constexpr size_t kMostEndpoints = 1000;
// A pace this many times the baseline's fastest tenth is slow, and an answer
// that begins after this many times the baseline's slowest tenth. How often
// sound and slow versions are beyond them: leverwick/regression_detector.cc.
// With 2.5 for the pace, 8 to 23 in 100 paces of engines twice as slow were.
constexpr double kSlowPace = 1.75;
constexpr double kFastest = 0.1;
constexpr double kSlowBegin = 1.5;
constexpr double kSlowest = 0.9;
// Fewer baseline answers than this say too little of their fastest tenth, and
// of their slowest: with 12 of them sound versions were stopped for late
// begins.
constexpr size_t kLeastPaces = 12;
constexpr size_t kLeastBegins = 30;
// Streams of fewer events say too little of the time between them.
constexpr size_t kLeastEvents = 3;

uint32_t KindOf(const WatchedTry& tried) {
  return static_cast<uint32_t>(StableHash(tried.route + "/" + tried.model));
}

std::string VersionKeyOf(const std::string& service,
                         const std::string& version) {
  return service + "@" + version;
}

std::string SubjectOf(const WatchedTry& tried) {
  return RegressionSubject(tried.service, tried.version);
}

const char* NameOf(TimingMetric measure) {
  return measure == TimingMetric::kInterEventTime ? "pace" : "begin";
}

}  // namespace

bool VersionWatch::IsWatchedTarget(const WatchedTry& tried) const {
  return rollouts_->IsMonitored(tried.service) &&
         rollouts_->TargetFor(tried.service) == tried.version;
}

VersionStats VersionWatch::Baseline(const WatchedTry& tried) const {
  VersionStats most;
  for (const std::string& version : directory_->VersionsOf(tried.service)) {
    bool is_baseline = version != tried.version &&
                       !rollouts_->IsUnhealthy(tried.service, version);
    if (!is_baseline) continue;
    VersionStats view = estimates_->StatsFor(
        VersionKeyOf(tried.service, version), KindOf(tried));
    if (view.answers >= most.answers) most = view;
  }
  return most;
}

VersionWatch::Quantile& VersionWatch::PacesOf(const WatchedTry& tried) {
  return paces_
      .try_emplace(tried.service + "/" + tried.model,
                   accumulators::quantile_probability = kFastest)
      .first->second;
}

VersionWatch::Quantile& VersionWatch::BeginsOf(const WatchedTry& tried) {
  return begins_
      .try_emplace(tried.service + "/" + tried.route + "/" + tried.model,
                   accumulators::quantile_probability = kSlowest)
      .first->second;
}

void VersionWatch::Answered(const WatchedTry& tried, bool failed,
                            Seconds time) {
  Observation observation;
  observation.error = failed;
  observation.latency = time;
  estimates_->RecordResponse(VersionKeyOf(tried.service, tried.version),
                             KindOf(tried), observation);
  if (rollouts_->IsUnhealthy(tried.service, tried.version)) return;
  if (!IsWatchedTarget(tried)) {
    if (!failed) BeginsOf(tried)(time.count());
    return CountBaseline(tried.service);
  }
  TargetAnswers& seen = seen_[SubjectOf(tried)];
  ++seen.answered;
  if (failed) ++seen.failed;
  guard_->RecordResponse(SubjectOf(tried), kErrorsOnly, Baseline(tried),
                         observation);
  if (!failed) TimeBegin(tried, time, true);
  CheckTrip(tried);
}

void VersionWatch::TimeBegin(const WatchedTry& tried, Seconds time,
                             bool ended) {
  Quantile& begins = BeginsOf(tried);
  if (accumulators::count(begins) < kLeastBegins) return;
  Seconds bound(kSlowBegin * accumulators::p_square_quantile(begins));
  // One that has not begun within the bound is slow; sooner it says nothing.
  if (ended || time > bound)
    Timed(tried, TimingMetric::kTimeToFirstByte, time, bound);
}

void VersionWatch::CountBaseline(const std::string& service) {
  if (!rollouts_->IsLatencyComparable(service) ||
      !rollouts_->IsTargetInUse(service, Clock::now())) {
    return;
  }
  baseline_answers_[RegressionSubject(service,
                                      rollouts_->TargetFor(service))] += 1;
}

double VersionWatch::TimedByEach(const std::string& service) const {
  auto counted = baseline_answers_.find(
      RegressionSubject(service, rollouts_->TargetFor(service)));
  if (counted == baseline_answers_.end()) return 0;
  double share = rollouts_->target_share();
  return counted->second * share / (1 - share);
}

void VersionWatch::Streamed(const WatchedTry& tried, size_t events,
                            Seconds time) {
  if (events < kLeastEvents) return;
  TimePace(tried, time / static_cast<double>(events - 1));
}

void VersionWatch::CutShort(const WatchedTry& tried, size_t events,
                            Seconds time) {
  if (events < kLeastEvents) return;
  // The next event was under way for a part of the time.
  TimePace(tried, time / static_cast<double>(events));
}

void VersionWatch::TimePace(const WatchedTry& tried, Seconds pace) {
  if (rollouts_->IsUnhealthy(tried.service, tried.version)) return;
  Quantile& paces = PacesOf(tried);
  if (!IsWatchedTarget(tried)) return paces(pace.count());
  if (accumulators::count(paces) < kLeastPaces) return;
  Seconds bound(kSlowPace * accumulators::p_square_quantile(paces));
  Timed(tried, TimingMetric::kInterEventTime, pace, bound);
  CheckTrip(tried);
}

void VersionWatch::GaveUp(const WatchedTry& tried, Seconds time) {
  if (!IsWatchedTarget(tried)) return;
  // A caller that left early says nothing; only a long wait does.
  TimeBegin(tried, time, false);
  CheckTrip(tried);
}

void VersionWatch::StreamEnded(const WatchedTry& tried) {
  if (rollouts_->IsUnhealthy(tried.service, tried.version)) return;
  VersionStats& ends = EndsOf(tried.service);
  if (IsWatchedTarget(tried)) {
    return guard_->RecordStreamEnd(SubjectOf(tried), kBreaks, ends, false);
  }
  ends.answers += 1;
}

void VersionWatch::StreamBroke(const WatchedTry& tried, TimePoint now) {
  if (rollouts_->IsUnhealthy(tried.service, tried.version)) return;
  bool is_watched = IsWatchedTarget(tried);
  if (is_watched) ++seen_[SubjectOf(tried)].broken;
  if (broke_at_.size() > kMostEndpoints) broke_at_.clear();
  TimePoint& last = broke_at_[tried.endpoint];
  bool is_same = last != TimePoint{} && now - last < kOneBreak;
  if (is_same) return;
  last = now;
  VersionStats& ends = EndsOf(tried.service);
  if (!is_watched) {
    ends.answers += 1;
    ends.errors += 1;
    return;
  }
  guard_->RecordStreamEnd(SubjectOf(tried), kBreaks, ends, true);
  CheckTrip(tried);
}

const TargetAnswers& VersionWatch::SeenOf(const std::string& service) const {
  static const TargetAnswers kNone;
  auto found =
      seen_.find(RegressionSubject(service, rollouts_->TargetFor(service)));
  return found == seen_.end() ? kNone : found->second;
}

void VersionWatch::Timed(const WatchedTry& tried, TimingMetric measure,
                         Seconds time, Seconds bound) {
  if (!rollouts_->IsLatencyComparable(tried.service)) return;
  bool slow = time > bound;
  TargetAnswers& seen = seen_[SubjectOf(tried)];
  ++seen.timed;
  if (slow) ++seen.slow;
  guard_->RecordTiming(SubjectOf(tried), slow, measure);
  if (!slow) return;
  kLog.Info("An answer of a new version is slow.",
            {{"service", tried.service},
             {"version", tried.version},
             {"route", tried.route},
             {"model", tried.model},
             {"measure", NameOf(measure)},
             {"seconds", std::to_string(time.count())},
             {"bound", std::to_string(bound.count())}});
}

void VersionWatch::CheckTrip(const WatchedTry& tried) {
  std::string why;
  if (!guard_->IsTripped(SubjectOf(tried), &why)) return;
  kLog.Warning(
      "A new version is bad by this box's answers.",
      {{"service", tried.service}, {"version", tried.version}, {"why", why}});
  rollouts_->Trip(tried.service, why);
}

}  // namespace leverwick
