// Orders endpoints for the services that may be scaled, while this box holds
// the duties, by what all boxes tell it of the requests that they have in
// flight.
//
// The decisions are EndpointScaler's, one for each service. A box that can't
// reach the platform or whose lease is over orders nothing.
//
//   ScaleController scaling(&loop, &duties, &calls, &relay, "box-a1",
//   &metrics); scaling.Tick(now);      // a few times a second
//   scaling.Receive(body);  // what another box tells

#ifndef DAEMON_SCALE_CONTROLLER_H_
#define DAEMON_SCALE_CONTROLLER_H_

#include <boost/asio/io_context.hpp>
#include <map>
#include <string>
#include <system_error>

#include "daemon/duty_calls.h"
#include "daemon/duty_holder.h"
#include "daemon/relay.h"
#include "leverwick/endpoint_scaler.h"
#include "net/async_http_client.h"
#include "net/metrics.h"

namespace leverwick {

// Belongs to the thread that runs its event loop.
class ScaleController {
 public:
  ScaleController(boost::asio::io_context* loop, DutyHolder* duties,
                  DutyCalls* calls, Relay* relay, std::string box,
                  Metrics* metrics);

  void Tick(TimePoint now);
  // The number of all boxes.
  void SetBoxCount(size_t boxes) { box_count_ = boxes; }
  // Takes in what another box tells; false if it can't be read.
  bool Receive(const std::string& body);

  // Where boxes tell each other their demand.
  static constexpr char kPath[] = "/demand";

 private:
  using Means = std::map<std::string, double>;  // by service
  struct BoxDemand {
    Means means;
    TimePoint at{};
  };

  void Tell(TimePoint now);
  void Learn(const std::string& box, Means means, TimePoint now);
  milliseconds TellInterval() const;

  void Order(TimePoint now);
  // Adds up what the boxes have told lately.
  Means FleetDemand(TimePoint now);
  std::vector<ScaleOrder> DueOrders(TimePoint now);
  void Send(uint64_t token, const ScaleOrder& order);
  void OnAnswer(const ScaleOrder& order, std::error_code error);

  boost::asio::io_context* const loop_;
  DutyHolder* const duties_;
  DutyCalls* const calls_;
  Relay* const relay_;
  const std::string box_;
  Metrics* const metrics_;
  HttpConnections connections_;
  size_t box_count_ = 1;
  bool telling_ = false;
  TimePoint tell_at_{};

  std::map<std::string, BoxDemand> demands_;       // by box
  std::map<std::string, EndpointScaler> scalers_;  // by service
  bool calling_ = false;
  size_t refused_ = 0;     // orders since the last one that was accepted
  TimePoint demand_at_{};  // when demand is added up next
  TimePoint order_at_{};   // the next order, at the soonest
};

}  // namespace leverwick

#endif  // DAEMON_SCALE_CONTROLLER_H_
