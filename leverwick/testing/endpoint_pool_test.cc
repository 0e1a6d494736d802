#include "leverwick/endpoint_pool.h"

#include <doctest/doctest.h>

#include <atomic>
#include <random>
#include <thread>

#include "leverwick/digest.h"

namespace leverwick {
namespace {

const std::string kTarget = "swift@1";

std::vector<ListedEndpoint> MakeList(size_t count, size_t max_in_flight = 4) {
  std::vector<ListedEndpoint> list;
  for (size_t i = 0; i < count; ++i) {
    ListedEndpoint endpoint;
    endpoint.address = "127.0.0.1:" + std::to_string(100 + i);
    endpoint.target = kTarget;
    endpoint.max_in_flight = max_in_flight;
    list.push_back(endpoint);
  }
  return list;
}

TimePoint At(double seconds) {
  return TimePoint() + FromSeconds(1e6 + seconds);
}

TEST_CASE("the same prefix goes to the same endpoint until that is busy") {
  EndpointPool pool;
  pool.SetListed(MakeList(8), At(0));
  std::string first = pool.Pick(kTarget, 42, {}, At(0)).address;
  for (int i = 0; i < 10; ++i) {
    CHECK(pool.Pick(kTarget, 42, {}, At(0)).address == first);
  }
  for (int i = 0; i < 4; ++i) pool.RecordStart(first);
  CHECK(pool.Pick(kTarget, 42, {}, At(0)).address != first);
}

TEST_CASE("a picked endpoint is never much busier than the least loaded") {
  std::mt19937 random(7);
  EndpointPool pool;
  pool.SetListed(MakeList(10), At(0));
  for (int i = 0; i < 3000; ++i) {
    auto reference = pool.PickLeastLoaded(kTarget, {}, At(i * 0.01));
    auto choice = pool.Pick(kTarget, random(), {}, At(i * 0.01));
    REQUIRE(choice.load <= reference.load + 0.25 + 1e-9);
    pool.RecordStart(choice.address);
    if (i > 20) {
      std::string address = "127.0.0.1:" + std::to_string(100 + random() % 10);
      pool.RecordCompletion(address, true, At(i * 0.01));
    }
  }
}

TEST_CASE("a leaving endpoint gets no requests, even if it is still listed") {
  EndpointPool pool;
  pool.SetListed(MakeList(2), At(0));
  LoadReport report;
  report.leaving = true;
  pool.RecordReport("127.0.0.1:100", report, At(0));
  pool.SetListed(MakeList(2), At(1));
  for (uint64_t prefix = 0; prefix < 50; ++prefix) {
    CHECK(pool.Pick(kTarget, prefix, {}, At(1)).address == "127.0.0.1:101");
  }
  // After a minute the list takes precedence again.
  pool.SetListed(MakeList(2), At(62));
  std::set<std::string> used;
  for (uint64_t prefix = 0; prefix < 50; ++prefix) {
    used.insert(pool.Pick(kTarget, prefix, {}, At(62)).address);
  }
  CHECK(used.size() == 2);
}

TEST_CASE("failing endpoints are ejected, but never a majority of them") {
  EndpointPool pool;
  pool.SetListed(MakeList(4), At(0));
  auto fail = [&pool](const std::string& address) {
    for (int i = 0; i < 3; ++i) pool.RecordCompletion(address, false, At(0));
  };
  fail("127.0.0.1:100");
  for (uint64_t prefix = 0; prefix < 50; ++prefix) {
    CHECK(pool.Pick(kTarget, prefix, {}, At(0.1)).address != "127.0.0.1:100");
  }
  for (int i = 101; i < 104; ++i) fail("127.0.0.1:" + std::to_string(i));
  CHECK(!pool.Pick(kTarget, 1, {}, At(0.1)).address.empty());
  // The ejection expires.
  std::set<std::string> used;
  for (uint64_t prefix = 0; prefix < 50; ++prefix) {
    used.insert(pool.Pick(kTarget, prefix, {}, At(5)).address);
  }
  CHECK(used.count("127.0.0.1:100") == 1);
}

TEST_CASE("the weight of load reports decays with age") {
  EndpointPool pool;
  pool.SetListed(MakeList(1), At(0));
  LoadReport report;
  report.running = 8;
  pool.RecordReport("127.0.0.1:100", report, At(0));
  CHECK(pool.Pick(kTarget, 1, {}, At(0)).load == doctest::Approx(2));
  CHECK(pool.Pick(kTarget, 1, {}, At(2)).load == doctest::Approx(1));
}

TEST_CASE("an unlisted endpoint is kept until its requests complete") {
  EndpointPool pool;
  pool.SetListed(MakeList(1), At(0));
  pool.RecordStart("127.0.0.1:100");
  pool.SetListed({}, At(1));
  CHECK(!pool.HasUsable(kTarget, At(1)));
  CHECK(pool.OwnInFlight("127.0.0.1:100") == 1);
  pool.RecordCompletion("127.0.0.1:100", true, At(1));
  pool.SetListed({}, At(2));
  CHECK(pool.addresses().empty());
}

TEST_CASE("a request never observes a partly updated list") {
  EndpointPool pool;
  pool.SetListed(MakeList(1), At(0));
  std::atomic<bool> stop{false};
  std::thread lister([&] {
    while (!stop) pool.SetListed(MakeList(1), At(0));
  });
  int missing = 0;
  for (int i = 0; i < 200000; ++i) {
    missing += pool.HasUsable(kTarget, At(0)) ? 0 : 1;
  }
  stop = true;
  lister.join();
  CHECK(missing == 0);
}

// Reference implementation: sorts the endpoints by rendezvous weight and
// returns the first one with the lowest cost.
std::string CheapestInOrder(std::vector<ListedEndpoint> endpoints,
                            uint64_t affinity,
                            const std::map<std::string, double>& costs) {
  std::sort(endpoints.begin(), endpoints.end(),
            [affinity](const ListedEndpoint& a, const ListedEndpoint& b) {
              return StableHash(a.address, affinity) >
                     StableHash(b.address, affinity);
            });
  std::string chosen;
  for (const ListedEndpoint& endpoint : endpoints) {
    bool cheaper =
        chosen.empty() || costs.at(endpoint.address) < costs.at(chosen);
    if (cheaper) chosen = endpoint.address;
  }
  return chosen;
}

TEST_CASE("the cheapest endpoint equals that of the reference") {
  std::mt19937 random(7);
  for (int round = 0; round < 300; ++round) {
    std::vector<ListedEndpoint> endpoints;
    std::map<std::string, double> costs;
    for (unsigned i = 0; i < 1 + random() % 9; ++i) {
      ListedEndpoint endpoint;
      endpoint.address = "e" + std::to_string(i);
      endpoint.target = "service";
      endpoints.push_back(endpoint);
      costs[endpoint.address] = random() % 3;  // so that many costs are equal
    }
    EndpointPool pool;
    pool.SetListed(endpoints, TimePoint());
    uint64_t affinity = random();
    auto any = [](const ListedEndpoint&) { return true; };
    size_t preferred = 0;
    auto cost = [&](const ListedEndpoint& endpoint, bool is_preferred) {
      if (is_preferred) ++preferred;
      return costs.at(endpoint.address);
    };
    auto choice =
        pool.PickCheapest("service", affinity, {}, TimePoint(), any, cost);
    CHECK(choice.address == CheapestInOrder(endpoints, affinity, costs));
    CHECK(preferred == 1);
  }
}

}  // namespace
}  // namespace leverwick
