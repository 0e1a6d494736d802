// ServiceRoom estimates when an endpoint that serves few requests at a time has
// room for another one.
//
// An endpoint works on as many requests at a time as it has places; further
// ones wait there in the order in which they arrived. The wait follows from the
// requests in flight at the endpoint, its places, and the mean time that a
// request of the service takes. The mean is learned from the responses of this
// box to requests that found a free place.
//
//   ServiceRoom room;
//   room.RecordResponse(service, took, now);
//   Seconds wait = room.ExpectedWait(service, {places, in_flight});
//   if (room.IsTooLate(service, {places, in_flight}, time_left, now)) ...
//   milliseconds retry_after = ComeBackAfter(refused);

#ifndef LEVERWICK_SERVICE_ROOM_H_
#define LEVERWICK_SERVICE_ROOM_H_

#include <cstddef>
#include <optional>
#include <string>
#include <unordered_map>

#include "leverwick/time.h"

namespace leverwick {

// The requests at an endpoint.
struct PlaceUse {
  size_t places = 1;
  size_t in_flight = 0;  // running or waiting

  bool has_free_place() const { return in_flight < places; }
};

// Not thread-safe.
class ServiceRoom {
 public:
  // Records the time from the sending of a request to the end of its response.
  // The request must have found a free place.
  void RecordResponse(const std::string& service, Seconds took, TimePoint now);

  // Returns the mean time of a request, or an assumption while there are no
  // responses.
  Seconds MeanTime(const std::string& service) const;
  // Returns the mean time if enough recent responses support it.
  std::optional<Seconds> ConfirmedMeanTime(const std::string& service,
                                           TimePoint now) const;

  // Returns the expected time until the endpoint begins to work on a request
  // that is sent to it now. It grows a little with each place that is taken,
  // since other boxes may take places at the same time.
  Seconds ExpectedWait(const std::string& service, const PlaceUse& use) const;

  // Returns whether a request that is sent to the endpoint now can't be
  // answered within `time_left`. False while the mean time is not confirmed,
  // and where the answer is only likely to be late.
  bool IsTooLate(const std::string& service, const PlaceUse& use,
                 Seconds time_left, TimePoint now) const;

 private:
  struct Mean {
    Seconds value{0};
    double samples = 0;
    TimePoint updated_at{};
  };
  std::unordered_map<std::string, Mean> means_;  // by service
};

// A request that is refused because no endpoint has room for it.
struct RefusedRequest {
  // Until the least busy endpoint is expected to have room.
  Seconds time_until_room{0};
  // Of a request of the service.
  Seconds mean_time{0};
  int priority = 5;      // 0 is the most urgent, 9 the least
  Seconds time_left{0};  // that its caller waits at most
  double draw = 0;       // uniform in [0, 1)
};

// Returns the retry-after time: when room is expected, earlier for the more
// urgent, spread so that requests which are refused together do not return
// together, and at most the third of the time left.
milliseconds ComeBackAfter(const RefusedRequest& request);

}  // namespace leverwick

#endif  // LEVERWICK_SERVICE_ROOM_H_
