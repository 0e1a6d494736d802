// Asks other boxes for permits to send to limited endpoints, answers their
// asks, and tells them of limits.
//
// An ask and its answer are a datagram each; what is lost is given up after a
// time. A limit that this box's own answers begin or end is told to all boxes
// once; boxes that are new in the fleet are told by the granters.
//
//   PermitExchange exchange(&loop, &watch, &directory, &datagrams, &metrics);
//   exchange.Start();
//   exchange.SetBoxes(peers, known_since);

#ifndef DAEMON_PERMIT_EXCHANGE_H_
#define DAEMON_PERMIT_EXCHANGE_H_

#include <boost/asio/io_context.hpp>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "daemon/limit_watch.h"
#include "daemon/peer_datagrams.h"
#include "leverwick/fleet_agreement.h"
#include "net/metrics.h"
#include "net/timer.h"
#include "schema/peer.pb.h"

namespace leverwick {

// Belongs to the thread that runs its event loop.
class PermitExchange : private SendPermits::Transport,
                       private PeerDatagrams::Listener {
 public:
  PermitExchange(boost::asio::io_context* loop, const BoxLocation& self,
                 LimitWatch* watch, const EndpointDirectory* directory,
                 PeerDatagrams* datagrams, Metrics* metrics);
  ~PermitExchange() override;

  // Begins to listen and to tell.
  void Start();
  // All boxes but this one, as the list names them. `known_since`: from when on
  // these know this box, which grants nothing before, unless all that answer
  // say earlier that they know the same boxes.
  void SetBoxes(const std::vector<PeerDatagrams::Peer>& boxes,
                TimePoint known_since);

 private:
  // SendPermits::Transport.
  void SendPermitRequest(const PermitRequest& ask,
                         const std::string& box) override;
  // PeerDatagrams::Listener.
  void OnNotes(const PeerNotes& notes,
               const PeerDatagrams::Address& from) override;

  void Tell(const LimitNews& news);
  // Tells the boxes that may not know this one, until all do.
  void Introduce();
  void TellSelf(bool asks, const PeerDatagrams::Address& box);
  // To a box that knows others than this one: names those that came last.
  void Reply(uint64_t digest, const PeerDatagrams::Address& box);
  BoxNote NoteOfSelf() const;
  void HearBox(const BoxNote& note, const PeerDatagrams::Address& from);
  void HearOfNewcomers(const BoxNote& note);
  void UseBoxes();
  // The limits that this box deals out, to a box that is new.
  void Greet(const PeerDatagrams::Address& box);
  // Wakes who waits, and looks for asks that were lost, while any is open.
  void Watch();

  LimitWatch* const watch_;
  const EndpointDirectory* const directory_;
  PeerDatagrams* const datagrams_;
  Metrics* const metrics_;
  const BoxLocation self_;
  FleetAgreement agreement_;
  Timer introduction_;
  bool introducing_ = false;  // a round is under way
  // Of the agreement, when its boxes were last used.
  std::optional<uint64_t> used_digest_;
  TimePoint used_active_from_{};
  Timer timer_;
  bool watching_ = false;                                // the timer runs
  std::map<std::string, PeerDatagrams::Address> boxes_;  // by name
};

}  // namespace leverwick

#endif  // DAEMON_PERMIT_EXCHANGE_H_
