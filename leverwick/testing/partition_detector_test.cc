#include "leverwick/partition_detector.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace leverwick {
namespace {

using Failure = PartitionDetector::Failure;

constexpr size_t kListed = 10;

class Fixture {
 public:
  void Fail(int endpoint) {
    now += milliseconds(10);
    detector.RecordConnectFailure("s", std::to_string(endpoint),
                                  Failure::kRefused, kListed, now);
  }
  void TimeOut(int endpoint) {
    now += milliseconds(400);
    detector.RecordConnectFailure("s", std::to_string(endpoint),
                                  Failure::kTimedOut, kListed, now);
  }
  void Close(int endpoint) {
    now += milliseconds(10);
    detector.RecordConnectFailure("s", std::to_string(endpoint),
                                  Failure::kClosed, kListed, now);
  }
  bool Accept() {
    now += milliseconds(10);
    return detector.RecordAccept("s", now);
  }
  void FailSix() {
    for (int endpoint = 0; endpoint < 6; ++endpoint) Fail(endpoint);
  }
  // Begins the test connections that are due, to endpoints from 100 on.
  void BeginDueProbes() {
    size_t count = DueProbes();
    for (size_t i = 0; i < count; ++i) {
      probed.push_back(next_probed++);
      detector.RecordProbeBegin("s", std::to_string(probed.back()));
    }
  }
  int EndProbe() {
    int endpoint = probed.back();
    probed.pop_back();
    detector.RecordProbeEnd("s", std::to_string(endpoint));
    return endpoint;
  }
  // All test connections are refused, those as well that become due meanwhile.
  void RefuseProbes() {
    while (!probed.empty()) {
      CHECK_FALSE(detector.IsPartitioned("s"));
      Fail(EndProbe());
      if (!detector.IsPartitioned("s")) BeginDueProbes();
    }
  }
  // Six refusals within 2 ms; test connections begin as soon as they are due.
  void FailSixAtOnce() {
    for (int endpoint = 0; endpoint < 6; ++endpoint) {
      now += std::chrono::microseconds(300);
      detector.RecordConnectFailure("s", std::to_string(endpoint),
                                    Failure::kRefused, kListed, now);
      BeginDueProbes();
    }
  }
  size_t DueProbes() {
    size_t count = 0;
    for (const auto& probe : detector.TakeDueProbes(now)) count += probe.count;
    return count;
  }
  void Contact() {
    now += milliseconds(10);
    detector.RecordContact("s", now);
  }
  // Contacts until the partition is over.
  int ContactsToEnd() {
    int contacts = 0;
    while (detector.IsPartitioned("s") && contacts < 100) {
      Contact();
      ++contacts;
    }
    return contacts;
  }

  PartitionDetector detector;
  std::vector<int> probed;  // endpoints with a test connection under way
  int next_probed = 100;
  TimePoint now{std::chrono::hours(1)};
};

TEST_CASE_FIXTURE(Fixture, "one endpoint that fails is no partition") {
  for (int i = 0; i < 20; ++i) Fail(0);
  CHECK_FALSE(detector.IsPartitioned("s"));
}

TEST_CASE_FIXTURE(Fixture, "connections that are closed unanswered are one") {
  for (int endpoint = 0; endpoint < 6; ++endpoint) {
    CHECK(Accept() == (endpoint == 0));
    CHECK_FALSE(detector.IsPartitioned("s"));
    Close(endpoint);
  }
  CHECK(detector.IsPartitioned("s"));
  for (int i = 0; i < 10; ++i) CHECK_FALSE(Accept());
  CHECK(detector.IsPartitioned("s"));
  CHECK_FALSE(detector.TakeTrial("s", now));
  CHECK(ContactsToEnd() == 2);
}

TEST_CASE_FIXTURE(Fixture,
                  "a response makes accepted connections count again") {
  for (int endpoint = 0; endpoint < 5; ++endpoint) Close(endpoint);
  CHECK_FALSE(Accept());
  Contact();
  CHECK(Accept());
  Close(5);
  CHECK_FALSE(detector.IsPartitioned("s"));
}

TEST_CASE_FIXTURE(Fixture, "an accepted connection is a contact") {
  for (int endpoint = 0; endpoint < 5; ++endpoint) Fail(endpoint);
  CHECK(Accept());
  Fail(5);
  CHECK_FALSE(detector.IsPartitioned("s"));
}

TEST_CASE_FIXTURE(Fixture, "six endpoints that fail in a row are one") {
  for (int endpoint = 0; endpoint < 5; ++endpoint) Fail(endpoint);
  CHECK_FALSE(detector.IsPartitioned("s"));
  Fail(5);
  CHECK(detector.IsPartitioned("s"));
  CHECK(detector.partitioned_count() == 1);
  CHECK_FALSE(detector.IsPartitioned("other"));
}

TEST_CASE_FIXTURE(Fixture, "a partition waits for its test connections") {
  FailSixAtOnce();
  REQUIRE(probed.size() == 3);
  RefuseProbes();
  CHECK(detector.IsPartitioned("s"));
}

TEST_CASE_FIXTURE(Fixture, "refused test connections bring a second round") {
  FailSixAtOnce();
  for (int i = 0; i < 3; ++i) Fail(EndProbe());
  CHECK_FALSE(detector.IsPartitioned("s"));
  BeginDueProbes();
  REQUIRE(probed.size() == 15);
  for (int i = 0; i < 14; ++i) Fail(EndProbe());
  CHECK_FALSE(detector.IsPartitioned("s"));
  EndProbe();
  CHECK(Accept());
  CHECK_FALSE(detector.IsPartitioned("s"));
}

TEST_CASE_FIXTURE(Fixture, "test connections that time out are enough") {
  FailSixAtOnce();
  while (!probed.empty()) {
    CHECK_FALSE(detector.IsPartitioned("s"));
    TimeOut(EndProbe());
  }
  CHECK(detector.IsPartitioned("s"));
}

TEST_CASE_FIXTURE(Fixture, "one accepted test connection is no partition") {
  FailSixAtOnce();
  REQUIRE(probed.size() == 3);
  Fail(EndProbe());
  Fail(EndProbe());
  EndProbe();
  CHECK(Accept());
  CHECK_FALSE(detector.IsPartitioned("s"));
  // The next test connections are not due yet: those are waited for as well.
  FailSixAtOnce();
  CHECK_FALSE(detector.IsPartitioned("s"));
  REQUIRE(probed.empty());
  now += PartitionDetector::kConfirmInterval;
  BeginDueProbes();
  REQUIRE(probed.size() == 3);
  Fail(0);
  CHECK_FALSE(detector.IsPartitioned("s"));
  RefuseProbes();
  CHECK(detector.IsPartitioned("s"));
}

TEST_CASE_FIXTURE(Fixture, "a test connection that stays open is waited for") {
  for (int endpoint = 0; endpoint < 6; ++endpoint) {
    Close(endpoint);
    BeginDueProbes();
  }
  REQUIRE(probed.size() == 3);
  // Accepted in the endpoints' name, perhaps: it may still be closed.
  CHECK_FALSE(Accept());
  Fail(EndProbe());
  Fail(EndProbe());
  CHECK_FALSE(detector.IsPartitioned("s"));
  Close(EndProbe());
  CHECK(detector.IsPartitioned("s"));
}

TEST_CASE_FIXTURE(Fixture, "a test that tells nothing does not hold it up") {
  FailSixAtOnce();
  while (!probed.empty()) EndProbe();
  Fail(0);
  BeginDueProbes();
  while (!probed.empty()) EndProbe();
  Fail(0);
  CHECK(detector.IsPartitioned("s"));
}

TEST_CASE_FIXTURE(Fixture, "tests of endpoints that failed are not awaited") {
  for (int endpoint = 0; endpoint < 5; ++endpoint) Fail(endpoint);
  detector.RecordProbeBegin("s", "0");
  Fail(5);
  CHECK(detector.IsPartitioned("s"));
}

TEST_CASE_FIXTURE(Fixture, "a partition that returns is tested at once") {
  FailSixAtOnce();
  RefuseProbes();
  CHECK(ContactsToEnd() == 2);
  FailSixAtOnce();
  CHECK(probed.size() == 3);
}

TEST_CASE_FIXTURE(Fixture, "three failures bring test connections to others") {
  Fail(0);
  Fail(1);
  CHECK(detector.TakeDueProbes(now).empty());
  Fail(2);
  auto probes = detector.TakeDueProbes(now);
  REQUIRE(probes.size() == 1);
  CHECK(probes[0].service == "s");
  CHECK(probes[0].count == 3);
  CHECK(probes[0].excluded == std::set<std::string>{"0", "1", "2"});
  Contact();
  now += std::chrono::seconds(1);
  CHECK(detector.TakeDueProbes(now).empty());
}

TEST_CASE_FIXTURE(Fixture, "a contact in between rules a partition out") {
  for (int i = 0; i < 20; ++i) {
    Fail(0);
    Fail(1);
    Contact();
    Fail(2);
    Contact();
  }
  CHECK_FALSE(detector.IsPartitioned("s"));
}

TEST_CASE_FIXTURE(Fixture, "all endpoints of a small service are enough") {
  for (int i = 0; i < 3; ++i) {
    CHECK_FALSE(detector.IsPartitioned("s"));
    detector.RecordConnectFailure("s", "a", Failure::kRefused, 1, now);
  }
  CHECK(detector.IsPartitioned("s"));
}

TEST_CASE_FIXTURE(Fixture, "contacts far apart do not end a partition") {
  FailSix();
  for (int i = 0; i < 10; ++i) {
    Contact();
    now += milliseconds(2000);
  }
  CHECK(detector.IsPartitioned("s"));
}

TEST_CASE_FIXTURE(Fixture, "endpoints that stay down do not keep a partition") {
  FailSix();
  Contact();
  for (int endpoint = 0; endpoint < 5; ++endpoint) Fail(endpoint);
  CHECK(detector.IsPartitioned("s"));
  Contact();
  CHECK_FALSE(detector.IsPartitioned("s"));
}

TEST_CASE_FIXTURE(Fixture, "a flapping path needs more contacts each time") {
  FailSix();
  CHECK(ContactsToEnd() == 2);
  for (int expected : {4, 8, 8}) {
    FailSix();
    CHECK(ContactsToEnd() == expected);
  }
  now += std::chrono::seconds(11);
  FailSix();
  CHECK(ContactsToEnd() == 2);
}

TEST_CASE_FIXTURE(Fixture, "test connections come at a bounded rate") {
  CHECK(DueProbes() == 0);
  FailSix();
  size_t probes = 0;
  for (int step = 0; step < 1000; ++step) {
    now += milliseconds(10);
    probes += DueProbes();
  }
  CHECK(probes == 60);
  // A contact is confirmed sooner.
  Contact();
  now += milliseconds(100);
  CHECK(DueProbes() == 3);
}

TEST_CASE_FIXTURE(Fixture, "trials are free without a partition, and rare") {
  CHECK(detector.TakeTrial("s", now));
  CHECK(detector.TakeTrial("s", now));
  FailSix();
  int trials = 0;
  for (int step = 0; step < 100; ++step) {
    now += milliseconds(10);
    if (detector.TakeTrial("s", now)) ++trials;
  }
  CHECK(trials == 5);
  detector.RecordConnectFailure("s", "0", Failure::kTimedOut, kListed, now);
  now += std::chrono::seconds(1);
  CHECK_FALSE(detector.TakeTrial("s", now));
}

TEST_CASE_FIXTURE(Fixture, "changes are reported once each") {
  int begun = 0;
  int ended = 0;
  TimePoint begin{};
  detector.SetChangeCallback(
      [&](const std::string& service, bool is_partitioned, TimePoint since) {
        CHECK(service == "s");
        ++(is_partitioned ? begun : ended);
        if (is_partitioned) begin = since;
        CHECK(since == begin);
      });
  FailSix();
  FailSix();
  ContactsToEnd();
  Contact();
  CHECK(begun == 1);
  CHECK(ended == 1);
  FailSix();
  detector.Discard("s");
  CHECK(ended == 2);
  CHECK(detector.size() == 0);
}

// Of `listed` endpoints the first three quarters have ended, and requests are
// sent to these alone.
class EndedTogether {
 public:
  EndedTogether(int listed, uint32_t seed) : listed_(listed), random_(seed) {}

  bool IsTakenForPartition() {
    for (int endpoint = 0; endpoint < 6; ++endpoint) {
      Refuse(endpoint);
      auto due = detector_.TakeDueProbes(now_);
      for (; !due.empty(); due = detector_.TakeDueProbes(now_)) Test(due[0]);
    }
    return detector_.IsPartitioned("s");
  }

 private:
  void Refuse(int endpoint) {
    detector_.RecordConnectFailure("s", std::to_string(endpoint),
                                   Failure::kRefused,
                                   static_cast<size_t>(listed_), now_);
  }

  void Test(const PartitionProbe& probe) {
    std::vector<int> chosen;
    for (int endpoint = 0; endpoint < listed_; ++endpoint) {
      bool is_excluded = probe.excluded.count(std::to_string(endpoint)) > 0;
      if (!is_excluded) chosen.push_back(endpoint);
    }
    std::shuffle(chosen.begin(), chosen.end(), random_);
    chosen.resize(std::min(chosen.size(), probe.count));
    for (int endpoint : chosen) {
      detector_.RecordProbeBegin("s", std::to_string(endpoint));
    }
    now_ += milliseconds(1);
    for (int endpoint : chosen) {
      detector_.RecordProbeEnd("s", std::to_string(endpoint));
      if (endpoint < 3 * listed_ / 4) {
        Refuse(endpoint);
      } else {
        detector_.RecordAccept("s", now_);
      }
    }
  }

  const int listed_;
  std::mt19937 random_;
  PartitionDetector detector_;
  TimePoint now_{std::chrono::hours(1)};
};

TEST_CASE("endpoints that end together are rarely taken for a partition") {
  constexpr uint32_t kSeeds = 1000;
  for (int listed : {12, 24, 48, 1000, 10000}) {
    CAPTURE(listed);
    int taken = 0;
    for (uint32_t seed = 1; seed <= kSeeds; ++seed) {
      if (EndedTogether(listed, seed).IsTakenForPartition()) ++taken;
    }
    // One box in a hundred; the other boxes serve what it forwards.
    CHECK(taken <= static_cast<int>(kSeeds) / 100);
  }
}

TEST_CASE_FIXTURE(Fixture, "services without failures are dropped") {
  Fail(0);
  now += std::chrono::seconds(61);
  detector.Expire(now);
  CHECK(detector.size() == 0);
  FailSix();
  now += std::chrono::seconds(61);
  detector.Expire(now);
  CHECK(detector.IsPartitioned("s"));
}

}  // namespace
}  // namespace leverwick
