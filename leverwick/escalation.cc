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
// A weak answer in hand is given up only if there is room for more than what is
// expected: the request's own reading and events vary little, what others hold
// up may be several times as much once a burst begins. Played on 195 boxes (one
// seed, no processor time), of what is owed: on a heavy day 0.807 served
// without a decision, 0.857 with these, 0.844 with 1 and 3; on a calm one
// 0.967, 0.963 and 0.964. 2.5 on the whole served 0.866 and 0.960.
constexpr double kOwnMargin = 1.25;
constexpr double kHeldUpMargin = 4;
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

ExpectedTime Escalation::ExpectedSpan(const StreamKind& kind,
                                      TimePoint now) const {
  auto length = lengths_.find(kind.route);
  if (length == lengths_.end()) return {};
  double events = length->second.events;
  double per_token = length->second.events_per_token;
  bool told = kind.tokens > 0 && per_token > 0;
  if (told) events = per_token * static_cast<double>(kind.tokens);
  auto pace = paces_.find(KeyOf(kind));
  double own = pace == paces_.end() ? 0 : pace->second.seconds;
  double pauses = std::max(0.0, events - 1);
  return {Seconds(pauses * own), pauses * HoldUp(now)};
}

bool Escalation::Fits(const StreamKind& kind, const ExpectedTime& begins_in,
                      Seconds left, TimePoint now) const {
  ExpectedTime span = ExpectedSpan(kind, now);
  Seconds own = begins_in.own + span.own;
  Seconds held_up = begins_in.held_up + span.held_up;
  return kOwnMargin * own + kHeldUpMargin * held_up <= left;
}

}  // namespace leverwick
