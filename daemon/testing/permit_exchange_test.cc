// Boxes that ask each other for permits, over loopback.

#include "daemon/permit_exchange.h"

#include <doctest/doctest.h>

#include "net/testing/free_port.h"
#include "net/testing/test_loop.h"

namespace leverwick {
namespace {

// What one box knows and tells. One endpoint, "e", is listed.
struct Box {
  Box(boost::asio::io_context* loop, const std::string& name)
      : address(FreePort(loop)),
        directory(&pool, &slow_start),
        watch({name, "dc1"}, &directory, &metrics),
        datagrams(loop, &metrics),
        exchange(loop, {name, "dc1"}, &watch, &directory, &datagrams, &metrics),
        entry{name, "dc1", "127.0.0.1:" + std::to_string(address.port())} {
    DirectoryEntry endpoint;
    endpoint.id = "e";
    endpoint.service = "p";
    endpoint.data_centre = "dc1";
    directory.Put(endpoint, Clock::now());
    exchange.Start();
    REQUIRE_FALSE(datagrams.Start({address.address(), address.port()}));
  }

  void Know(const std::vector<FleetBox>& others) {
    exchange.SetBoxes(PeerDatagrams::PeersOf(others), Clock::now());
  }
  // An answer of the endpoint, which names this limit or none.
  void Hear(std::optional<double> per_second) { Hear(per_second, 200); }
  void Hear(std::optional<double> per_second, int status) {
    AnswerHead answer;
    answer.status = status;
    answer.most_per_second = per_second;
    TimePoint now = Clock::now();
    watch.Answered("e", answer, now, now);
  }
  bool HasPermit() {
    watch.permits()->RequestPermit("e", "dc1", Clock::now());
    return watch.permits()->MaySend("e", Clock::now());
  }
  bool KnowsLimit() const { return watch.limits().Find("e") != nullptr; }

  boost::asio::ip::tcp::endpoint address;
  EndpointPool pool;
  SlowStart slow_start{"box"};
  Metrics metrics;
  EndpointDirectory directory;
  LimitWatch watch;
  PeerDatagrams datagrams;
  PermitExchange exchange;
  FleetBox entry;
};

TEST_CASE("a limit and its end are told to all boxes") {
  boost::asio::io_context loop;
  Box first(&loop, "b1");
  Box second(&loop, "b2");
  first.Know({second.entry});
  second.Know({first.entry});
  first.Hear(2);
  REQUIRE(RunUntil(&loop, [&] { return second.KnowsLimit(); }));
  // The end is told as older than it is by the time on the way.
  TimePoint later = Clock::now() + milliseconds(900);
  RunUntil(&loop, [&] { return Clock::now() >= later; });
  first.Hear(std::nullopt);
  CHECK_FALSE(first.KnowsLimit());
  REQUIRE(RunUntil(&loop, [&] { return !second.KnowsLimit(); }));
}

TEST_CASE("refusals and failures begin a limit, and only a success ends it") {
  boost::asio::io_context loop;
  Box box(&loop, "b1");
  box.Hear(2, 503);
  REQUIRE(box.KnowsLimit());
  TimePoint later = Clock::now() + milliseconds(600);
  RunUntil(&loop, [&] { return Clock::now() >= later; });
  for (int status : {429, 500, 503}) box.Hear(std::nullopt, status);
  CHECK(box.KnowsLimit());
  box.Hear(std::nullopt, 200);
  CHECK_FALSE(box.KnowsLimit());
}

TEST_CASE("a box gets permits from others, at the endpoint's rate") {
  boost::asio::io_context loop;
  Box first(&loop, "b1");
  Box second(&loop, "b2");
  first.Know({second.entry});
  second.Know({first.entry});
  first.Hear(10);
  size_t sent = 0;
  TimePoint end = Clock::now() + std::chrono::seconds(2);
  RunUntil(&loop, [&] {
    if (first.HasPermit()) {
      first.watch.permits()->RecordSend("e", Clock::now());
      ++sent;
    }
    return Clock::now() >= end;
  });
  CHECK(sent >= 14);
  CHECK(sent <= 20);
}

TEST_CASE("a request that waits is called when its ask is answered or lost") {
  boost::asio::io_context loop;
  Box first(&loop, "b1");
  Box second(&loop, "b2");
  first.Know({second.entry});
  first.Hear(0.5);
  // Of its two granters it asks itself and then the other, which knows nobody.
  RunUntil(
      &loop, [&] { return first.watch.permits()->IsRequestPending("e"); },
      milliseconds(100));
  first.HasPermit();
  first.HasPermit();
  bool called = false;
  first.watch.Wait([&] { called = true; });
  CHECK(RunUntil(
      &loop, [&] { return called; }, milliseconds(1000)));
  CHECK(RunUntil(
      &loop, [&] { return !first.watch.permits()->IsRequestPending("e"); },
      milliseconds(1000)));
}

TEST_CASE("a box that is new in the fleet hears of limits from a granter") {
  boost::asio::io_context loop;
  Box first(&loop, "b1");
  Box second(&loop, "b2");
  first.Know({});
  first.Hear(2);
  first.Know({second.entry});
  REQUIRE(RunUntil(&loop, [&] { return second.KnowsLimit(); }));
}

TEST_CASE("bytes that are no notes, and asks of strangers, do no harm") {
  boost::asio::io_context loop;
  Box box(&loop, "b1");
  box.Know({});
  boost::asio::ip::udp::socket stranger(loop, boost::asio::ip::udp::v4());
  PeerDatagrams::Address to(box.address.address(), box.address.port());
  stranger.send_to(boost::asio::buffer("no notes", 8), to);
  PeerNotes notes;
  notes.add_asks();     // names nothing
  notes.add_answers();  // of nothing
  LimitNote* limit = notes.add_limits();
  limit->set_endpoint("unlisted");
  limit->set_per_second(-1);
  std::string bytes = notes.SerializeAsString();
  stranger.send_to(boost::asio::buffer(bytes), to);
  REQUIRE(RunUntil(&loop, [&] {
    return box.metrics.Text().find("result=\"heard\"") != std::string::npos;
  }));
  // What no listed endpoint names is forgotten.
  box.watch.Expire(Clock::now());
  CHECK_FALSE(box.watch.limits().any());
}

// Until long after the test.
constexpr std::chrono::seconds kNotYetKnown{60};

TEST_CASE(
    "a new box grants once the others know it and no longer when dropped") {
  boost::asio::io_context loop;
  Box first(&loop, "b1");
  Box second(&loop, "b2");
  second.Know({});
  TimePoint known = Clock::now() + kNotYetKnown;
  first.exchange.SetBoxes(PeerDatagrams::PeersOf({second.entry}), known);
  first.Hear(20);
  REQUIRE(RunUntil(&loop, [&] { return first.HasPermit(); }));
  // The other one has heard of it although its list does not name it.
  REQUIRE(RunUntil(&loop, [&] { return second.HasPermit(); }));
  // Dropped from the list while nobody answers.
  first.exchange.SetBoxes({}, known + kNotYetKnown);
  first.watch.permits()->RecordSend("e", Clock::now());
  TimePoint later = Clock::now() + milliseconds(1500);
  RunUntil(&loop, [&] { return Clock::now() >= later; });
  CHECK_FALSE(first.HasPermit());
}

}  // namespace
}  // namespace leverwick
