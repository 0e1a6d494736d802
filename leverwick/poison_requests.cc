// Whether a request is quarantined is computed from all its recorded crashes
// after each change; changes are rare, and there are at most kMaxRequests
// requests. A crash that is explained by one quarantined request still counts
// against all others that were running: a popular request is in flight at every
// crash, and would hide the poison request while no endpoint is left to show
// that the popular one is healthy.

#include "leverwick/poison_requests.h"

#include <algorithm>
#include <functional>
#include <utility>

#include "leverwick/poison_trials.h"

namespace leverwick {
namespace {

// Crashes this close together may have one cause, such as a power failure,
// unless the run started after the previous crash. Reports of crashes between
// boxes take about as long.
constexpr milliseconds kSimultaneousCrashWindow{100};
// Reported times this close together are taken to describe the same event.
constexpr milliseconds kDuplicateReportWindow{500};
// The number of requests evicted at once when the maximum is reached.
constexpr size_t kEvictionBatch = 64;
// The number of crashes kept per request: more than kCrashThreshold.
constexpr size_t kMaxCrashesPerRequest = 8;
// The number of endpoints kept that were seen alive.
constexpr size_t kMaxLastSeen = 256;
// The number of endpoints kept per request whose crashes are cleared.
constexpr size_t kMaxClearedEndpoints = 16;
uint32_t AgeMs(TimePoint at, TimePoint now) {
  auto age = std::chrono::duration_cast<milliseconds>(now - at).count();
  return static_cast<uint32_t>(std::clamp<int64_t>(age, 0, UINT32_MAX));
}

}  // namespace

size_t PoisonRequests::CountCrashes(const Request& request,
                                    const std::string& excluded) {
  size_t crashes = 0;
  TimePoint last_counted{};
  for (const Crash& crash : request.crashes) {
    if (!excluded.empty() && crash.version == excluded) continue;
    bool is_separate =
        crashes == 0 || crash.run_started_at >= last_counted ||
        crash.crashed_at - last_counted >= kSimultaneousCrashWindow;
    if (!is_separate) continue;
    ++crashes;
    last_counted = crash.crashed_at;
  }
  return crashes;
}

bool PoisonRequests::AddCrash(const RequestDigest& digest, const Crash& crash) {
  auto last_seen = last_seen_.find(crash.endpoint);
  if (last_seen != last_seen_.end() && crash.crashed_at <= last_seen->second.at)
    return false;
  if (requests_.count(digest) == 0) Evict();
  Request& request = requests_[digest];
  if (request.cleared.count(crash.endpoint) > 0) return false;
  auto& crashes = request.crashes;
  for (Crash& existing : crashes) {
    if (existing.endpoint != crash.endpoint) continue;
    existing.is_local = existing.is_local || crash.is_local;
    return false;
  }
  auto by_crash_time = [](const Crash& a, const Crash& b) {
    return a.crashed_at < b.crashed_at;
  };
  crashes.insert(
      std::upper_bound(crashes.begin(), crashes.end(), crash, by_crash_time),
      crash);
  if (crashes.size() > kMaxCrashesPerRequest) crashes.erase(crashes.begin());
  request.last_event_at = std::max(request.last_event_at, crash.crashed_at);
  TimePoint& last_crash = last_crash_[crash.endpoint];
  last_crash = std::max(last_crash, crash.crashed_at);
  return true;
}

void PoisonRequests::RecordCrash(const std::vector<EndpointRun>& runs,
                                 TimePoint crashed_at) {
  for (const EndpointRun& run : runs) {
    if (healthy_requests_.ExcuseCrash(run.request, run.version)) continue;
    Crash crash{run.endpoint, run.version, run.started_at, crashed_at, true};
    if (AddCrash(run.request, crash)) has_unreported_changes_ = true;
  }
  UpdateQuarantine();
}

void PoisonRequests::ClearCrash(Request* request, const std::string& endpoint,
                                bool is_local) {
  auto& crashes = request->crashes;
  crashes.erase(std::remove_if(crashes.begin(), crashes.end(),
                               [&endpoint](const Crash& crash) {
                                 return crash.endpoint == endpoint;
                               }),
                crashes.end());
  bool& by_this_box = request->cleared[endpoint];
  by_this_box = by_this_box || is_local;
  if (request->cleared.size() > kMaxClearedEndpoints) {
    request->cleared.erase(request->cleared.begin());
  }
}

void PoisonRequests::RecordSurvivedRun(const EndpointRun& run, TimePoint now) {
  healthy_requests_.RecordHealthyRun(run.request, run.version, now);
  auto found = requests_.find(run.request);
  if (found == requests_.end() || found->second.crashes.empty()) return;
  ClearCrashes(&found->second, run.version, now);
  UpdateQuarantine();
}

void PoisonRequests::ClearCrashes(Request* request, const std::string& version,
                                  TimePoint now) {
  // A single crash quarantines no request, so it need not be reported.
  if (CountCrashes(*request) > 1) has_unreported_changes_ = true;
  for (const Crash& crash : std::vector<Crash>(request->crashes)) {
    bool is_cleared = crash.version == version && crash.crashed_at <= now;
    if (is_cleared) ClearCrash(request, crash.endpoint, true);
  }
}

bool PoisonRequests::RecordLastSeen(const std::string& endpoint,
                                    const LastSeen& last_seen) {
  LastSeen& existing = last_seen_[endpoint];
  existing.is_local = existing.is_local || last_seen.is_local;
  // Repeated reports of the same event differ by their transit times.
  if (last_seen.at - existing.at < kDuplicateReportWindow) return false;
  existing.at = last_seen.at;
  if (last_seen_.size() > kMaxLastSeen) last_seen_.erase(last_seen_.begin());
  bool may_affect_quarantine = false;
  for (auto& entry : requests_) {
    auto& crashes = entry.second.crashes;
    auto removed =
        std::remove_if(crashes.begin(), crashes.end(), [&](const Crash& crash) {
          return crash.endpoint == endpoint && crash.crashed_at <= last_seen.at;
        });
    if (removed == crashes.end()) continue;
    if (crashes.size() > 1) may_affect_quarantine = true;
    crashes.erase(removed, crashes.end());
  }
  last_crash_.erase(endpoint);
  return may_affect_quarantine;
}

void PoisonRequests::RecordResponse(const std::string& endpoint,
                                    TimePoint sent_at) {
  auto last_crash = last_crash_.find(endpoint);
  if (last_crash == last_crash_.end() || sent_at <= last_crash->second) return;
  if (RecordLastSeen(endpoint, {sent_at, true})) has_unreported_changes_ = true;
  UpdateQuarantine();
}

void PoisonRequests::UpdateQuarantine() {
  for (auto& [digest, request] : requests_) {
    bool quarantine = CountCrashes(request) >= kCrashThreshold;
    if (quarantine != request.quarantined)
      SetQuarantined(digest, &request, quarantine);
  }
}

void PoisonRequests::SetQuarantined(const RequestDigest& digest,
                                    Request* request, bool quarantined) {
  request->quarantined = quarantined;
  quarantined_count_ += quarantined ? 1 : -1;
  QuarantineChange change{digest, quarantined, {}};
  for (const Crash& crash : request->crashes) {
    change.endpoints.push_back(crash.endpoint);
  }
  quarantine_changes_.push_back(std::move(change));
}

TimePoint PoisonRequests::ComputeTrialTime(const RequestDigest& digest,
                                           const Request& request,
                                           bool crashed_version_listed) const {
  TimePoint first_crash = request.crashes.front().crashed_at;
  auto trials = static_cast<size_t>(std::count_if(
      request.trials.begin(), request.trials.end(),
      [first_crash](const Trial& t) { return t.at > first_crash; }));
  return NextTrialTime({box_ + "/" + digest.bytes(), trials,
                        request.last_event_at, crashed_version_listed});
}

PoisonVerdict PoisonRequests::Evaluate(
    const RequestDigest& request, const std::string& target,
    const std::function<bool(const std::string&)>& is_listed,
    TimePoint now) const {
  PoisonVerdict verdict;
  auto found = requests_.find(request);
  if (found == requests_.end() || !found->second.quarantined) return verdict;
  const Request& record = found->second;
  verdict.crashes = CountCrashes(record);
  if (!target.empty() && CountCrashes(record, target) < kCrashThreshold) {
    verdict.kind = PoisonVerdict::Kind::kAvoidTarget;
    return verdict;
  }
  bool crashed_version_listed =
      std::any_of(record.crashes.begin(), record.crashes.end(),
                  [&](const Crash& crash) { return is_listed(crash.version); });
  verdict.kind = PoisonVerdict::Kind::kQuarantine;
  if (!connected_to_peers_) return verdict;
  TimePoint trial_time =
      ComputeTrialTime(request, record, crashed_version_listed);
  if (trial_time <= now) verdict.kind = PoisonVerdict::Kind::kTrial;
  verdict.time_until_trial = std::chrono::ceil<milliseconds>(
      std::max(trial_time - now, TimePoint::duration::zero()));
  return verdict;
}

void PoisonRequests::AddTrial(Request* request, TimePoint at, bool is_local) {
  // Repeated reports of the same trial differ by their transit times.
  for (const Trial& existing : request->trials) {
    if (existing.is_local == is_local &&
        std::chrono::abs(existing.at - at) < kTrialStagger) {
      return;
    }
  }
  request->trials.push_back({at, is_local});
  if (request->trials.size() > kMaxCrashesPerRequest) {
    request->trials.erase(request->trials.begin());
  }
  request->last_event_at = std::max(request->last_event_at, at);
}

void PoisonRequests::RecordTrial(const RequestDigest& request, TimePoint now) {
  auto found = requests_.find(request);
  if (found == requests_.end() || !found->second.quarantined) return;
  AddTrial(&found->second, now, true);
  has_unreported_changes_ = true;
}

bool PoisonRequests::TakeChangeFlag() {
  bool changed = has_unreported_changes_;
  has_unreported_changes_ = false;
  return changed;
}

bool PoisonRequests::HasLocalRecords(const Request& request) {
  auto is_local = [](const auto& part) { return part.is_local; };
  const auto& crashes = request.crashes;
  const auto& trials = request.trials;
  return std::any_of(crashes.begin(), crashes.end(), is_local) ||
         std::any_of(trials.begin(), trials.end(), is_local) ||
         std::any_of(request.cleared.begin(), request.cleared.end(),
                     [](const auto& cleared) { return cleared.second; });
}

void PoisonRequests::AppendNotes(PoisonNotes* notes,
                                 const RequestDigest& digest,
                                 const Request& request, TimePoint now) const {
  StruckRequest* note = notes->add_requests();
  note->set_digest(digest.bytes());
  for (const Crash& crash : request.crashes) {
    if (!crash.is_local) continue;
    EndpointStrike* out = note->add_strikes();
    out->set_endpoint(crash.endpoint);
    out->set_version(crash.version);
    out->set_age_ms(AgeMs(crash.crashed_at, now));
    out->set_run_ms(AgeMs(crash.run_started_at, crash.crashed_at));
  }
  for (const auto& [endpoint, is_local] : request.cleared) {
    if (is_local) note->add_refuted(endpoint);
  }
  for (const Trial& trial : request.trials) {
    if (trial.is_local) note->add_trial_ages_ms(AgeMs(trial.at, now));
  }
}

PoisonNotes PoisonRequests::BuildNotes(TimePoint now, WallTime wall) const {
  PoisonNotes notes;
  notes.set_written_at_ms(SinceEpoch(wall).count());
  // Requests with the most crashes come first, then those whose crashed run
  // started last.
  using Rank = std::pair<size_t, TimePoint>;
  std::multimap<Rank, const RequestDigest*, std::greater<>> local_requests;
  for (const auto& [digest, request] : requests_) {
    if (!HasLocalRecords(request)) continue;
    TimePoint last_run_start{};
    for (const Crash& crash : request.crashes) {
      last_run_start = std::max(last_run_start, crash.run_started_at);
    }
    local_requests.emplace(Rank(request.crashes.size(), last_run_start),
                           &digest);
  }
  for (const auto& ranked : local_requests) {
    if (notes.requests_size() == kMaxReportedRequests) break;
    AppendNotes(&notes, *ranked.second, requests_.at(*ranked.second), now);
  }
  for (const auto& [endpoint, last_seen] : last_seen_) {
    if (!last_seen.is_local) continue;
    EndpointLife* out = notes.add_lives();
    out->set_endpoint(endpoint);
    out->set_age_ms(AgeMs(last_seen.at, now));
  }
  return notes;
}

TimePoint::duration PoisonRequests::ReportOffset(const PoisonNotes& notes,
                                                 TimePoint written_at) const {
  for (const StruckRequest& note : notes.requests()) {
    auto found = requests_.find(RequestDigest(note.digest()));
    if (found == requests_.end()) continue;
    for (const EndpointStrike& reported : note.strikes()) {
      for (const Crash& known : found->second.crashes) {
        if (known.is_local || known.endpoint != reported.endpoint()) continue;
        return known.crashed_at - written_at + milliseconds(reported.age_ms());
      }
    }
  }
  return TimePoint::duration::zero();
}

std::map<std::string, TimePoint> PoisonRequests::Merge(const PoisonNotes& notes,
                                                       TimePoint as_of,
                                                       bool is_local) {
  TimePoint written_at = as_of + ReportOffset(notes, as_of);
  std::map<std::string, TimePoint> new_crashes;
  for (const EndpointLife& alive : notes.lives()) {
    RecordLastSeen(alive.endpoint(),
                   {written_at - milliseconds(alive.age_ms()), is_local});
  }
  for (const StruckRequest& note : notes.requests()) {
    RequestDigest digest(note.digest());
    for (const EndpointStrike& crash : note.strikes()) {
      TimePoint crashed_at = written_at - milliseconds(crash.age_ms());
      TimePoint run_started_at = crashed_at - milliseconds(crash.run_ms());
      bool is_new = AddCrash(digest, {crash.endpoint(), crash.version(),
                                      run_started_at, crashed_at, is_local});
      if (is_new && !is_local)
        new_crashes.emplace(crash.endpoint(), crashed_at);
    }
    auto found = requests_.find(digest);
    if (found == requests_.end()) continue;
    Request& request = found->second;
    for (const EndpointStrike& crash : note.strikes()) {
      bool is_healthy = healthy_requests_.Contains(digest, crash.version());
      if (is_healthy) ClearCrashes(&request, crash.version(), written_at);
    }
    for (const std::string& endpoint : note.refuted()) {
      ClearCrash(&request, endpoint, is_local);
    }
    for (uint32_t age : note.trial_ages_ms()) {
      AddTrial(&request, written_at - milliseconds(age), is_local);
    }
  }
  UpdateQuarantine();
  return new_crashes;
}

std::vector<QuarantineChange> PoisonRequests::TakeQuarantineChanges() {
  std::vector<QuarantineChange> changes;
  changes.swap(quarantine_changes_);
  return changes;
}

void PoisonRequests::Remove(const RequestDigest& digest) {
  auto found = requests_.find(digest);
  if (found->second.quarantined) --quarantined_count_;
  requests_.erase(found);
}

void PoisonRequests::Evict() {
  if (requests_.size() < kMaxRequests) return;
  // Evicts requests of the organisation that has the most, those with the
  // fewest crashes first, and of those the oldest. So a flood of requests of
  // one organisation does not evict the requests of another.
  std::map<uint32_t, size_t> counts;
  for (const auto& entry : requests_) ++counts[entry.first.organisation_hash()];
  auto fewer = [](const auto& a, const auto& b) { return a.second < b.second; };
  uint32_t largest_organisation =
      std::max_element(counts.begin(), counts.end(), fewer)->first;
  using Rank = std::pair<size_t, TimePoint>;
  std::multimap<Rank, RequestDigest> ranked;
  for (const auto& [digest, request] : requests_) {
    if (digest.organisation_hash() != largest_organisation) continue;
    ranked.emplace(Rank(request.crashes.size(), request.last_event_at), digest);
  }
  size_t remaining = std::min(kEvictionBatch, (ranked.size() + 1) / 2);
  for (const auto& entry : ranked) {
    if (remaining-- == 0) break;
    Remove(entry.second);
  }
}

void PoisonRequests::Expire(TimePoint now) {
  std::vector<RequestDigest> expired;
  for (auto& [digest, request] : requests_) {
    if (now - request.last_event_at > kRetention) expired.push_back(digest);
  }
  for (const RequestDigest& digest : expired) {
    Request& request = requests_[digest];
    if (request.quarantined) SetQuarantined(digest, &request, false);
    Remove(digest);
  }
  auto expire = [now](auto* map, auto time_of) {
    for (auto entry = map->begin(); entry != map->end();) {
      bool is_expired = now - time_of(entry->second) > kRetention;
      entry = is_expired ? map->erase(entry) : std::next(entry);
    }
  };
  expire(&last_crash_, [](TimePoint at) { return at; });
  expire(&last_seen_, [](const LastSeen& last_seen) { return last_seen.at; });
}

}  // namespace leverwick
