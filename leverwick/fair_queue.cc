// Self-clocked fair queueing: a request's virtual finish is its
// organisation's last finish, or the virtual time if that is later, plus cost
// over weight. The waiter with the smallest finish starts next, and its finish
// becomes the virtual time. One that may not start, because its organisation
// holds too much for so full a pool, is passed over.

#include "leverwick/fair_queue.h"

#include <algorithm>
#include <cmath>

namespace leverwick {
namespace {

// An organisation that holds its part and this many parts more is as far
// beyond it as can be.
constexpr double kFarBeyond = 3;

}  // namespace

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

// 0 within the part, with one more request; 1 far beyond it.
double FairQueue::Beyond(const std::string& organisation) const {
  auto found = running_of_.find(organisation);
  if (found == running_of_.end() || found->second == 0) return 0;
  double total = 0;
  for (const auto& entry : weights_) total += entry.second;
  double part =
      static_cast<double>(places_) * weights_.at(organisation) / total;
  double excess = static_cast<double>(found->second + 1) - part;
  return std::min(1.0, std::max(0.0, excess / part / kFarBeyond));
}

bool FairQueue::MayStart(const std::string& organisation) const {
  auto places = static_cast<double>(places_);
  auto running = static_cast<double>(running_.size());
  if (weights_.size() == 1) return running < places;
  double beyond = Beyond(organisation);
  double limit = places * (1 + options_.overcommit * (1 - beyond) -
                           options_.reserve * beyond);
  // Of a few places a share may be less than one: rounded in its favour.
  return running + 1 <= std::max(1.0, std::round(limit));
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
  for (auto next = order_.begin(); next != order_.end();) {
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
