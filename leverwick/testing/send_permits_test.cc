#include "leverwick/send_permits.h"

#include <doctest/doctest.h>

#include <map>
#include <memory>

namespace leverwick {
namespace {

const TimePoint kStart = TimePoint() + std::chrono::hours(1);
TimePoint At(int ms) { return kStart + milliseconds(ms); }

// The only box of a fleet, with endpoint "a" that accepts 2 requests/s.
struct SingleBox {
  EndpointLimits limits;
  SendPermits permits{{"box", "dc1"}, &limits};

  SingleBox() {
    permits.SetOtherBoxes({});
    permits.AllowGrantsFrom(kStart);
    limits.RecordLimit("a", 2, At(0));
  }
  // Returns how many of ten requests at `now` are sent.
  size_t SendTen(TimePoint now) {
    size_t sent = 0;
    for (int i = 0; i < 10; ++i) {
      permits.RequestPermit("a", "dc1", now);
      if (!permits.MaySend("a", now)) continue;
      permits.RecordSend("a", now);
      ++sent;
    }
    return sent;
  }
};

TEST_CASE("an endpoint without a limit gets all requests") {
  SingleBox single;
  CHECK(single.permits.MaySend("b", At(0)));
  single.limits.RecordNoLimit("a", At(501));
  CHECK(single.SendTen(At(502)) == 10);
}

TEST_CASE("a single box gets the full limit") {
  SingleBox single;
  CHECK(single.SendTen(At(0)) == 0);
  CHECK(single.permits.TimeUntilCapacity("a", At(100)) == milliseconds(400));
  CHECK_FALSE(single.permits.CanRequestPermit("a", At(100)));
  CHECK(single.SendTen(At(500)) == 1);
  CHECK(single.SendTen(At(1000)) == 1);
  CHECK(single.permits.CountRecentSends("a", At(1000)) == 2);
}

TEST_CASE("an endpoint with a limit of zero still gets a few requests") {
  SingleBox single;
  single.limits.RecordLimit("a", 0, At(1));
  size_t sent = 0;
  for (int ms = 0; ms < 60000; ms += 100) sent += single.SendTen(At(ms));
  CHECK(sent >= 5);
  CHECK(sent <= 6);
}

TEST_CASE("an unused permit expires") {
  SingleBox single;
  single.permits.RequestPermit("a", "dc1", At(0));
  single.permits.RequestPermit("a", "dc1", At(500));
  CHECK(single.permits.MaySend("a", At(1999)));
  CHECK_FALSE(single.permits.MaySend("a", At(2000)));
}

TEST_CASE("nothing is sent or requested before the fleet is known") {
  EndpointLimits limits;
  SendPermits permits({"box", "dc1"}, &limits);
  limits.RecordLimit("a", 2, At(0));
  CHECK_FALSE(permits.MaySend("a", At(0)));
  CHECK_FALSE(permits.CanRequestPermit("a", At(0)));
  CHECK(permits.TimeUntilCapacity("a", At(0)) > nanoseconds(0));
  // Endpoints without a limit are not affected.
  CHECK(permits.MaySend("b", At(0)));
}

// Boxes whose messages arrive at once, unless the receiver is unresponsive.
struct Fleet : SendPermits::Transport {
  struct Box {
    EndpointLimits limits;
    std::unique_ptr<SendPermits> permits;
  };
  std::map<std::string, Box> boxes;
  std::string unresponsive;
  std::string requester;  // box that requests a permit now
  TimePoint now = kStart;

  explicit Fleet(const std::vector<BoxLocation>& all) {
    for (const BoxLocation& box : all) {
      Box& added = boxes[box.name];
      added.permits = std::make_unique<SendPermits>(box, &added.limits);
      std::vector<BoxLocation> others;
      for (const BoxLocation& other : all) {
        if (!(other == box)) others.push_back(other);
      }
      added.permits->SetOtherBoxes(others);
      added.permits->AllowGrantsFrom(kStart);
      added.permits->SetTransport(this);
    }
  }
  void SendPermitRequest(const PermitRequest& request,
                         const std::string& box) override {
    if (box == unresponsive) return;
    PermitReply reply = boxes[box].permits->GrantPermit(request, now);
    boxes[requester].permits->RecordReply(reply, now);
  }
  // Returns whether the box could send a request to the endpoint.
  bool TrySend(const std::string& box, const std::string& endpoint) {
    requester = box;
    Box& sender = boxes[box];
    sender.limits.RecordLimit(endpoint, 2, now);
    sender.permits->Expire(now);
    for (int i = 0; i < 4; ++i)
      sender.permits->RequestPermit(endpoint, "dc1", now);
    if (!sender.permits->MaySend(endpoint, now)) return false;
    sender.permits->RecordSend(endpoint, now);
    return true;
  }
  std::vector<std::string> FindGranters(const std::string& endpoint) {
    std::vector<std::string> granters;
    for (auto& box : boxes) {
      if (box.second.permits->IsGranterFor(endpoint, "dc1")) {
        granters.push_back(box.first);
      }
    }
    return granters;
  }
};

const std::vector<BoxLocation> kFiveBoxes = {
    {"b1", "dc1"}, {"b2", "dc1"}, {"b3", "dc1"}, {"b4", "dc2"}, {"b5", "dc2"}};

TEST_CASE("all boxes choose the same two granters, local ones first") {
  Fleet fleet(kFiveBoxes);
  for (const char* endpoint : {"e1", "e2", "e3", "e4"}) {
    std::vector<std::string> granters = fleet.FindGranters(endpoint);
    REQUIRE(granters.size() == 2);
    CHECK(granters[0] < "b4");
    CHECK(granters[1] < "b4");
  }
}

// Returns how many requests the boxes send in `duration`, all of them
// attempting to send every 10 ms.
size_t SendAllFor(Fleet* fleet, std::chrono::seconds duration) {
  size_t sent = 0;
  TimePoint end = fleet->now + duration;
  for (; fleet->now < end; fleet->now += milliseconds(10)) {
    for (const BoxLocation& box : kFiveBoxes) {
      if (box.name != fleet->unresponsive)
        sent += fleet->TrySend(box.name, "e1");
    }
  }
  return sent;
}

TEST_CASE("all boxes together use the limit and do not exceed it") {
  Fleet fleet(kFiveBoxes);
  SendAllFor(&fleet, std::chrono::seconds(5));
  size_t sent = SendAllFor(&fleet, std::chrono::seconds(20));
  CHECK(sent <= 41);
  CHECK(sent >= 38);
}

TEST_CASE("one box that gets all the traffic gets the full limit") {
  Fleet fleet(kFiveBoxes);
  size_t sent = 0;
  for (int ms = 0; ms < 20000; ms += 20) {
    fleet.now = At(ms);
    sent += fleet.TrySend("b5", "e1");
  }
  CHECK(sent <= 40);
  CHECK(sent >= 36);
}

TEST_CASE("the share of an unresponsive granter is not used") {
  Fleet fleet(kFiveBoxes);
  fleet.unresponsive = fleet.FindGranters("e1")[0];
  SendAllFor(&fleet, std::chrono::seconds(5));
  size_t sent = SendAllFor(&fleet, std::chrono::seconds(20));
  CHECK(sent <= 21);
  CHECK(sent >= 14);
}

TEST_CASE("a box grants no permits before its start time for grants") {
  Fleet fleet(kFiveBoxes);
  std::string granter = fleet.FindGranters("e1")[0];
  fleet.boxes[granter].permits->AllowGrantsFrom(At(10000));
  PermitRequest request{1, "e1", "dc1", {2, At(0)}};
  fleet.boxes[granter].permits->GrantPermit(request, At(0));
  CHECK_FALSE(
      fleet.boxes[granter].permits->GrantPermit(request, At(9999)).granted);
  fleet.boxes[granter].permits->GrantPermit(request, At(10000));
  CHECK(fleet.boxes[granter].permits->GrantPermit(request, At(11000)).granted);
}

TEST_CASE("a box that is not a granter grants no permits") {
  Fleet fleet(kFiveBoxes);
  PermitRequest request{1, "e1", "dc1", {2, At(0)}};
  for (int ms : {0, 1000, 2000}) {
    CHECK_FALSE(
        fleet.boxes["b5"].permits->GrantPermit(request, At(ms)).granted);
  }
}

TEST_CASE("a reply to an abandoned request changes nothing") {
  Fleet fleet(kFiveBoxes);
  fleet.unresponsive = fleet.FindGranters("e1")[0];
  SendPermits* permits = fleet.boxes["b5"].permits.get();
  fleet.boxes["b5"].limits.RecordLimit("e1", 2, At(0));
  fleet.requester = "b5";
  permits->RequestPermit("e1", "dc1", At(0));
  REQUIRE(permits->IsRequestPending("e1"));
  permits->Expire(At(300));
  CHECK_FALSE(permits->IsRequestPending("e1"));
  permits->RecordReply({1, true, nanoseconds(0)}, At(310));
  CHECK_FALSE(permits->MaySend("e1", At(310)));
}

TEST_CASE("a change of the fleet abandons pending requests") {
  Fleet fleet(kFiveBoxes);
  fleet.unresponsive = fleet.FindGranters("e1")[0];
  SendPermits* permits = fleet.boxes["b5"].permits.get();
  fleet.boxes["b5"].limits.RecordLimit("e1", 2, At(0));
  fleet.requester = "b5";
  permits->RequestPermit("e1", "dc1", At(0));
  permits->SetOtherBoxes({{"b9", "dc1"}});
  permits->RecordReply({1, true, nanoseconds(0)}, At(10));
  CHECK_FALSE(permits->MaySend("e1", At(10)));
  CHECK(permits->CanRequestPermit("e1", At(10)));
}

}  // namespace
}  // namespace leverwick
