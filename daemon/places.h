// Waiting for a free place of a target's endpoints, on the caller's thread.

#ifndef DAEMON_PLACES_H_
#define DAEMON_PLACES_H_

#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>

#include "leverwick/fair_queue.h"
#include "leverwick/result.h"
#include "leverwick/time.h"
#include "schema/table.pb.h"

namespace leverwick {

// Thread-safe; one lock a target.
class Places {
 public:
  // A place held until it goes out of scope.
  class Place {
   public:
    Place() = default;
    Place(Places* places, std::string target, uint64_t id, TimePoint since)
        : places_(places), target_(std::move(target)), id_(id), since_(since) {}
    Place(Place&& other) noexcept { *this = std::move(other); }
    Place& operator=(Place&& other) noexcept;
    ~Place() { Release(); }
    void Release();

   private:
    Places* places_ = nullptr;
    std::string target_;
    uint64_t id_ = 0;
    TimePoint since_{};
  };

  // Waits for one of `count` places until `until`. An error is final at once:
  // kOverloaded when shed or hopeless, kQueueTimeout when the time was over.
  // `retry_after` then says when a place is expected.
  std::error_code Wait(const std::string& target, size_t count,
                       const Organisation& organisation, double cost,
                       TimePoint until, Place* place, nanoseconds* retry_after);

  size_t waiting(const std::string& target);

 private:
  struct Pool {
    std::mutex mutex;
    std::condition_variable changed;
    FairQueue queue{1, kMostWaiting, FairQueueOptions{kReserve, kOvercommit}};
    std::set<uint64_t> started;
    std::set<uint64_t> shed;
    double mean_hold = 0.5;  // seconds a place was held
  };
  static constexpr size_t kMostWaiting = 512;
  // Shares of the places.
  static constexpr double kReserve = 0.1;
  static constexpr double kOvercommit = 0.25;

  Pool& PoolOf(const std::string& target);
  void Leave(const std::string& target, uint64_t id, TimePoint since);

  std::mutex mutex_;
  std::map<std::string, std::unique_ptr<Pool>> pools_;
};

}  // namespace leverwick

#endif  // DAEMON_PLACES_H_
