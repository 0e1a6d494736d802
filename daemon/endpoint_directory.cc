// Every change is handed to the pool as a new list; entries are few hundred
// and change some times a second.

#include "daemon/endpoint_directory.h"

#include "net/log.h"

namespace leverwick {
namespace {

const Log kLog("endpoints");

// Entries that lapsed while the list was away are back within two seconds of
// its return (the users' letter); the rest is for the reading of it.
constexpr milliseconds kReturnTime{2300};

}  // namespace

void EndpointDirectory::Put(const DirectoryEntry& entry, TimePoint now) {
  auto found = entries_.find(entry.id);
  bool is_new = found == entries_.end();
  if (is_new || found->second.entry.leaving != entry.leaving) {
    kLog.Info(entry.leaving ? "Endpoint is leaving." : "Endpoint is listed.",
              {{"endpoint", entry.id},
               {"service", entry.service},
               {"version", entry.version},
               {"address", entry.address}});
  }
  Known& known = entries_[entry.id];
  bool left = known.entry.leaving;
  known.entry = entry;
  // A life never comes back from leaving.
  known.entry.leaving = entry.leaving || left;
  known.doubtful = false;
  Publish(now);
}

void EndpointDirectory::Remove(const std::string& id, TimePoint now) {
  auto found = entries_.find(id);
  if (found == entries_.end()) return;
  bool was_away = back_at_ != TimePoint{};
  bool in_doubt = away_ || (was_away && now - back_at_ < kReturnTime);
  if (in_doubt && !found->second.entry.leaving) {
    found->second.doubtful = true;
    kLog.Info("Endpoint vanished while the list was away.", {{"endpoint", id}});
    return;
  }
  Erase(id);
  Publish(now);
}

void EndpointDirectory::Replace(const std::vector<DirectoryEntry>& entries,
                                TimePoint now) {
  std::set<std::string> listed;
  for (const DirectoryEntry& entry : entries) listed.insert(entry.id);
  std::vector<std::string> missing;
  for (const auto& known : entries_) {
    if (listed.count(known.first) == 0) missing.push_back(known.first);
  }
  for (const std::string& id : missing) Remove(id, now);
  for (const DirectoryEntry& entry : entries) Put(entry, now);
}

void EndpointDirectory::Gone(const std::string& id, TimePoint now) {
  auto found = entries_.find(id);
  if (found == entries_.end() || found->second.gone) return;
  found->second.gone = true;
  kLog.Info("Endpoint is gone by its address's word.", {{"endpoint", id}});
  Publish(now);
}

void EndpointDirectory::ReadSucceeded(TimePoint now) {
  if (away_) back_at_ = now;
  away_ = false;
}

void EndpointDirectory::Expire(TimePoint now) {
  if (away_ || now - back_at_ < kReturnTime) return;
  std::vector<std::string> expired;
  for (const auto& known : entries_) {
    if (known.second.doubtful) expired.push_back(known.first);
  }
  if (expired.empty()) return;
  for (const std::string& id : expired) Erase(id);
  Publish(now);
}

const DirectoryEntry* EndpointDirectory::Find(const std::string& id) const {
  auto found = entries_.find(id);
  return found == entries_.end() ? nullptr : &found->second.entry;
}

std::set<std::string> EndpointDirectory::VersionsOf(
    const std::string& service) const {
  std::set<std::string> versions;
  for (const auto& known : entries_) {
    const DirectoryEntry& entry = known.second.entry;
    if (entry.service != service || entry.leaving) continue;
    versions.insert(entry.version);
  }
  return versions;
}

void EndpointDirectory::Erase(const std::string& id) {
  kLog.Info("Endpoint is no longer listed.", {{"endpoint", id}});
  entries_.erase(id);
}

void EndpointDirectory::Publish(TimePoint now) {
  std::vector<ListedEndpoint> listed;
  for (const auto& known : entries_) {
    const DirectoryEntry& entry = known.second.entry;
    if (known.second.gone) continue;
    ListedEndpoint endpoint;
    endpoint.address = entry.id;
    endpoint.target = entry.service;
    endpoint.version = entry.version;
    endpoint.data_centre = entry.data_centre;
    endpoint.places = entry.places;
    endpoint.leaving = entry.leaving;
    listed.push_back(std::move(endpoint));
  }
  pool_->SetListed(listed, now);
}

}  // namespace leverwick
