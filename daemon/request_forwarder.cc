#include "daemon/request_forwarder.h"

#include <utility>

namespace leverwick {

RequestForwarder::RequestForwarder(boost::asio::io_context* loop,
                                   std::string box,
                                   const std::string& data_centre,
                                   Metrics* metrics)
    : box_(std::move(box)),
      metrics_(metrics),
      connections_(loop, HttpConnectionsOptions()),
      targets_(data_centre),
      random_(std::random_device{}()) {}

void RequestForwarder::SetBoxes(const std::vector<FleetBox>& boxes) {
  std::vector<ForwardPeer> peers;
  peers.reserve(boxes.size());
  for (const FleetBox& box : boxes) {
    peers.push_back({box.name, box.data_centre, box.address});
  }
  targets_.SetPeers(std::move(peers));
}

const ForwardPeer* RequestForwarder::Pick(const std::set<std::string>& tried,
                                          TimePoint now) {
  std::uniform_real_distribution<> draw(0, 1);
  double first = draw(random_);
  double second = draw(random_);
  return targets_.Pick(tried, {first, second}, now);
}

void RequestForwarder::Send(const ForwardPeer& peer,
                            const ForwardMessage& message,
                            ForwardedCall* call) {
  HttpHead head;
  head.method = "POST";
  head.target = kForwardPath;
  head.Set("Host", peer.address);
  size_t size = message.start.size() + message.body->size();
  head.Set("Content-Length", std::to_string(size));
  targets_.RecordStart(peer.name, Clock::now());
  call->Start(&connections_, peer.address,
              {RequestText(head) + message.start, message.body, ""});
}

void RequestForwarder::RecordEnd(const std::string& peer,
                                 ForwardOutcome outcome, TimePoint now) {
  targets_.RecordEnd(peer, outcome, now);
  metrics_->Add("leverwick_forwarded_requests_total",
                std::string("outcome=\"") + NameOf(outcome) + "\"", 1);
}

}  // namespace leverwick
