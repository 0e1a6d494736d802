// Forwards requests to other boxes, and bounds those that this box takes from
// others.
//
//   RequestForwarder forwarder(&loop, self, &metrics);
//   forwarder.SetBoxes(boxes);
//   const ForwardPeer* peer = forwarder.Pick(tried, now);
//   forwarder.Send(*peer, message, call.get());
//   forwarder.RecordEnd(peer->name, ForwardOutcome::kServed, now);

#ifndef DAEMON_REQUEST_FORWARDER_H_
#define DAEMON_REQUEST_FORWARDER_H_

#include <boost/asio/io_context.hpp>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "daemon/forwarded_call.h"
#include "daemon/log_boxes.h"
#include "leverwick/forward_admission.h"
#include "leverwick/forward_targets.h"
#include "net/async_http_client.h"
#include "net/metrics.h"

namespace leverwick {

// An encoded request (EncodeForwardStart) and the body that follows.
struct ForwardMessage {
  std::string start;
  std::shared_ptr<const std::string> body;
};

// Belongs to the thread that runs its event loop.
class RequestForwarder {
 public:
  RequestForwarder(boost::asio::io_context* loop, std::string box,
                   const std::string& data_centre, Metrics* metrics);

  // All boxes but this one.
  void SetBoxes(const std::vector<FleetBox>& boxes);
  bool has_peers() const { return !targets_.empty(); }
  const std::string& box() const { return box_; }

  // The box to forward a request to; null if none is left. Valid until the next
  // SetBoxes.
  const ForwardPeer* Pick(const std::set<std::string>& tried, TimePoint now);
  // Sends the message, and counts it as in flight there until RecordEnd.
  void Send(const ForwardPeer& peer, const ForwardMessage& message,
            ForwardedCall* call);
  void RecordEnd(const std::string& peer, ForwardOutcome outcome,
                 TimePoint now);

  // Of the requests that other boxes forward to this one.
  ForwardAdmission* admission() { return &admission_; }
  // Declines them from now on, since the box stops.
  void StopIntake() { takes_requests_ = false; }
  bool takes_requests() const { return takes_requests_; }

 private:
  const std::string box_;
  Metrics* const metrics_;
  HttpConnections connections_;
  ForwardTargets targets_;
  ForwardAdmission admission_;
  bool takes_requests_ = true;
  std::mt19937_64 random_;
};

}  // namespace leverwick

#endif  // DAEMON_REQUEST_FORWARDER_H_
