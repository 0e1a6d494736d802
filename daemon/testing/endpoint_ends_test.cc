// What is an endpoint's end, and what is a connection that breaks for another
// reason.

#include "daemon/endpoint_ends.h"

#include <doctest/doctest.h>

#include <optional>
#include <string>

#include "net/testing/collected_answer.h"
#include "net/testing/raw_peer.h"
#include "net/testing/test_loop.h"

namespace leverwick {
namespace {

constexpr char kEndpoint[] = "i-1";

RequestDigest Request(const std::string& body) {
  return ComputeRequestDigest({"a.example", "/chat/1", "t", body});
}

// One listed endpoint and two calls to it.
struct Watched {
  Watched()
      : rollouts(RolloutOptions{}),
        slow_start("a"),
        directory(&pool, &slow_start),
        connections(&loop, {}),
        ends(&loop, &directory, &rollouts, &connections) {
    List("ready");
    ends.OnEnded([this](const EndpointEnd& end) { told = end; });
    first = ends.runs()->RecordStart(Request("first"), kEndpoint, "v1",
                                     Clock::now());
    second = ends.runs()->RecordStart(Request("second"), kEndpoint, "v1",
                                      Clock::now());
  }

  void List(const std::string& state,
            const std::string& address = "127.0.0.1:1") {
    DirectoryEntry entry;
    entry.id = kEndpoint;
    entry.address = address;
    entry.service = "p";
    entry.version = "v1";
    entry.leaving = state != "ready";
    directory.Put(entry, Clock::now());
  }
  void Break(uint64_t run) {
    ends.runs()->RecordEnd(kEndpoint, run, RunOutcome::kDisconnected,
                           Clock::now());
    ends.Broke(kEndpoint, Clock::now());
  }
  // After the time in which all connections of an ended endpoint break.
  void Settle() {
    TimePoint until = Clock::now() + milliseconds(150);
    RunUntil(&loop, [&] { return Clock::now() >= until; });
  }

  boost::asio::io_context loop;
  EndpointPool pool;
  ServiceRollouts rollouts;
  SlowStart slow_start;
  EndpointDirectory directory;
  HttpConnections connections;
  EndpointEnds ends;
  uint64_t first = 0;
  uint64_t second = 0;
  std::optional<EndpointEnd> told;
};

TEST_CASE("an endpoint whose calls all break has ended") {
  Watched watched;
  watched.Break(watched.first);
  watched.Break(watched.second);
  watched.Settle();
  REQUIRE(watched.told);
  CHECK(watched.told->under.size() == 2);
}

TEST_CASE("a connection that breaks alone is no end") {
  Watched watched;
  watched.Break(watched.first);
  watched.Settle();
  CHECK_FALSE(watched.told);
  // The other call breaks later: that is one.
  watched.Break(watched.second);
  watched.Settle();
  CHECK(watched.told);
}

// A stand-in answered a call for the life before it at its address, and the
// strikes on that life were taken back; and where few calls are under way one
// that breaks is often the only one (poison trial 1: 5 sends of 3 allowed).
TEST_CASE("an endpoint that takes a new connection has not ended") {
  Watched watched;
  RawServer server(&watched.loop, nullptr);
  watched.List("ready", server.address());
  watched.Break(watched.first);
  watched.Break(watched.second);
  watched.Settle();
  CHECK_FALSE(watched.told);
  server.Stop();
  watched.ends.Broke(kEndpoint, Clock::now());
  watched.Settle();
  CHECK(watched.told);
}

TEST_CASE("an endpoint that ends after a whole answer is noticed at rest") {
  Watched watched;
  RawServer server(&watched.loop, [](RawConnection* connection) {
    connection->tcp->Write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  });
  watched.List("ready", server.address());
  CollectedAnswer answer;
  watched.connections.Send(
      server.address(), "GET / HTTP/1.1\r\nContent-Length: 0\r\n\r\n", &answer);
  REQUIRE(RunUntil(&watched.loop, [&] { return answer.ended(); }));
  for (uint64_t run : {watched.first, watched.second}) {
    watched.ends.runs()->RecordEnd(kEndpoint, run, RunOutcome::kComplete,
                                   Clock::now());
  }
  watched.Settle();
  CHECK_FALSE(watched.told);
  server.Stop();
  watched.Settle();
  REQUIRE(watched.told);
  CHECK(watched.told->under.size() == 2);
}

TEST_CASE("an endpoint that leaves ends as planned") {
  Watched watched;
  watched.List("draining");
  watched.Break(watched.first);
  watched.Break(watched.second);
  watched.Settle();
  CHECK_FALSE(watched.told);
}

TEST_CASE("endpoints of a version that a roll-out has left end as planned") {
  Watched watched;
  watched.rollouts.RecordOrder("p", "v2", std::chrono::seconds(10),
                               Clock::now());
  watched.rollouts.ApplyRecord({"p", "v2", RolloutStep::kCompleted},
                               Clock::now());
  watched.Break(watched.first);
  watched.Break(watched.second);
  watched.Settle();
  CHECK_FALSE(watched.told);
}

TEST_CASE("another box's word counts unless calls are still open here") {
  Watched watched;
  watched.ends.Told(kEndpoint, Clock::now());
  CHECK_FALSE(watched.told);
  for (uint64_t run : {watched.first, watched.second}) {
    watched.ends.runs()->RecordEnd(kEndpoint, run, RunOutcome::kAbandoned,
                                   Clock::now());
  }
  watched.ends.Told(kEndpoint, Clock::now());
  REQUIRE(watched.told);
  CHECK(watched.told->under.size() == 2);
}

TEST_CASE("a refused connection tells of runs that were given up") {
  Watched watched;
  watched.ends.runs()->RecordEnd(kEndpoint, watched.first,
                                 RunOutcome::kAbandoned, Clock::now());
  // The other call is still open: the way is cut for new ones only.
  watched.ends.Refused(kEndpoint, Clock::now());
  CHECK_FALSE(watched.told);
  watched.ends.runs()->RecordEnd(kEndpoint, watched.second,
                                 RunOutcome::kComplete, Clock::now());
  watched.ends.Refused(kEndpoint, Clock::now());
  REQUIRE(watched.told);
  REQUIRE(watched.told->under.size() == 1);
  CHECK(watched.told->under[0].request == Request("first"));
}

}  // namespace
}  // namespace leverwick
