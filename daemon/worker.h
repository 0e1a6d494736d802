// A thread that runs a step again and again until it is stopped.

#ifndef DAEMON_WORKER_H_
#define DAEMON_WORKER_H_

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

#include "leverwick/time.h"

namespace leverwick {

class Worker {
 public:
  ~Worker() { Stop(); }

  // Runs `step` at once and then `pause` after each return.
  void Start(nanoseconds pause, std::function<void()> step) {
    thread_ = std::thread([this, pause, step = std::move(step)] {
      std::unique_lock<std::mutex> lock(mutex_);
      while (!stopped_) {
        lock.unlock();
        step();
        lock.lock();
        wake_.wait_for(lock, pause, [this] { return stopped_ || poked_; });
        poked_ = false;
      }
    });
  }

  // Ends the pause now.
  void Poke() {
    std::lock_guard<std::mutex> lock(mutex_);
    poked_ = true;
    wake_.notify_all();
  }

  // Waits for a running step to end.
  void Stop() {
    {
      std::lock_guard<std::mutex> lock(mutex_);
      stopped_ = true;
      wake_.notify_all();
    }
    if (thread_.joinable()) thread_.join();
  }

 private:
  std::mutex mutex_;
  std::condition_variable wake_;
  bool stopped_ = false;
  bool poked_ = false;
  std::thread thread_;
};

}  // namespace leverwick

#endif  // DAEMON_WORKER_H_
