// One order is under way at a time. A new holder knows nothing of earlier
// orders: it orders anew what it finds present and different from its plan.

#include "daemon/scale_controller.h"

#include <algorithm>

#include "daemon/peer_post.h"
#include "leverwick/digest.h"
#include "leverwick/result.h"
#include "net/log.h"
#include "schema/peer.pb.h"

namespace leverwick {
namespace {

const Log kLog("scaling");

// Between two messages of a box, where the holder gets at most
// kMaxMessagesPerInterval in that time.
constexpr milliseconds kTellInterval{1000};
constexpr size_t kMaxMessagesPerInterval = 100;
// A box that has told nothing for so many intervals has nothing in flight.
constexpr int kSilentIntervals = 3;
constexpr milliseconds kRetry{500};

}  // namespace

ScaleController::ScaleController(boost::asio::io_context* loop,
                                 DutyHolder* duties, DutyCalls* calls,
                                 Relay* relay, std::string box,
                                 Metrics* metrics)
    : loop_(loop),
      duties_(duties),
      calls_(calls),
      relay_(relay),
      box_(std::move(box)),
      metrics_(metrics),
      connections_(loop, ShortAnswerOptions()) {}

milliseconds ScaleController::TellInterval() const {
  size_t factor =
      (box_count_ + kMaxMessagesPerInterval - 1) / kMaxMessagesPerInterval;
  return kTellInterval * std::max<size_t>(1, factor);
}

void ScaleController::Tick(TimePoint now) {
  if (relay_->config() == nullptr) return;
  Tell(now);
  Order(now);
}

void ScaleController::Tell(TimePoint now) {
  const auto& holder = duties_->holder();
  bool is_due = !telling_ && now >= tell_at_ && holder && !holder->released;
  if (!is_due) return;
  milliseconds interval = TellInterval();
  tell_at_ = now + interval / 2 +
             std::chrono::duration_cast<milliseconds>(Seconds(interval) *
                                                      UnitHash(box_));
  Means means = relay_->demand()->TakeMeans(now);
  if (holder->box == box_) return Learn(box_, std::move(means), now);
  DemandNote note;
  note.set_box(box_);
  note.mutable_in_flight()->insert(means.begin(), means.end());
  telling_ = true;
  PostToBox(loop_, &connections_, holder->address, kPath,
            note.SerializeAsString(), [this](bool) { telling_ = false; });
}

bool ScaleController::Receive(const std::string& body) {
  DemandNote note;
  if (!note.ParseFromString(body)) {
    kLog.Error("What another box has in flight can't be read.", {});
    return false;
  }
  Learn(note.box(), {note.in_flight().begin(), note.in_flight().end()},
        Clock::now());
  return true;
}

void ScaleController::Learn(const std::string& box, Means means,
                            TimePoint now) {
  demands_[box] = {std::move(means), now};
}

ScaleController::Means ScaleController::FleetDemand(TimePoint now) {
  milliseconds memory = kSilentIntervals * TellInterval();
  Means sums;
  for (auto box = demands_.begin(); box != demands_.end();) {
    if (now - box->second.at > memory) {
      box = demands_.erase(box);
      continue;
    }
    for (const auto& [service, mean] : box->second.means) {
      sums[service] += mean;
    }
    ++box;
  }
  return sums;
}

void ScaleController::Order(TimePoint now) {
  std::optional<uint64_t> token = duties_->token();
  if (!token) {
    scalers_.clear();
    return;
  }
  if (now >= demand_at_) {
    demand_at_ = now + kTellInterval;
    for (const auto& [service, in_flight] : FleetDemand(now)) {
      auto scaler = scalers_.find(service);
      if (scaler != scalers_.end()) {
        scaler->second.RecordDemand(in_flight, now);
      }
    }
  }
  if (calling_ || now < order_at_) return;
  std::vector<ScaleOrder> due = DueOrders(now);
  // An order that is refused does not hold up the others.
  if (!due.empty()) Send(*token, due[refused_ % due.size()]);
}

std::vector<ScaleOrder> ScaleController::DueOrders(TimePoint now) {
  std::vector<ScaleOrder> all;
  for (const auto& [name, service] : relay_->config()->services()) {
    if (!service.scaling) continue;
    SupplyByDataCentre supply = relay_->directory()->SupplyOf(
        name, now, [this, service = name](const std::string& version) {
          return relay_->rollouts()->UseOf(service, version);
        });
    if (supply.empty()) continue;
    auto scaler = scalers_.try_emplace(name, name).first;
    std::vector<ScaleOrder> due = scaler->second.DueOrders(
        *service.scaling, std::max<size_t>(1, service.max_batch_size), supply,
        relay_->rollouts()->IsActive(name), now);
    all.insert(all.end(), due.begin(), due.end());
  }
  return all;
}

void ScaleController::Send(uint64_t token, const ScaleOrder& order) {
  calling_ = true;
  calls_->OrderEndpoints(token, order, [this, order](std::error_code error) {
    OnAnswer(order, error);
  });
}

void ScaleController::OnAnswer(const ScaleOrder& order, std::error_code error) {
  calling_ = false;
  TimePoint now = Clock::now();
  kLog.Info(error ? "An order of endpoints was not accepted."
                  : "Endpoints are ordered.",
            {{"service", order.service},
             {"data_centre", order.data_centre},
             {"desired", std::to_string(order.desired)},
             {"kind", order.reclaimable ? "reclaimable" : "regular"},
             {"why", error ? error.message() : "plan"}});
  auto scaler = scalers_.find(order.service);
  if (scaler == scalers_.end()) return;
  if (!error) {
    refused_ = 0;
    return scaler->second.RecordAccepted(order, now);
  }
  if (error == Result::kNoEndpoint) {
    return scaler->second.RecordUnavailable(order, now);
  }
  ++refused_;
  order_at_ = now + kRetry;
}

}  // namespace leverwick
