// PlaceQueue orders the requests of all boxes that wait for a place at one
// endpoint.
//
// An endpoint that serves few requests at a time takes them in the order in
// which they arrive. While it has no free place, boxes therefore ask one of
// them, its granter, before they send. The granter keeps a PlaceQueue for the
// endpoint and grants a place whenever one becomes free, so that the order is
// decided among the requests of all boxes:
//
//   1. more urgent requests first,
//   2. among equally urgent ones, the organisation that was granted the fewest
//      places recently,
//   3. of one organisation, requests that return after a denial first, then
//      the oldest.
//
// A request that can't be answered in time gets a place only if no other
// request wants it. Otherwise it is denied at once, with the time until there
// may be a place. A request that returns has the age and the due time of its
// first try.
//
// Boxes repeat their requests while they wait (leverwick/place_claim.h), so a
// request that is not repeated is dropped, and a lost decision is made known
// again.
//
//   PlaceQueue queue(places);
//   auto decided = queue.Submit(request, now);  // or Withdraw(request.key)
//   queue.SetInFlight(count);           // at the endpoint, of all boxes
//   for (const PlaceDecision& decision : queue.Decide(mean_time, now)) ...
//   queue.RecordUse(key);  // the request is among those in flight from now on

#ifndef LEVERWICK_PLACE_QUEUE_H_
#define LEVERWICK_PLACE_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "leverwick/time.h"

namespace leverwick {

// A request that waits for a place.
struct PlaceRequest {
  // The incarnation of the box that has the request, and a number that is
  // unique within it.
  using Key = std::pair<uint32_t, uint64_t>;
  Key key;
  std::string organisation;
  int priority = 5;  // 0 is the most urgent
  // Equal for a request and its repetition by a caller that was refused.
  uint64_t fingerprint = 0;
  TimePoint arrived_at{};  // at the box
  TimePoint due_at{};      // an answer until then is in time
  TimePoint give_up_at{};  // when its caller stops waiting
  // Of a request at the endpoint, as its box knows it; empty: unknown.
  std::optional<Seconds> mean_time;
};

struct PlaceDecision {
  PlaceRequest::Key key;
  bool granted = false;
  // If not granted: the time until there may be a place.
  nanoseconds retry_after{0};
};

// Not thread-safe.
class PlaceQueue {
 public:
  // A grant that is not used, or a request that is not repeated, within this
  // time is dropped.
  static constexpr milliseconds kLifetime{100};
  // Further requests are denied.
  static constexpr size_t kMaxWaiting = 512;

  // `places`: requests that the endpoint serves at a time.
  explicit PlaceQueue(size_t places) : places_(places) {}

  // Adds a request, or records that its box repeats it. Returns the decision if
  // it was granted before.
  std::optional<PlaceDecision> Submit(const PlaceRequest& request,
                                      TimePoint now);
  // The request needs no place: its caller has left, or it was granted one
  // elsewhere.
  void Withdraw(const PlaceRequest::Key& key);
  // The granted request is included in SetInFlight from now on.
  void RecordUse(const PlaceRequest::Key& key) { grants_.erase(key); }
  // Sets how many requests run or wait at the endpoint.
  void SetInFlight(size_t count) { in_flight_ = count; }
  void SetPlaces(size_t places) { places_ = places; }

  // Returns the requests that are granted or denied now. `mean_time`: of a
  // request at the endpoint, as the granter knows it. If it is empty, what
  // boxes told recently is used; if they told nothing, no request is denied
  // before its caller gives up.
  std::vector<PlaceDecision> Decide(std::optional<Seconds> mean_time,
                                    TimePoint now);
  // Returns the grants of which no use has been recorded for some time: the
  // message of the grant or of its use may be lost.
  std::vector<PlaceDecision> UnusedGrants(TimePoint now) const;

  bool IsWaiting(const PlaceRequest::Key& key) const {
    return waiting_.count(key) > 0;
  }
  // Returns whether the request waits, or holds a grant that is not used yet.
  bool Holds(const PlaceRequest::Key& key) const {
    return IsWaiting(key) || grants_.count(key) > 0;
  }
  size_t waiting() const { return waiting_.size(); }
  size_t in_flight() const { return in_flight_; }
  // Places that are granted and not used yet.
  size_t granted() const { return grants_.size(); }
  // Returns whether nothing is remembered that a later decision needs.
  bool IsIdle(TimePoint now) const;

 private:
  struct Waiting {
    PlaceRequest request;
    bool is_returning = false;
    TimePoint heard_at{};
  };
  struct Grant {
    std::string organisation;
    TimePoint at{};
  };
  // The grants of an organisation, decayed as of `at`.
  struct Share {
    double grants = 0;
    TimePoint at{};
  };
  struct Denial {
    PlaceRequest::Key key;
    TimePoint arrived_at{};
    TimePoint due_at{};
    TimePoint at{};
  };

  // Drops grants and requests whose boxes are silent, and old denials.
  void Expire(TimePoint now);
  double RecentGrants(const std::string& organisation, TimePoint now) const;
  // Returns the waiting requests in the order in which they are granted places.
  std::vector<const Waiting*> Order(TimePoint now) const;
  // If a denial of the same request under another key is remembered, sets the
  // times of the first try and forgets the denial.
  void ApplyDenial(Waiting* waiting);
  std::optional<Seconds> ToldMeanTime(TimePoint now) const;
  // Requests in flight that the endpoint may have at a time.
  size_t MaxInFlight(std::optional<Seconds> mean_time) const;
  // Returns the wait for a place behind `ahead` requests in flight or waiting.
  Seconds ExpectedWait(size_t ahead, Seconds mean_time) const;
  PlaceDecision GrantPlace(const PlaceRequest& request, TimePoint now);
  PlaceDecision Deny(const PlaceRequest& request, Seconds wait, TimePoint now);

  size_t places_;
  size_t in_flight_ = 0;
  std::map<PlaceRequest::Key, Waiting> waiting_;
  std::map<PlaceRequest::Key, Grant> grants_;
  std::unordered_map<std::string, Share> shares_;  // by organisation
  std::unordered_map<uint64_t, Denial> denials_;   // by fingerprint
  Seconds told_mean_{0};  // by the last box that knew it
  TimePoint told_at_{};
};

}  // namespace leverwick

#endif  // LEVERWICK_PLACE_QUEUE_H_
