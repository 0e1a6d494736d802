// The latency model of a kind tracks the low end of the observed times: an
// estimate decreases quickly towards shorter times and increases slowly towards
// longer ones, so that queueing delays are not taken for the normal latency.

#include "leverwick/engine_loads.h"

#include <algorithm>
#include <cmath>
#include <optional>

#include "leverwick/digest.h"

namespace leverwick {
namespace {

// Prompt parts that were sent within this time are assumed to be cached still.
// Engines need 30 s or more to process as many tokens as their cache holds.
constexpr std::chrono::seconds kCacheRetention{20};
// The share of a shared prompt part that is assumed to be cached at the
// preferred endpoint because of other boxes' requests, if this box has no
// record of it. It matters where some boxes do not report their prompts.
constexpr double kAssumedPeerCachedShare = 0.5;
// The same where speeds differ. Parts are then preferred at endpoints in
// proportion to their speed, so that fewer requests turn away from them.
constexpr double kAssumedCachedShareBySpeed = 0.8;
// Prefill also delays the other requests at the endpoint, by so many times its
// own duration at one of average speed with the mean number of requests.
constexpr double kPrefillInterference = 5;
// Added to numbers of running requests, so that one more or less among few
// hardly counts.
constexpr double kRunningPrior = 2;
// Delays below this are ordinary variation of the engines.
constexpr Seconds kDelayTolerance{0.3};
// The weight of an observed delay halves in this time.
constexpr Seconds kDelayHalfLife{1.0};
// Exponential smoothing factor of an endpoint's delay.
constexpr double kDelaySmoothing = 0.5;
// Exponential smoothing factors of the latency model, towards longer and
// towards shorter times.
constexpr double kLatencyRiseRate = 0.02;
constexpr double kLatencyFallRate = 0.3;
// Responses to prompts of at least this many uncached tokens update the prefill
// rate, others the base latency.
constexpr double kLongPromptTokens = 1000;
// A failure counts as a delay of this length, which decays like an observed
// one.
constexpr Seconds kFailureDelay{3};
// Delays below this no longer distinguish endpoints and are dropped.
constexpr Seconds kNegligibleDelay{0.01};
// If this many endpoints of a data centre have failed and none has responded
// since, the cause is taken to be a network partition rather than the
// endpoints. While the data centre is avoided, a request that finds no capacity
// elsewhere still goes there and detects the end of the partition.
constexpr size_t kPartitionEndpoints = 3;
constexpr std::chrono::seconds kPartitionMemory{2};
constexpr Seconds kPartitionDelay{1};
// Each concurrent request adds this delay.
constexpr Seconds kConcurrencyDelay{0.002};

// Without any report for so long, this box may be cut off, and requests of its
// peers may have ended.
constexpr milliseconds kMaxReportAge{250};
// Of an endpoint with more places, a box's own requests tell enough.
constexpr size_t kMaxReportedPlaces = 64;

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
  double assumed_share = 0;
  if (preferred) {
    assumed_share = speeds_.Differ(endpoint, now) ? kAssumedCachedShareBySpeed
                                                  : kAssumedPeerCachedShare;
  }
  double uncached_tokens = 0;
  // A cached part is usable only if all earlier parts are cached.
  bool all_cached = true;
  for (size_t i = 0; i < work.prompt->size(); ++i) {
    const PromptPart& part = (*work.prompt)[i];
    all_cached = all_cached && is_cached(part);
    if (all_cached) continue;
    bool shared = i + 1 < work.prompt->size();
    double share = shared ? 1 - assumed_share : 1;
    uncached_tokens += share * static_cast<double>(part.tokens);
  }
  return uncached_tokens;
}

Seconds EngineLoads::DecayedDelay(const Endpoint& endpoint, TimePoint now) {
  Seconds age = now - endpoint.delay_at;
  return endpoint.delay * std::exp2(-(age / kDelayHalfLife));
}

const EngineLoads::LatencyModel& EngineLoads::LatencyModelFor(
    const std::string& kind) const {
  static const LatencyModel kInitialModel;
  auto found = latency_models_.find(kind);
  return found == latency_models_.end() ? kInitialModel : found->second;
}

Seconds EngineLoads::ExpectedWait(const std::string& endpoint,
                                  const EngineWork& work, bool preferred,
                                  TimePoint now) const {
  const LatencyModel& model = LatencyModelFor(work.kind);
  double uncached_tokens = UncachedTokens(endpoint, work, preferred, now);
  Seconds prefill = uncached_tokens * model.prefill_per_token;
  Seconds wait =
      speeds_.Slowness(endpoint, now) * (model.base_latency + prefill) +
      Interference(endpoint, now) * prefill + PendingPrefill(endpoint);
  auto found = endpoints_.find(endpoint);
  if (found == endpoints_.end()) return wait;
  Seconds concurrency_delay =
      kConcurrencyDelay *
      static_cast<double>(found->second.awaiting_response.size());
  return wait + concurrency_delay + ObservedDelay(endpoint, now);
}

double EngineLoads::Interference(const std::string& endpoint,
                                 TimePoint now) const {
  // Where endpoints are alike, their own queues spread the requests.
  if (!speeds_.HasEstimates(now)) return kPrefillInterference;
  double running = kRunningPrior + static_cast<double>(RunningAt(endpoint));
  return kPrefillInterference * speeds_.Slowness(endpoint, now) * running /
         (kRunningPrior + mean_running_);
}

double EngineLoads::RelativeCapacity(const std::string& endpoint,
                                     TimePoint now) const {
  if (!speeds_.Differ(endpoint, now)) return 1;
  return 1 / speeds_.Slowness(endpoint, now);
}

void EngineLoads::UpdateMeanRunning() {
  double running = 0;
  double endpoints = 0;
  for (const auto& [endpoint, state] : endpoints_) {
    if (state.cached_parts.empty()) continue;  // it reads no prompts
    running += static_cast<double>(RunningAt(endpoint));
    ++endpoints;
  }
  mean_running_ = endpoints > 0 ? running / endpoints : 0;
}

Seconds EngineLoads::UnloadedWait(const std::string& endpoint,
                                  const EngineWork& work, TimePoint now) const {
  const LatencyModel& model = LatencyModelFor(work.kind);
  double uncached_tokens = UncachedTokens(endpoint, work, false, now);
  return speeds_.Slowness(endpoint, now) *
         (model.base_latency + uncached_tokens * model.prefill_per_token);
}

Seconds EngineLoads::ObservedDelay(const std::string& endpoint,
                                   TimePoint now) const {
  auto found = endpoints_.find(endpoint);
  if (found == endpoints_.end()) return Seconds(0);
  const Endpoint& state = found->second;
  Seconds waited{0};
  if (!state.awaiting_response.empty()) {
    const Pending& oldest = pending_.at(state.awaiting_response.begin()->first);
    waited = now - oldest.sent - oldest.expected_wait;
  }
  Seconds delay = std::max(DecayedDelay(state, now), waited);
  return std::max(Seconds(0), delay - kDelayTolerance);
}

Seconds EngineLoads::PendingPrefill(const std::string& endpoint) const {
  auto found = endpoints_.find(endpoint);
  Seconds peers = peer_prompts_.PendingPrefillAt(endpoint);
  if (found == endpoints_.end()) return peers;
  return found->second.prefill_time + peers;
}

uint64_t EngineLoads::RecordSend(const std::string& endpoint,
                                 const EngineWork& work,
                                 const SendBounds& bounds, TimePoint now) {
  uint64_t ticket = ++last_ticket_;
  Pending pending;
  pending.endpoint = endpoint;
  pending.kind = work.kind;
  pending.uncached_tokens = UncachedTokens(endpoint, work, false, now);
  pending.sent = now;
  const LatencyModel& model = LatencyModelFor(work.kind);
  pending.slowness = speeds_.Slowness(endpoint, now);
  pending.prefill_time =
      pending.slowness * pending.uncached_tokens * model.prefill_per_token;
  pending.expected_wait = pending.slowness * model.base_latency +
                          pending.prefill_time + PendingPrefill(endpoint);
  Endpoint& target = endpoints_[endpoint];
  target.awaiting_response[ticket] = now;
  target.prefill_time += pending.prefill_time;
  pending_[ticket] = std::move(pending);
  running_[ticket] = Running{endpoint};
  ++running_at_[endpoint];
  ReportSend(ticket, work, bounds, now);
  return ticket;
}

std::vector<uint64_t> EngineLoads::RecordCachedParts(
    const std::string& endpoint, const EngineWork& work, TimePoint now) {
  std::vector<uint64_t> shared;
  auto& cached = endpoints_[endpoint].cached_parts;
  for (const PromptPart& part : *work.prompt) {
    uint64_t key = PartKey(work.model, part.id);
    cached[key] = now;
    shared.push_back(key);
  }
  // The last part is specific to the request, so other boxes' prompts never
  // share it.
  if (!shared.empty()) shared.pop_back();
  return shared;
}

void EngineLoads::ReportSend(uint64_t ticket, const EngineWork& work,
                             const SendBounds& bounds, TimePoint now) {
  Pending& pending = pending_.at(ticket);
  SentRequest sent;
  sent.ticket = ticket;
  sent.endpoint = pending.endpoint;
  sent.prefill_time = pending.prefill_time;
  sent.time_left = std::max(milliseconds(0), bounds.time_left);
  bool has_prompt = work.prompt != nullptr;
  if (has_prompt) sent.part_keys = RecordCachedParts(sent.endpoint, work, now);
  bool has_few_places =
      bounds.places > 0 && bounds.places <= kMaxReportedPlaces;
  if (observer_ == nullptr || !(has_prompt || has_few_places)) return;
  pending.observer_notified = has_prompt;
  running_.at(ticket).end_is_reported = sent.time_left.count() > 0;
  observer_->OnRequestSent(sent);
}

void EngineLoads::RecordPeerSend(const SentRequest& request, TimePoint now) {
  peers_heard_at_ = now;
  if (request.time_left.count() > 0) {
    peer_requests_.RecordStart({request.incarnation, request.ticket},
                               request.endpoint, now + request.time_left, now);
  }
  if (request.has_prompt()) peer_prompts_.RecordSend(request, now);
  if (request.part_keys.empty()) return;
  auto& cached = endpoints_[request.endpoint].cached_parts;
  for (uint64_t part : request.part_keys) cached[part] = now;
}

void EngineLoads::RecordPeerEnd(uint32_t incarnation, uint64_t ticket,
                                TimePoint now) {
  peers_heard_at_ = now;
  peer_requests_.RecordEnd({incarnation, ticket}, now);
  peer_prompts_.RecordPrefillDone(incarnation, ticket);
}

size_t EngineLoads::OwnRunningAt(const std::string& endpoint) const {
  auto own = running_at_.find(endpoint);
  return own == running_at_.end() ? 0 : own->second;
}

size_t EngineLoads::RunningAt(const std::string& endpoint) const {
  return OwnRunningAt(endpoint) + peer_requests_.CountAt(endpoint);
}

size_t EngineLoads::ConfirmedRunningAt(const std::string& endpoint,
                                       TimePoint now) const {
  bool is_recent = PeerReportAge(now) <= kMaxReportAge;
  return is_recent ? RunningAt(endpoint) : OwnRunningAt(endpoint);
}

Seconds EngineLoads::ExpectedPrefill(uint64_t ticket) const {
  auto found = pending_.find(ticket);
  return found == pending_.end() ? Seconds(0) : found->second.prefill_time;
}

void EngineLoads::UpdateLatencyModel(const Pending& pending, Seconds elapsed) {
  LatencyModel& model = latency_models_[pending.kind];
  elapsed /= pending.slowness;
  auto smooth = [](Seconds* value, Seconds sample) {
    *value += (sample < *value ? kLatencyFallRate : kLatencyRiseRate) *
              (sample - *value);
  };
  if (pending.uncached_tokens < kLongPromptTokens) {
    smooth(&model.base_latency, elapsed);
  } else {
    Seconds prefill = std::max(Seconds(0), elapsed - model.base_latency);
    smooth(&model.prefill_per_token, prefill / pending.uncached_tokens);
  }
}

void EngineLoads::RecordResponseStart(uint64_t ticket, TimePoint now) {
  auto found = pending_.find(ticket);
  if (found == pending_.end()) return;
  const Pending& pending = found->second;
  Seconds elapsed = now - pending.sent;
  Endpoint& endpoint = endpoints_[pending.endpoint];
  Seconds lateness = std::max(Seconds(0), elapsed - pending.expected_wait);
  endpoint.delay += kDelaySmoothing * (lateness - DecayedDelay(endpoint, now));
  endpoint.delay = std::max(Seconds(0), endpoint.delay);
  endpoint.delay_at = now;
  UpdateLatencyModel(pending, elapsed);
  StopAwaiting(ticket);
}

void EngineLoads::RecordFinish(uint64_t ticket) {
  StopAwaiting(ticket);
  StopRunning(ticket);
}

void EngineLoads::StopRunning(uint64_t ticket) {
  auto found = running_.find(ticket);
  if (found == running_.end()) return;
  auto count = running_at_.find(found->second.endpoint);
  bool is_last = found->second.is_counted && --count->second == 0;
  if (is_last) running_at_.erase(count);
  bool notify = found->second.end_is_reported && observer_ != nullptr;
  running_.erase(found);
  if (notify) observer_->OnRequestEnded(ticket);
}

void EngineLoads::StopAwaiting(uint64_t ticket) {
  auto found = pending_.find(ticket);
  if (found == pending_.end()) return;
  Endpoint& endpoint = endpoints_[found->second.endpoint];
  endpoint.prefill_time =
      std::max(Seconds(0), endpoint.prefill_time - found->second.prefill_time);
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
  // The endpoint may have lost its prefix cache.
  endpoint.cached_parts.clear();
  Failures& failures = failures_[data_centre];
  failures.endpoints.insert(found->second.endpoint);
  failures.last = now;
  RecordFinish(ticket);
}

void EngineLoads::RecordRestart(const std::string& endpoint) {
  speeds_.RecordRestart(endpoint);
  peer_requests_.RecordRestart(endpoint);
  running_at_.erase(endpoint);
  for (auto& [ticket, running] : running_) {
    if (running.endpoint == endpoint) running.is_counted = false;
  }
  auto found = endpoints_.find(endpoint);
  if (found == endpoints_.end()) return;
  found->second.cached_parts.clear();
  found->second.delay = Seconds(0);
}

void EngineLoads::RecordPace(const std::string& endpoint,
                             const std::string& kind, Seconds interval,
                             TimePoint now) {
  std::optional<double> ratio =
      usual_paces_.Record(kind, interval, speeds_.Slowness(endpoint, now));
  if (!ratio) return;
  PaceSample sample{EndpointSpeeds::kOwnIncarnation,
                    EndpointSpeeds::HashOf(endpoint), *ratio};
  speeds_.Record(sample, now);
  if (observer_ != nullptr) observer_->OnPaceMeasured(sample);
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
  return partitioned ? kPartitionDelay : Seconds(0);
}

void EngineLoads::Expire(TimePoint now) {
  peer_prompts_.Expire(now);
  speeds_.Expire(now);
  peer_requests_.Expire(now);
  if (speeds_.HasEstimates(now)) UpdateMeanRunning();
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
