#include "leverwick/slow_start.h"

#include <doctest/doctest.h>

#include "leverwick/testing/slow_start_play.h"

namespace leverwick {
namespace {

const TimePoint kStart = TimePoint() + std::chrono::hours(1);
constexpr double kRate = 13;  // a second, that a played cold endpoint bears
// What breaks a played endpoint.
constexpr size_t kTooMany = 24;

ListedEndpoint Listed(const std::string& id) {
  ListedEndpoint endpoint;
  endpoint.address = id;
  endpoint.target = "service";
  endpoint.data_centre = "dc1";
  return endpoint;
}

// A box alone in its fleet, whose service bears two requests a second.
struct Alone {
  SlowStart slow_start{"box"};
  ListedEndpoint endpoint = Listed("a");

  Alone() {
    slow_start.SetBoxes({});
    slow_start.SetLimits({{"service", {2, std::chrono::seconds(3)}}});
  }
  // How many of ten requests at this moment may go.
  size_t Taken(TimePoint now) {
    size_t taken = 0;
    for (int i = 0; i < 10; ++i) {
      if (!slow_start.MaySend(endpoint, now)) continue;
      slow_start.Sent(endpoint.address, now);
      ++taken;
    }
    return taken;
  }
};

TEST_CASE("a warm endpoint, or one without a limit, takes everything") {
  Alone alone;
  CHECK(alone.Taken(kStart) == 10);
  alone.slow_start.Told("a", milliseconds(3000), kStart);
  alone.slow_start.SetLimits({});
  CHECK(alone.Taken(kStart) == 10);
}

TEST_CASE("a cold endpoint gets its rate in any second, until it is warm") {
  Alone alone;
  alone.slow_start.Told("a", milliseconds(3000), kStart);
  CHECK(alone.Taken(kStart) == 2);
  CHECK(alone.Taken(kStart + milliseconds(999)) == 0);
  CHECK(alone.slow_start.RoomIn(alone.endpoint, kStart + milliseconds(400)) ==
        milliseconds(600));
  CHECK(alone.Taken(kStart + milliseconds(1000)) == 2);
  CHECK(alone.Taken(kStart + milliseconds(3000)) == 10);
}

TEST_CASE("sends before it was known to be cold count") {
  Alone alone;
  CHECK(alone.Taken(kStart) == 10);
  alone.slow_start.Told("a", milliseconds(3000), kStart + milliseconds(500));
  CHECK(alone.Taken(kStart + milliseconds(500)) == 0);
  CHECK(alone.Taken(kStart + milliseconds(1000)) == 2);
}

TEST_CASE("an endpoint is warm when it says so") {
  Alone alone;
  alone.slow_start.Told("a", milliseconds(3000), kStart);
  alone.slow_start.Told("a", milliseconds(0), kStart + milliseconds(800));
  CHECK_FALSE(
      alone.slow_start.IsCold(alone.endpoint, kStart + milliseconds(800)));
}

TEST_CASE("one whose data centre is back is cold, whatever it said before") {
  Alone alone;
  alone.slow_start.Returned("dc1", kStart);
  alone.slow_start.Told("a", milliseconds(0), kStart + milliseconds(10));
  CHECK(alone.Taken(kStart + milliseconds(100)) == 2);
  CHECK_FALSE(
      alone.slow_start.IsCold(alone.endpoint, kStart + milliseconds(3000)));
}

TEST_CASE("what no longer limits is forgotten, what does is kept") {
  Alone alone;
  alone.slow_start.Told("a", milliseconds(3000), kStart);
  CHECK(alone.Taken(kStart + milliseconds(2500)) == 2);
  alone.slow_start.Expire(kStart + milliseconds(2600));
  CHECK(alone.Taken(kStart + milliseconds(2700)) == 0);
}

TEST_CASE("the quotas of all senders are within the rate") {
  for (double rate : {1.0, 2.5, 6.0, 13.0, 40.0}) {
    for (size_t boxes : {1, 2, 3, 7, 65, 1000}) {
      SlowStart::Quota quota = SlowStart::QuotaOf(rate, boxes);
      CHECK(quota.senders <= boxes);
      CHECK(quota.senders >= 1);
      CHECK(quota.each >= 1);
      CHECK(static_cast<double>(quota.senders * quota.each) <= rate);
    }
  }
  CHECK(SlowStart::QuotaOf(0.2, 65).each == 1);
}

// The worst of some seeds: requests in a second at one cold endpoint, and all
// that no endpoint could take.
PlayedReturn PlayChosenSenders(const PlayedFleet& fleet) {
  PlayedReturn worst;
  for (uint64_t seed = 1; seed <= 5; ++seed) {
    ChosenSenders senders(kRate, fleet, seed);
    PlayedReturn played = SlowStartPlay(fleet, seed).Run(&senders);
    worst.most = std::max(worst.most, played.most);
    worst.refused += played.refused;
  }
  return worst;
}

// The load that the limit is for: a quarter of a pool returns, while a hot
// prompt makes up 4 in 100 of the requests.
TEST_CASE("without a limit a data centre's return breaks a cold endpoint") {
  PlayedFleet fleet;
  for (uint64_t seed = 1; seed <= 5; ++seed) {
    Unlimited unlimited;
    CHECK(SlowStartPlay(fleet, seed).Run(&unlimited).most > kTooMany);
  }
}

TEST_CASE("a data centre's return stays within what cold endpoints bear") {
  for (size_t boxes : {6, 20, 65, 200}) {
    PlayedFleet fleet;
    fleet.boxes = boxes;
    PlayedReturn worst = PlayChosenSenders(fleet);
    CHECK(static_cast<double>(worst.most) <= kRate);
    CHECK(worst.refused == 0);
  }
}

TEST_CASE("few cold endpoints in a large fleet stay within it as well") {
  PlayedFleet fleet;
  fleet.boxes = 200;
  fleet.cold = 2;
  CHECK(static_cast<double>(PlayChosenSenders(fleet).most) <= kRate);
}

TEST_CASE("boxes that know the fleet in part don't break cold endpoints") {
  PlayedFleet fleet;
  fleet.stale_boxes = 0.2;
  fleet.unknown_to_them = 0.5;
  CHECK(PlayChosenSenders(fleet).most <= kTooMany);
}

}  // namespace
}  // namespace leverwick
