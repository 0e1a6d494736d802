// The interval of a kind is estimated from its fast streams, less the current
// contention delay. It decreases quickly towards the interval of a faster
// stream, and increases so slowly that a burst of load is not taken as normal.
// The contention delay, in contrast, is a mean over all streams, since it is
// the delay that the next stream will probably have.

#include "leverwick/escalation_policy.h"

#include <algorithm>
#include <cmath>

namespace leverwick {
namespace {

// Weight of a faster stream in the moving average of a kind's interval.
constexpr double kIntervalDecreaseWeight = 0.3;
// The time in which a kind's interval may double. This is much longer than a
// burst, but a pool that has become slower for good is recognised within
// minutes.
constexpr double kIntervalDoublingSeconds = 60;
// Weight of a stream in the mean length of responses, which thus covers the
// last few dozen streams.
constexpr double kLengthWeight = 0.05;
// Weight of a stream in the contention delay. A box of a large fleet completes
// two streams per second, so a burst shows within one or two seconds.
constexpr double kContentionWeight = 0.3;
// Half-life of the contention delay. A burst lasts some seconds; without new
// observations it has probably ended.
constexpr double kContentionHalfLifeSeconds = 2.0;
// Limits the effect of one stream at a stalled endpoint, which says little
// about the other endpoints.
constexpr double kMaxContentionDelaySeconds = 1.0;
// Safety margins on the estimates. A weak response that has been received is
// discarded only if the larger model has more time than expected. The request's
// own prompt and events vary little, but the contention may become several
// times as long when a burst begins. In simulations, margins of 1 and 3 served
// fewer requests under heavy load, and a single margin of 2.5 on the sum served
// fewer under light load.
constexpr double kBaseTimeMargin = 1.25;
constexpr double kContentionMargin = 4;
// Streams with fewer events give no usable interval.
constexpr size_t kMinEvents = 3;

void UpdateAverage(double* value, double observed, double weight) {
  *value += weight * (observed - *value);
}

std::string ModelKey(const StreamKind& kind) {
  return kind.route + "/" + kind.model;
}

}  // namespace

Seconds EscalationPolicy::ContentionDelay(TimePoint now) const {
  double age = ToSeconds(now - contention_updated_at_);
  return Seconds(contention_delay_s_ *
                 std::exp2(-age / kContentionHalfLifeSeconds));
}

void EscalationPolicy::RecordStream(const ObservedStream& stream,
                                    TimePoint now) {
  UpdateLength(stream);
  size_t min_events = stream.is_complete ? kMinEvents : 1;
  if (stream.events < min_events) return;
  // The cut-off stands for the next event, which did not arrive before it.
  size_t intervals = stream.is_complete ? stream.events - 1 : stream.events;
  double observed = stream.duration.count() / static_cast<double>(intervals) /
                    stream.slowness;
  EventInterval& interval = event_intervals_[ModelKey(stream.kind)];
  double previous = ContentionDelay(now).count();
  // A stream that was cut off can show that events are slow, but never that
  // they are fast.
  if (!stream.is_complete && observed <= interval.seconds + previous) return;
  UpdateInterval(&interval, std::max(0.0, observed - previous), now);
  double delay =
      std::clamp(observed - interval.seconds, 0.0, kMaxContentionDelaySeconds);
  contention_delay_s_ = previous + kContentionWeight * (delay - previous);
  contention_updated_at_ = now;
}

void EscalationPolicy::UpdateInterval(EventInterval* interval, double observed,
                                      TimePoint now) {
  double age = ToSeconds(now - interval->updated_at);
  interval->updated_at = now;
  if (interval->seconds == 0) {
    interval->seconds = observed;
  } else if (observed < interval->seconds) {
    UpdateAverage(&interval->seconds, observed, kIntervalDecreaseWeight);
  } else {
    interval->seconds =
        std::min(observed,
                 interval->seconds * std::exp2(age / kIntervalDoublingSeconds));
  }
}

void EscalationPolicy::UpdateLength(const ObservedStream& stream) {
  if (!stream.is_complete) return;
  ResponseLength& length = lengths_[stream.kind.route];
  auto events = static_cast<double>(stream.events);
  if (length.events == 0) length.events = events;
  UpdateAverage(&length.events, events, kLengthWeight);
  if (stream.kind.max_tokens <= 0) return;
  double per_token = events / static_cast<double>(stream.kind.max_tokens);
  if (length.events_per_token == 0) length.events_per_token = per_token;
  UpdateAverage(&length.events_per_token, per_token, kLengthWeight);
}

TimeEstimate EscalationPolicy::EstimateDuration(const StreamKind& kind,
                                                TimePoint now) const {
  auto length = lengths_.find(kind.route);
  if (length == lengths_.end()) return {};
  double events = length->second.events;
  double per_token = length->second.events_per_token;
  bool has_token_limit = kind.max_tokens > 0 && per_token > 0;
  if (has_token_limit)
    events = per_token * static_cast<double>(kind.max_tokens);
  auto interval = event_intervals_.find(ModelKey(kind));
  double base =
      interval == event_intervals_.end() ? 0 : interval->second.seconds;
  double intervals = std::max(0.0, events - 1);
  return {Seconds(intervals * base), intervals * ContentionDelay(now)};
}

bool EscalationPolicy::FitsDeadline(const StreamKind& kind,
                                    const TimeEstimate& time_to_first_event,
                                    double slowness, Seconds time_left,
                                    TimePoint now) const {
  TimeEstimate duration = EstimateDuration(kind, now);
  Seconds base = time_to_first_event.base + slowness * duration.base;
  Seconds contention =
      time_to_first_event.contention + slowness * duration.contention;
  return kBaseTimeMargin * base + kContentionMargin * contention <= time_left;
}

}  // namespace leverwick
