// Readers of several data centres, and the list of boxes that they keep.

#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "daemon/log_boxes.h"
#include "daemon/testing/shared_log_site.h"

namespace leverwick {
namespace {

using shared_log_testing::AddressOf;
using shared_log_testing::Box;
using shared_log_testing::kHeld;
using shared_log_testing::kMostAge;
using shared_log_testing::kTopic;
using shared_log_testing::MemoryLog;

// The first boxes of two data centres, each with its own way to the store. One
// of them freezes when its loop is not run any more.
class TwoDataCentres {
 public:
  explicit TwoDataCentres(size_t boxes)
      : store(&root_loop),
        other_way(&loop),
        endpoint(FreePort(&root_loop)),
        root_self{"a", AddressOf(endpoint), 2},
        other_self{"b", "127.0.0.1:1", 1},
        root(&root_loop, &store, root_self),
        other(&loop, &other_way, other_self) {
    root.Listen(endpoint);
    Put("k", "1");
    for (Box* box : {&root, &other}) {
      box->log.ShareAcrossFleet(kTopic);
      box->log.SetFirstBoxes({root_self, other_self}, boxes);
      box->follower.Start();
    }
    REQUIRE(RunBoth([&] { return Knows("1"); }));
  }

  // Both ways lead to the same records; only the calls are counted apart.
  void Put(const std::string& key, const std::string& value) {
    store.Put(key, value);
    other_way.Put(key, value);
  }
  bool Knows(const std::string& value) {
    return root.told.state["k"] == value && other.told.state["k"] == value;
  }
  bool RunBoth(const std::function<bool()>& happened) {
    return RunUntil(&loop, [&] {
      root_loop.poll();
      return happened();
    });
  }

  boost::asio::io_context root_loop;
  boost::asio::io_context loop;
  MemoryLog store;
  MemoryLog other_way;
  boost::asio::ip::tcp::endpoint endpoint;
  LogBox root_self;
  LogBox other_self;
  Box root;
  Box other;
};

TEST_CASE("in a large fleet one box reads a topic for all data centres") {
  TwoDataCentres fleet(1000);
  fleet.Put("k", "2");
  REQUIRE(fleet.RunBoth([&] { return fleet.Knows("2"); }));
  // Reads go on, by one way only; a box whose answer is late is passed over for
  // a while.
  REQUIRE(RunUntil(&fleet.loop, [&] {
    int before = fleet.other_way.calls;
    int root_before = fleet.store.calls;
    TimePoint end = Clock::now() + 3 * kHeld;
    fleet.RunBoth([&] { return Clock::now() > end; });
    return fleet.other_way.calls == before && fleet.store.calls > root_before;
  }));
  CHECK_FALSE(fleet.other.log.ReadsStore(kTopic));
  CHECK(fleet.root.log.ReadsStore(kTopic));
  // Boxes that have just started ask again for a while.
  TimePoint settled = Clock::now() + milliseconds(700);
  fleet.RunBoth([&] { return Clock::now() > settled; });
  // It freezes: the other data centre reads for itself, within the age that an
  // answer may have, the wait for one and a read of the store.
  TimePoint frozen = Clock::now();
  fleet.Put("k", "3");
  REQUIRE(RunUntil(&fleet.loop,
                   [&] { return fleet.other.told.state["k"] == "3"; }));
  CHECK(Clock::now() - frozen < kMostAge + milliseconds(500));
}

TEST_CASE("in a small fleet each data centre reads for itself") {
  TwoDataCentres fleet(100);
  CHECK(fleet.other.log.ReadsStore(kTopic));
  int before = fleet.other_way.calls;
  fleet.Put("k", "2");
  REQUIRE(fleet.RunBoth([&] { return fleet.other.told.state["k"] == "2"; }));
  CHECK(fleet.other_way.calls > before);
}

// The list of a data centre's boxes, kept by the boxes.
class ListedBox {
 public:
  ListedBox(boost::asio::io_context* loop, MemoryLog* store, const LogBox& self)
      : log(loop, store, self, 1, &metrics),
        boxes(loop, &log, self, "dc", "boxes") {
    boxes.Start(false, [this] { ready = true; });
  }

  Metrics metrics;
  SharedLog log;
  LogBoxes boxes;
  bool ready = false;
};

TEST_CASE("a box enters itself, and again when its entry was dropped") {
  boost::asio::io_context loop;
  MemoryLog store(&loop);
  store.Put("elsewhere", R"({"dataCentre":"far","address":"127.0.0.1:2"})");
  store.Put("broken", "no entry");
  ListedBox box(&loop, &store, {"a", "127.0.0.1:1", 1});
  REQUIRE(RunUntil(&loop, [&] { return store.newest().count("a") > 0; }));
  CHECK(box.ready);
  CHECK(box.boxes.size() == 0);  // as long as it has not read its own entry
  store.Put("a", std::nullopt);
  REQUIRE(RunUntil(
      &loop, [&] { return store.newest().at("a").value.has_value(); },
      std::chrono::seconds(20)));
}

TEST_CASE("the entry of a box that is lost for long is dropped") {
  boost::asio::io_context loop;
  MemoryLog store(&loop);
  // Nothing listens there.
  std::string address = AddressOf(FreePort(&loop));
  store.Put("gone", R"({"dataCentre":"dc","address":")" + address +
                        R"(","capacity":9})");
  ListedBox box(&loop, &store, {"a", "127.0.0.1:1", 1});
  REQUIRE(RunUntil(&loop, [&] { return box.ready; }));
  bool asked = false;
  box.log.Read({kTopic, 0, kHeld, false, kMostAge},
               [&](std::error_code, LogPage) { asked = true; });
  REQUIRE(RunUntil(&loop, [&] { return asked; }));
  box.boxes.Tick(Clock::now() + std::chrono::seconds(59));
  CHECK(box.boxes.size() == 1);
  box.boxes.Tick(Clock::now() + std::chrono::seconds(91));
  CHECK(box.boxes.size() == 0);
  REQUIRE(RunUntil(&loop, [&] { return !store.newest().at("gone").value; }));
}

}  // namespace
}  // namespace leverwick
