#include "leverwick/peer_sampler.h"

#include <doctest/doctest.h>

#include <map>
#include <random>
#include <string>
#include <vector>

namespace leverwick {
namespace {

TEST_CASE("boxes are drawn evenly without those that did not reply") {
  std::vector<LogBox> boxes;
  for (int i = 0; i < 40; ++i) boxes.push_back({std::to_string(i), "", 1});
  PeerSampler sampler;
  TimePoint now = TimePoint() + std::chrono::hours(1);
  sampler.SetPeers(boxes, now);
  for (int i = 0; i < 20; ++i) {
    sampler.RecordUnresponsive(std::to_string(i), now);
  }
  std::mt19937 random(1);
  auto draw = [&] { return std::uniform_real_distribution<>(0, 1)(random); };
  std::map<std::string, int> drawn;
  for (int i = 0; i < 4000; ++i) {
    std::vector<LogBox> sample = sampler.Sample(3, sampler.size(), now, draw);
    CHECK(sample.size() <= 3);
    for (const LogBox& box : sample) ++drawn[box.name];
  }
  CHECK(drawn.size() == 20);
  for (const auto& [name, count] : drawn) {
    CHECK(std::stoi(name) >= 20);
    CHECK(count > 400);
    CHECK(count < 800);
  }
  // Nobody of the first ones replies; later all are drawn again.
  CHECK(sampler.Sample(1, 20, now, draw).empty());
  CHECK(sampler.Sample(1, 20, now + std::chrono::seconds(3), draw).size() == 1);
}

TEST_CASE("no box is drawn twice and none where there is none") {
  PeerSampler sampler;
  TimePoint now = TimePoint() + std::chrono::hours(1);
  std::mt19937 random(1);
  auto draw = [&] { return std::uniform_real_distribution<>(0, 1)(random); };
  CHECK(sampler.Sample(3, 8, now, draw).empty());
  sampler.SetPeers({{"a", "", 1}, {"b", "", 1}}, now);
  for (int i = 0; i < 100; ++i) {
    std::vector<LogBox> sample = sampler.Sample(2, 8, now, draw);
    bool is_distinct = sample.size() < 2 || sample[0].name != sample[1].name;
    CHECK(is_distinct);
  }
}

}  // namespace
}  // namespace leverwick
