#include "leverwick/endpoint_scaler.h"

#include <doctest/doctest.h>

#include "leverwick/service_demand.h"
#include "leverwick/testing/scaling_simulation.h"

namespace leverwick {
namespace {

constexpr TimePoint kStart = TimePoint{} + std::chrono::hours(1);
constexpr size_t kPlaces = 16;

EndpointScaling Scaling(double reclaimable_price) {
  EndpointScaling scaling;
  scaling.min_per_data_centre = 1;
  scaling.max_per_data_centre = 60;
  scaling.boot_time = std::chrono::seconds(4);
  scaling.reclaimable_price = reclaimable_price;
  scaling.price_by_data_centre = {{"a", 1.0}, {"b", 0.8}, {"c", 1.25}};
  return scaling;
}

// A platform that follows orders at once.
struct Platform {
  EndpointScaling scaling;
  EndpointScaler scaler{"chat"};
  SupplyByDataCentre supply;
  std::string empty;  // has no reclaimable endpoints
  size_t orders = 0;
  bool is_rolling_out = false;
  bool new_are_cold = false;

  // Returns the least that was present meanwhile.
  size_t Run(TimePoint now, double in_flight) {
    scaler.RecordDemand(in_flight, now);
    size_t least = Total();
    for (int round = 0; round < 20; ++round) {
      auto due =
          scaler.DueOrders(scaling, kPlaces, supply, is_rolling_out, now);
      if (due.empty()) break;
      for (const ScaleOrder& order : due) {
        Follow(order, now);
        least = std::min(least, Total());
      }
    }
    return least;
  }
  void Follow(const ScaleOrder& order, TimePoint now) {
    ++orders;
    if (order.reclaimable && order.data_centre == empty) {
      return scaler.RecordUnavailable(order, now);
    }
    EndpointSupply& there = supply[order.data_centre];
    bool is_raise = order.reclaimable && order.desired > there.reclaimable;
    if (is_raise && new_are_cold) {
      there.cold += order.desired - there.reclaimable;
    }
    (order.reclaimable ? there.reclaimable : there.regular) = order.desired;
    CHECK(there.total() <= scaling.max_per_data_centre);
    CHECK(there.total() >= scaling.min_per_data_centre);
    scaler.RecordAccepted(order, now);
  }
  size_t Total() const {
    size_t total = 0;
    for (const auto& [name, there] : supply) total += there.total();
    return total;
  }
};

Platform Start(double reclaimable_price) {
  Platform platform;
  platform.scaling = Scaling(reclaimable_price);
  platform.supply = {{"a", {30, 0}}, {"b", {30, 0}}, {"c", {30, 0}}};
  return platform;
}

TEST_CASE("cheaper endpoints take the place of regular ones, none is lacking") {
  Platform platform = Start(0.22);
  CHECK(platform.Run(kStart, 300) >= 90);
  for (const auto& [name, there] : platform.supply) {
    CHECK(there.regular <= 2);
    CHECK(there.reclaimable == 45);  // 90 are left without any of the three
  }
  size_t orders = platform.orders;
  platform.Run(kStart + std::chrono::seconds(1), 310);
  CHECK(platform.orders == orders);  // nothing has changed
}

TEST_CASE("what a data centre doesn't have is ordered in the others") {
  Platform platform = Start(0.22);
  platform.Run(kStart, 300);
  platform.empty = "b";
  platform.supply["b"] = {platform.supply["b"].regular, 0};
  platform.Run(kStart + std::chrono::seconds(1), 300);
  CHECK(platform.Total() >= 90);
  CHECK(platform.supply["b"].reclaimable == 0);
  CHECK(platform.supply["a"].reclaimable == 59);  // the most that may be
  // It is asked again, but not at once.
  size_t orders = platform.orders;
  platform.Run(kStart + std::chrono::seconds(2), 300);
  CHECK(platform.orders == orders);
  platform.empty = "";
  platform.Run(kStart + std::chrono::seconds(5), 300);
  CHECK(platform.supply["b"].reclaimable >= 29);
}

TEST_CASE("without cheaper endpoints regular ones follow the demand") {
  Platform platform = Start(0);
  platform.Run(kStart, 100);
  CHECK(platform.Total() == 90);  // the demand is not known yet
  for (int second = 1; second <= 40; ++second) {
    platform.Run(kStart + std::chrono::seconds(second), 100);
  }
  // 100 requests in flight take four tenths of 16 endpoints' places.
  CHECK(platform.Total() == 16);
  // The dearest data centre lost most.
  CHECK(platform.supply["c"].total() <= platform.supply["b"].total());
  platform.Run(kStart + std::chrono::seconds(41), 400);
  CHECK(platform.Total() == 63);
  // A dip is waited out.
  platform.Run(kStart + std::chrono::seconds(50), 50);
  CHECK(platform.Total() == 63);
}

TEST_CASE("an order that is not followed is repeated") {
  EndpointScaler scaler("chat");
  EndpointScaling scaling = Scaling(0);
  SupplyByDataCentre supply = {{"a", {2, 0}}};
  scaler.RecordDemand(64, kStart);
  auto due = scaler.DueOrders(scaling, kPlaces, supply, false, kStart);
  REQUIRE(due.size() == 1);
  CHECK(due[0].desired == 10);
  scaler.RecordAccepted(due[0], kStart);
  TimePoint later = kStart + 3 * scaling.boot_time;
  CHECK(scaler.DueOrders(scaling, kPlaces, supply, false, later).empty());
  later += scaling.boot_time;
  CHECK(scaler.DueOrders(scaling, kPlaces, supply, false, later).size() == 1);
}

TEST_CASE("cold endpoints count as present, but take no other's place") {
  Platform platform = Start(0.22);
  platform.new_are_cold = true;
  platform.Run(kStart, 300);
  size_t regular = 0;
  for (const auto& [name, there] : platform.supply) regular += there.regular;
  CHECK(platform.Total() == 180);
  CHECK(regular == 90);
  for (auto& [name, there] : platform.supply) there.cold = 0;
  platform.Run(kStart + std::chrono::seconds(1), 300);
  regular = 0;
  for (const auto& [name, there] : platform.supply) regular += there.regular;
  CHECK(regular <= 6);
}

TEST_CASE("during a roll-out endpoints are added, and none is given up") {
  Platform platform = Start(0);
  platform.is_rolling_out = true;
  for (int second = 0; second <= 40; ++second) {
    platform.Run(kStart + std::chrono::seconds(second), 100);
  }
  CHECK(platform.Total() == 90);
  platform.Run(kStart + std::chrono::seconds(41), 700);
  CHECK(platform.Total() == 110);
}

// The load: a roll-out for which the platform has started seven endpoints of
// the target beside two, of which five are listed so far. It counts both
// versions, so an order of what is listed would end two.
TEST_CASE("a roll-out's endpoints are not ended by an order") {
  EndpointScaler scaler("chat");
  EndpointScaling scaling = Scaling(0.22);
  SupplyByDataCentre supply = {{"a", {2, 10}}};
  supply["a"].other_regular = 5;
  scaler.RecordDemand(10, kStart);
  for (const ScaleOrder& order :
       scaler.DueOrders(scaling, kPlaces, supply, true, kStart)) {
    CHECK(order.reclaimable);
  }
  // Nor afterwards, while those of a target that was rolled back are listed.
  TimePoint later = kStart + std::chrono::seconds(40);
  scaler.RecordDemand(10, later);
  for (const ScaleOrder& order :
       scaler.DueOrders(scaling, kPlaces, supply, false, later)) {
    CHECK(order.reclaimable);
    CHECK(order.desired > 10);
  }
  supply["a"].other_regular = 0;
  CHECK_FALSE(scaler.DueOrders(scaling, kPlaces, supply, false, later).empty());
}

TEST_CASE("a raise during a roll-out is beside the target's endpoints") {
  EndpointScaler scaler("chat");
  EndpointScaling scaling = Scaling(0);
  SupplyByDataCentre supply = {{"a", {10, 0}}};
  supply["a"].other_regular = 7;
  scaler.RecordDemand(128, kStart);  // 20 endpoints' worth
  auto due = scaler.DueOrders(scaling, kPlaces, supply, true, kStart);
  REQUIRE(due.size() == 1);
  CHECK(due[0].desired == 27);
  // The platform's bound holds for both versions together.
  supply["a"].other_regular = 45;
  due = scaler.DueOrders(scaling, kPlaces, supply, true, kStart);
  REQUIRE(due.size() == 1);
  CHECK(due[0].desired == scaling.max_per_data_centre);
}

// The load: a roll-out is completed; the platform ends the endpoints of the
// version before at once, and they are listed for some seconds still.
TEST_CASE("what a completed roll-out ends is replaced at once") {
  EndpointScaler scaler("chat");
  EndpointScaling scaling = Scaling(0);
  SupplyByDataCentre supply = {{"a", {20, 0}}};
  supply["a"].other_regular = 7;
  scaler.RecordDemand(128, kStart);
  CHECK(scaler.DueOrders(scaling, kPlaces, supply, true, kStart).empty());
  EndpointSupply& there = supply["a"];
  there = EndpointSupply();
  there.regular = 7;
  there.stopped = 20;
  TimePoint later = kStart + std::chrono::seconds(1);
  auto due = scaler.DueOrders(scaling, kPlaces, supply, false, later);
  REQUIRE(due.size() == 1);
  CHECK(due[0].desired == 20);
  // Little demand ends none of the version that is left meanwhile.
  TimePoint calm = kStart + std::chrono::seconds(40);
  scaler.RecordDemand(1, calm);
  CHECK(scaler.DueOrders(scaling, kPlaces, supply, false, calm).empty());
}

// A roll-out of a service with ten endpoints, of which an order was accepted.
struct OrderedInRollout {
  EndpointScaling scaling = Scaling(0);
  EndpointScaler scaler{"chat"};
  SupplyByDataCentre supply = {{"a", {10, 0}}};

  OrderedInRollout(double in_flight, size_t desired) {
    scaler.RecordDemand(in_flight, kStart);
    auto due = Due(kStart);
    REQUIRE(due.size() == 1);
    REQUIRE(due[0].desired == desired);
    scaler.RecordAccepted(due[0], kStart);
  }
  std::vector<ScaleOrder> Due(TimePoint now) {
    return scaler.DueOrders(scaling, kPlaces, supply, true, now);
  }
};

TEST_CASE("endpoints that boot are not called off during a roll-out") {
  OrderedInRollout rollout(256, 40);
  // The peak is forgotten.
  TimePoint later = kStart + std::chrono::seconds(31);
  rollout.scaler.RecordDemand(128, later);
  CHECK(rollout.Due(later).empty());
}

TEST_CASE("what is lost before an order is met is ordered again at once") {
  OrderedInRollout rollout(128, 20);
  TimePoint later = kStart + std::chrono::seconds(1);
  CHECK(rollout.Due(later).empty());
  rollout.supply["a"].regular = 2;
  CHECK(rollout.Due(later).size() == 1);
}

// The load: all requests run on the target, but the platform starts endpoints
// of the version before until it knows that the roll-out is completed. Orders
// for what the target lacks would grow by what they have started.
TEST_CASE("what is started of a replaced version raises no further order") {
  EndpointScaler scaler("chat");
  EndpointScaling scaling = Scaling(0);
  SupplyByDataCentre supply = {{"a", {9, 0}}};
  EndpointSupply& there = supply["a"];
  there.other_regular = 28;
  there.replaced = 28;
  size_t listed = there.regular + there.other_regular;
  for (int boots = 0; boots < 6; ++boots) {
    TimePoint now = kStart + boots * scaling.boot_time;
    scaler.RecordDemand(179, now);  // 28 endpoints' worth
    for (const ScaleOrder& order :
         scaler.DueOrders(scaling, kPlaces, supply, true, now)) {
      scaler.RecordAccepted(order, now);
      there.other_regular = order.desired - there.regular;
      there.replaced = there.other_regular;
    }
  }
  CHECK(there.regular + there.other_regular == listed);
  // Once it is completed, the target gets what it lacks.
  there = EndpointSupply();
  there.regular = 9;
  there.stopped = 28;
  TimePoint completed = kStart + 6 * scaling.boot_time;
  auto due = scaler.DueOrders(scaling, kPlaces, supply, false, completed);
  REQUIRE(due.size() == 1);
  CHECK(due[0].desired == 28);
}

// The load: beside eight, the platform has started seven endpoints of the
// target, of which five are listed. An order of 14 would end one.
TEST_CASE("a small raise waits until the target's endpoints are listed") {
  EndpointScaler scaler("chat");
  EndpointScaling scaling = Scaling(0);
  SupplyByDataCentre supply = {{"a", {8, 0}}};
  supply["a"].other_regular = 4;
  scaler.RecordDemand(57, kStart);  // 9 endpoints' worth
  CHECK(scaler.DueOrders(scaling, kPlaces, supply, true, kStart).empty());
  TimePoint grown = kStart + std::chrono::seconds(2);
  supply["a"].other_regular = 5;
  CHECK(scaler.DueOrders(scaling, kPlaces, supply, true, grown).empty());
  TimePoint booted = kStart + scaling.boot_time;
  CHECK(scaler.DueOrders(scaling, kPlaces, supply, true, booted).empty());
  booted = grown + scaling.boot_time;
  auto due = scaler.DueOrders(scaling, kPlaces, supply, true, booted);
  REQUIRE(due.size() == 1);
  CHECK(due[0].desired == 14);
}

TEST_CASE("an order that is never followed blocks lower raises for a while") {
  OrderedInRollout rollout(256, 40);
  TimePoint later = kStart + std::chrono::seconds(39);
  rollout.scaler.RecordDemand(128, later);
  CHECK(rollout.Due(later).empty());
  later = kStart + 10 * rollout.scaling.boot_time;
  auto due = rollout.Due(later);
  REQUIRE(due.size() == 1);
  CHECK(due[0].desired == 20);
}

TEST_CASE("a raise leaves room for the reclaimable endpoints that are there") {
  EndpointScaler scaler("chat");
  EndpointScaling scaling = Scaling(0);
  SupplyByDataCentre supply = {{"a", {20, 10}}};
  supply["a"].other_reclaimable = 5;
  scaler.RecordDemand(640, kStart);  // 100 endpoints' worth
  auto due = scaler.DueOrders(scaling, kPlaces, supply, true, kStart);
  REQUIRE(due.size() == 1);
  CHECK(due[0].desired == 45);
  // Nor does a lack of room end any.
  supply["a"] = {50, 20};
  for (const ScaleOrder& order :
       scaler.DueOrders(scaling, kPlaces, supply, false, kStart)) {
    CHECK(order.desired == 50);
  }
}

TEST_CASE("an endpoint that stays after a roll-out does not stop lowering") {
  EndpointScaler scaler("chat");
  EndpointScaling scaling = Scaling(0);
  SupplyByDataCentre supply = {{"a", {20, 0}}};
  supply["a"].other_regular = 1;
  scaler.RecordDemand(1, kStart);
  CHECK(scaler.DueOrders(scaling, kPlaces, supply, true, kStart).empty());
  TimePoint ended = kStart + std::chrono::seconds(40);
  scaler.RecordDemand(1, ended);
  CHECK(scaler.DueOrders(scaling, kPlaces, supply, false, ended).empty());
  TimePoint later = ended + 10 * scaling.boot_time;
  auto due = scaler.DueOrders(scaling, kPlaces, supply, false, later);
  REQUIRE(due.size() == 1);
  CHECK(due[0].desired == 2);
}

TEST_CASE("demand is the mean number of requests in flight") {
  ServiceDemand demand(kStart);
  demand.RecordStart("chat", kStart + milliseconds(250));
  demand.RecordStart("chat", kStart + milliseconds(500));
  demand.RecordEnd("chat", kStart + milliseconds(750));
  CHECK(demand.TakeMeans(kStart + milliseconds(1000)).at("chat") ==
        doctest::Approx(1.0));
  // One is still in flight.
  CHECK(demand.TakeMeans(kStart + milliseconds(1500)).at("chat") ==
        doctest::Approx(1.0));
}

// The load: a wave with bursts, whose endpoints boot in seven seconds, with and
// without the sudden loss of a third of them.
TEST_CASE("of three rules, target utilisation serves most under bursts") {
  for (bool reclaims : {false, true}) {
    ScalingScenario scenario;
    scenario.reclaims = reclaims;
    TargetUtilisationRule target(0.4, std::chrono::seconds(30));
    QueueLengthRule queue;
    PredictiveRule predictive(0.4, scenario.boot_time);
    ScalingSimulation simulation(scenario);
    ScalingResult by_target = simulation.Run(&target);
    ScalingResult by_queue = simulation.Run(&queue);
    ScalingResult by_trend = simulation.Run(&predictive);
    CAPTURE(by_target.served);
    CAPTURE(by_queue.served);
    CAPTURE(by_trend.served);
    CAPTURE(by_target.mean_endpoints);
    CAPTURE(by_queue.mean_endpoints);
    CAPTURE(by_trend.mean_endpoints);
    CHECK(by_target.served > 0.99);
    CHECK(by_target.served >= by_queue.served);
    CHECK(by_target.served >= by_trend.served);
  }
}

}  // namespace
}  // namespace leverwick
