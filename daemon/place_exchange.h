// Asks other boxes for places at endpoints that serve few requests, and grants
// places at the endpoints whose granter this box is.
//
// A request for a place, its withdrawal and each reply are a datagram. Requests
// are repeated until they are decided (leverwick/place_claim.h), and nothing is
// sent while no request waits. A request that was granted a place tells the
// granter itself when it is sent and when it has ended: a granter knows little
// of requests from other data centres otherwise, and its place is free for the
// next one sooner than by the notes that go to all boxes.
//
//   PlaceExchange places({&loop, &loads, &room, &directory, &datagrams,
//                         &metrics}, self, incarnation);
//   places.Start();
//   places.SetBoxes(peers);
//   uint64_t number = places.Ask(request, endpoints, [](const auto& o) {...});
//   places.RecordSend(number, ticket, time_left);  // after a grant
//   places.Release(number);  // at any time

#ifndef DAEMON_PLACE_EXCHANGE_H_
#define DAEMON_PLACE_EXCHANGE_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "daemon/endpoint_directory.h"
#include "daemon/peer_datagrams.h"
#include "leverwick/engine_loads.h"
#include "leverwick/place_claim.h"
#include "leverwick/place_queue.h"
#include "leverwick/send_permits.h"
#include "leverwick/service_room.h"
#include "net/metrics.h"
#include "net/timer.h"
#include "schema/peer.pb.h"

namespace leverwick {

// How a request for a place ended.
struct PlaceOutcome {
  uint64_t number = 0;
  PlaceClaim::State state = PlaceClaim::State::kUnanswered;
  std::string endpoint;        // if granted
  nanoseconds retry_after{0};  // if denied
};

// Belongs to the thread that runs its event loop.
class PlaceExchange : private PeerDatagrams::Listener {
 public:
  using Callback = std::function<void(const PlaceOutcome&)>;

  // All of them must outlive the exchange.
  struct Dependencies {
    boost::asio::io_context* loop;
    EngineLoads* loads;
    const ServiceRoom* room;
    const EndpointDirectory* directory;
    PeerDatagrams* datagrams;
    Metrics* metrics;
  };

  // `incarnation`: under which LoadExchange tells of this box's requests.
  PlaceExchange(const Dependencies& dependencies, BoxLocation self,
                uint32_t incarnation);

  // Begins to listen.
  void Start();
  // All boxes but this one. No place is asked for before the first call.
  void SetBoxes(const std::vector<PeerDatagrams::Peer>& boxes);

  // Asks the granters of the endpoints, and calls back once, never from within
  // Ask. `request.key` is filled in. Returns the number of the request, or 0 if
  // no granter can be asked.
  uint64_t Ask(PlaceRequest request, const std::vector<std::string>& endpoints,
               Callback callback);
  // The request was granted a place and is sent under this ticket of
  // EngineLoads.
  void RecordSend(uint64_t number, uint64_t ticket, milliseconds time_left);
  // The request needs no place any more: it has ended, is sent elsewhere, or
  // its caller has left. Nothing is called back.
  void Release(uint64_t number);

  // Drops what is no longer needed; to be called a few times a second.
  void Expire(TimePoint now);
  // Requests that wait here for a place.
  size_t waiting() const;

 private:
  // Empty: this box.
  using Address = std::optional<PeerDatagrams::Address>;
  struct OpenClaim {
    PlaceRequest request;
    PlaceClaim claim;
    std::map<std::string, std::string> granters;  // boxes by endpoint
    TimePoint asked_at{};                         // last
    TimePoint made_at{};
    Callback callback;
  };
  // A place that this box uses or may use.
  struct HeldPlace {
    std::string endpoint;
    std::string granter;
    uint64_t ticket = 0;  // 0: not in use yet
  };
  // This box as the granter of an endpoint.
  struct Granter {
    PlaceQueue queue;
    std::map<PlaceRequest::Key, Address> askers;
  };

  // PeerDatagrams::Listener.
  void OnNotes(const PeerNotes& notes,
               const PeerDatagrams::Address& from) override;

  // As the box that asks.
  std::string GranterFor(const std::string& endpoint, TimePoint now) const;
  void SendAsks(const OpenClaim& open);
  void RecordReply(const PlaceReplyNote& note, const std::string& granter);
  // Calls back if the claim is decided. Returns whether it is.
  bool Conclude(uint64_t number, TimePoint now);
  void TellWithdrawn(uint64_t number, const std::string& endpoint,
                     const std::string& granter);
  void Repeat(TimePoint now);
  // Tells the granter of the end of a request, now and once more.
  void EndUse(const HeldPlace& place);
  void TellEnd(const std::string& granter, uint64_t ticket);

  // As the granter.
  void RecordAsk(const PlaceAskNote& note, uint32_t incarnation,
                 const Address& from);
  void RecordUse(const std::string& endpoint, const PlaceRequest::Key& key);
  void Decide(const std::string& endpoint, Granter* granter, TimePoint now);
  void DecideAll(TimePoint now);
  void Reply(const std::string& endpoint, const PlaceRequest::Key& key,
             PlaceReplyNote::Kind kind, nanoseconds retry_after,
             const Address& to);
  // Logs a decision with what it is based on.
  void TellDecision(const std::string& endpoint, const Granter& granter,
                    const PlaceDecision& decision, TimePoint now);

  // Delivers to another box, or to this one after the current event.
  void Deliver(const PeerNotes& notes, const std::string& box);
  void Deliver(const PeerNotes& notes, const Address& to);
  // Runs the timer while any request waits or any end is to be repeated.
  void Watch();

  const Dependencies dependencies_;
  const BoxLocation self_;
  const uint32_t incarnation_;
  Timer timer_;
  bool watching_ = false;
  bool is_ready_ = false;
  std::vector<BoxLocation> boxes_;  // this one included
  std::map<std::string, PeerDatagrams::Address> addresses_;  // of the others
  SilentGranters silent_;
  std::map<uint64_t, OpenClaim> claims_;
  std::map<uint64_t, HeldPlace> held_;
  std::map<std::string, Granter> granters_;  // by endpoint
  // Ends that are told a second time, by granter.
  std::vector<std::pair<std::string, uint64_t>> ends_to_repeat_;
  uint64_t last_number_ = 0;
  TimePoint lines_since_{};
  int lines_ = 0;  // logged since then
};

}  // namespace leverwick

#endif  // DAEMON_PLACE_EXCHANGE_H_
