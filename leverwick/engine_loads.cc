// The model of a kind is the fast side of what was seen: an estimate falls at
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
constexpr std::chrono::seconds kCacheRetention{20};
// What other boxes are taken to have had read at the preferred endpoint, of
// parts that this box knows nothing of. Serves where some boxes don't tell.
constexpr double kAssumedPeerCachedShare = 0.5;
// Reading a token here delays the requests beside it as well.
constexpr double kPrefillInterference = 6;
// Delays below this are the engines' ordinary unevenness.
constexpr double kDelayTolerance = 0.3;  // seconds
// A delay that was seen counts half after this time.
constexpr double kDelayHalfLife = 1.0;  // seconds
// Weight of a new answer in an endpoint's delay.
constexpr double kDelaySmoothing = 0.5;
// What part of the way a kind's model goes to a slower answer's, and to a
// faster one's.
constexpr double kLatencyRiseRate = 0.02;
constexpr double kLatencyFallRate = 0.3;
// Answers whose prompts are at least this long tell the model of reading.
constexpr double kLongPromptTokens = 1000;  // tokens
// An endpoint that failed is avoided like one that is so much later, fading.
constexpr double kFailureDelay = 3;  // seconds
// A delay that has faded to this no longer tells endpoints apart.
constexpr double kNegligibleDelay = 0.01;  // seconds
// So many endpoints of a data centre failing, and none answering, is a cut
// rather than their own fault. While it is avoided, a request that finds no
// place elsewhere still goes there and shows whether it is over.
constexpr size_t kPartitionEndpoints = 3;
constexpr std::chrono::seconds kPartitionMemory{2};
constexpr double kPartitionDelay = 1;  // seconds
// One request beside another slows both a little.
constexpr double kConcurrencyDelay = 0.002;  // seconds

uint64_t PartKey(const std::string& model, const std::string& part) {
  return StableHash(part, StableHash(model));
}

}  // namespace

double EngineLoads::UncachedTokens(const std::string& endpoint,
                                   const EngineWork& work, bool preferred,
                                   TimePoint now) const {
  if (work.prompt == nullptr) return 0;
  auto found = endpoints_.find(endpoint);
  auto is_cached = [&](const PromptPart& part) {
    if (found == endpoints_.end()) return false;
    auto sent = found->second.cached_parts.find(PartKey(work.model, part.id));
    return sent != found->second.cached_parts.end() &&
           now - sent->second < kCacheRetention;
  };
  double uncached_tokens = 0;
  bool all_cached = true;  // a part counts only if every part before it is kept
  for (size_t i = 0; i < work.prompt->size(); ++i) {
    const PromptPart& part = (*work.prompt)[i];
    all_cached = all_cached && is_cached(part);
    if (all_cached) continue;
    bool shared = i + 1 < work.prompt->size();
    double share = preferred && shared ? 1 - kAssumedPeerCachedShare : 1;
    uncached_tokens += share * static_cast<double>(part.tokens);
  }
  return uncached_tokens;
}

double EngineLoads::DecayedDelay(const Endpoint& endpoint, TimePoint now) {
  double age = ToSeconds(now - endpoint.delay_at);
  return endpoint.delay * std::exp2(-age / kDelayHalfLife);
}

const EngineLoads::LatencyModel& EngineLoads::LatencyModelFor(
    const std::string& kind) const {
  static const LatencyModel unknown;
  auto found = latency_models_.find(kind);
  return found == latency_models_.end() ? unknown : found->second;
}

Seconds EngineLoads::ExpectedWait(const std::string& endpoint,
                                  const EngineWork& work, bool preferred,
                                  TimePoint now) const {
  const LatencyModel& model = LatencyModelFor(work.kind);
  double uncached_tokens = UncachedTokens(endpoint, work, preferred, now);
  double wait =
      model.base_seconds + PendingPrefill(endpoint).count() +
      kPrefillInterference * uncached_tokens * model.seconds_per_token;
  auto found = endpoints_.find(endpoint);
  if (found == endpoints_.end()) return Seconds(wait);
  double concurrency_delay =
      kConcurrencyDelay *
      static_cast<double>(found->second.awaiting_response.size());
  return Seconds(wait + concurrency_delay) + ObservedDelay(endpoint, now);
}

Seconds EngineLoads::UnloadedWait(const std::string& endpoint,
                                  const EngineWork& work, TimePoint now) const {
  const LatencyModel& model = LatencyModelFor(work.kind);
  double uncached_tokens = UncachedTokens(endpoint, work, false, now);
  return Seconds(model.base_seconds +
                 uncached_tokens * model.seconds_per_token);
}

Seconds EngineLoads::ObservedDelay(const std::string& endpoint,
                                   TimePoint now) const {
  auto found = endpoints_.find(endpoint);
  if (found == endpoints_.end()) return Seconds(0);
  const Endpoint& known = found->second;
  double waited = 0;
  if (!known.awaiting_response.empty()) {
    const Pending& oldest = pending_.at(known.awaiting_response.begin()->first);
    waited = ToSeconds(now - oldest.sent) - oldest.expected_wait;
  }
  double delay = std::max(DecayedDelay(known, now), waited);
  return Seconds(std::max(0.0, delay - kDelayTolerance));
}

Seconds EngineLoads::PendingPrefill(const std::string& endpoint) const {
  auto found = endpoints_.find(endpoint);
  Seconds own(found == endpoints_.end() ? 0 : found->second.prefill_seconds);
  return own + peer_prompts_.ReadingAt(endpoint);
}

uint64_t EngineLoads::RecordSend(const std::string& endpoint,
                                 const EngineWork& work, TimePoint now) {
  uint64_t ticket = ++last_ticket_;
  Pending pending;
  pending.endpoint = endpoint;
  pending.kind = work.kind;
  pending.uncached_tokens = UncachedTokens(endpoint, work, false, now);
  pending.sent = now;
  const LatencyModel& model = LatencyModelFor(work.kind);
  pending.prefill_seconds = pending.uncached_tokens * model.seconds_per_token;
  pending.expected_wait = model.base_seconds + pending.prefill_seconds +
                          PendingPrefill(endpoint).count();
  Endpoint& target = endpoints_[endpoint];
  target.awaiting_response[ticket] = now;
  target.prefill_seconds += pending.prefill_seconds;
  pending_[ticket] = std::move(pending);
  if (work.prompt != nullptr) RecordCachedParts(ticket, work, now);
  return ticket;
}

void EngineLoads::RecordCachedParts(uint64_t ticket, const EngineWork& work,
                                    TimePoint now) {
  SentPrompt sent;
  sent.ticket = ticket;
  sent.endpoint = pending_.at(ticket).endpoint;
  sent.reading = ExpectedPrefill(ticket);
  auto& cached = endpoints_[sent.endpoint].cached_parts;
  for (const PromptPart& part : *work.prompt) {
    uint64_t key = PartKey(work.model, part.id);
    cached[key] = now;
    sent.parts.push_back(key);
  }
  // No other box's prompt has the last part, which is the request's own.
  if (!sent.parts.empty()) sent.parts.pop_back();
  if (observer_ == nullptr) return;
  pending_.at(ticket).observer_notified = true;
  observer_->OnPromptSent(sent);
}

void EngineLoads::RecordPeerSend(const SentPrompt& prompt, TimePoint now) {
  peer_prompts_.Sent(prompt, now);
  if (prompt.parts.empty()) return;
  auto& cached = endpoints_[prompt.endpoint].cached_parts;
  for (uint64_t part : prompt.parts) cached[part] = now;
}

Seconds EngineLoads::ExpectedPrefill(uint64_t ticket) const {
  auto found = pending_.find(ticket);
  return Seconds(found == pending_.end() ? 0 : found->second.prefill_seconds);
}

void EngineLoads::UpdateLatencyModel(const Pending& pending, double elapsed) {
  LatencyModel& model = latency_models_[pending.kind];
  auto smooth = [](double* value, double sample) {
    *value += (sample < *value ? kLatencyFallRate : kLatencyRiseRate) *
              (sample - *value);
  };
  if (pending.uncached_tokens < kLongPromptTokens) {
    smooth(&model.base_seconds, elapsed);
  } else {
    double prefill = std::max(0.0, elapsed - model.base_seconds);
    smooth(&model.seconds_per_token, prefill / pending.uncached_tokens);
  }
}

void EngineLoads::RecordResponseStart(uint64_t ticket, TimePoint now) {
  auto found = pending_.find(ticket);
  if (found == pending_.end()) return;
  const Pending& pending = found->second;
  double elapsed = ToSeconds(now - pending.sent);
  Endpoint& endpoint = endpoints_[pending.endpoint];
  double lateness = std::max(0.0, elapsed - pending.expected_wait);
  endpoint.delay += kDelaySmoothing * (lateness - DecayedDelay(endpoint, now));
  endpoint.delay = std::max(0.0, endpoint.delay);
  endpoint.delay_at = now;
  UpdateLatencyModel(pending, elapsed);
  RecordFinish(ticket);
}

void EngineLoads::RecordFinish(uint64_t ticket) {
  auto found = pending_.find(ticket);
  if (found == pending_.end()) return;
  Endpoint& endpoint = endpoints_[found->second.endpoint];
  endpoint.prefill_seconds =
      std::max(0.0, endpoint.prefill_seconds - found->second.prefill_seconds);
  bool notify = found->second.observer_notified && observer_ != nullptr;
  if (notify) observer_->OnPrefillDone(ticket);
  endpoint.awaiting_response.erase(ticket);
  pending_.erase(found);
}

void EngineLoads::RecordFailure(uint64_t ticket, const std::string& data_centre,
                                TimePoint now) {
  auto found = pending_.find(ticket);
  if (found == pending_.end()) return;
  Endpoint& endpoint = endpoints_[found->second.endpoint];
  endpoint.delay = std::max(DecayedDelay(endpoint, now), kFailureDelay);
  endpoint.delay_at = now;
  // What it had read may be gone with it.
  endpoint.cached_parts.clear();
  Failures& failures = failures_[data_centre];
  failures.endpoints.insert(found->second.endpoint);
  failures.last = now;
  RecordFinish(ticket);
}

void EngineLoads::RecordRestart(const std::string& endpoint) {
  auto found = endpoints_.find(endpoint);
  if (found == endpoints_.end()) return;
  found->second.cached_parts.clear();
  found->second.delay = 0;
}

void EngineLoads::RecordReachable(const std::string& data_centre) {
  failures_.erase(data_centre);
}

Seconds EngineLoads::PartitionPenalty(const std::string& data_centre,
                                      TimePoint now) const {
  auto found = failures_.find(data_centre);
  bool partitioned = found != failures_.end() &&
                     found->second.endpoints.size() >= kPartitionEndpoints &&
                     now - found->second.last < kPartitionMemory;
  return Seconds(partitioned ? kPartitionDelay : 0);
}

void EngineLoads::Expire(TimePoint now) {
  peer_prompts_.Expire(now);
  for (auto entry = endpoints_.begin(); entry != endpoints_.end();) {
    auto& parts = entry->second.cached_parts;
    for (auto part = parts.begin(); part != parts.end();) {
      part = now - part->second > kCacheRetention ? parts.erase(part)
                                                  : std::next(part);
    }
    bool idle = parts.empty() && entry->second.awaiting_response.empty() &&
                DecayedDelay(entry->second, now) < kNegligibleDelay;
    entry = idle ? endpoints_.erase(entry) : std::next(entry);
  }
}

}  // namespace leverwick
