#include "leverwick/brittle_endpoints.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <vector>

namespace leverwick {
namespace {

// The names of all boxes but the one with that number.
std::vector<std::string> OthersThan(size_t box, size_t boxes) {
  std::vector<std::string> names;
  for (size_t i = 0; i < boxes; ++i) {
    if (i != box) names.push_back("box" + std::to_string(i));
  }
  return names;
}

class Fixture {
 public:
  Fixture() {
    endpoint.address = "e";
    endpoint.target = "s";
    endpoint.max_in_flight = 8;
  }
  void Report(double rejections = 5) {
    brittle.RecordReport("s", rejections, now);
  }
  bool MaySend() {
    return brittle.TimeUntilSendAllowed(endpoint, now) <= nanoseconds(0);
  }
  // Sends as many requests as are allowed at once.
  size_t SendAll() {
    size_t sent = 0;
    while (sent < 1000 && MaySend()) {
      brittle.RecordSend(endpoint.address, endpoint.max_in_flight, now);
      ++sent;
    }
    return sent;
  }

  BrittleEndpoints brittle{"a"};
  ListedEndpoint endpoint;
  TimePoint now{std::chrono::hours(1)};
};

TEST_CASE_FIXTURE(Fixture, "a sound endpoint gets any number of requests") {
  CHECK(SendAll() == 1000);
  Report(0);
  CHECK_FALSE(MaySend());
}

TEST_CASE_FIXTURE(Fixture, "a brittle endpoint gets what it has capacity for") {
  Report(0);
  CHECK(SendAll() == 8);
  brittle.RecordEnd("e");
  CHECK(SendAll() == 1);
  now += BrittleEndpoints::kReportLifetime;
  CHECK(MaySend());
}

TEST_CASE_FIXTURE(Fixture, "an endpoint that rejected one is left alone") {
  Report();
  brittle.RecordRejection("e", now);
  CHECK_FALSE(MaySend());
  now += BrittleEndpoints::kRejectionPause;
  CHECK(MaySend());
  brittle.RecordRejection("e", now);
  brittle.RecordRestart("e");
  CHECK(MaySend());
}

TEST_CASE("the boxes' parts of each endpoint add up to its capacity") {
  constexpr size_t kCapacity = 8;
  constexpr size_t kEndpoints = 200;
  for (size_t boxes : {1U, 2U, 7U, 8U, 65U, 985U}) {
    CAPTURE(boxes);
    std::vector<size_t> sums(kEndpoints);
    for (size_t box = 0; box < boxes; ++box) {
      BrittleEndpoints each("box" + std::to_string(box));
      each.SetBoxes(OthersThan(box, boxes));
      for (size_t i = 0; i < kEndpoints; ++i) {
        sums[i] += each.CapacityShare(std::to_string(i), kCapacity);
      }
    }
    size_t least = *std::min_element(sums.begin(), sums.end());
    size_t most = *std::max_element(sums.begin(), sums.end());
    CHECK(least == kCapacity);
    CHECK(most == kCapacity);
  }
}

TEST_CASE("excess requests of all boxes stay below what an endpoint bears") {
  constexpr size_t kBoxes = 20;
  constexpr double kBears = 4;
  ListedEndpoint endpoint;
  endpoint.address = "e";
  endpoint.target = "s";
  endpoint.max_in_flight = kBoxes;  // one for each
  size_t excess = 0;
  size_t most = 0;
  constexpr int kSeconds = 500;
  for (int second = 0; second < kSeconds; ++second) {
    TimePoint now{std::chrono::hours(1) + std::chrono::seconds(second)};
    size_t in_second = 0;
    for (size_t box = 0; box < kBoxes; ++box) {
      BrittleEndpoints brittle("box" + std::to_string(box));
      brittle.SetBoxes(OthersThan(box, kBoxes));
      brittle.RecordReport("s", kBears, now);
      brittle.RecordSend("e", kBoxes, now);
      while (brittle.TimeUntilSendAllowed(endpoint, now) <= nanoseconds(0)) {
        brittle.RecordSend("e", kBoxes, now);
        ++in_second;
      }
    }
    excess += in_second;
    most = std::max(most, in_second);
  }
  double mean = static_cast<double>(excess) / kSeconds;
  CHECK(mean == doctest::Approx(kBears / 4).epsilon(0.2));
  CHECK(most <= 2 * kBears);
}

TEST_CASE_FIXTURE(Fixture, "state that is over is removed") {
  Report();
  SendAll();
  CHECK(brittle.IsBrittle("s", now));
  CHECK(brittle.service_count() == 1);
  now += BrittleEndpoints::kReportLifetime;
  CHECK_FALSE(brittle.IsBrittle("s", now));
  brittle.Expire(now);
  CHECK(brittle.service_count() == 0);
}

}  // namespace
}  // namespace leverwick
