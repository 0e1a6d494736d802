// The pace of a kind is the fast side of what was seen, less the hold-up of the
// moment. It falls at once to a faster stream's and rises so slowly that a
// burst is not learned as normal. A hold-up counts at its mean, not at its fast
// side: it is what the next stream is likely to meet.

#include "leverwick/escalation.h"

#include <algorithm>
#include <cmath>

namespace leverwick {
namespace {

// What part of the way a kind's pace goes to a faster stream's.
constexpr double kPaceFall = 0.3;
// A kind's pace may double in this time: many bursts long, and a pool that has
// become slower for good is known within some minutes.
constexpr double kPaceDoubling = 60;  // seconds
// Weight of a stream in what is known of answers' lengths: some dozen count.
constexpr double kLengthWeight = 0.05;
// Weight of a stream in the hold-up. A box of a large fleet ends two streams a
// second, so that a burst shows within one or two.
constexpr double kHoldUpWeight = 0.3;
// What is known of the hold-up counts half after this: a burst lasts some
// seconds, and without news it is over sooner rather than later.
constexpr double kHoldUpHalfLife = 2.0;  // seconds
// One stream at an endpoint that stands still says little of the others.
constexpr double kMostHoldUp = 1.0;  // seconds
// A weak answer in hand is given up only for one that is expected within this
// part of the time left: a stream takes more than twice as long as expected
// when a burst begins in it, and one that is cut costs its caller the answer
// and others the engine's time. Played on heavy days of 195 boxes (no processor
// time): 0.809 of what is owed served without a decision, 0.816, 0.830 and
// 0.865 with factors of 1, 1.5 and 2.5.
constexpr double kMargin = 2.5;
// Streams of fewer events say too little of the time between them.
constexpr size_t kLeastEvents = 3;

void Move(double* value, double seen, double weight) {
  *value += weight * (seen - *value);
}

std::string KeyOf(const StreamKind& kind) {
  return kind.route + "/" + kind.model;
}

}  // namespace

Seconds Escalation::HoldUp(TimePoint now) const {
  double age = ToSeconds(now - hold_up_at_);
  return Seconds(hold_up_ * std::exp2(-age / kHoldUpHalfLife));
}

void Escalation::Streamed(const ObservedStream& stream, TimePoint now) {
  LearnLength(stream);
  size_t least = stream.whole ? kLeastEvents : 1;
  if (stream.events < least) return;
  // The cut of a stream stands for the event that did not come any more.
  size_t pauses = stream.whole ? stream.events - 1 : stream.events;
  double seen = stream.span.count() / static_cast<double>(pauses);
  Pace& pace = paces_[KeyOf(stream.kind)];
  double before = HoldUp(now).count();
  // A cut one shows that events come slowly, never that they come fast.
  if (!stream.whole && seen <= pace.seconds + before) return;
  LearnPace(&pace, std::max(0.0, seen - before), now);
  double held = std::clamp(seen - pace.seconds, 0.0, kMostHoldUp);
  hold_up_ = before + kHoldUpWeight * (held - before);
  hold_up_at_ = now;
}

void Escalation::LearnPace(Pace* pace, double seen, TimePoint now) {
  double age = ToSeconds(now - pace->at);
  pace->at = now;
  if (pace->seconds == 0) {
    pace->seconds = seen;
  } else if (seen < pace->seconds) {
    Move(&pace->seconds, seen, kPaceFall);
  } else {
    pace->seconds =
        std::min(seen, pace->seconds * std::exp2(age / kPaceDoubling));
  }
}

void Escalation::LearnLength(const ObservedStream& stream) {
  if (!stream.whole) return;
  Length& length = lengths_[stream.kind.route];
  auto events = static_cast<double>(stream.events);
  if (length.events == 0) length.events = events;
  Move(&length.events, events, kLengthWeight);
  if (stream.kind.tokens <= 0) return;
  double per_token = events / static_cast<double>(stream.kind.tokens);
  if (length.events_per_token == 0) length.events_per_token = per_token;
  Move(&length.events_per_token, per_token, kLengthWeight);
}

Seconds Escalation::ExpectedSpan(const StreamKind& kind, TimePoint now) const {
  auto length = lengths_.find(kind.route);
  if (length == lengths_.end()) return Seconds(0);
  double events = length->second.events;
  double per_token = length->second.events_per_token;
  bool told = kind.tokens > 0 && per_token > 0;
  if (told) events = per_token * static_cast<double>(kind.tokens);
  auto pace = paces_.find(KeyOf(kind));
  double own = pace == paces_.end() ? 0 : pace->second.seconds;
  return std::max(0.0, events - 1) * (Seconds(own) + HoldUp(now));
}

bool Escalation::Fits(const StreamKind& kind, Seconds begins_in, Seconds left,
                      TimePoint now) const {
  return kMargin * (begins_in + ExpectedSpan(kind, now)) <= left;
}

}  // namespace leverwick
