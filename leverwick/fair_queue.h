// FairQueue decides which waiting request of a busy pool starts next.
//
// It is a weighted fair queue whose cost is counted in tokens, not requests, so
// that long requests of one organisation don't delay short requests of another.
// The capacity is the number of requests that the pool runs at once. The limit
// that applies to a request depends on how many requests its organisation
// already runs. Up to the organisation's fair share by weight it is somewhat
// more than the capacity (overcommit), which slows the engines slightly. Above
// the fair share it decreases linearly, down to the capacity minus a reserve.
// An organisation that floods the pool therefore can't make others wait for its
// long requests.
//
// When the queue is full, the waiter of the lowest priority is shed at once.
// Among waiters of equal priority this is the one that would be served last,
// which normally belongs to the organisation with the largest backlog.
//
//   FairQueue queue(capacity, max_waiting, options);
//   FairQueue::Ticket ticket = queue.Submit("acme", 1.0, 5, 800, &shed);
//   if (ticket.state == FairQueue::kWaiting) ...  // started by a later Finish
//
// The queue has no threads: Finish returns the ids of the requests that may
// start and Submit the ids that were shed; the caller wakes the threads that
// wait.

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
  // Fraction of the capacity that an organisation far above its fair share
  // leaves free.
  double reserve = 0;
  // Additional fraction of the capacity for organisations within their fair
  // share.
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

  // Submits a request with a cost of `cost` tokens. A request with a higher
  // `priority` is more important. If a waiter is shed to make room, its id is
  // added to `shed`.
  Ticket Submit(const std::string& organisation, double weight, int priority,
                double cost, std::vector<uint64_t>* shed);

  // Removes a running request. Returns the ids of the requests that start now.
  std::vector<uint64_t> Finish(uint64_t id);

  // Removes a waiter. Returns false if the request already runs.
  bool Cancel(uint64_t id);

  // Changes the capacity. Returns the ids of the requests that start now.
  std::vector<uint64_t> SetCapacity(size_t capacity);

  size_t running() const { return running_.size(); }
  size_t waiting() const { return waiters_.size(); }

  // Returns the expected time until a new request would start, given the mean
  // run time of the requests.
  nanoseconds ExpectedWait(nanoseconds mean_run_time) const;

 private:
  struct Waiter {
    std::string organisation;
    // Virtual time at which the request would complete.
    double virtual_finish = 0;
    double cost = 0;  // in tokens over weight
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
  std::set<std::pair<double, uint64_t>> by_virtual_finish_;  // waiter ids
  std::map<uint64_t, std::string> running_;  // id to organisation
  std::map<std::string, size_t> running_by_organisation_;
  std::map<std::string, double> weights_;  // of all organisations seen so far
};

}  // namespace leverwick

#endif  // LEVERWICK_FAIR_QUEUE_H_
