// The parts to quarantine are chosen greedily, as in a set cover: the most
// suspicious part explains the crashes that it was present at, and the others
// are weighed by the crashes that are left. They are chosen anew after each
// change, so that a wrong choice is corrected as reports come in. Only parts
// with several strikes are weighed, of which there are few.

#include "leverwick/poison_parts.h"

#include <algorithm>
#include <cmath>
#include <tuple>

#include "leverwick/digest.h"
#include "leverwick/poison_trials.h"

namespace leverwick {
namespace {

// Bounds what earlier healthy runs outweigh, so that a part that has become
// poisonous is quarantined after some more crashes.
constexpr double kMaxHealthyWeight = 4;
constexpr size_t kMaxStrikesPerPart = 32;
constexpr size_t kMaxTrialsPerPart = 8;
constexpr size_t kMaxSurvivors = 256;
// A box that has claimed a trial and gets no request for it gives it up.
constexpr std::chrono::seconds kClaimValidity{15};
// The number of parts evicted at once when the maximum is reached.
constexpr size_t kEvictionBatch = 128;

uint32_t AgeMs(TimePoint at, TimePoint now) {
  auto age = std::chrono::duration_cast<milliseconds>(now - at).count();
  return static_cast<uint32_t>(std::clamp<int64_t>(age, 0, UINT32_MAX));
}

template <typename Strikes, typename Predicate>
bool RemoveIf(Strikes* strikes, Predicate predicate) {
  auto removed = std::remove_if(strikes->begin(), strikes->end(), predicate);
  bool has_removed = removed != strikes->end();
  strikes->erase(removed, strikes->end());
  return has_removed;
}

}  // namespace

bool PoisonParts::IsEarlier(const Strike& a, const Strike& b) {
  return a.crashed_at < b.crashed_at;
}

void PoisonParts::RecordCrash(const std::vector<EndpointRun>& runs,
                              TimePoint crashed_at) {
  for (const EndpointRun& run : runs) {
    if (run.parts == nullptr) continue;
    RecordCrashTime(run.endpoint, crashed_at);
    Strike strike{run.endpoint,
                  run.version,
                  run.started_at,
                  crashes_[run.endpoint].at,
                  run.request.hash(),
                  run.request.organisation_hash(),
                  true};
    for (PartDigest part : *run.parts) AddStrike(part, strike);
    has_unreported_changes_ = true;
  }
  UpdateQuarantine();
}

bool PoisonParts::RecordCrashTime(const std::string& endpoint,
                                  TimePoint crashed_at) {
  auto [known, is_new] = crashes_.emplace(endpoint, RecordedCrash{crashed_at});
  if (is_new || crashed_at >= known->second.at) return is_new;
  TimePoint::duration shift = crashed_at - known->second.at;
  known->second.at = crashed_at;
  for (auto& entry : parts_) {
    std::vector<Strike>& strikes = entry.second.strikes;
    for (Strike& strike : strikes) {
      if (strike.endpoint != endpoint) continue;
      strike.crashed_at = crashed_at;
      if (!strike.is_local) strike.run_started_at += shift;
    }
    std::sort(strikes.begin(), strikes.end(), IsEarlier);
  }
  return false;
}

void PoisonParts::AddStrike(PartDigest digest, Strike strike) {
  auto survivor = survivors_.find(strike.endpoint);
  if (survivor != survivors_.end() && strike.crashed_at <= survivor->second)
    return;
  if (strike.crashed_at <= healthy_.LastRunAt(digest, strike.version)) return;
  if (parts_.count(digest) == 0) Evict();
  Part& part = parts_[digest];
  auto healthy = part.last_healthy.find(strike.version);
  if (healthy != part.last_healthy.end() &&
      strike.crashed_at <= healthy->second.at) {
    return;
  }
  for (Strike& existing : part.strikes) {
    if (existing.endpoint != strike.endpoint ||
        existing.request != strike.request) {
      continue;
    }
    existing.is_local = existing.is_local || strike.is_local;
    return;
  }
  part.last_event_at = std::max(part.last_event_at, strike.crashed_at);
  auto position = std::upper_bound(part.strikes.begin(), part.strikes.end(),
                                   strike, IsEarlier);
  part.strikes.insert(position, std::move(strike));
  if (part.strikes.size() > kMaxStrikesPerPart)
    part.strikes.erase(part.strikes.begin());
}

void PoisonParts::RecordSurvivedRun(const EndpointRun& run, TimePoint now) {
  if (run.parts == nullptr || run.outcome != RunOutcome::kComplete) return;
  bool is_cleared = false;
  for (PartDigest digest : *run.parts) {
    healthy_.RecordHealthyRun(digest, run.version, *run.ended_at, now);
    auto found = parts_.find(digest);
    if (found == parts_.end()) continue;
    Part& part = found->second;
    Evidence before = WeighEvidence(digest, part, {});
    ClearStrikes(&part, run.version, *run.ended_at);
    is_cleared = true;
    // Other boxes quarantine it as well, or are about to.
    bool is_suspected =
        part.quarantined || before.suspicion >= kSuspicionThreshold;
    if (!is_suspected) continue;
    part.last_healthy[run.version].is_reported = true;
    has_unreported_changes_ = true;
  }
  if (is_cleared) UpdateQuarantine();
}

void PoisonParts::ClearStrikes(Part* part, const std::string& version,
                               TimePoint at) {
  HealthyRun& healthy = part->last_healthy[version];
  healthy.at = std::max(healthy.at, at);
  RemoveIf(&part->strikes, [&](const Strike& strike) {
    return strike.version == version && strike.crashed_at <= healthy.at;
  });
}

void PoisonParts::RecordResponse(const std::string& endpoint,
                                 TimePoint sent_at) {
  auto crash = crashes_.find(endpoint);
  if (crash == crashes_.end() || crash->second.is_removed) return;
  if (sent_at <= crash->second.at) return;
  RemoveStrikesAt(endpoint, sent_at);
  UpdateQuarantine();
}

void PoisonParts::RecordEndpointRemoved(const std::string& endpoint) {
  auto crash = crashes_.find(endpoint);
  if (crash != crashes_.end()) crash->second.is_removed = true;
}

void PoisonParts::RemoveStrikesAt(const std::string& endpoint,
                                  TimePoint before) {
  TimePoint& seen_at = survivors_[endpoint];
  seen_at = std::max(seen_at, before);
  if (survivors_.size() > kMaxSurvivors) survivors_.erase(survivors_.begin());
  crashes_.erase(endpoint);
  for (auto& entry : parts_) {
    RemoveIf(&entry.second.strikes, [&](const Strike& strike) {
      return strike.endpoint == endpoint && strike.crashed_at <= before;
    });
  }
}

uint32_t PoisonParts::CountHealthyRuns(PartDigest digest,
                                       const Part& part) const {
  uint32_t runs = part.reported_healthy_runs;
  std::set<std::string> versions;
  for (const Strike& strike : part.strikes) versions.insert(strike.version);
  for (const std::string& version : versions)
    runs = std::max(runs, healthy_.CountRuns(digest, version));
  return runs;
}

PoisonParts::Evidence PoisonParts::WeighEvidence(
    PartDigest digest, const Part& part, const Endpoints& explained,
    const std::string& excluded) const {
  Evidence evidence;
  std::set<uint64_t> requests;
  Endpoints endpoints;
  for (const Strike& strike : part.strikes) {
    if (!excluded.empty() && strike.version == excluded) continue;
    if (explained.count(strike.endpoint) > 0) continue;
    requests.insert(strike.request);
    endpoints.insert(strike.endpoint);
  }
  evidence.crashes = endpoints.size();
  evidence.requests = requests.size();
  double healthy_weight = std::log2(1.0 + CountHealthyRuns(digest, part));
  evidence.suspicion = static_cast<double>(evidence.crashes) -
                       std::min(healthy_weight, kMaxHealthyWeight);
  return evidence;
}

void PoisonParts::UpdateQuarantine() {
  std::set<PartDigest> candidates;
  for (const auto& [digest, part] : parts_) {
    bool may_reach = part.strikes.size() >= kSuspicionThreshold;
    if (may_reach) candidates.insert(digest);
  }
  std::set<PartDigest> chosen;
  Endpoints explained;
  while (!candidates.empty()) {
    // Of equally suspicious parts, the one with fewer requests is more
    // specific.
    using Rank = std::tuple<double, int64_t>;
    std::optional<std::pair<Rank, PartDigest>> best;
    for (PartDigest digest : candidates) {
      Evidence evidence = WeighEvidence(digest, parts_.at(digest), explained);
      bool reaches = evidence.suspicion >= kSuspicionThreshold &&
                     evidence.requests >= kMinRequests;
      if (!reaches) continue;
      Rank rank{evidence.suspicion, -static_cast<int64_t>(evidence.requests)};
      if (!best || rank > best->first) best = {rank, digest};
    }
    if (!best) break;
    chosen.insert(best->second);
    candidates.erase(best->second);
    for (const Strike& strike : parts_.at(best->second).strikes)
      explained.insert(strike.endpoint);
  }
  for (auto& [digest, part] : parts_) {
    bool quarantine = chosen.count(digest) > 0;
    if (quarantine != part.quarantined)
      SetQuarantined(digest, &part, quarantine);
  }
}

void PoisonParts::SetQuarantined(PartDigest digest, Part* part,
                                 bool quarantined) {
  part->quarantined = quarantined;
  quarantined_count_ += quarantined ? 1 : -1;
  PartQuarantineChange change;
  change.part = digest;
  change.quarantined = quarantined;
  Endpoints endpoints;
  std::set<uint64_t> requests;
  for (const Strike& strike : part->strikes) {
    endpoints.insert(strike.endpoint);
    requests.insert(strike.request);
  }
  change.endpoints.assign(endpoints.begin(), endpoints.end());
  change.requests = requests.size();
  change.healthy_runs = CountHealthyRuns(digest, *part);
  quarantine_changes_.push_back(std::move(change));
}

bool PoisonParts::AppliesTo(const Part& part, uint32_t organisation) {
  std::set<uint32_t> organisations;
  for (const Strike& strike : part.strikes)
    organisations.insert(strike.organisation);
  return organisations.size() > 1 || organisations.count(organisation) > 0;
}

PoisonVerdict PoisonParts::EvaluatePart(
    PartDigest digest, const Part& part, const std::string& target,
    const std::function<bool(const std::string&)>& is_listed,
    TimePoint now) const {
  PoisonVerdict verdict;
  verdict.parts = {digest};
  verdict.crashes = WeighEvidence(digest, part, {}).crashes;
  bool may_avoid_target =
      !target.empty() &&
      WeighEvidence(digest, part, {}, target).suspicion < kSuspicionThreshold;
  if (may_avoid_target) {
    verdict.kind = PoisonVerdict::Kind::kAvoidTarget;
    return verdict;
  }
  verdict.kind = PoisonVerdict::Kind::kQuarantine;
  if (!connected_to_peers_) return verdict;
  TimePoint first_crash = part.strikes.front().crashed_at;
  TrialHistory history;
  history.stagger_key = box_ + "/" + ShortHex(digest);
  history.trials = static_cast<size_t>(std::count_if(
      part.trials.begin(), part.trials.end(),
      [first_crash](const Trial& t) { return t.at > first_crash; }));
  history.last_event_at = part.last_event_at;
  history.crashed_version_listed = std::any_of(
      part.strikes.begin(), part.strikes.end(),
      [&](const Strike& strike) { return is_listed(strike.version); });
  TimePoint trial_time = NextTrialTime(history);
  if (trial_time <= now) {
    bool is_claimed = HasValidClaim(part, now);
    verdict.may_claim_trial = !is_claimed;
    trial_time = (is_claimed ? part.claim->at : now) + kClaimTime;
    bool is_granted = is_claimed && part.claim->is_local && trial_time <= now;
    if (is_granted) verdict.kind = PoisonVerdict::Kind::kTrial;
  }
  verdict.time_until_trial = std::chrono::ceil<milliseconds>(
      std::max(trial_time - now, TimePoint::duration::zero()));
  return verdict;
}

PoisonVerdict PoisonParts::Evaluate(
    const PartsOfRequest& request, const std::string& target,
    const std::function<bool(const std::string&)>& is_listed,
    TimePoint now) const {
  PoisonVerdict verdict;
  if (quarantined_count_ == 0 || request.parts == nullptr) return verdict;
  for (PartDigest digest : *request.parts) {
    auto found = parts_.find(digest);
    bool is_affected = found != parts_.end() && found->second.quarantined &&
                       AppliesTo(found->second, request.organisation);
    if (!is_affected) continue;
    verdict = StricterVerdict(
        std::move(verdict),
        EvaluatePart(digest, found->second, target, is_listed, now));
  }
  return verdict;
}

bool PoisonParts::HasValidClaim(const Part& part, TimePoint now) {
  return part.claim && part.claim->at > part.last_event_at &&
         now - part.claim->at < kClaimValidity;
}

void PoisonParts::AddClaim(Part* part, const Claim& claim) {
  bool yields =
      HasValidClaim(*part, claim.at) && part->claim->rank >= claim.rank;
  if (!yields) part->claim = claim;
}

void PoisonParts::ClaimTrial(const std::vector<PartDigest>& parts,
                             TimePoint now) {
  for (PartDigest digest : parts) {
    auto found = parts_.find(digest);
    if (found == parts_.end() || !found->second.quarantined) continue;
    if (HasValidClaim(found->second, now)) continue;
    AddClaim(&found->second, {now, StableHash(box_, digest), true});
    has_unreported_changes_ = true;
  }
}

void PoisonParts::AddTrial(Part* part, TimePoint at, bool is_local) {
  // Repeated reports of the same trial differ by their transit times.
  for (const Trial& existing : part->trials) {
    if (existing.is_local == is_local &&
        std::chrono::abs(existing.at - at) < kTrialStagger) {
      return;
    }
  }
  part->trials.push_back({at, is_local});
  if (part->trials.size() > kMaxTrialsPerPart)
    part->trials.erase(part->trials.begin());
  part->last_event_at = std::max(part->last_event_at, at);
}

void PoisonParts::RecordTrial(const std::vector<PartDigest>& parts,
                              TimePoint now) {
  for (PartDigest digest : parts) {
    auto found = parts_.find(digest);
    if (found == parts_.end() || !found->second.quarantined) continue;
    AddTrial(&found->second, now, true);
    has_unreported_changes_ = true;
  }
}

bool PoisonParts::TakeChangeFlag() {
  return std::exchange(has_unreported_changes_, false);
}

void PoisonParts::AppendPart(PartDigest digest, const Part& part, TimePoint now,
                             std::map<std::string, uint32_t>* crash_indices,
                             PoisonNotes* notes) const {
  StruckPart* note = notes->add_parts();
  note->set_part(digest);
  note->set_healthy_runs(CountHealthyRuns(digest, part));
  for (const Strike& strike : part.strikes) {
    if (!strike.is_local) continue;
    auto next_index = static_cast<uint32_t>(notes->crashes_size());
    auto [index, is_new] = crash_indices->emplace(strike.endpoint, next_index);
    if (is_new) {
      CrashedEndpoint* crash = notes->add_crashes();
      crash->set_endpoint(strike.endpoint);
      crash->set_version(strike.version);
      crash->set_age_ms(AgeMs(strike.crashed_at, now));
    }
    PartStrike* out = note->add_strikes();
    out->set_crash(index->second);
    out->set_run_ms(AgeMs(strike.run_started_at, strike.crashed_at));
    out->set_request(strike.request);
    out->set_organisation(strike.organisation);
  }
  for (const auto& [version, healthy] : part.last_healthy) {
    if (!healthy.is_reported) continue;
    HealthyPart* out = note->add_healthy();
    out->set_version(version);
    out->set_age_ms(AgeMs(healthy.at, now));
  }
  for (const Trial& trial : part.trials) {
    if (trial.is_local) note->add_trial_ages_ms(AgeMs(trial.at, now));
  }
  if (!part.claim || !part.claim->is_local) return;
  note->mutable_claim()->set_age_ms(AgeMs(part.claim->at, now));
  note->mutable_claim()->set_rank(part.claim->rank);
}

void PoisonParts::AppendNotes(TimePoint now, PoisonNotes* notes) const {
  // Quarantined parts come first, then the most suspicious and the latest.
  using Rank = std::tuple<bool, double, TimePoint>;
  std::multimap<Rank, PartDigest, std::greater<>> local_parts;
  for (const auto& [digest, part] : parts_) {
    auto is_local = [](const auto& record) { return record.is_local; };
    auto is_reported = [](const auto& entry) {
      return entry.second.is_reported;
    };
    bool has_local =
        std::any_of(part.strikes.begin(), part.strikes.end(), is_local) ||
        std::any_of(part.trials.begin(), part.trials.end(), is_local) ||
        (part.claim && part.claim->is_local) ||
        std::any_of(part.last_healthy.begin(), part.last_healthy.end(),
                    is_reported);
    if (!has_local) continue;
    double suspicion = WeighEvidence(digest, part, {}).suspicion;
    local_parts.emplace(Rank(part.quarantined, suspicion, part.last_event_at),
                        digest);
  }
  std::map<std::string, uint32_t> crash_indices;
  for (const auto& ranked : local_parts) {
    if (notes->parts_size() == kMaxReportedParts) break;
    AppendPart(ranked.second, parts_.at(ranked.second), now, &crash_indices,
               notes);
  }
}

TimePoint::duration PoisonParts::ReportOffset(const PoisonNotes& notes,
                                              TimePoint written_at) const {
  TimePoint::duration offset = TimePoint::duration::zero();
  for (const CrashedEndpoint& crash : notes.crashes()) {
    auto known = crashes_.find(crash.endpoint());
    if (known == crashes_.end()) continue;
    offset = std::min(
        offset, known->second.at - written_at + milliseconds(crash.age_ms()));
  }
  return offset;
}

void PoisonParts::MergeCrashes(const PoisonNotes& notes, TimePoint written_at,
                               std::map<std::string, TimePoint>* new_crashes) {
  for (const CrashedEndpoint& crash : notes.crashes()) {
    TimePoint crashed_at = written_at - milliseconds(crash.age_ms());
    auto survivor = survivors_.find(crash.endpoint());
    if (survivor != survivors_.end() && crashed_at <= survivor->second)
      continue;
    if (RecordCrashTime(crash.endpoint(), crashed_at))
      new_crashes->emplace(crash.endpoint(), crashed_at);
  }
}

void PoisonParts::MergePart(const PoisonNotes& notes, const StruckPart& note,
                            TimePoint written_at, bool is_local) {
  for (const PartStrike& reported : note.strikes()) {
    if (reported.crash() >= static_cast<uint32_t>(notes.crashes_size()))
      continue;
    const CrashedEndpoint& crash = notes.crashes(reported.crash());
    auto known = crashes_.find(crash.endpoint());
    if (known == crashes_.end()) continue;  // has survived
    Strike strike;
    strike.endpoint = crash.endpoint();
    strike.version = crash.version();
    strike.crashed_at = known->second.at;
    strike.run_started_at = strike.crashed_at - milliseconds(reported.run_ms());
    strike.request = reported.request();
    strike.organisation = reported.organisation();
    strike.is_local = is_local;
    AddStrike(note.part(), std::move(strike));
  }
  auto found = parts_.find(note.part());
  if (found == parts_.end()) return;
  Part& part = found->second;
  part.reported_healthy_runs =
      std::max(part.reported_healthy_runs, note.healthy_runs());
  for (const HealthyPart& healthy : note.healthy()) {
    ClearStrikes(&part, healthy.version(),
                 written_at - milliseconds(healthy.age_ms()));
  }
  if (note.has_claim()) {
    TimePoint claimed_at = written_at - milliseconds(note.claim().age_ms());
    AddClaim(&part, {claimed_at, note.claim().rank(), is_local});
  }
  for (uint32_t age : note.trial_ages_ms())
    AddTrial(&part, written_at - milliseconds(age), is_local);
}

std::map<std::string, TimePoint> PoisonParts::Merge(const PoisonNotes& notes,
                                                    TimePoint as_of,
                                                    bool is_local) {
  TimePoint written_at = as_of + ReportOffset(notes, as_of);
  std::map<std::string, TimePoint> new_crashes;
  for (const EndpointLife& alive : notes.lives()) {
    TimePoint seen_at = written_at - milliseconds(alive.age_ms());
    auto crash = crashes_.find(alive.endpoint());
    bool survives = crash != crashes_.end() && crash->second.at < seen_at;
    if (survives) RemoveStrikesAt(alive.endpoint(), seen_at);
  }
  MergeCrashes(notes, written_at, &new_crashes);
  for (const StruckPart& note : notes.parts())
    MergePart(notes, note, written_at, is_local);
  UpdateQuarantine();
  if (is_local) new_crashes.clear();
  return new_crashes;
}

std::vector<PartQuarantineChange> PoisonParts::TakeQuarantineChanges() {
  return std::exchange(quarantine_changes_, {});
}

void PoisonParts::Evict() {
  if (parts_.size() < kMaxParts) return;
  // Those with the fewest strikes first, and of those the oldest.
  using Rank = std::tuple<bool, size_t, TimePoint>;
  std::multimap<Rank, PartDigest> ranked;
  for (const auto& [digest, part] : parts_) {
    ranked.emplace(
        Rank(part.quarantined, part.strikes.size(), part.last_event_at),
        digest);
  }
  size_t remaining = kEvictionBatch;
  for (const auto& entry : ranked) {
    if (remaining-- == 0) break;
    auto evicted = parts_.find(entry.second);
    if (evicted->second.quarantined)
      SetQuarantined(entry.second, &evicted->second, false);
    parts_.erase(evicted);
  }
}

void PoisonParts::Expire(TimePoint now) {
  for (auto entry = parts_.begin(); entry != parts_.end();) {
    Part& part = entry->second;
    TimePoint::duration retention =
        part.quarantined ? TimePoint::duration(kQuarantineRetention)
                         : TimePoint::duration(kRetention);
    bool is_expired = now - part.last_event_at > retention;
    if (is_expired && part.quarantined)
      SetQuarantined(entry->first, &part, false);
    entry = is_expired ? parts_.erase(entry) : std::next(entry);
  }
  auto expire = [now](auto* times, auto time_of) {
    for (auto entry = times->begin(); entry != times->end();) {
      bool is_expired = now - time_of(entry->second) > kQuarantineRetention;
      entry = is_expired ? times->erase(entry) : std::next(entry);
    }
  };
  expire(&crashes_, [](const RecordedCrash& crash) { return crash.at; });
  expire(&survivors_, [](TimePoint at) { return at; });
}

}  // namespace leverwick
