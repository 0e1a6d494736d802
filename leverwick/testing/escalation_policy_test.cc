#include "leverwick/escalation_policy.h"

#include <doctest/doctest.h>

#include <random>
#include <vector>

namespace leverwick {
namespace {

using std::chrono::seconds;

const TimePoint kStart = TimePoint() + std::chrono::hours(1);

ObservedStream Stream(const char* model, size_t events, double seconds,
                      bool whole = true) {
  return {{"chat", model, 0}, events, Seconds(seconds), whole};
}

// Fifty streams of ten pauses of a tenth of a second.
void LearnCalm(EscalationPolicy* escalation) {
  for (int i = 0; i < 50; ++i) {
    escalation->RecordStream(Stream("large", 11, 1.0), kStart);
  }
}

const StreamKind kLarge{"chat", "large", 0};

Seconds SpanOf(const EscalationPolicy& escalation, const StreamKind& kind,
               TimePoint now) {
  TimeEstimate estimate = escalation.EstimateDuration(kind, now);
  return estimate.base + estimate.contention;
}

// An answer that begins after a second of reading its own prompt.
bool FitsIn(const EscalationPolicy& escalation, double left) {
  return escalation.FitsDeadline(kLarge, {Seconds(1), Seconds(0)},
                                 Seconds(left), kStart);
}

TEST_CASE("what is not known fits; what is known takes its events' time") {
  EscalationPolicy escalation;
  CHECK(FitsIn(escalation, 1.3));
  LearnCalm(&escalation);
  CHECK(SpanOf(escalation, kLarge, kStart).count() ==
        doctest::Approx(1.0).epsilon(0.05));
  CHECK(FitsIn(escalation, 2.7));
  CHECK_FALSE(FitsIn(escalation, 1.9));
}

TEST_CASE("an answer's allowed tokens tell its length") {
  EscalationPolicy escalation;
  ObservedStream stream = Stream("large", 11, 1.0);
  stream.kind.max_tokens = 50;
  for (int i = 0; i < 50; ++i) escalation.RecordStream(stream, kStart);
  StreamKind longer{"chat", "large", 100};
  double of_fifty = SpanOf(escalation, stream.kind, kStart).count();
  double of_hundred = SpanOf(escalation, longer, kStart).count();
  CHECK(of_hundred > 1.9 * of_fifty);
  CHECK(of_hundred < 2.3 * of_fifty);
}

TEST_CASE("what holds up one kind's streams holds up all; it fades") {
  EscalationPolicy escalation;
  LearnCalm(&escalation);
  for (int i = 0; i < 50; ++i) {
    escalation.RecordStream(Stream("small", 11, 0.1), kStart);
  }
  TimePoint now = kStart + seconds(10);
  // Each event comes 0.3 s later than before.
  for (int i = 0; i < 8; ++i) {
    escalation.RecordStream(Stream("small", 11, 3.1), now);
  }
  CHECK(escalation.ContentionDelay(now).count() > 0.25);
  CHECK(SpanOf(escalation, kLarge, now).count() > 3.5);
  CHECK(SpanOf(escalation, kLarge, now).count() < 4.5);
  TimePoint later = now + seconds(10);
  CHECK(SpanOf(escalation, kLarge, later).count() < 1.3);
}

TEST_CASE("a model that was never asked is expected to be held up as well") {
  EscalationPolicy escalation;
  escalation.RecordStream(Stream("small", 11, 0.1), kStart);
  for (int i = 0; i < 8; ++i) {
    escalation.RecordStream(Stream("small", 11, 5.1), kStart);
  }
  CHECK_FALSE(escalation.FitsDeadline(kLarge, {}, Seconds(3), kStart));
}

TEST_CASE("a cut stream shows slowness and never speed") {
  EscalationPolicy escalation;
  LearnCalm(&escalation);
  // A caller left right after the first event.
  escalation.RecordStream(Stream("large", 1, 0.01, false), kStart);
  CHECK(escalation.ContentionDelay(kStart).count() ==
        doctest::Approx(0).epsilon(0.01));
  CHECK(SpanOf(escalation, kLarge, kStart).count() < 1.1);
  escalation.RecordStream(Stream("large", 1, 4, false), kStart);
  CHECK(escalation.ContentionDelay(kStart).count() > 0.25);
}

// One engine under load. It reads prompts one after the other; while it reads,
// its streams come at a tenth of their pace. Every request asks the small model
// first; every third answer is weak, and then the large model reads the prompt
// and answers, if it is asked. Callers leave after six seconds.
class Engine {
 public:
  struct Served {
    int whole = 0;  // by either model
    int large = 0;
    int cut = 0;
  };

  Engine(double per_second, bool decides)
      : decides_(decides), arrives_(per_second * kStep) {}

  Served Play(double seconds) {
    for (double t = 0; t < seconds; t += kStep) {
      now_ = t;
      if (arrives_(random_)) Ask(false, t, weak_(random_));
      Read();
      Stream();
    }
    return served_;
  }

 private:
  struct Answer {
    bool large = false;
    bool weak = false;
    double asked = 0;     // by its caller
    double unread = 0;    // seconds
    double events = 0;    // that have come
    double began_at = 0;  // with its first event
  };

  static constexpr double kStep = 0.005;
  static constexpr double kPatience = 6;
  static constexpr size_t kEvents = 10;
  static constexpr double kHeldUp = 0.1;

  static double ReadingOf(bool large) { return large ? 0.5 : 0.05; }
  static double PaceOf(bool large) { return large ? 0.06 : 0.006; }

  void Ask(bool large, double asked, bool weak) {
    reading_.push_back({large, weak, asked, ReadingOf(large), 0, 0});
  }

  void Read() {
    held_up_ = !reading_.empty();
    if (!held_up_) return;
    reading_.front().unread -= kStep;
    if (reading_.front().unread > 0) return;
    Answer answer = reading_.front();
    reading_.erase(reading_.begin());
    answer.began_at = now_;
    bool replaced = answer.weak && !answer.large && MayAskLarge(answer);
    if (replaced) return Ask(true, answer.asked, true);
    streams_.push_back(answer);
  }

  bool MayAskLarge(const Answer& answer) const {
    if (!decides_) return true;
    double waits = 0;
    for (const Answer& waiting : reading_) waits += waiting.unread;
    Seconds left(answer.asked + kPatience - now_);
    return escalation_.FitsDeadline(
        kLarge, {Seconds(ReadingOf(true)), Seconds(waits)}, left, Now());
  }

  void Stream() {
    std::vector<Answer> still;
    for (Answer& answer : streams_) {
      double speed = held_up_ ? kHeldUp : 1;
      answer.events += speed * kStep / PaceOf(answer.large);
      if (!Ends(answer)) still.push_back(answer);
    }
    streams_ = std::move(still);
    // Callers whose prompt has not been read in time leave as well.
    for (size_t i = 0; i < reading_.size();) {
      bool left = now_ > reading_[i].asked + kPatience;
      served_.cut += left;
      if (left) reading_.erase(reading_.begin() + static_cast<long>(i));
      if (!left) ++i;
    }
  }

  bool Ends(const Answer& answer) {
    bool whole = answer.events >= kEvents;
    bool cut = !whole && now_ > answer.asked + kPatience;
    if (!whole && !cut) return false;
    auto events = static_cast<size_t>(answer.events);
    escalation_.RecordStream(Stream(answer.large ? "large" : "small", events,
                                    now_ - answer.began_at, whole),
                             Now());
    served_.whole += whole;
    served_.large += whole && answer.large;
    served_.cut += cut;
    return true;
  }

  static ObservedStream Stream(const char* model, size_t events, double span,
                               bool whole) {
    return {{"chat", model, 0}, events, Seconds(span), whole};
  }

  TimePoint Now() const { return kStart + FromSeconds(now_); }

  const bool decides_;
  std::mt19937 random_{7};
  std::bernoulli_distribution arrives_;
  std::bernoulli_distribution weak_{0.33};
  EscalationPolicy escalation_;
  std::vector<Answer> reading_;
  std::vector<Answer> streams_;
  bool held_up_ = false;
  double now_ = 0;
  Served served_;
};

TEST_CASE("callers of a full pool get whole answers in place of cut ones") {
  // Room for some 4.6 requests a second; 8 come.
  Engine::Served always = Engine(8, false).Play(60);
  Engine::Served decided = Engine(8, true).Play(60);
  CHECK(decided.cut < always.cut / 4);
  CHECK(decided.whole > always.whole * 1.4);
  // Below its limit next to nothing changes.
  Engine::Served calm_always = Engine(2, false).Play(60);
  Engine::Served calm = Engine(2, true).Play(60);
  CHECK(calm.cut == 0);
  CHECK(calm.large >= calm_always.large * 0.9);
}

}  // namespace
}  // namespace leverwick
