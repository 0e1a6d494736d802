// The descriptor is shared with whoever started the process, so it is not made
// non-blocking; instead it is asked whether it takes bytes. A pipe that says
// so takes at least PIPE_BUF of them without waiting.

#include "net/log_sink.h"

#include <limits.h>
#include <poll.h>
#include <unistd.h>

#include <algorithm>

namespace leverwick {

void LogSink::Write(const std::string& line) {
  std::lock_guard<std::mutex> lock(mutex_);
  if (held_.size() + line.size() > most_held_) {
    ++dropped_;
  } else {
    held_ += line;
  }
  FlushHeld();
}

void LogSink::Flush() {
  std::lock_guard<std::mutex> lock(mutex_);
  FlushHeld();
}

uint64_t LogSink::dropped() const {
  std::lock_guard<std::mutex> lock(mutex_);
  return dropped_;
}

void LogSink::FlushHeld() {
  while (!held_.empty() && WriteSome()) {
  }
  if (!held_.empty() || dropped_ == told_) return;
  held_ = "WARNING log: Lines were dropped. count=" +
          std::to_string(dropped_ - told_) + "\n";
  told_ = dropped_;
  WriteSome();
}

bool LogSink::WriteSome() {
  pollfd ready{descriptor_, POLLOUT, 0};
  if (poll(&ready, 1, 0) != 1 || (ready.revents & POLLOUT) == 0) return false;
  size_t size = std::min<size_t>(held_.size(), PIPE_BUF);
  ssize_t written = write(descriptor_, held_.data(), size);
  if (written <= 0) return false;
  held_.erase(0, static_cast<size_t>(written));
  return true;
}

}  // namespace leverwick
