// Self-clocked fair queueing: a request's virtual finish is its
// organisation's last finish, or the virtual time if that is later, plus cost
// over weight. The waiter with the smallest finish starts next, and its finish
// becomes the virtual time.

#include "leverwick/fair_queue.h"

#include <algorithm>

namespace leverwick {

FairQueue::Ticket FairQueue::Enter(const std::string& organisation,
                                   double weight, int priority, double cost,
                                   std::vector<uint64_t>* shed) {
  Ticket ticket;
  ticket.id = ++last_id_;
  double& last = last_finish_[organisation];
  double finish = std::max(virtual_time_, last) + cost / weight;
  if (running_.size() < places_ && waiters_.empty()) {
    last = finish;
    running_.insert(ticket.id);
    ticket.state = kRunning;
    return ticket;
  }
  if (waiters_.size() >= max_waiting_) {
    uint64_t victim = LeastImportant();
    if (victim == 0 || waiters_[victim].priority >= priority) return ticket;
    Cancel(victim);
    shed->push_back(victim);
  }
  last = finish;
  waiters_[ticket.id] = Waiter{organisation, finish, cost / weight, priority};
  order_.insert({finish, ticket.id});
  ticket.state = kWaiting;
  return ticket;
}

std::vector<uint64_t> FairQueue::Leave(uint64_t id) {
  running_.erase(id);
  return StartWaiters();
}

bool FairQueue::Cancel(uint64_t id) {
  auto found = waiters_.find(id);
  if (found == waiters_.end()) return false;
  // The organisation gets back what it was charged for this waiter.
  last_finish_[found->second.organisation] -= found->second.cost;
  order_.erase({found->second.finish, id});
  waiters_.erase(found);
  return true;
}

std::vector<uint64_t> FairQueue::SetPlaces(size_t places) {
  places_ = places;
  return StartWaiters();
}

nanoseconds FairQueue::ExpectedWait(nanoseconds mean_hold) const {
  if (running_.size() < places_) return nanoseconds(0);
  double ahead = static_cast<double>(waiters_.size() + 1);
  double places = static_cast<double>(std::max<size_t>(1, places_));
  return FromSeconds(ToSeconds(mean_hold) * ahead / places);
}

std::vector<uint64_t> FairQueue::StartWaiters() {
  std::vector<uint64_t> started;
  while (running_.size() < places_ && !order_.empty()) {
    auto first = order_.begin();
    virtual_time_ = std::max(virtual_time_, first->first);
    started.push_back(first->second);
    running_.insert(first->second);
    waiters_.erase(first->second);
    order_.erase(first);
  }
  // With nobody waiting or running, old debts no longer matter.
  if (running_.empty() && waiters_.empty()) last_finish_.clear();
  return started;
}

uint64_t FairQueue::LeastImportant() const {
  uint64_t victim = 0;
  int lowest = 0;
  for (auto waiter = order_.rbegin(); waiter != order_.rend(); ++waiter) {
    int priority = waiters_.at(waiter->second).priority;
    if (victim != 0 && priority >= lowest) continue;
    victim = waiter->second;
    lowest = priority;
  }
  return victim;
}

}  // namespace leverwick
