// RequestsInFlight counts the requests that run or wait at each endpoint, as
// the boxes that sent them report.
//
// Each box reports the start and the end of its requests. Reports may be lost,
// duplicated or reordered, and a box may stop. A request without a reported end
// is therefore counted no longer than the time that its box allowed it, and an
// end that arrives before its start is remembered for kReorderWindow.
//
//   RequestsInFlight requests;
//   requests.RecordStart({incarnation, ticket}, endpoint, until, now);
//   requests.RecordEnd({incarnation, ticket}, now);
//   size_t count = requests.CountAt(endpoint);
//   requests.Expire(now);  // a few times a second

#ifndef LEVERWICK_REQUESTS_IN_FLIGHT_H_
#define LEVERWICK_REQUESTS_IN_FLIGHT_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <utility>

#include "leverwick/time.h"

namespace leverwick {

// Not thread-safe.
class RequestsInFlight {
 public:
  // A late report of a start is ignored within this time after the end.
  static constexpr std::chrono::seconds kReorderWindow{1};
  // Bounds the time that a box may allow a request.
  static constexpr std::chrono::seconds kMaxDuration{60};

  // The incarnation of the box that sent the request, and a number that is
  // unique within it.
  using Key = std::pair<uint32_t, uint64_t>;

  // Records a request that ends by `until` at the latest. A start that was
  // reported before, or that arrives after its end, changes nothing.
  void RecordStart(const Key& key, const std::string& endpoint, TimePoint until,
                   TimePoint now);
  void RecordEnd(const Key& key, TimePoint now);
  // Forgets the requests at an endpoint that restarted.
  void RecordRestart(const std::string& endpoint);

  size_t CountAt(const std::string& endpoint) const;

  // Removes requests and ends that are too old. Until then they count.
  void Expire(TimePoint now);

  // Returns the number of requests and remembered ends.
  size_t size() const { return requests_.size() + ended_.size(); }

 private:
  struct Request {
    std::string endpoint;
    TimePoint until{};
  };
  using Requests = std::map<Key, Request>;

  Requests::iterator Erase(Requests::iterator request);

  Requests requests_;
  std::map<Key, TimePoint> ended_;  // until when the end is remembered
  std::unordered_map<std::string, size_t> count_by_endpoint_;
};

}  // namespace leverwick

#endif  // LEVERWICK_REQUESTS_IN_FLIGHT_H_
