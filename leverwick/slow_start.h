// How many requests this box may send to an endpoint that is cold.
//
// An endpoint that has just started, or whose data centre was out of use, bears
// few requests a second until it is warm, and falls over when it gets many
// more. Cold endpoints are idle, so they look best to every box at the same
// moment; a box can't see in time what the others send. So each cold endpoint
// has a few senders among the boxes, chosen by rendezvous hash of its id, and
// the endpoint's rate is dealt out to these in whole requests. Nothing is
// agreed on: boxes that know the same boxes choose the same senders.
//
// Only services whose configuration names a rate are limited. An endpoint is
// cold for as long as it says, and after its data centre was taken back into
// use for as long as the configuration says.
//
//   SlowStart slow_start("box-1");
//   slow_start.SetBoxes(others);
//   slow_start.SetLimits(LimitsOf(config));
//   slow_start.Told(endpoint, cold_for, now);
//   if (slow_start.MaySend(endpoint, now)) slow_start.Sent(endpoint, now);
//   slow_start.Expire(now);

#ifndef LEVERWICK_SLOW_START_H_
#define LEVERWICK_SLOW_START_H_

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "leverwick/endpoints.h"
#include "leverwick/service_config.h"
#include "leverwick/time.h"

namespace leverwick {

// Not thread-safe.
class SlowStart {
 public:
  // How a cold endpoint's rate is dealt out.
  struct Quota {
    size_t senders = 0;  // boxes that may send to it
    size_t each = 0;     // requests that each of them may send in a second
  };
  // `rate`: requests a second that a cold endpoint bears. `boxes`: at least 1.
  // `senders` times `each` is never more than the rate, but for a rate below 1.
  static Quota QuotaOf(double rate, size_t boxes);

  explicit SlowStart(std::string box) : box_(std::move(box)) {}

  // The names of all boxes but this one.
  void SetBoxes(std::vector<std::string> others);
  // By service; replaces all limits.
  void SetLimits(std::map<std::string, SlowStartLimit> limits);

  // The endpoint says how long it stays cold from now on; zero: it is warm.
  void Told(const std::string& endpoint, nanoseconds cold_for, TimePoint now);
  // Endpoints of a data centre that was out of use are cold when it is back,
  // before any of them can say so.
  void Returned(const std::string& data_centre, TimePoint now);

  bool IsCold(const ListedEndpoint& endpoint, TimePoint now) const;
  bool MaySend(const ListedEndpoint& endpoint, TimePoint now) const;
  // When MaySend will next be true, at the latest.
  nanoseconds RoomIn(const ListedEndpoint& endpoint, TimePoint now) const;
  // Every send is noted, since the endpoint may turn out to be cold.
  void Sent(const std::string& endpoint, TimePoint now);

  // Forgets what no longer limits anything.
  void Expire(TimePoint now);

 private:
  struct Known {
    TimePoint cold_until{};
    std::deque<TimePoint> sent;  // in the last second
  };

  const SlowStartLimit* LimitOf(const std::string& service) const;
  // Zero for an endpoint that is not cold.
  TimePoint ColdUntil(const ListedEndpoint& endpoint,
                      const SlowStartLimit& limit) const;
  // What this box may send in a second to a cold endpoint.
  size_t OwnQuota(const std::string& endpoint, double rate) const;
  // Boxes that the endpoint's hash puts before this one.
  size_t RankAt(const std::string& endpoint) const;

  const std::string box_;
  // Unset: the fleet has not been read.
  std::optional<std::vector<std::string>> others_;
  std::map<std::string, SlowStartLimit> limits_;
  std::unordered_map<std::string, Known> endpoints_;
  std::map<std::string, TimePoint> returned_;  // by data centre
  // By endpoint, since a choice asks for each cold endpoint's; forgotten when
  // the fleet changes.
  mutable std::unordered_map<std::string, size_t> ranks_;
};

}  // namespace leverwick

#endif  // LEVERWICK_SLOW_START_H_
