// The endpoints that a platform lists, and how far each is to be believed.
//
// Entries come and go one at a time. An endpoint's own word that it is leaving,
// in its entry or in an answer, binds at once and for the rest of its life,
// whatever its entry says later; a later start under the same id is another
// life. An entry that vanished while the list could not be read may
// have lapsed only because the endpoint could not renew it: it is kept until
// the endpoint has had time to come back, and is gone if it has not. One that
// vanishes soon after the list is back may still have lapsed for that reason,
// but a request must not reach an endpoint that has left longer ago than it
// serves on: such an entry is kept no longer than that, counted from the last
// read that still had it.
//
//   EndpointDirectory directory(&pool, &slow_start);
//   directory.Put(endpoint, now);
//   directory.Remove(id, now);
//   directory.ReadFailed(); ... directory.ReadSucceeded(as_of);
//   directory.Expire(now);

#ifndef DAEMON_ENDPOINT_DIRECTORY_H_
#define DAEMON_ENDPOINT_DIRECTORY_H_

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "leverwick/endpoint_pool.h"
#include "leverwick/endpoint_scaler.h"
#include "leverwick/service_rollouts.h"
#include "leverwick/slow_start.h"
#include "leverwick/time.h"

namespace leverwick {

struct DirectoryEntry {
  std::string id;
  // When its process started: with the id, it tells its lives apart. Unset: not
  // told, and all under the id are one.
  std::optional<WallTime> born;
  std::string address;
  std::string service;
  std::string data_centre;
  std::string version;  // of its software
  size_t places = 1;
  bool lists_places = false;  // false: `places` is assumed
  bool leaving = false;
  milliseconds cold_for{0};  // how much longer it bears few requests only
  bool reclaimable = false;  // the platform may take it away at any time

  // Whether the pool would hold the same of both; how cold they are is not the
  // pool's.
  bool SameAs(const DirectoryEntry& other) const {
    return address == other.address && service == other.service &&
           data_centre == other.data_centre && version == other.version &&
           places == other.places && lists_places == other.lists_places &&
           leaving == other.leaving && born == other.born;
  }
};

// Not thread-safe.
class EndpointDirectory {
 public:
  EndpointDirectory(EndpointPool* pool, SlowStart* slow_start)
      : pool_(pool), slow_start_(slow_start) {}

  void Put(const DirectoryEntry& listed, TimePoint now);
  void Remove(const std::string& id, TimePoint now);
  // The list was read anew as a whole: what it lacks is removed.
  void Replace(const std::vector<DirectoryEntry>& entries, TimePoint now);

  // The endpoint itself, or whoever has its address now, says that it is gone.
  void Gone(const std::string& id, TimePoint now);

  // Called when an endpoint has started again under its id.
  void OnNewLife(std::function<void(const std::string& id)> callback) {
    on_new_life_ = std::move(callback);
  }

  // Called when an endpoint is listed or its entry changes, and with its id
  // when its entry is gone.
  void OnListed(std::function<void(const DirectoryEntry&)> callback) {
    on_listed_ = std::move(callback);
  }
  void OnUnlisted(std::function<void(const std::string& id)> callback) {
    on_unlisted_ = std::move(callback);
  }

  // Called with the name of its life when an endpoint's entry is gone.
  void OnGone(std::function<void(const std::string& life)> callback) {
    on_gone_ = std::move(callback);
  }
  // The name of the newest life known under an id
  // (leverwick/endpoint_incarnation.h).
  std::string LifeOf(const std::string& id) const;

  // An answer of the endpoint said that it is leaving.
  void SaidLeaving(const std::string& id, TimePoint now);

  void ReadFailed() { away_ = true; }
  // The list is known as it was at `as_of`.
  void ReadSucceeded(TimePoint as_of);
  // Drops what was doubtful for long enough.
  void Expire(TimePoint now);

  const DirectoryEntry* Find(const std::string& id) const;
  // The endpoint that is listed at an address; null: none.
  const DirectoryEntry* FindAt(const std::string& address) const;
  // Up to `count` other endpoints, those of its data centre if there are any.
  // `draw`, from 0 to 1, decides which.
  std::vector<const DirectoryEntry*> NeighboursOf(const std::string& id,
                                                  size_t count,
                                                  double draw) const;
  // Versions of a service's endpoints that are not leaving.
  std::set<std::string> VersionsOf(const std::string& service) const;
  // Whether at least half of a version's endpoints will be warm at `when`.
  // False for a version without endpoints.
  bool IsWarm(const std::string& service, const std::string& version,
              TimePoint when) const;
  // Endpoints of a service that are not leaving, by data centre; `use` tells
  // what those of a version are used for.
  SupplyByDataCentre SupplyOf(
      const std::string& service, TimePoint now,
      const std::function<VersionUse(const std::string& version)>& use) const;
  size_t size() const { return entries_.size(); }

 private:
  struct Known {
    DirectoryEntry entry;
    TimePoint cold_until{};  // by its own word
    bool doubtful = false;   // vanished while the list could not be read
    TimePoint kept_until{};  // a doubtful one, at most
    bool gone = false;       // by its own word
  };

  // The newest life under an id; kept for a time after its entry is gone, since
  // one that lapsed may come back.
  struct Life {
    std::optional<WallTime> born;
    bool said_leaving = false;
    TimePoint listed_at{};  // last
  };

  // False if the entry is that of an earlier life than the newest.
  bool LearnLife(const DirectoryEntry& entry, TimePoint now);

  // Whether an entry that vanishes now may come back, and how long it is kept.
  bool IsInDoubt(TimePoint now, TimePoint* kept_until) const;

  void Erase(const std::string& id);
  void ForgetLives(TimePoint now);

  EndpointPool* const pool_;
  SlowStart* const slow_start_;
  std::map<std::string, Known> entries_;
  std::map<std::string, Life> lives_;  // the newest by id; outlive entries
  std::function<void(const std::string& id)> on_new_life_ =
      [](const std::string&) {};
  std::function<void(const std::string& life)> on_gone_ =
      [](const std::string&) {};
  std::function<void(const DirectoryEntry&)> on_listed_ =
      [](const DirectoryEntry&) {};
  std::function<void(const std::string& id)> on_unlisted_ =
      [](const std::string&) {};
  bool any_doubtful_ = false;
  bool omits_lines_ = false;  // of endpoints that are listed
  TimePoint lives_at_{};      // when lives are looked through next
  bool away_ = false;
  TimePoint back_at_{};  // as of the first read after failed ones
  TimePoint read_at_{};  // as of the last read
};

}  // namespace leverwick

#endif  // DAEMON_ENDPOINT_DIRECTORY_H_
