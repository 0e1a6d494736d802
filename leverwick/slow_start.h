// SlowStart limits the requests that this box sends to a cold endpoint.
//
// An endpoint that has just started, or whose data centre was drained, can
// serve only a few requests per second until it is warm, and crashes if it
// receives many more. Cold endpoints are idle, so every box prefers them at the
// same moment, and reports of the other boxes' requests arrive too late.
// Therefore only a few boxes, selected by rendezvous hashing on the endpoint's
// id, may send to a cold endpoint. Its rate is divided among them in whole
// requests. This requires no coordination: boxes with the same view of the
// fleet select the same senders.
//
// Only services with a cold rate in their configuration are limited. An
// endpoint is cold for the time that it reports, and after its data centre was
// restored for the time that the configuration sets.
//
//   SlowStart slow_start("box-1");
//   slow_start.SetBoxes(others);
//   slow_start.SetLimits(config.SlowStartLimits());
//   slow_start.RecordWarmUp(endpoint, cold_for, now);
//   if (slow_start.MaySend(listed, now)) slow_start.RecordSend(endpoint, now);
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

#include "leverwick/endpoint_pool.h"
#include "leverwick/service_config.h"
#include "leverwick/time.h"

namespace leverwick {

// Not thread-safe.
class SlowStart {
 public:
  // Division of a cold endpoint's rate among the boxes.
  struct Quota {
    size_t senders = 0;              // boxes that may send to the endpoint
    size_t requests_per_sender = 0;  // per second
  };
  // Divides `rate`, the requests per second that a cold endpoint sustains,
  // among at most `boxes` boxes (at least 1). `senders` times
  // `requests_per_sender` is at most the rate, or 1 if the rate is below 1.
  static Quota ComputeQuota(double rate, size_t boxes);

  explicit SlowStart(std::string box) : box_(std::move(box)) {}

  // Sets the names of all boxes except this one.
  void SetBoxes(std::vector<std::string> others);
  // Replaces all limits, by service.
  void SetLimits(std::map<std::string, SlowStartLimit> limits);

  // Records an endpoint's report that it stays cold for `cold_for` from `now`;
  // zero means that it is warm.
  void RecordWarmUp(const std::string& endpoint, nanoseconds cold_for,
                    TimePoint now);
  // Records that a drained data centre was restored. Its endpoints count as
  // cold before any of them can report it.
  void RecordDataCentreRestored(const std::string& data_centre, TimePoint now);

  bool IsCold(const ListedEndpoint& endpoint, TimePoint now) const;
  bool MaySend(const ListedEndpoint& endpoint, TimePoint now) const;
  // Returns an upper bound of the time until MaySend returns true.
  nanoseconds TimeUntilSendAllowed(const ListedEndpoint& endpoint,
                                   TimePoint now) const;
  // Records a send. All sends are recorded, since an endpoint may report later
  // that it is cold.
  void RecordSend(const std::string& endpoint, TimePoint now);

  // Drops state that no longer limits any send.
  void Expire(TimePoint now);

 private:
  struct EndpointState {
    TimePoint cold_until{};
    std::deque<TimePoint> sends;  // in the last second
  };

  const SlowStartLimit* FindLimit(const std::string& service) const;
  // Returns the end of the endpoint's warm-up, zero if none is recorded.
  TimePoint ColdUntil(const ListedEndpoint& endpoint,
                      const SlowStartLimit& limit) const;
  // Returns the requests per second that this box may send to a cold endpoint.
  size_t OwnQuota(const std::string& endpoint, double rate) const;
  // Returns the number of boxes that rank before this one for the endpoint.
  size_t RankFor(const std::string& endpoint) const;

  const std::string box_;
  // Unset until the list of boxes has been read.
  std::optional<std::vector<std::string>> others_;
  std::map<std::string, SlowStartLimit> limits_;
  std::unordered_map<std::string, EndpointState> endpoints_;
  std::map<std::string, TimePoint> restored_at_;  // by data centre
  // Rank of this box by endpoint, cached because each choice needs the ranks of
  // all cold endpoints. Cleared when the fleet changes.
  mutable std::unordered_map<std::string, size_t> ranks_;
};

}  // namespace leverwick

#endif  // LEVERWICK_SLOW_START_H_
