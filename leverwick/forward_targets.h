// ForwardTargets chooses the box that a request is forwarded to when this box
// can't reach an endpoint for it.
//
// Boxes of the own data centre come first. Of two boxes drawn at random, the
// one with fewer forwarded requests in flight is taken, which spreads the
// requests without any knowledge of the boxes' loads. A box that declines or
// fails is left out for a while that doubles each time. A data centre whose
// boxes decline one after another is left out as a whole, since all of it may
// be partitioned. While boxes decline, those that accept are preferred.
//
//   ForwardTargets targets(data_centre);
//   targets.SetPeers(peers);
//   const ForwardPeer* peer = targets.Pick(tried, {draw, draw}, now);
//   targets.RecordStart(peer->name, now);
//   targets.RecordEnd(peer->name, ForwardOutcome::kServed, now);

#ifndef LEVERWICK_FORWARD_TARGETS_H_
#define LEVERWICK_FORWARD_TARGETS_H_

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "leverwick/time.h"

namespace leverwick {

struct ForwardPeer {
  std::string name;
  std::string data_centre;
  std::string address;  // ip:port at which boxes reach it
};

// How a forwarded request ended at the box that it was forwarded to.
enum class ForwardOutcome {
  kServed,    // the box returned a response
  kDeclined,  // the box can't serve it either, and has not run it
  kFailed,    // the box was not reached, or the connection broke
  kAborted,   // the caller left, or ran out of time
};

// For logs and metrics.
const char* NameOf(ForwardOutcome outcome);

// Not thread-safe.
class ForwardTargets {
 public:
  // Uniform in [0, 1).
  using Draws = std::pair<double, double>;

  explicit ForwardTargets(std::string data_centre)
      : data_centre_(std::move(data_centre)) {}

  // Replaces the list of all boxes but this one.
  void SetPeers(std::vector<ForwardPeer> peers);
  bool empty() const { return peers_.empty(); }

  // Returns the box to forward to, or null if none is left. `excluded` holds
  // the names of boxes that the request was forwarded to before. The pointer is
  // valid until the next SetPeers.
  const ForwardPeer* Pick(const std::set<std::string>& excluded,
                          const Draws& draws, TimePoint now) const;

  // Each start needs an end. Boxes that are not listed any more are ignored.
  void RecordStart(const std::string& peer, TimePoint now);
  void RecordEnd(const std::string& peer, ForwardOutcome outcome,
                 TimePoint now);

 private:
  struct Peer {
    ForwardPeer listed;
    size_t data_centre = 0;  // index in data_centres_
    size_t in_flight = 0;
    TimePoint last_start{};
    TimePoint last_served{};
    size_t failures = 0;  // in a row
    TimePoint blocked_until{};
  };
  struct DataCentre {
    size_t failures = 0;  // in a row, of any of its boxes
    TimePoint blocked_until{};
  };
  using Peers = std::vector<const Peer*>;

  // Returns the boxes that are not left out: those of the own data centre, or
  // else those of the others. Data centres that are left out come last.
  Peers NearestEligible(const std::set<std::string>& excluded,
                        TimePoint now) const;
  // Returns those that accept requests at present; all if boxes hardly decline,
  // or if none is known to accept more.
  Peers AcceptingOf(Peers peers, TimePoint now) const;
  static bool IsAccepting(const Peer& peer, TimePoint now);
  // Returns null if the box is not listed.
  Peer* Find(const std::string& name);
  size_t DataCentreIndex(const std::string& name);
  void RecordFailure(Peer* peer, TimePoint now);

  const std::string data_centre_;
  std::vector<Peer> peers_;  // by name
  std::map<std::string, size_t> data_centre_indexes_;
  std::vector<DataCentre> data_centres_;
  TimePoint last_failure_{};  // of any box
};

}  // namespace leverwick

#endif  // LEVERWICK_FORWARD_TARGETS_H_
