// Self-clocked fair queueing: a request's virtual finish is its
// organisation's last finish, or the virtual time if that is later, plus cost
// over weight. The waiter with the smallest finish starts next, and its finish
// becomes the virtual time. One that may not start, because its organisation
// is beyond its part and only the reserve is free, is passed over.

#include "leverwick/fair_queue.h"

#include <algorithm>

namespace leverwick {

FairQueue::Ticket FairQueue::Enter(const std::string& organisation,
                                   double weight, int priority, double cost,
                                   std::vector<uint64_t>* shed) {
  Ticket ticket;
  ticket.id = ++last_id_;
  weights_[organisation] = weight;
  double& last = last_finish_[organisation];
  double finish = std::max(virtual_time_, last) + cost / weight;
  // A waiter that could start would have: those that wait may not.
  if (MayStart(organisation)) {
    last = finish;
    Start(ticket.id, organisation);
    ticket.state = kRunning;
    return ticket;
  }
  if (waiters_.size() >= max_waiting_) {
    uint64_t victim = LeastImportant();
    if (victim == 0) return ticket;
    const Waiter& waiter = waiters_[victim];
    bool less = waiter.priority < priority ||
                (waiter.priority == priority && waiter.finish > finish);
    if (!less) return ticket;
    Cancel(victim);
    shed->push_back(victim);
  }
  last = finish;
  waiters_[ticket.id] = Waiter{organisation, finish, cost / weight, priority};
  order_.insert({finish, ticket.id});
  ticket.state = kWaiting;
  return ticket;
}

bool FairQueue::MayStart(const std::string& organisation) const {
  if (running_.size() >= places_) return false;
  double total = 0;
  for (const auto& entry : weights_) total += entry.second;
  double places = static_cast<double>(places_);
  double part = places * weights_.at(organisation) / total;
  auto found = running_of_.find(organisation);
  double held =
      found == running_of_.end() ? 0 : static_cast<double>(found->second);
  if (held + 1 <= part) return true;
  // Somebody's first request never waits for the reserve alone.
  double free = places - static_cast<double>(running_.size());
  return free > reserve_ * places || (held == 0 && reserve_ > 0) ||
         weights_.size() == 1;
}

void FairQueue::Start(uint64_t id, const std::string& organisation) {
  running_[id] = organisation;
  ++running_of_[organisation];
}

std::vector<uint64_t> FairQueue::Leave(uint64_t id) {
  auto found = running_.find(id);
  if (found != running_.end()) {
    --running_of_[found->second];
    running_.erase(found);
  }
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
  for (auto next = order_.begin();
       next != order_.end() && running_.size() < places_;) {
    const Waiter& waiter = waiters_.at(next->second);
    if (!MayStart(waiter.organisation)) {
      ++next;
      continue;
    }
    virtual_time_ = std::max(virtual_time_, next->first);
    started.push_back(next->second);
    Start(next->second, waiter.organisation);
    waiters_.erase(next->second);
    next = order_.erase(next);
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
