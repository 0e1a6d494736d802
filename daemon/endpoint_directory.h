// The endpoints that a platform lists, and how far each is to be believed.
//
// Entries come and go one at a time. An endpoint's own word that it is leaving
// binds at once. An entry that vanished while the list could not be read may
// have lapsed only because the endpoint could not renew it: it is kept until
// the endpoint has had time to come back, and is gone if it has not.
//
//   EndpointDirectory directory(&pool);
//   directory.Put(endpoint, now);
//   directory.Remove(id, now);
//   directory.ReadFailed(); ... directory.ReadSucceeded(now);
//   directory.Expire(now);

#ifndef DAEMON_ENDPOINT_DIRECTORY_H_
#define DAEMON_ENDPOINT_DIRECTORY_H_

#include <map>
#include <set>
#include <string>
#include <vector>

#include "leverwick/endpoints.h"
#include "leverwick/time.h"

namespace leverwick {

struct DirectoryEntry {
  std::string id;  // of one life of the endpoint
  std::string address;
  std::string service;
  std::string data_centre;
  std::string version;  // of its software
  size_t places = 1;
  bool leaving = false;
};

// Not thread-safe.
class EndpointDirectory {
 public:
  explicit EndpointDirectory(EndpointPool* pool) : pool_(pool) {}

  void Put(const DirectoryEntry& entry, TimePoint now);
  void Remove(const std::string& id, TimePoint now);
  // The list was read anew as a whole: what it lacks is removed.
  void Replace(const std::vector<DirectoryEntry>& entries, TimePoint now);

  // The endpoint itself, or whoever has its address now, says that it is gone.
  void Gone(const std::string& id, TimePoint now);

  void ReadFailed() { away_ = true; }
  void ReadSucceeded(TimePoint now);
  // Drops what was doubtful for long enough.
  void Expire(TimePoint now);

  const DirectoryEntry* Find(const std::string& id) const;
  // Versions of a service's endpoints that are not leaving.
  std::set<std::string> VersionsOf(const std::string& service) const;
  size_t size() const { return entries_.size(); }

 private:
  struct Known {
    DirectoryEntry entry;
    bool doubtful = false;  // vanished while the list could not be read
    bool gone = false;      // by its own word
  };

  void Erase(const std::string& id);
  void Publish(TimePoint now);

  EndpointPool* const pool_;
  std::map<std::string, Known> entries_;
  bool away_ = false;
  TimePoint back_at_{};  // when the list could be read again
};

}  // namespace leverwick

#endif  // DAEMON_ENDPOINT_DIRECTORY_H_
