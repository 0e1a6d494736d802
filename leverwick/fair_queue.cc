// Self-clocked fair queueing: a request's virtual finish time is the larger of
// its organisation's last virtual finish time and the virtual time, plus cost
// over weight. The waiter with the smallest virtual finish time starts next,
// and its virtual finish time becomes the virtual time. A waiter is skipped if
// its organisation runs too many requests for the current load of the pool.

#include "leverwick/fair_queue.h"

#include <algorithm>
#include <cmath>

namespace leverwick {
namespace {

// The limit reaches its minimum for an organisation that exceeds its fair share
// by this many fair shares.
constexpr double kMaxExcessShares = 3;

}  // namespace

FairQueue::Ticket FairQueue::Submit(const std::string& organisation,
                                    double weight, int priority, double cost,
                                    std::vector<uint64_t>* shed) {
  Ticket ticket;
  ticket.id = ++last_id_;
  weights_[organisation] = weight;
  double& last_virtual_finish = last_virtual_finish_[organisation];
  double virtual_finish =
      std::max(virtual_time_, last_virtual_finish) + cost / weight;
  // A waiter that may start has already started, so this request overtakes no
  // such waiter.
  if (MayStart(organisation)) {
    last_virtual_finish = virtual_finish;
    Start(ticket.id, organisation);
    ticket.state = kRunning;
    return ticket;
  }
  if (waiters_.size() >= max_waiting_) {
    uint64_t victim = FindShedVictim();
    if (victim == 0) return ticket;
    const Waiter& waiter = waiters_[victim];
    bool is_less_important =
        waiter.priority < priority ||
        (waiter.priority == priority && waiter.virtual_finish > virtual_finish);
    if (!is_less_important) return ticket;
    Cancel(victim);
    shed->push_back(victim);
  }
  last_virtual_finish = virtual_finish;
  waiters_[ticket.id] =
      Waiter{organisation, virtual_finish, cost / weight, priority};
  by_virtual_finish_.insert({virtual_finish, ticket.id});
  ticket.state = kWaiting;
  return ticket;
}

// Returns 0 if one more request keeps the organisation within its fair share, 1
// if it exceeds it by kMaxExcessShares or more, and values in between linearly.
double FairQueue::ExcessOverShare(const std::string& organisation) const {
  auto found = running_by_organisation_.find(organisation);
  if (found == running_by_organisation_.end() || found->second == 0) return 0;
  double total = 0;
  for (const auto& entry : weights_) total += entry.second;
  double fair_share =
      static_cast<double>(capacity_) * weights_.at(organisation) / total;
  double excess = static_cast<double>(found->second + 1) - fair_share;
  return std::min(1.0, std::max(0.0, excess / fair_share / kMaxExcessShares));
}

bool FairQueue::MayStart(const std::string& organisation) const {
  auto capacity = static_cast<double>(capacity_);
  auto running = static_cast<double>(running_.size());
  if (weights_.size() == 1) return running < capacity;
  double excess_ratio = ExcessOverShare(organisation);
  double limit = capacity * (1 + options_.overcommit * (1 - excess_ratio) -
                             options_.reserve * excess_ratio);
  // With a small capacity the limit may be less than one request: round in
  // favour of the organisation.
  return running + 1 <= std::max(1.0, std::round(limit));
}

void FairQueue::Start(uint64_t id, const std::string& organisation) {
  running_[id] = organisation;
  ++running_by_organisation_[organisation];
}

std::vector<uint64_t> FairQueue::Finish(uint64_t id) {
  auto found = running_.find(id);
  if (found != running_.end()) {
    --running_by_organisation_[found->second];
    running_.erase(found);
  }
  return StartWaiters();
}

bool FairQueue::Cancel(uint64_t id) {
  auto found = waiters_.find(id);
  if (found == waiters_.end()) return false;
  // Refund the cost charged to the organisation for this waiter.
  last_virtual_finish_[found->second.organisation] -= found->second.cost;
  by_virtual_finish_.erase({found->second.virtual_finish, id});
  waiters_.erase(found);
  return true;
}

std::vector<uint64_t> FairQueue::SetCapacity(size_t capacity) {
  capacity_ = capacity;
  return StartWaiters();
}

nanoseconds FairQueue::ExpectedWait(nanoseconds mean_run_time) const {
  if (running_.size() < capacity_) return nanoseconds(0);
  double requests_ahead = static_cast<double>(waiters_.size() + 1);
  double capacity = static_cast<double>(std::max<size_t>(1, capacity_));
  return FromSeconds(ToSeconds(mean_run_time) * requests_ahead / capacity);
}

std::vector<uint64_t> FairQueue::StartWaiters() {
  std::vector<uint64_t> started;
  for (auto next = by_virtual_finish_.begin();
       next != by_virtual_finish_.end();) {
    const Waiter& waiter = waiters_.at(next->second);
    if (!MayStart(waiter.organisation)) {
      ++next;
      continue;
    }
    virtual_time_ = std::max(virtual_time_, next->first);
    started.push_back(next->second);
    Start(next->second, waiter.organisation);
    waiters_.erase(next->second);
    next = by_virtual_finish_.erase(next);
  }
  // In an idle pool, earlier usage no longer counts.
  if (running_.empty() && waiters_.empty()) last_virtual_finish_.clear();
  return started;
}

uint64_t FairQueue::FindShedVictim() const {
  uint64_t victim = 0;
  int lowest_priority = 0;
  for (auto waiter = by_virtual_finish_.rbegin();
       waiter != by_virtual_finish_.rend(); ++waiter) {
    int priority = waiters_.at(waiter->second).priority;
    if (victim != 0 && priority >= lowest_priority) continue;
    victim = waiter->second;
    lowest_priority = priority;
  }
  return victim;
}

}  // namespace leverwick
