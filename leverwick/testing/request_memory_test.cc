#include "leverwick/request_memory.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <memory>
#include <random>
#include <vector>

namespace leverwick {
namespace {

constexpr size_t kMax = 8UL << 20;
constexpr size_t kLarge = 2UL << 20;
constexpr size_t kSmall = 32UL << 10;
constexpr milliseconds kStalled = RequestMemory::kStallTime;

class Requests {
 public:
  using Ticket = RequestMemory::Ticket;

  // Returns the ticket of a new request; 0 if it has no room. The evicted
  // are removed.
  Ticket Read(size_t bytes) {
    Ticket ticket = memory.Add(now);
    if (Grow(ticket, bytes)) return ticket;
    memory.Remove(ticket);
    return 0;
  }
  bool Grow(Ticket ticket, size_t bytes) {
    bool has_room = memory.Reserve(ticket, bytes, now, &evicted);
    for (Ticket dropped : evicted) memory.Remove(dropped);
    return has_room;
  }

  RequestMemory memory{kMax};
  TimePoint now = TimePoint() + std::chrono::hours(1);
  std::vector<Ticket> evicted;
};

TEST_CASE("large requests leave memory to small ones") {
  Requests requests;
  int large = 0;
  while (requests.Read(kLarge) != 0) ++large;
  CHECK(large == 3);
  int small = 0;
  while (requests.memory.bytes() + kSmall <= kMax) {
    REQUIRE(requests.Read(kSmall) != 0);
    CHECK(requests.evicted.empty());
    ++small;
  }
  CHECK(small == 64);
}

TEST_CASE("a large request evicts a stalled one and no other") {
  Requests requests;
  auto stalled = requests.Read(kLarge);
  auto slow = requests.Read(kLarge);
  auto served = requests.Read(kLarge);
  requests.memory.RecordWhole(served);
  CHECK(requests.Read(kLarge) == 0);
  requests.now += kStalled;
  requests.memory.RecordProgress(slow, requests.now);
  CHECK(requests.Read(kLarge) != 0);
  CHECK(requests.evicted == std::vector<RequestMemory::Ticket>{stalled});
  CHECK(requests.Read(kLarge) == 0);
}

TEST_CASE("a small request takes memory from the longest silence") {
  Requests requests;
  auto first = requests.Read(kSmall);
  requests.now += milliseconds(1);
  auto second = requests.Read(kSmall);
  while (requests.memory.bytes() + kSmall <= kMax) requests.Read(kSmall);
  requests.memory.RecordWhole(first);
  CHECK(requests.Read(kSmall) != 0);
  CHECK(requests.evicted == std::vector<RequestMemory::Ticket>{second});
}

TEST_CASE("without a request that is being read nothing is evicted") {
  Requests requests;
  while (auto ticket = requests.Read(kSmall)) {
    requests.memory.RecordWhole(ticket);
  }
  size_t held = requests.memory.bytes();
  CHECK(held <= kMax);
  CHECK(held + kSmall > kMax);
  requests.now += kStalled;
  CHECK(requests.Read(kSmall) == 0);
  CHECK(requests.memory.bytes() == held);
}

TEST_CASE("one large request has room whatever its size") {
  Requests requests;
  auto only = requests.Read(4 * kMax);
  CHECK(only != 0);
  CHECK(requests.Grow(only, 5 * kMax));
  CHECK(requests.Read(kLarge) == 0);
  requests.memory.Remove(only);
  CHECK(requests.memory.bytes() == 0);
}

TEST_CASE("a hold returns its memory") {
  auto memory = std::make_shared<RequestMemory>(kMax);
  std::vector<RequestMemory::Ticket> evicted;
  {
    RequestHold hold(memory, TimePoint());
    CHECK(memory->Reserve(hold.ticket(), kLarge, TimePoint(), &evicted));
    CHECK(memory->bytes() == kLarge);
  }
  CHECK(memory->bytes() == 0);
}

TEST_CASE("requests at random stay within the bound and one large request") {
  for (unsigned seed = 1; seed <= 50; ++seed) {
    std::mt19937 random(seed);
    Requests requests;
    std::vector<RequestMemory::Ticket> open;
    size_t largest = 0;
    for (int step = 0; step < 2000; ++step) {
      requests.now += milliseconds(random() % 20);
      size_t bytes = random() % 4 == 0 ? random() % kLarge : random() % kSmall;
      largest = std::max(largest, bytes);
      bool begins = random() % 3 > 0;
      if (begins) {
        if (auto ticket = requests.Read(bytes)) open.push_back(ticket);
      } else if (!open.empty()) {
        requests.memory.Remove(open.back());
        open.pop_back();
      }
      for (auto gone : requests.evicted) {
        open.erase(std::remove(open.begin(), open.end(), gone), open.end());
      }
      REQUIRE(requests.memory.bytes() <= kMax + largest);
    }
  }
}

}  // namespace
}  // namespace leverwick
