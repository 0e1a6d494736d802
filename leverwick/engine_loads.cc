// The pace of a kind is the fast side of what was seen: an estimate falls at
// once to a faster answer's and rises slowly to slower ones, so that delays
// are not learned as normal.

#include "leverwick/engine_loads.h"

#include <algorithm>
#include <cmath>

#include "leverwick/digest.h"

namespace leverwick {
namespace {

// Parts sent within this are taken to be kept still: engines of the present
// sites read their whole memory's worth of tokens in 30 s and more.
constexpr std::chrono::seconds kKept{20};
// What other boxes are taken to have had read at the preferred endpoint, of
// parts that this box knows nothing of. Serves where some boxes don't tell.
constexpr double kReadByOthers = 0.5;
// Reading a token here delays the requests beside it as well.
constexpr double kHoldsUpOthers = 6;
// Delays below this are the engines' ordinary unevenness.
constexpr double kOrdinaryDelay = 0.3;  // seconds
// A delay that was seen counts half after this time.
constexpr double kDelayHalfLife = 1.0;  // seconds
// Weight of a new answer in an endpoint's delay.
constexpr double kDelayWeight = 0.5;
// What part of the way a kind's pace goes to a slower answer's, and to a faster
// one's.
constexpr double kPaceRise = 0.02;
constexpr double kPaceFall = 0.3;
// Answers whose prompts are at least this long tell the pace of reading.
constexpr double kLongPrompt = 1000;  // tokens
// An endpoint that failed is avoided like one that is so much later, fading.
constexpr double kFailureDelay = 3;  // seconds
// A delay that has faded to this no longer tells endpoints apart.
constexpr double kForgottenDelay = 0.01;  // seconds
// So many endpoints of a data centre failing, and none answering, is a cut
// rather than their own fault. While it is avoided, a request that finds no
// place elsewhere still goes there and shows whether it is over.
constexpr size_t kCutOffEndpoints = 3;
constexpr std::chrono::seconds kCutOffTime{2};
constexpr double kCutOffDelay = 1;  // seconds
// One request beside another slows both a little.
constexpr double kBeside = 0.002;  // seconds

uint64_t PartKey(const std::string& model, const std::string& part) {
  return StableHash(part, StableHash(model));
}

}  // namespace

double EngineLoads::UnreadTokens(const std::string& endpoint,
                                 const EngineWork& work, bool preferred,
                                 TimePoint now) const {
  if (work.prompt == nullptr) return 0;
  auto found = endpoints_.find(endpoint);
  auto is_kept = [&](const PromptPart& part) {
    if (found == endpoints_.end()) return false;
    auto sent = found->second.parts.find(PartKey(work.model, part.id));
    return sent != found->second.parts.end() && now - sent->second < kKept;
  };
  double unread = 0;
  bool kept = true;  // a part counts only if every part before it is kept
  for (size_t i = 0; i < work.prompt->size(); ++i) {
    const PromptPart& part = (*work.prompt)[i];
    kept = kept && is_kept(part);
    if (kept) continue;
    bool shared = i + 1 < work.prompt->size();
    double share = preferred && shared ? 1 - kReadByOthers : 1;
    unread += share * static_cast<double>(part.tokens);
  }
  return unread;
}

double EngineLoads::Delay(const Endpoint& endpoint, TimePoint now) {
  double age = ToSeconds(now - endpoint.delay_at);
  return endpoint.delay * std::exp2(-age / kDelayHalfLife);
}

const EngineLoads::Pace& EngineLoads::PaceOf(const std::string& kind) const {
  static const Pace unknown;
  auto found = paces_.find(kind);
  return found == paces_.end() ? unknown : found->second;
}

Seconds EngineLoads::ExpectedWait(const std::string& endpoint,
                                  const EngineWork& work, bool preferred,
                                  TimePoint now) const {
  const Pace& pace = PaceOf(work.kind);
  double unread = UnreadTokens(endpoint, work, preferred, now);
  double wait = pace.seconds + ReadingAt(endpoint).count() +
                kHoldsUpOthers * unread * pace.seconds_per_token;
  auto found = endpoints_.find(endpoint);
  if (found == endpoints_.end()) return Seconds(wait);
  double beside = kBeside * static_cast<double>(found->second.waiting.size());
  return Seconds(wait + beside) + DelayAt(endpoint, now);
}

Seconds EngineLoads::OwnBegin(const std::string& endpoint,
                              const EngineWork& work, TimePoint now) const {
  const Pace& pace = PaceOf(work.kind);
  double unread = UnreadTokens(endpoint, work, false, now);
  return Seconds(pace.seconds + unread * pace.seconds_per_token);
}

Seconds EngineLoads::DelayAt(const std::string& endpoint, TimePoint now) const {
  auto found = endpoints_.find(endpoint);
  if (found == endpoints_.end()) return Seconds(0);
  const Endpoint& known = found->second;
  double waited = 0;
  if (!known.waiting.empty()) {
    const Pending& oldest = pending_.at(known.waiting.begin()->first);
    waited = ToSeconds(now - oldest.sent) - oldest.expected;
  }
  double delay = std::max(Delay(known, now), waited);
  return Seconds(std::max(0.0, delay - kOrdinaryDelay));
}

Seconds EngineLoads::ReadingAt(const std::string& endpoint) const {
  auto found = endpoints_.find(endpoint);
  Seconds own(found == endpoints_.end() ? 0 : found->second.reading);
  return own + peer_prompts_.PendingPrefillAt(endpoint);
}

uint64_t EngineLoads::Sent(const std::string& endpoint, const EngineWork& work,
                           TimePoint now) {
  uint64_t ticket = ++last_ticket_;
  Pending pending;
  pending.endpoint = endpoint;
  pending.kind = work.kind;
  pending.unread = UnreadTokens(endpoint, work, false, now);
  pending.sent = now;
  const Pace& pace = PaceOf(work.kind);
  pending.reading = pending.unread * pace.seconds_per_token;
  pending.expected =
      pace.seconds + pending.reading + ReadingAt(endpoint).count();
  Endpoint& into = endpoints_[endpoint];
  into.waiting[ticket] = now;
  into.reading += pending.reading;
  pending_[ticket] = std::move(pending);
  if (work.prompt != nullptr) Keep(ticket, work, now);
  return ticket;
}

void EngineLoads::Keep(uint64_t ticket, const EngineWork& work, TimePoint now) {
  SentPrompt sent;
  sent.ticket = ticket;
  sent.endpoint = pending_.at(ticket).endpoint;
  sent.prefill_time = ReadingOf(ticket);
  auto& kept = endpoints_[sent.endpoint].parts;
  for (const PromptPart& part : *work.prompt) {
    uint64_t key = PartKey(work.model, part.id);
    kept[key] = now;
    sent.part_keys.push_back(key);
  }
  // No other box's prompt has the last part, which is the request's own.
  if (!sent.part_keys.empty()) sent.part_keys.pop_back();
  if (observer_ == nullptr) return;
  pending_.at(ticket).told = true;
  observer_->OnSent(sent);
}

void EngineLoads::PeerSent(const SentPrompt& prompt, TimePoint now) {
  peer_prompts_.RecordSend(prompt, now);
  if (prompt.part_keys.empty()) return;
  auto& kept = endpoints_[prompt.endpoint].parts;
  for (uint64_t part : prompt.part_keys) kept[part] = now;
}

Seconds EngineLoads::ReadingOf(uint64_t ticket) const {
  auto found = pending_.find(ticket);
  return Seconds(found == pending_.end() ? 0 : found->second.reading);
}

void EngineLoads::Learn(const Pending& pending, double took) {
  Pace& pace = paces_[pending.kind];
  auto move = [](double* value, double seen) {
    *value += (seen < *value ? kPaceFall : kPaceRise) * (seen - *value);
  };
  if (pending.unread < kLongPrompt) {
    move(&pace.seconds, took);
  } else {
    double reading = std::max(0.0, took - pace.seconds);
    move(&pace.seconds_per_token, reading / pending.unread);
  }
}

void EngineLoads::Began(uint64_t ticket, TimePoint now) {
  auto found = pending_.find(ticket);
  if (found == pending_.end()) return;
  const Pending& pending = found->second;
  double took = ToSeconds(now - pending.sent);
  Endpoint& endpoint = endpoints_[pending.endpoint];
  double late = std::max(0.0, took - pending.expected);
  endpoint.delay += kDelayWeight * (late - Delay(endpoint, now));
  endpoint.delay = std::max(0.0, endpoint.delay);
  endpoint.delay_at = now;
  Learn(pending, took);
  Ended(ticket);
}

void EngineLoads::Ended(uint64_t ticket) {
  auto found = pending_.find(ticket);
  if (found == pending_.end()) return;
  Endpoint& endpoint = endpoints_[found->second.endpoint];
  endpoint.reading = std::max(0.0, endpoint.reading - found->second.reading);
  bool told = found->second.told && observer_ != nullptr;
  if (told) observer_->OnRead(ticket);
  endpoint.waiting.erase(ticket);
  pending_.erase(found);
}

void EngineLoads::Failed(uint64_t ticket, const std::string& data_centre,
                         TimePoint now) {
  auto found = pending_.find(ticket);
  if (found == pending_.end()) return;
  Endpoint& endpoint = endpoints_[found->second.endpoint];
  endpoint.delay = std::max(Delay(endpoint, now), kFailureDelay);
  endpoint.delay_at = now;
  // What it had read may be gone with it.
  endpoint.parts.clear();
  Failures& failures = failures_[data_centre];
  failures.endpoints.insert(found->second.endpoint);
  failures.last = now;
  Ended(ticket);
}

void EngineLoads::Restarted(const std::string& endpoint) {
  auto found = endpoints_.find(endpoint);
  if (found == endpoints_.end()) return;
  found->second.parts.clear();
  found->second.delay = 0;
}

void EngineLoads::Reached(const std::string& data_centre) {
  failures_.erase(data_centre);
}

Seconds EngineLoads::CutOffWait(const std::string& data_centre,
                                TimePoint now) const {
  auto found = failures_.find(data_centre);
  bool cut_off = found != failures_.end() &&
                 found->second.endpoints.size() >= kCutOffEndpoints &&
                 now - found->second.last < kCutOffTime;
  return Seconds(cut_off ? kCutOffDelay : 0);
}

void EngineLoads::Expire(TimePoint now) {
  peer_prompts_.Expire(now);
  for (auto entry = endpoints_.begin(); entry != endpoints_.end();) {
    auto& parts = entry->second.parts;
    for (auto part = parts.begin(); part != parts.end();) {
      part = now - part->second > kKept ? parts.erase(part) : std::next(part);
    }
    bool idle = parts.empty() && entry->second.waiting.empty() &&
                Delay(entry->second, now) < kForgottenDelay;
    entry = idle ? endpoints_.erase(entry) : std::next(entry);
  }
}

}  // namespace leverwick
