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
  EndpointDirectory directory{&pool};

  Listed() { directory.Put(MakeEntry("a"), kStart); }
  bool Serves(TimePoint now) const { return pool.Serves("chat", now); }
};

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
    listed.directory.ReadFailed();
    listed.directory.Remove("a", back);
    listed.directory.ReadSucceeded(back);
    listed.directory.Expire(back + milliseconds(2000));
    CHECK(listed.Serves(back));
    listed.directory.Put(MakeEntry("a"), back + milliseconds(2000));
    listed.directory.Expire(back + milliseconds(5000));
    CHECK(listed.Serves(back));
  }
  listed.directory.ReadFailed();
  TimePoint back = kStart + std::chrono::seconds(40);
  listed.directory.Remove("a", back);
  listed.directory.ReadSucceeded(back);
  listed.directory.Expire(back + milliseconds(2500));
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

TEST_CASE("an endpoint that another took the address of gets nothing more") {
  Listed listed;
  listed.directory.Gone("a", kStart);
  CHECK_FALSE(listed.Serves(kStart));
  listed.directory.Put(MakeEntry("a"), kStart);
  CHECK_FALSE(listed.Serves(kStart));
}

}  // namespace
}  // namespace leverwick
