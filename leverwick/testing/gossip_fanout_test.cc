#include "leverwick/gossip_fanout.h"

#include <doctest/doctest.h>

#include <map>

namespace leverwick {
namespace {

std::vector<std::string> Boxes(size_t count) {
  std::vector<std::string> names;
  for (size_t i = 0; i < count; ++i) names.push_back("b" + std::to_string(i));
  return names;
}

// The load: each box sends one note.
TEST_CASE("notes between boxes don't grow with the square of the boxes") {
  for (size_t count : {1, 2, 30, 65, 200, 1000}) {
    std::vector<std::string> names = Boxes(count);
    std::map<std::string, size_t> heard;
    size_t messages = 0;
    for (const std::string& self : names) {
      std::vector<std::string> others = names;
      others.erase(std::find(others.begin(), others.end(), self));
      for (const std::string& to : GossipRecipients(self, others)) {
        CHECK(to != self);
        ++heard[to];
        ++messages;
      }
    }
    if (count <= kMaxMesh + 1) {
      CHECK(messages == count * (count - 1));
    } else {
      CHECK(messages <= (kMaxMesh + 1) * (kMaxMesh + 1));
    }
    // All hear as many as they send to.
    for (const auto& [name, times] : heard) {
      CHECK(times == GossipFanout(count - 1));
    }
  }
}

}  // namespace
}  // namespace leverwick
