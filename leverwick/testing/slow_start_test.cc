#include "leverwick/slow_start.h"

#include <doctest/doctest.h>

#include "leverwick/testing/slow_start_simulation.h"

namespace leverwick {
namespace {

const TimePoint kStart = TimePoint() + std::chrono::hours(1);
constexpr double kRatePerSecond =
    13;  // a second, that a played cold endpoint bears
// What breaks a played endpoint.
constexpr size_t kBreakingRequestsPerSecond = 24;

ListedEndpoint Listed(const std::string& id) {
  ListedEndpoint endpoint;
  endpoint.address = id;
  endpoint.target = "service";
  endpoint.data_centre = "dc1";
  return endpoint;
}

// A box alone in its fleet, whose service bears two requests a second.
struct SingleBox {
  SlowStart slow_start{"box"};
  ListedEndpoint endpoint = Listed("a");

  SingleBox() {
    slow_start.SetBoxes({});
    slow_start.SetLimits({{"service", {2, std::chrono::seconds(3)}}});
  }
  // How many of ten requests at this moment may go.
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

TEST_CASE("a warm endpoint, or one without a limit, takes everything") {
  SingleBox single_box;
  CHECK(single_box.CountAllowed(kStart) == 10);
  single_box.slow_start.RecordWarmUp("a", milliseconds(3000), kStart);
  single_box.slow_start.SetLimits({});
  CHECK(single_box.CountAllowed(kStart) == 10);
}

TEST_CASE("a cold endpoint gets its rate in any second, until it is warm") {
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

TEST_CASE("sends before it was known to be cold count") {
  SingleBox single_box;
  CHECK(single_box.CountAllowed(kStart) == 10);
  single_box.slow_start.RecordWarmUp("a", milliseconds(3000),
                                     kStart + milliseconds(500));
  CHECK(single_box.CountAllowed(kStart + milliseconds(500)) == 0);
  CHECK(single_box.CountAllowed(kStart + milliseconds(1000)) == 2);
}

TEST_CASE("an endpoint is warm when it says so") {
  SingleBox single_box;
  single_box.slow_start.RecordWarmUp("a", milliseconds(3000), kStart);
  single_box.slow_start.RecordWarmUp("a", milliseconds(0),
                                     kStart + milliseconds(800));
  CHECK_FALSE(single_box.slow_start.IsCold(single_box.endpoint,
                                           kStart + milliseconds(800)));
}

TEST_CASE("one whose data centre is back is cold, whatever it said before") {
  SingleBox single_box;
  single_box.slow_start.RecordDataCentreRestored("dc1", kStart);
  single_box.slow_start.RecordWarmUp("a", milliseconds(0),
                                     kStart + milliseconds(10));
  CHECK(single_box.CountAllowed(kStart + milliseconds(100)) == 2);
  CHECK_FALSE(single_box.slow_start.IsCold(single_box.endpoint,
                                           kStart + milliseconds(3000)));
}

TEST_CASE("what no longer limits is forgotten, what does is kept") {
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

// The worst of some seeds: requests in a second at one cold endpoint, and all
// that no endpoint could take.
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

// The load that the limit is for: a quarter of a pool returns, while a hot
// prompt makes up 4 in 100 of the requests.
TEST_CASE("without a limit a data centre's return breaks a cold endpoint") {
  SimulatedFleet fleet;
  for (uint64_t seed = 1; seed <= 5; ++seed) {
    UnlimitedSends unlimited;
    CHECK(SlowStartSimulation(fleet, seed)
              .Run(&unlimited)
              .max_requests_per_second > kBreakingRequestsPerSecond);
  }
}

TEST_CASE("a data centre's return stays within what cold endpoints bear") {
  for (size_t boxes : {6, 20, 65, 200}) {
    SimulatedFleet fleet;
    fleet.boxes = boxes;
    RestoreResult worst = RunRendezvousSenders(fleet);
    CHECK(static_cast<double>(worst.max_requests_per_second) <= kRatePerSecond);
    CHECK(worst.refused == 0);
  }
}

TEST_CASE("few cold endpoints in a large fleet stay within it as well") {
  SimulatedFleet fleet;
  fleet.boxes = 200;
  fleet.cold_endpoints = 2;
  CHECK(static_cast<double>(
            RunRendezvousSenders(fleet).max_requests_per_second) <=
        kRatePerSecond);
}

TEST_CASE("boxes that know the fleet in part don't break cold endpoints") {
  SimulatedFleet fleet;
  fleet.stale_box_share = 0.2;
  fleet.unknown_to_stale_share = 0.5;
  CHECK(RunRendezvousSenders(fleet).max_requests_per_second <=
        kBreakingRequestsPerSecond);
}

}  // namespace
}  // namespace leverwick
