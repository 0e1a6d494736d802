// PlaceClaim is the claim of one request for a place at one of a few endpoints.
//
// The box that has the request asks the granters of several endpoints
// (leverwick/place_queue.h) and repeats this while it waits, so that lost
// datagrams and granters that restarted cost one interval. The first grant
// counts; the others are withdrawn. The request is denied if all granters deny
// it. If no granter replies any more, the box decides by itself.
//
//   PlaceClaim claim(endpoints, now);
//   claim.RecordReply({endpoint, PlaceReply::Kind::kWaiting, {}}, now);
//   switch (claim.StateAt(now)) ...
//   for (const std::string& endpoint : claim.open_endpoints()) ...  // ask
//   again

#ifndef LEVERWICK_PLACE_CLAIM_H_
#define LEVERWICK_PLACE_CLAIM_H_

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "leverwick/send_permits.h"
#include "leverwick/time.h"

namespace leverwick {

// The reply of an endpoint's granter.
struct PlaceReply {
  enum class Kind { kWaiting, kGranted, kDenied };
  std::string endpoint;
  Kind kind = Kind::kWaiting;
  nanoseconds retry_after{0};  // if denied
};

class PlaceClaim {
 public:
  // Without any reply for so long, the box decides by itself.
  static constexpr milliseconds kReplyTimeout{100};
  static constexpr milliseconds kRepeatInterval{40};
  // Endpoints whose granters one request asks, at most.
  static constexpr size_t kMaxEndpoints = 3;

  enum class State { kWaiting, kGranted, kDenied, kUnanswered };

  PlaceClaim(const std::vector<std::string>& endpoints, TimePoint now);

  // Ignores replies of other endpoints, and all after a grant.
  void RecordReply(const PlaceReply& reply, TimePoint now);

  State StateAt(TimePoint now) const;
  // Empty unless granted.
  const std::string& granted_endpoint() const { return granted_endpoint_; }
  // Returns the shortest time until there may be a place, of the denials.
  nanoseconds retry_after() const { return retry_after_; }
  // Returns the endpoints whose granters have neither granted nor denied.
  std::vector<std::string> open_endpoints() const;
  // Returns those of which no reply has come within kReplyTimeout.
  std::vector<std::string> SilentEndpoints(TimePoint now) const;

 private:
  std::map<std::string, TimePoint> heard_at_;  // by open endpoint
  std::string granted_endpoint_;
  nanoseconds retry_after_ = nanoseconds::max();
};

// Returns the box that grants places at the endpoint: the first by rendezvous
// hash among the boxes of its data centre, or among all if it has none there.
// Empty without boxes. `boxes` leaves out those that did not reply lately: the
// next one takes their part.
std::string ChooseGranter(const std::string& endpoint,
                          const std::string& data_centre,
                          const std::vector<BoxLocation>& boxes);

// Boxes that did not reply to requests for places.
class SilentGranters {
 public:
  // They are not asked again for this time.
  static constexpr std::chrono::seconds kDuration{1};

  void Record(const std::string& box, TimePoint now) {
    until_[box] = now + kDuration;
  }
  bool IsSilent(const std::string& box, TimePoint now) const {
    auto until = until_.find(box);
    return until != until_.end() && now < until->second;
  }
  void Expire(TimePoint now);

 private:
  std::unordered_map<std::string, TimePoint> until_;
};

// Services whose places this box has recently found all taken.
//
// Reports of requests that end arrive late and at all boxes alike, so that each
// free place looks free to all of them for some milliseconds. A box that found
// no free place therefore asks for every request of the service for a while:
// else new requests would take the places of those that wait.
class PlaceShortages {
 public:
  static constexpr std::chrono::seconds kDuration{1};

  void RecordShortage(const std::string& service, TimePoint now) {
    shortages_[service].until = now + kDuration;
  }
  // No granter replied: this box may be cut off, and decides by itself for a
  // while.
  void RecordUnanswered(const std::string& service, TimePoint now) {
    shortages_[service].unanswered_until = now + kDuration;
  }
  // Returns whether granters are to be asked.
  bool IsShort(const std::string& service, TimePoint now) const {
    auto found = shortages_.find(service);
    return found != shortages_.end() && now < found->second.until &&
           now >= found->second.unanswered_until;
  }

 private:
  struct Shortage {
    TimePoint until{};
    TimePoint unanswered_until{};
  };
  std::unordered_map<std::string, Shortage> shortages_;  // by service
};

}  // namespace leverwick

#endif  // LEVERWICK_PLACE_CLAIM_H_
