// Tells other boxes which requests this box has sent where and how fast
// endpoints work, and hears theirs.
//
// A box alone sees a small part of what an endpoint has to do, and sends to one
// that is busy for other boxes while several are idle. So boxes send each other
// datagrams, gathered for some milliseconds: of the requests that EngineLoads
// reports, of prompts that have been read, and of requests that have ended.
// Nothing is acknowledged or kept.
//
// All boxes of the data centre get every note, or some of them where they are
// many (leverwick/gossip_fanout.h). Boxes of other data centres are told of
// prompts only, and only where those boxes are few, since a note to each costs
// bytes between data centres with each request.
// Paces of endpoints go with these notes, a few a second: one that is not told
// is one sample fewer (leverwick/endpoint_speeds.h).
//
//   LoadExchange exchange(&loop, &loads, &datagrams, self, most_far,
//                         &metrics);
//   exchange.Start();
//   exchange.SetBoxes(peers);

#ifndef DAEMON_LOAD_EXCHANGE_H_
#define DAEMON_LOAD_EXCHANGE_H_

#include <boost/asio/io_context.hpp>
#include <set>
#include <string>
#include <vector>

#include "daemon/peer_datagrams.h"
#include "leverwick/engine_loads.h"
#include "leverwick/send_permits.h"
#include "net/metrics.h"
#include "net/timer.h"
#include "schema/peer.pb.h"

namespace leverwick {

// Belongs to the thread that runs its event loop.
class LoadExchange : private EngineLoads::Observer,
                     private PeerDatagrams::Listener {
 public:
  // `most_far`: boxes of other data centres are told if there are at most so
  // many.
  LoadExchange(boost::asio::io_context* loop, EngineLoads* loads,
               PeerDatagrams* datagrams, const BoxLocation& self,
               size_t most_far, Metrics* metrics);
  ~LoadExchange() override;

  // Begins to listen and to tell.
  void Start();

  // Under which this box's requests are told.
  uint32_t incarnation() const { return notes_.life(); }

  // All boxes but this one.
  void SetBoxes(const std::vector<PeerDatagrams::Peer>& boxes);

 private:
  // EngineLoads::Observer.
  void OnRequestSent(const SentRequest& request) override;
  void OnPrefillDone(uint64_t ticket) override;
  void OnPaceMeasured(const PaceSample& sample) override;
  void OnRequestEnded(uint64_t ticket) override;

  // PeerDatagrams::Listener.
  void OnNotes(const PeerNotes& notes,
               const PeerDatagrams::Address& from) override;

  // Adds the samples that may be told to the notes.
  void AddPaces();
  void RecordPaces(const PeerNotes& notes, TimePoint now);
  // Sends the notes within `delay`, or at once when they fill a datagram.
  void SendWithin(milliseconds delay);
  void Send();
  // Sends what `notes` holds, and clears it.
  void SendTo(const std::vector<PeerDatagrams::Address>& boxes,
              PeerNotes* notes);

  EngineLoads* const loads_;
  PeerDatagrams* const datagrams_;
  const std::string box_;
  const std::string data_centre_;
  const size_t most_far_;
  Timer timer_;
  bool waiting_ = false;  // the timer runs
  TimePoint due_{};       // when it ends
  // Tickets of requests without a prompt whose end is to be told.
  std::set<uint64_t> without_prompt_;
  PeerNotes notes_;      // to boxes of this data centre
  PeerNotes far_notes_;  // to those of other data centres
  // Tickets whose end is told twice: those that the notes hold, and those that
  // were told once.
  std::vector<uint64_t> told_twice_;
  std::vector<uint64_t> told_once_;
  std::vector<PaceSample> paces_;  // of the current interval, to be told
  TimePoint paces_since_{};        // when the interval began
  size_t paces_told_ = 0;          // in it
  Metrics* const metrics_;
  std::vector<PeerDatagrams::Address> told_;
  std::vector<PeerDatagrams::Address> far_told_;
};

}  // namespace leverwick

#endif  // DAEMON_LOAD_EXCHANGE_H_
