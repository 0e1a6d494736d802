// Who gets the next free place of a busy pool.
//
// Weighted fair queueing in cost (tokens), not in requests: an organisation's
// long filings can't slow another's short lookups. A place is one request in
// progress. How full the pool may get for a request depends on how much its
// organisation holds already: within its weight's part somewhat over all
// places, which slows the engines a little, and the less the further it is
// beyond it, down to all places but a reserve. So one that floods the pool
// can't make the others wait for its long requests to end. When the queue is
// full, the waiter
// of the lowest priority is shed, at once; among equals the one that would be
// served last, which is the flooder's.
//
//   FairQueue queue(places, max_waiting, options);
//   FairQueue::Ticket ticket = queue.Enter("acme", 1.0, 5, 800, &shed);
//   if (ticket.state == FairQueue::kWaiting) ...  // a later Leave starts it
//
// The queue has no threads: Leave returns the ids that may start now and
// Enter the ids that were shed; the caller wakes their threads.

#ifndef LEVERWICK_FAIR_QUEUE_H_
#define LEVERWICK_FAIR_QUEUE_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "leverwick/time.h"

namespace leverwick {

struct FairQueueOptions {
  // Share of the places that an organisation far beyond its part leaves free.
  double reserve = 0;
  // Places on top of all, as a share, for organisations within their part.
  double overcommit = 0;
};

// Not thread-safe; the daemon guards each pool's queue with its own lock.
class FairQueue {
 public:
  enum State { kRunning, kWaiting, kShed };

  struct Ticket {
    uint64_t id = 0;
    State state = kShed;
  };

  FairQueue(size_t capacity, size_t max_waiting,
            const FairQueueOptions& options = {})
      : capacity_(capacity), max_waiting_(max_waiting), options_(options) {}

  // Enters a request of `cost` tokens. A waiter shed in its favour is added
  // to `shed`.
  Ticket Submit(const std::string& organisation, double weight, int priority,
                double cost, std::vector<uint64_t>* shed);

  // A running request ended; returns the ids that run from now on.
  std::vector<uint64_t> Finish(uint64_t id);

  // A waiter gave up. False when it runs already.
  bool Cancel(uint64_t id);

  // Changes the number of places; returns the ids that run from now on.
  std::vector<uint64_t> SetCapacity(size_t capacity);

  size_t running() const { return running_.size(); }
  size_t waiting() const { return waiters_.size(); }

  // Expected time until a new request would start, from the mean time a place
  // was held.
  nanoseconds ExpectedWait(nanoseconds mean_run_time) const;

 private:
  struct Waiter {
    std::string organisation;
    double virtual_finish = 0;  // virtual time at which it would end
    double cost = 0;
    int priority = 0;
  };

  std::vector<uint64_t> StartWaiters();
  double ExcessOverShare(const std::string& organisation) const;
  bool MayStart(const std::string& organisation) const;
  void Start(uint64_t id, const std::string& organisation);
  uint64_t FindShedVictim() const;

  size_t capacity_;
  const size_t max_waiting_;
  const FairQueueOptions options_;
  uint64_t last_id_ = 0;
  double virtual_time_ = 0;
  std::map<std::string, double> last_virtual_finish_;  // by organisation
  std::map<uint64_t, Waiter> waiters_;
  std::set<std::pair<double, uint64_t>> by_virtual_finish_;  // by finish
  std::map<uint64_t, std::string> running_;                  // to organisation
  std::map<std::string, size_t> running_by_organisation_;    // by organisation
  std::map<std::string, double> weights_;                    // of all ever seen
};

}  // namespace leverwick

#endif  // LEVERWICK_FAIR_QUEUE_H_
