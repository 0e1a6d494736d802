// Enforces the rate limits that endpoints report across all boxes together.
//
// An endpoint's limit is split between two boxes, its granters. Each issues
// permits for half of the limit, so the total holds whichever boxes are alive
// and whichever can reach each other. Granters are chosen by rendezvous hash,
// with boxes in the endpoint's own data centre first, since a box that reaches
// the endpoint most likely reaches these as well. A box sends to a limited
// endpoint only with a permit from one of its granters; a permit is valid for
// one request and for a short time. Permits go to whichever boxes request them,
// so traffic need not be evenly distributed over the boxes.
//
// A box requests a permit when a limited endpoint is the best choice for a
// request. If another endpoint can take the request, it is sent there at once
// and the permit serves a later one. Otherwise the request waits for the reply,
// which is a permit or the time until there may be capacity.
//
//   SendPermits permits({"box-1", "dc1"}, &limits);
//   permits.SetTransport(&transport);
//   permits.SetOtherBoxes(others);
//   if (permits.MaySend(endpoint, now)) {
//     permits.RecordSend(endpoint, now);
//   } else if (permits.CanRequestPermit(endpoint, now)) {
//     permits.RequestPermit(endpoint, data_centre, now);
//   }
//   // At the granter:
//   PermitReply reply = permits.GrantPermit(request, now);
//   // At the requesting box:
//   permits.RecordReply(reply, now);

#ifndef LEVERWICK_SEND_PERMITS_H_
#define LEVERWICK_SEND_PERMITS_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "leverwick/endpoint_limits.h"
#include "leverwick/grant_pacer.h"
#include "leverwick/time.h"

namespace leverwick {

struct PermitRequest {
  uint64_t sequence_number = 0;  // of the requesting box; the reply repeats it
  std::string endpoint;
  std::string data_centre;  // of the endpoint
  ReportedLimit limit;      // as last recorded by the requesting box
};

struct PermitReply {
  uint64_t sequence_number = 0;  // of the request
  bool granted = false;
  nanoseconds retry_after{0};  // if not granted
};

// The name and the data centre of a box, by which granters are chosen.
struct BoxLocation {
  std::string name;
  std::string data_centre;
  bool operator==(const BoxLocation& other) const {
    return name == other.name && data_centre == other.data_centre;
  }
};

// Not thread-safe.
class SendPermits {
 public:
  // Sends permit requests to other boxes.
  class Transport {
   public:
    virtual ~Transport() = default;
    virtual void SendPermitRequest(const PermitRequest& request,
                                   const std::string& box) = 0;
  };

  // A permit request without a reply after this time counts as lost.
  static constexpr milliseconds kReplyTimeout{250};

  // `limits` must outlive the SendPermits. Sequence numbers of requests start
  // after `first_number`. A caller that draws it at random for each incarnation
  // of the box ensures that a reply to a request of an earlier incarnation
  // matches no request of this one.
  SendPermits(BoxLocation self, EndpointLimits* limits,
              uint64_t first_number = 0)
      : self_(std::move(self)), limits_(limits), last_number_(first_number) {}

  // Null if there are no other boxes to send requests to.
  void SetTransport(Transport* transport) { transport_ = transport; }
  // Sets all boxes of the fleet except this one. Until the first call no
  // permits are granted or requested.
  void SetOtherBoxes(std::vector<BoxLocation> others);
  // This box grants no permits before `from`. Boxes that are not yet aware of
  // this one send their requests to another granter until then.
  void AllowGrantsFrom(TimePoint from) { grants_from_ = from; }

  // Returns whether the endpoint reports no limit or this box holds a valid
  // permit for it.
  bool MaySend(const std::string& endpoint, TimePoint now) const;
  // Returns whether a permit request is pending or a granter may have capacity.
  bool CanRequestPermit(const std::string& endpoint, TimePoint now) const;
  bool IsRequestPending(const std::string& endpoint) const;
  // Requests a permit from a granter that may have capacity, unless a request
  // is pending. If this box is that granter, the reply is recorded before the
  // method returns. `data_centre` is that of the endpoint.
  void RequestPermit(const std::string& endpoint,
                     const std::string& data_centre, TimePoint now);
  // Returns the maximum time until CanRequestPermit is true; zero if MaySend.
  nanoseconds TimeUntilCapacity(const std::string& endpoint,
                                TimePoint now) const;
  // Records that a request is sent to the endpoint; uses up the oldest permit.
  void RecordSend(const std::string& endpoint, TimePoint now);
  // Returns the number of requests that this box has sent to a limited endpoint
  // in the last 4 s.
  size_t CountRecentSends(const std::string& endpoint, TimePoint now) const;

  // Replies to another box's request.
  PermitReply GrantPermit(const PermitRequest& request, TimePoint now);
  // Records the reply to one of this box's own requests.
  void RecordReply(const PermitReply& reply, TimePoint now);

  // Returns whether this box is one of the endpoint's granters.
  bool IsGranterFor(const std::string& endpoint,
                    const std::string& data_centre) const;

  // Abandons permit requests that timed out and discards the state of endpoints
  // that no longer report a limit. Returns true if a request was abandoned.
  bool Expire(TimePoint now);
  // Returns whether a permit request for any endpoint is pending.
  bool AnyRequestPending() const;

 private:
  // One of an endpoint's granters, as observed by this box.
  struct Granter {
    std::string box;
    TimePoint capacity_at{};  // it has no capacity before this
  };
  struct PendingRequest {
    uint64_t sequence_number = 0;
    size_t granter = 0;  // index into LimitedEndpoint::granters
    TimePoint requested_at{};
  };
  struct LimitedEndpoint {
    std::vector<Granter> granters;
    std::optional<PendingRequest> pending;
    std::deque<TimePoint> permits;       // expiry times
    std::deque<TimePoint> recent_sends;  // send times
  };

  // Returns the names of the endpoint's granters, most preferred first.
  std::vector<std::string> ChooseGranters(const std::string& endpoint,
                                          const std::string& data_centre) const;
  // Returns the requests per second that all granters together permit.
  static double PermittedRate(const ReportedLimit& limit);
  static nanoseconds PermitLifetime(const ReportedLimit& limit);
  static bool HasPermit(const LimitedEndpoint& limited, TimePoint now);
  const LimitedEndpoint* Find(const std::string& endpoint) const;
  // Returns the index of the granter with the earliest `capacity_at`.
  static size_t EarliestGranter(const LimitedEndpoint& limited);
  // Returns the endpoint's entry with its granters chosen; adds it if absent.
  LimitedEndpoint& FindOrAdd(const std::string& endpoint,
                             const std::string& data_centre);

  const BoxLocation self_;
  EndpointLimits* const limits_;
  Transport* transport_ = nullptr;
  std::optional<std::vector<BoxLocation>> others_;
  std::unordered_map<std::string, LimitedEndpoint> limited_;  // by endpoint
  GrantPacer pacer_;
  TimePoint grants_from_ = TimePoint::max();
  uint64_t last_number_;
};

}  // namespace leverwick

#endif  // LEVERWICK_SEND_PERMITS_H_
