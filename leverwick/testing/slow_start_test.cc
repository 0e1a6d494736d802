#include "leverwick/slow_start.h"

#include <doctest/doctest.h>

#include "leverwick/testing/slow_start_simulation.h"

namespace leverwick {
namespace {

const TimePoint kStart = TimePoint() + std::chrono::hours(1);
// Requests per second that a simulated cold endpoint sustains.
constexpr double kRatePerSecond = 13;
// More requests per second than this crash a simulated cold endpoint.
constexpr size_t kCrashingRequestsPerSecond = 24;

ListedEndpoint Listed(const std::string& id) {
  ListedEndpoint endpoint;
  endpoint.address = id;
  endpoint.target = "service";
  endpoint.data_centre = "dc1";
  return endpoint;
}

// The only box of a fleet. The cold endpoints of its service sustain two
// requests per second.
struct SingleBox {
  SlowStart slow_start{"box"};
  ListedEndpoint endpoint = Listed("a");

  SingleBox() {
    slow_start.SetBoxes({});
    slow_start.SetLimits({{"service", {2, std::chrono::seconds(3)}}});
  }
  // Returns how many of ten requests at this moment may be sent.
  size_t CountAllowed(TimePoint now) {
    size_t allowed = 0;
    for (int i = 0; i < 10; ++i) {
      if (!slow_start.MaySend(endpoint, now)) continue;
      slow_start.RecordSend(endpoint.address, now);
      ++allowed;
    }
    return allowed;
  }
};

TEST_CASE("a warm endpoint, or one without a limit, is not limited") {
  SingleBox single_box;
  CHECK(single_box.CountAllowed(kStart) == 10);
  single_box.slow_start.RecordWarmUp("a", milliseconds(3000), kStart);
  single_box.slow_start.SetLimits({});
  CHECK(single_box.CountAllowed(kStart) == 10);
}

TEST_CASE(
    "a cold endpoint is limited to its rate in any second until it is warm") {
  SingleBox single_box;
  single_box.slow_start.RecordWarmUp("a", milliseconds(3000), kStart);
  CHECK(single_box.CountAllowed(kStart) == 2);
  CHECK(single_box.CountAllowed(kStart + milliseconds(999)) == 0);
  CHECK(single_box.slow_start.TimeUntilSendAllowed(
            single_box.endpoint, kStart + milliseconds(400)) ==
        milliseconds(600));
  CHECK(single_box.CountAllowed(kStart + milliseconds(1000)) == 2);
  CHECK(single_box.CountAllowed(kStart + milliseconds(3000)) == 10);
}

TEST_CASE("sends from before the endpoint reported that it is cold count") {
  SingleBox single_box;
  CHECK(single_box.CountAllowed(kStart) == 10);
  single_box.slow_start.RecordWarmUp("a", milliseconds(3000),
                                     kStart + milliseconds(500));
  CHECK(single_box.CountAllowed(kStart + milliseconds(500)) == 0);
  CHECK(single_box.CountAllowed(kStart + milliseconds(1000)) == 2);
}

TEST_CASE("an endpoint is warm once it reports so") {
  SingleBox single_box;
  single_box.slow_start.RecordWarmUp("a", milliseconds(3000), kStart);
  single_box.slow_start.RecordWarmUp("a", milliseconds(0),
                                     kStart + milliseconds(800));
  CHECK_FALSE(single_box.slow_start.IsCold(single_box.endpoint,
                                           kStart + milliseconds(800)));
}

TEST_CASE("an endpoint of a restored data centre is cold whatever it reports") {
  SingleBox single_box;
  single_box.slow_start.RecordDataCentreRestored("dc1", kStart);
  single_box.slow_start.RecordWarmUp("a", milliseconds(0),
                                     kStart + milliseconds(10));
  CHECK(single_box.CountAllowed(kStart + milliseconds(100)) == 2);
  CHECK_FALSE(single_box.slow_start.IsCold(single_box.endpoint,
                                           kStart + milliseconds(3000)));
}

TEST_CASE("expiry keeps the state that still limits sends") {
  SingleBox single_box;
  single_box.slow_start.RecordWarmUp("a", milliseconds(3000), kStart);
  CHECK(single_box.CountAllowed(kStart + milliseconds(2500)) == 2);
  single_box.slow_start.Expire(kStart + milliseconds(2600));
  CHECK(single_box.CountAllowed(kStart + milliseconds(2700)) == 0);
}

TEST_CASE("the quotas of all senders are within the rate") {
  for (double rate : {1.0, 2.5, 6.0, 13.0, 40.0}) {
    for (size_t boxes : {1, 2, 3, 7, 65, 1000}) {
      SlowStart::Quota quota = SlowStart::ComputeQuota(rate, boxes);
      CHECK(quota.senders <= boxes);
      CHECK(quota.senders >= 1);
      CHECK(quota.requests_per_sender >= 1);
      CHECK(static_cast<double>(quota.senders * quota.requests_per_sender) <=
            rate);
    }
  }
  CHECK(SlowStart::ComputeQuota(0.2, 65).requests_per_sender == 1);
}

// Returns the worst result of several seeds: the maximum requests per second at
// one cold endpoint, and the sum of refused requests.
RestoreResult RunRendezvousSenders(const SimulatedFleet& fleet) {
  RestoreResult worst;
  for (uint64_t seed = 1; seed <= 5; ++seed) {
    RendezvousSenders senders(kRatePerSecond, fleet, seed);
    RestoreResult result = SlowStartSimulation(fleet, seed).Run(&senders);
    worst.max_requests_per_second =
        std::max(worst.max_requests_per_second, result.max_requests_per_second);
    worst.refused += result.refused;
  }
  return worst;
}

// The limit is needed when a quarter of a pool is restored while 4 in 100
// requests have the same hot prompt.
TEST_CASE(
    "without a limit a restored data centre's cold endpoints are overloaded") {
  SimulatedFleet fleet;
  for (uint64_t seed = 1; seed <= 5; ++seed) {
    UnlimitedSends unlimited;
    CHECK(SlowStartSimulation(fleet, seed)
              .Run(&unlimited)
              .max_requests_per_second > kCrashingRequestsPerSecond);
  }
}

TEST_CASE("a restored data centre's cold endpoints stay within their rate") {
  for (size_t boxes : {6, 20, 65, 200}) {
    SimulatedFleet fleet;
    fleet.boxes = boxes;
    RestoreResult worst = RunRendezvousSenders(fleet);
    CHECK(static_cast<double>(worst.max_requests_per_second) <= kRatePerSecond);
    CHECK(worst.refused == 0);
  }
}

TEST_CASE("few cold endpoints in a large fleet stay within their rate") {
  SimulatedFleet fleet;
  fleet.boxes = 200;
  fleet.cold_endpoints = 2;
  CHECK(static_cast<double>(
            RunRendezvousSenders(fleet).max_requests_per_second) <=
        kRatePerSecond);
}

TEST_CASE(
    "boxes with a partial view of the fleet don't overload cold endpoints") {
  SimulatedFleet fleet;
  fleet.stale_box_share = 0.2;
  fleet.unknown_to_stale_share = 0.5;
  CHECK(RunRendezvousSenders(fleet).max_requests_per_second <=
        kCrashingRequestsPerSecond);
}

}  // namespace
}  // namespace leverwick
