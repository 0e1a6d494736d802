// Endpoints that have just ended together refuse at once and so look idle, and
// many boxes meet them first. Test connections go to endpoints that have not
// failed yet, so that the others show themselves. Refusals of requests come
// within a millisecond or two, often sooner than the first of these connections
// is accepted, and so a partition does not begin while one of them is under
// way, or while the next ones are not due yet.
//
// Requests prefer endpoints that look idle, so their failures say nothing of
// how many endpoints have ended. Test connections are drawn at random: with a
// share s of the others ended, k of them all fail with the probability s^k.

#include "leverwick/partition_detector.h"

#include <algorithm>

namespace leverwick {
namespace {

// Distinct endpoints that fail in a row, or all where fewer are listed, before
// test connections are opened and before the box counts as partitioned.
constexpr size_t kFailuresToSuspect = 3;
constexpr size_t kFailuresToConfirm = 6;
// Failures of a service with fewer endpoints.
constexpr size_t kMinFailures = 3;
constexpr size_t kProbesAtOnce = 3;
constexpr size_t kProbesInSecondRound = 15;
// Endpoints to which no test connection is opened again before others.
constexpr size_t kMaxExcluded = 64;
// A single contact may be the one that a flapping link lets through.
constexpr int kRequiredContacts = 2;
constexpr int kMaxRequiredContacts = 8;
// Failures in between don't count against the contacts: some endpoints may have
// ended while the path to the others works.
constexpr milliseconds kContactWindow{2000};
// A partition that begins this soon after the previous one counts as its
// return.
constexpr std::chrono::seconds kRelapseTime{10};
constexpr std::chrono::seconds kIdleExpiry{60};

}  // namespace

void PartitionDetector::RecordConnectFailure(const std::string& service,
                                             const std::string& endpoint,
                                             Failure failure, size_t listed,
                                             TimePoint now) {
  Service& state = services_[service];
  state.last_failure = now;
  state.last_kind = failure;
  if (failure == Failure::kClosed) state.any_closed = true;
  if (state.failed_endpoints.size() >= kMaxExcluded) {
    state.failed_endpoints.clear();
  }
  state.failed_endpoints.insert(endpoint);
  if (state.is_partitioned) return;
  ++state.failures;
  size_t reachable = std::max<size_t>(1, listed);
  size_t distinct = state.failed_endpoints.size();
  state.is_suspect = distinct >= std::min(kFailuresToSuspect, reachable);
  bool is_confirmed = state.failures >= kMinFailures &&
                      distinct >= std::min(kFailuresToConfirm, reachable);
  if (!is_confirmed || AwaitsProbes(state, now)) return;
  if (!NeedsSecondRound(state, listed)) return Begin(service, &state, now);
  state.is_second_round_due = true;
  state.next_probe = now;
}

bool PartitionDetector::NeedsSecondRound(const Service& service,
                                         size_t listed) {
  bool are_others_left = service.failed_endpoints.size() < listed;
  return service.last_kind == Failure::kRefused && service.is_tested &&
         !service.is_tested_twice && are_others_left;
}

bool PartitionDetector::AwaitsProbes(const Service& service, TimePoint now) {
  bool are_still_to_come = service.is_second_round_due ||
                           (!service.is_tested && now < service.next_probe);
  if (are_still_to_come) return true;
  // An endpoint that has failed meanwhile is known already.
  const auto& probed = service.probed_endpoints;
  return std::any_of(probed.begin(), probed.end(),
                     [&service](const std::string& endpoint) {
                       return service.failed_endpoints.count(endpoint) == 0;
                     });
}

void PartitionDetector::RecordProbeBegin(const std::string& service,
                                         const std::string& endpoint) {
  services_[service].probed_endpoints.insert(endpoint);
}

void PartitionDetector::RecordProbeEnd(const std::string& service,
                                       const std::string& endpoint) {
  auto found = services_.find(service);
  if (found == services_.end()) return;
  auto& probed = found->second.probed_endpoints;
  auto probe = probed.find(endpoint);
  if (probe != probed.end()) probed.erase(probe);
}

void PartitionDetector::Begin(const std::string& name, Service* service,
                              TimePoint now) {
  bool is_relapse =
      service->was_partitioned && now - service->ended_at < kRelapseTime;
  service->required_contacts =
      is_relapse
          ? std::min(kMaxRequiredContacts, 2 * service->required_contacts)
          : kRequiredContacts;
  service->is_partitioned = true;
  service->since = now;
  service->contacts = 0;
  service->contacts_since = TimePoint{};
  service->next_probe = now + kProbeInterval;
  service->next_trial = now;
  on_change_(name, true, now);
}

bool PartitionDetector::RecordAccept(const std::string& service,
                                     TimePoint now) {
  auto found = services_.find(service);
  if (found == services_.end()) return true;
  if (found->second.any_closed) return false;
  RecordContact(service, now);
  return true;
}

void PartitionDetector::RecordContact(const std::string& service,
                                      TimePoint now) {
  auto found = services_.find(service);
  if (found == services_.end()) return;
  Service& state = found->second;
  state.failed_endpoints.clear();
  state.failures = 0;
  state.any_closed = false;
  state.is_suspect = false;
  state.is_tested = false;
  state.is_second_round_due = false;
  state.is_tested_twice = false;
  state.next_probe = std::min(state.next_probe, now + kConfirmInterval);
  if (!state.is_partitioned) return;
  if (now - state.contacts_since > kContactWindow) {
    state.contacts = 0;
    state.contacts_since = now;
  }
  ++state.contacts;
  if (state.contacts >= state.required_contacts) End(service, &state, now);
}

void PartitionDetector::End(const std::string& name, Service* service,
                            TimePoint now) {
  service->is_partitioned = false;
  service->was_partitioned = true;
  service->ended_at = now;
  service->next_probe = now;
  on_change_(name, false, service->since);
}

bool PartitionDetector::IsPartitioned(const std::string& service) const {
  auto found = services_.find(service);
  return found != services_.end() && found->second.is_partitioned;
}

size_t PartitionDetector::partitioned_count() const {
  return static_cast<size_t>(std::count_if(
      services_.begin(), services_.end(),
      [](const auto& entry) { return entry.second.is_partitioned; }));
}

std::vector<PartitionProbe> PartitionDetector::TakeDueProbes(TimePoint now) {
  std::vector<PartitionProbe> due;
  for (auto& [name, service] : services_) {
    bool is_wanted = service.is_partitioned || service.is_suspect;
    if (!is_wanted || now < service.next_probe) continue;
    service.next_probe = now + kProbeInterval;
    service.is_tested = true;
    size_t count =
        service.is_second_round_due ? kProbesInSecondRound : kProbesAtOnce;
    if (service.is_second_round_due) service.is_tested_twice = true;
    service.is_second_round_due = false;
    due.push_back({name, count, service.failed_endpoints});
  }
  return due;
}

bool PartitionDetector::TakeTrial(const std::string& service, TimePoint now) {
  auto found = services_.find(service);
  if (found == services_.end() || !found->second.is_partitioned) return true;
  Service& state = found->second;
  bool may_try =
      state.last_kind == Failure::kRefused && now >= state.next_trial;
  if (may_try) state.next_trial = now + kTrialInterval;
  return may_try;
}

void PartitionDetector::Expire(TimePoint now) {
  for (auto entry = services_.begin(); entry != services_.end();) {
    const Service& service = entry->second;
    bool is_idle =
        !service.is_partitioned && now - service.last_failure > kIdleExpiry;
    entry = is_idle ? services_.erase(entry) : std::next(entry);
  }
}

void PartitionDetector::Discard(const std::string& service) {
  auto found = services_.find(service);
  if (found == services_.end()) return;
  bool was_partitioned = found->second.is_partitioned;
  TimePoint since = found->second.since;
  services_.erase(found);
  if (was_partitioned) on_change_(service, false, since);
}

}  // namespace leverwick
