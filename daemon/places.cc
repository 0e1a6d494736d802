// The queue decides; this only puts threads to sleep and wakes them. A waiter
// that can't be served before its time is refused at once, not held.

#include "daemon/places.h"

#include <algorithm>

namespace leverwick {
namespace {

constexpr double kHoldMemory = 0.1;
// Expected waits are rough: refuse only what is clearly hopeless.
constexpr double kHopeless = 2.0;

}  // namespace

Places::Place& Places::Place::operator=(Place&& other) noexcept {
  Release();
  places_ = other.places_;
  target_ = std::move(other.target_);
  id_ = other.id_;
  since_ = other.since_;
  other.places_ = nullptr;
  return *this;
}

void Places::Place::Release() {
  if (places_ != nullptr) places_->Leave(target_, id_, since_);
  places_ = nullptr;
}

Places::Pool& Places::PoolOf(const std::string& target) {
  std::lock_guard<std::mutex> lock(mutex_);
  std::unique_ptr<Pool>& pool = pools_[target];
  if (pool == nullptr) pool = std::make_unique<Pool>();
  return *pool;
}

size_t Places::waiting(const std::string& target) {
  Pool& pool = PoolOf(target);
  std::lock_guard<std::mutex> lock(pool.mutex);
  return pool.queue.waiting();
}

std::error_code Places::Wait(const std::string& target, size_t count,
                             const Organisation& organisation, double cost,
                             TimePoint until, Place* place,
                             nanoseconds* retry_after) {
  Pool& pool = PoolOf(target);
  std::unique_lock<std::mutex> lock(pool.mutex);
  for (uint64_t id : pool.queue.SetCapacity(count)) pool.started.insert(id);
  nanoseconds expected = pool.queue.ExpectedWait(FromSeconds(pool.mean_hold));
  *retry_after = expected;
  double left = ToSeconds(until - Clock::now());
  if (ToSeconds(expected) > kHopeless * left) return Result::kOverloaded;
  std::vector<uint64_t> shed;
  FairQueue::Ticket ticket =
      pool.queue.Submit(organisation.name(), organisation.weight(),
                        organisation.priority(), cost, &shed);
  pool.shed.insert(shed.begin(), shed.end());
  pool.changed.notify_all();
  if (ticket.state == FairQueue::kShed) return Result::kOverloaded;
  if (ticket.state == FairQueue::kWaiting) {
    pool.changed.wait_until(lock, until, [&] {
      return pool.started.count(ticket.id) > 0 ||
             pool.shed.count(ticket.id) > 0;
    });
    if (pool.shed.erase(ticket.id) > 0) return Result::kOverloaded;
    if (pool.started.erase(ticket.id) == 0) {
      pool.queue.Cancel(ticket.id);
      return Result::kQueueTimeout;
    }
  }
  *place = Place(this, target, ticket.id, Clock::now());
  return {};
}

void Places::Leave(const std::string& target, uint64_t id, TimePoint since) {
  Pool& pool = PoolOf(target);
  std::lock_guard<std::mutex> lock(pool.mutex);
  double held = ToSeconds(Clock::now() - since);
  pool.mean_hold += kHoldMemory * (held - pool.mean_hold);
  for (uint64_t started : pool.queue.Finish(id)) pool.started.insert(started);
  pool.changed.notify_all();
}

}  // namespace leverwick
