#include "daemon/endpoint_directory.h"

#include <doctest/doctest.h>

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
  bool Serves(TimePoint now) const { return pool.Serves("chat", now); }
};

// The entry vanishes while the list is away, which is back at `back`.
void VanishInOutage(EndpointDirectory* directory, TimePoint back) {
  directory->ReadFailed();
  directory->Remove("a", back);
  directory->ReadSucceeded(back);
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

}  // namespace
}  // namespace leverwick
