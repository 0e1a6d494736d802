// What endpoints have to read for boxes of other data centres.
//
// Those tell only their long prompts, and not when these have been read: on a
// large fleet each note more would cost as many bytes as there are boxes. So
// what was told is taken to be read at a steady pace, that of the part which
// far boxes have in an engine's work.
//
//   FarBacklog backlog(2.0 / 3);
//   backlog.Add(endpoint, reading, now);
//   Seconds left = backlog.At(endpoint, now);
//   backlog.Expire(now);

#ifndef LEVERWICK_FAR_BACKLOG_H_
#define LEVERWICK_FAR_BACKLOG_H_

#include <algorithm>
#include <cstddef>
#include <string>
#include <unordered_map>

#include "leverwick/time.h"

namespace leverwick {

// Not thread-safe.
class FarBacklog {
 public:
  // `pace`: seconds of reading that an engine does for far boxes in a second.
  explicit FarBacklog(double pace) : pace_(pace) {}

  void Add(const std::string& endpoint, Seconds reading, TimePoint now) {
    Seconds left = At(endpoint, now);
    endpoints_[endpoint] = {left + reading, now};
  }

  Seconds At(const std::string& endpoint, TimePoint now) const {
    auto found = endpoints_.find(endpoint);
    return found == endpoints_.end() ? Seconds(0) : Left(found->second, now);
  }

  // Forgets endpoints that have nothing left to read.
  void Expire(TimePoint now) {
    for (auto entry = endpoints_.begin(); entry != endpoints_.end();) {
      bool is_read = Left(entry->second, now) <= Seconds(0);
      entry = is_read ? endpoints_.erase(entry) : std::next(entry);
    }
  }

  size_t size() const { return endpoints_.size(); }

 private:
  struct Endpoint {
    Seconds reading{0};
    TimePoint at{};
  };

  Seconds Left(const Endpoint& endpoint, TimePoint now) const {
    Seconds read = pace_ * Seconds(now - endpoint.at);
    return std::max(Seconds(0), endpoint.reading - read);
  }

  const double pace_;
  std::unordered_map<std::string, Endpoint> endpoints_;
};

}  // namespace leverwick

#endif  // LEVERWICK_FAR_BACKLOG_H_
