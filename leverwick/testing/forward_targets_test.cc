#include "leverwick/forward_targets.h"

#include <doctest/doctest.h>

#include <set>
#include <string>

#include "leverwick/forward_admission.h"
#include "leverwick/testing/forwarding_simulation.h"

namespace leverwick {
namespace {

constexpr ForwardTargets::Draws kDraws{0.1, 0.9};

class Fixture {
 public:
  Fixture() {
    targets.SetPeers({{"far1", "dc2", "f1"},
                      {"near1", "dc1", "n1"},
                      {"near2", "dc1", "n2"},
                      {"far2", "dc3", "f2"}});
  }
  std::string Pick(const std::set<std::string>& tried = {}) {
    const ForwardPeer* peer = targets.Pick(tried, kDraws, now);
    return peer == nullptr ? "" : peer->name;
  }
  void End(const std::string& peer, ForwardOutcome outcome) {
    targets.RecordStart(peer, now);
    targets.RecordEnd(peer, outcome, now);
  }

  ForwardTargets targets{"dc1"};
  TimePoint now{std::chrono::hours(1)};
};

TEST_CASE_FIXTURE(Fixture, "the less busy of two near boxes is picked") {
  CHECK(Pick() == "near1");
  targets.RecordStart("near1", now);
  CHECK(Pick() == "near2");
  targets.RecordEnd("near1", ForwardOutcome::kServed, now);
  CHECK(Pick() == "near1");
}

TEST_CASE_FIXTURE(Fixture, "far boxes follow when no near one is left") {
  CHECK(Pick({"near1"}) == "near2");
  CHECK(Pick({"near1", "near2"}) == "far1");
  CHECK(Pick({"near1", "near2", "far1", "far2"}).empty());
}

TEST_CASE_FIXTURE(Fixture, "a box that declines is left out ever longer") {
  for (milliseconds blocked : {milliseconds(500), milliseconds(1000)}) {
    End("near1", ForwardOutcome::kDeclined);
    now += blocked - milliseconds(1);
    CHECK(Pick() == "near2");
    now += milliseconds(1);
    CHECK(Pick() == "near1");
  }
  End("near1", ForwardOutcome::kServed);
  End("near1", ForwardOutcome::kFailed);
  now += milliseconds(500);
  CHECK(Pick() == "near1");
}

TEST_CASE_FIXTURE(Fixture, "failures in flight together count once") {
  for (int i = 0; i < 10; ++i) End("near1", ForwardOutcome::kDeclined);
  now += milliseconds(500);
  CHECK(Pick() == "near1");
}

TEST_CASE_FIXTURE(Fixture, "a data centre that declines is left out whole") {
  targets.SetPeers({{"a", "dc1", ""},
                    {"b", "dc1", ""},
                    {"c", "dc1", ""},
                    {"d", "dc1", ""},
                    {"far", "dc2", ""}});
  for (const char* peer : {"a", "b", "c"}) End(peer, ForwardOutcome::kDeclined);
  CHECK(Pick() == "far");
  now += milliseconds(500);
  CHECK(Pick() == "a");
  // Rather a data centre that is left out than none.
  targets.SetPeers({{"d", "dc1", ""}});
  End("a", ForwardOutcome::kDeclined);
  CHECK(Pick() == "d");
}

TEST_CASE_FIXTURE(Fixture, "what is known of a box outlives a new list") {
  End("near1", ForwardOutcome::kDeclined);
  targets.RecordStart("near2", now);
  targets.SetPeers({{"near1", "dc1", "n1"}, {"near2", "dc1", "moved"}});
  const ForwardPeer* peer = targets.Pick({}, kDraws, now);
  REQUIRE(peer != nullptr);
  CHECK(peer->address == "moved");
  // Neither the decline nor the request in flight is forgotten.
  now += std::chrono::seconds(6);
  CHECK(Pick() == "near1");
}

TEST_CASE_FIXTURE(Fixture, "a caller that leaves says nothing of a box") {
  End("near1", ForwardOutcome::kAborted);
  CHECK(Pick() == "near1");
  End("gone", ForwardOutcome::kFailed);
  CHECK(Pick() == "near1");
}

TEST_CASE("forwarded requests are bounded in number, bytes and lateness") {
  ForwardAdmission admission;
  TimePoint now{std::chrono::hours(1)};
  for (size_t i = 0; i < ForwardAdmission::kMaxInFlight; ++i) {
    REQUIRE(admission.CanAdmit(0, now));
    admission.RecordStart(0);
  }
  CHECK_FALSE(admission.CanAdmit(0, now));
  admission.RecordEnd(0);
  CHECK(admission.CanAdmit(0, now));
  CHECK_FALSE(admission.CanAdmit(ForwardAdmission::kMaxBodyBytes + 1, now));
  admission.RecordLateness(milliseconds(99), now);
  CHECK(admission.CanAdmit(0, now));
  admission.RecordLateness(milliseconds(100), now);
  CHECK_FALSE(admission.CanAdmit(0, now));
  CHECK(admission.CanAdmit(0, now + milliseconds(500)));
}

TEST_CASE("partitioned boxes of a fleet of any size are served by the others") {
  using Part = PartitionedPart;
  for (size_t boxes : {size_t{2}, size_t{7}, size_t{65}, size_t{195}}) {
    for (Part part : {Part::kOne, Part::kThird, Part::kDataCentre}) {
      ForwardingResult result =
          ForwardingSimulation(ScenarioOf(boxes, part)).Run(milliseconds(4000));
      CAPTURE(boxes);
      CAPTURE(static_cast<int>(part));
      CHECK(result.share() > 0.98);
      CHECK(result.hops() < 1.6);
    }
  }
}

}  // namespace
}  // namespace leverwick
