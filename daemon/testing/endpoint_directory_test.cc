#include "daemon/endpoint_directory.h"

#include <doctest/doctest.h>
#include <time.h>

#include <algorithm>
#include <random>
#include <set>
#include <vector>

namespace leverwick {
namespace {

const TimePoint kStart = TimePoint() + std::chrono::hours(1);

DirectoryEntry MakeEntry(const std::string& id, bool leaving = false) {
  DirectoryEntry entry;
  entry.id = id;
  entry.address = "127.0.0.1:1";
  entry.service = "chat";
  entry.version = "v1";
  entry.leaving = leaving;
  return entry;
}

struct Listed {
  EndpointPool pool;
  SlowStart slow_start{"box"};
  EndpointDirectory directory{&pool, &slow_start};

  Listed() { directory.Put(MakeEntry("a"), kStart); }
  bool Serves(TimePoint now) const { return pool.HasUsable("chat", now); }
};

// The entry vanishes while the list is away, which is back at `back`.
void VanishInOutage(EndpointDirectory* directory, TimePoint back) {
  directory->ReadFailed();
  directory->Remove("a", back);
  directory->ReadSucceeded(back);
}

TEST_CASE("lives under one id have names of their own and end with the entry") {
  Listed listed;
  std::vector<std::string> gone;
  listed.directory.OnGone(
      [&](const std::string& life) { gone.push_back(life); });
  CHECK(listed.directory.LifeOf("a") == "a");
  DirectoryEntry entry = MakeEntry("a");
  entry.born = WallTime(milliseconds(1000));
  listed.directory.Put(entry, kStart);
  std::string first = listed.directory.LifeOf("a");
  CHECK(first != "a");
  entry.born = WallTime(milliseconds(2000));
  listed.directory.Put(entry, kStart);
  std::string second = listed.directory.LifeOf("a");
  CHECK(second != first);
  // An earlier life's word changes nothing.
  entry.born = WallTime(milliseconds(1000));
  listed.directory.Put(entry, kStart);
  CHECK(listed.directory.LifeOf("a") == second);
  listed.directory.ReadSucceeded(kStart);
  listed.directory.Remove("a", kStart + std::chrono::minutes(5));
  CHECK(gone == std::vector<std::string>{second});
  CHECK(listed.directory.LifeOf("a") == second);
}

TEST_CASE("an endpoint that says in an answer that it leaves never returns") {
  Listed listed;
  listed.directory.SaidLeaving("a", kStart);
  CHECK_FALSE(listed.Serves(kStart));
  CHECK(listed.directory.VersionsOf("chat").empty());
  CHECK_FALSE(listed.directory.IsWarm("chat", "v1", kStart));
  // Its entry goes on saying that it is ready, lapses and comes back.
  listed.directory.Put(MakeEntry("a"), kStart + milliseconds(500));
  CHECK_FALSE(listed.Serves(kStart));
  listed.directory.ReadSucceeded(kStart);
  listed.directory.Remove("a", kStart + std::chrono::seconds(1));
  listed.directory.Expire(kStart + std::chrono::seconds(90));
  listed.directory.Put(MakeEntry("a"), kStart + std::chrono::seconds(90));
  CHECK_FALSE(listed.Serves(kStart + std::chrono::minutes(5)));
  // Another life of it is another endpoint.
  listed.directory.Put(MakeEntry("b"), kStart + std::chrono::seconds(90));
  CHECK(listed.Serves(kStart + std::chrono::minutes(5)));
}

DirectoryEntry BornAt(milliseconds born) {
  DirectoryEntry entry = MakeEntry("a");
  entry.born = WallTime(born);
  return entry;
}

TEST_CASE("an endpoint that starts again under its id is another one") {
  Listed listed;
  std::vector<std::string> started;
  listed.directory.OnNewLife(
      [&](const std::string& id) { started.push_back(id); });
  listed.directory.Put(BornAt(milliseconds(1000)), kStart);
  CHECK(started.empty());
  listed.directory.SaidLeaving("a", kStart);
  listed.directory.Put(BornAt(milliseconds(1000)), kStart);
  CHECK_FALSE(listed.Serves(kStart));
  listed.directory.Put(BornAt(milliseconds(2000)), kStart);
  CHECK(listed.Serves(kStart));
  CHECK(started.size() == 1);
  // An entry of the earlier life that comes late changes nothing.
  DirectoryEntry late = BornAt(milliseconds(1000));
  late.leaving = true;
  listed.directory.Put(late, kStart);
  CHECK(listed.Serves(kStart));
  // So it is where its entry was gone meanwhile, or its address another one's.
  listed.directory.Gone("a", kStart);
  CHECK_FALSE(listed.Serves(kStart));
  listed.directory.Put(BornAt(milliseconds(3000)), kStart);
  CHECK(listed.Serves(kStart));
  listed.directory.SaidLeaving("a", kStart);
  listed.directory.ReadSucceeded(kStart);
  listed.directory.Remove("a", kStart);
  listed.directory.Put(BornAt(milliseconds(4000)), kStart);
  CHECK(listed.Serves(kStart));
  CHECK(started.size() == 3);
}

TEST_CASE("what endpoints said of leaving is forgotten after they are gone") {
  Listed listed;
  TimePoint late = kStart + std::chrono::hours(1);
  listed.directory.SaidLeaving("a", kStart);
  // Not while it is listed.
  listed.directory.Expire(late);
  listed.directory.Put(MakeEntry("a"), late);
  CHECK_FALSE(listed.Serves(late));
  listed.directory.ReadSucceeded(late);
  listed.directory.Remove("a", late);
  listed.directory.Expire(late + std::chrono::minutes(11));
  listed.directory.Put(MakeEntry("a"), late + std::chrono::minutes(11));
  CHECK(listed.Serves(late + std::chrono::minutes(11)));
}

TEST_CASE("an endpoint that vanishes while the list can be read is gone") {
  Listed listed;
  listed.directory.ReadSucceeded(kStart);
  listed.directory.Remove("a", kStart);
  CHECK_FALSE(listed.Serves(kStart));
}

TEST_CASE(
    "one that vanished in an outage is kept until it had time to return") {
  Listed listed;
  for (int outage = 0; outage < 2; ++outage) {
    TimePoint back = kStart + std::chrono::seconds(10 * (outage + 1));
    VanishInOutage(&listed.directory, back);
    listed.directory.Expire(back + milliseconds(2000));
    CHECK(listed.Serves(back));
    listed.directory.Put(MakeEntry("a"), back + milliseconds(2000));
    listed.directory.Expire(back + milliseconds(5000));
    CHECK(listed.Serves(back));
  }
  TimePoint back = kStart + std::chrono::seconds(40);
  VanishInOutage(&listed.directory, back);
  listed.directory.Expire(back + milliseconds(2500));
  CHECK_FALSE(listed.Serves(back));
}

// The list is away until `back`; what is read then still has the entry.
void ReturnAt(EndpointDirectory* directory, TimePoint back) {
  directory->ReadFailed();
  directory->ReadSucceeded(back);
}

TEST_CASE("one that vanishes after the list's return leaves in time") {
  Listed listed;
  TimePoint back = kStart + std::chrono::seconds(10);
  ReturnAt(&listed.directory, back);
  // It may have left right after that read, and serves on for two seconds.
  listed.directory.Remove("a", back + milliseconds(800));
  listed.directory.ReadSucceeded(back + milliseconds(800));
  CHECK(listed.Serves(back));
  listed.directory.Expire(back + milliseconds(1700));
  CHECK(listed.Serves(back));
  listed.directory.Expire(back + milliseconds(1850));
  CHECK_FALSE(listed.Serves(back));
}

TEST_CASE("one that vanishes late after the list's return is gone at once") {
  Listed listed;
  TimePoint back = kStart + std::chrono::seconds(10);
  ReturnAt(&listed.directory, back);
  TimePoint later = back + milliseconds(2100);
  listed.directory.Remove("a", later);
  CHECK_FALSE(listed.Serves(later));
}

TEST_CASE("a doubt ends when entries have had time to return") {
  Listed listed;
  TimePoint back = kStart + std::chrono::seconds(10);
  VanishInOutage(&listed.directory, back);
  listed.directory.Expire(back + milliseconds(2000));
  CHECK(listed.Serves(back));
  listed.directory.Expire(back + milliseconds(2150));
  CHECK_FALSE(listed.Serves(back));
}

TEST_CASE("a life that said it leaves never comes back, outage or not") {
  Listed listed;
  listed.directory.Put(MakeEntry("a", true), kStart);
  CHECK_FALSE(listed.Serves(kStart));
  listed.directory.Put(MakeEntry("a"), kStart);
  CHECK_FALSE(listed.Serves(kStart));
  listed.directory.ReadFailed();
  listed.directory.Remove("a", kStart);
  CHECK(listed.directory.Find("a") == nullptr);
}

TEST_CASE("a version is warm once half of its endpoints are") {
  Listed listed;
  CHECK_FALSE(listed.directory.IsWarm("chat", "v2", kStart));
  for (const char* id : {"b", "c", "d"}) {
    DirectoryEntry entry = MakeEntry(id);
    entry.version = "v2";
    entry.cold_for = milliseconds(id == std::string("b") ? 1000 : 3000);
    listed.directory.Put(entry, kStart);
  }
  CHECK_FALSE(listed.directory.IsWarm("chat", "v2", kStart));
  CHECK_FALSE(
      listed.directory.IsWarm("chat", "v2", kStart + milliseconds(1500)));
  CHECK(listed.directory.IsWarm("chat", "v2", kStart + milliseconds(3000)));
  // Others' coldness is not this version's, nor is a leaving one's.
  CHECK(listed.directory.IsWarm("chat", "v1", kStart));
  listed.directory.Remove("d", kStart);
  CHECK(listed.directory.IsWarm("chat", "v2", kStart + milliseconds(1500)));
}

TEST_CASE("an endpoint that another took the address of gets nothing more") {
  Listed listed;
  listed.directory.Gone("a", kStart);
  CHECK_FALSE(listed.Serves(kStart));
  listed.directory.Put(MakeEntry("a"), kStart);
  CHECK_FALSE(listed.Serves(kStart));
}

// A box with a quarter of a core stood still for a second while it read a page
// with a hundred endpoints of a roll-out's new version: callers' closes and
// answers came in and were not read. Each new entry handed the whole list to
// the pool, so that a page cost its entries times all endpoints. Evidence: the
// trace of that second, and this test, which fails where the cost of a page
// grows faster than its entries.
Seconds ProcessorTime() {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return std::chrono::seconds(time.tv_sec) + nanoseconds(time.tv_nsec);
}

DirectoryEntry Numbered(size_t number, const std::string& version = "v1") {
  DirectoryEntry entry = MakeEntry("i-" + std::to_string(number));
  entry.address = "10.0.0.1:" + std::to_string(1000 + number);
  entry.version = version;
  return entry;
}

// What a page of so many new, then changed, then gone entries costs; the least
// of a few, since the machine has other work.
Seconds CostOfPages(size_t entries) {
  Seconds least = std::chrono::hours(1);
  for (int round = 0; round < 3; ++round) {
    Listed listed;
    listed.directory.ReadSucceeded(kStart);
    Seconds begun = ProcessorTime();
    for (size_t i = 0; i < entries; ++i) {
      listed.directory.Put(Numbered(i), kStart);
    }
    for (size_t i = 0; i < entries; ++i) {
      listed.directory.Put(Numbered(i, "v2"), kStart);
    }
    for (size_t i = 0; i < entries; ++i) {
      listed.directory.Remove(Numbered(i).id, kStart);
    }
    least = std::min(least, ProcessorTime() - begun);
  }
  return least;
}

TEST_CASE("the cost of a page grows with its entries") {
  constexpr size_t kFew = 1200;
  constexpr size_t kMany = 12000;
  // Between the ten times of a cost that grows with the entries, dearer where
  // tables outgrow the caches, and the hundred of entries times endpoints.
  constexpr double kMost = 30;
  double few = CostOfPages(kFew).count();
  double many = CostOfPages(kMany).count();
  CAPTURE(few);
  CAPTURE(many);
  CHECK(many <= kMost * few);
}

TEST_CASE("the pool holds what the directory lists, after every change") {
  std::mt19937 random(11);
  Listed listed;
  listed.directory.Remove("a", kStart);
  std::set<std::string> expected;
  TimePoint now = kStart;
  for (int step = 0; step < 2000; ++step) {
    now += milliseconds(10);
    listed.directory.ReadSucceeded(now);
    DirectoryEntry entry = Numbered(random() % 20);
    switch (random() % 4) {
      case 0:
      case 1:
        listed.directory.Put(entry, now);
        expected.insert(entry.id);
        break;
      case 2:
        listed.directory.Remove(entry.id, now);
        expected.erase(entry.id);
        break;
      default: {
        std::vector<DirectoryEntry> all;
        expected.clear();
        for (size_t i = 0; i < random() % 20; ++i) {
          all.push_back(Numbered(random() % 20));
          expected.insert(all.back().id);
        }
        listed.directory.Replace(all, now);
      }
    }
    std::vector<std::string> held = listed.pool.addresses();
    REQUIRE(std::set<std::string>(held.begin(), held.end()) == expected);
  }
}

TEST_CASE("an endpoint that is gone with requests under way takes no new one") {
  Listed listed;
  listed.directory.ReadSucceeded(kStart);
  listed.pool.RecordStart("a");
  listed.directory.Remove("a", kStart);
  CHECK_FALSE(listed.Serves(kStart));
  CHECK(listed.pool.OwnInFlight("a") == 1);
  listed.pool.RecordCompletion("a", true, kStart);
  CHECK(listed.pool.addresses().empty());
}

}  // namespace
}  // namespace leverwick
