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

// 10,000 endpoints in five data centres.
std::vector<ListedEndpoint> LongList() {
  std::vector<ListedEndpoint> endpoints;
  for (int i = 0; i < 10000; ++i) {
    ListedEndpoint endpoint;
    endpoint.address = "e" + std::to_string(i);
    endpoint.target = "service";
    endpoint.data_centre = "dc" + std::to_string(i % 5);
    endpoint.max_in_flight = 24;
    endpoints.push_back(endpoint);
  }
  return endpoints;
}

TEST_CASE("of a long list a bounded number of endpoints is compared") {
  EndpointPool pool;
  pool.SetListed(LongList(), TimePoint());
  size_t compared = 0;
  size_t local = 0;
  auto any = [](const ListedEndpoint&) { return true; };
  auto cost = [&](const ListedEndpoint& endpoint, bool) {
    ++compared;
    if (endpoint.data_centre == "dc3") ++local;
    return 0.0;
  };
  auto choice =
      pool.PickCheapest("service", 5, {}, TimePoint(), any, cost, {"dc3", 256});
  CHECK(compared <= 256);
  CHECK(local >= 192);
  // The one that all boxes prefer is among them, wherever it is.
  auto unbounded = pool.PickCheapest("service", 5, {}, TimePoint(), any, cost);
  CHECK(choice.address == unbounded.address);
  // If none of them may be used, others may.
  std::set<std::string> within;
  auto note = [&](const ListedEndpoint& endpoint) {
    return within.insert(endpoint.address).second;
  };
  pool.PickCheapest("service", 5, {}, TimePoint(), note, cost, {"dc3", 256});
  auto outside = [&](const ListedEndpoint& endpoint) {
    return within.count(endpoint.address) == 0;
  };
  auto other = pool.PickCheapest("service", 5, {}, TimePoint(), outside, cost,
                                 {"dc3", 256});
  CHECK_FALSE(other.address.empty());
}

// The load: 20,000 requests without a common prompt prefix, none of which ends.
TEST_CASE("a bounded comparison spreads requests as an unbounded one does") {
  for (size_t bound : {0, 256}) {
    EndpointPool pool;
    std::vector<ListedEndpoint> endpoints = LongList();
    pool.SetListed(endpoints, TimePoint());
    std::map<std::string, int> sent;
    auto any = [](const ListedEndpoint&) { return true; };
    auto cost = [&](const ListedEndpoint& endpoint, bool) {
      bool is_remote = endpoint.data_centre != "dc3";
      return sent[endpoint.address] + (is_remote ? 100.0 : 0.0);
    };
    size_t requests = bound == 0 ? 1000 : 20000;
    for (size_t i = 0; i < requests; ++i) {
      auto choice = pool.PickCheapest("service", 1000 + i, {}, TimePoint(), any,
                                      cost, {"dc3", bound});
      ++sent[choice.address];
    }
    // 2,000 endpoints of the data centre share them.
    int most = 0;
    for (const auto& [address, count] : sent) most = std::max(most, count);
    CHECK(most <= static_cast<int>(requests / 2000) + 2);
  }
}

}  // namespace
}  // namespace leverwick
