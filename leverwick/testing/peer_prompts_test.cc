#include "leverwick/peer_prompts.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <random>
#include <utility>
#include <vector>

namespace leverwick {
namespace {

const TimePoint kStart = TimePoint() + std::chrono::hours(1);

SentPrompt PromptOf(uint32_t life, uint64_t ticket, const std::string& endpoint,
                    double reading) {
  SentPrompt prompt;
  prompt.life = life;
  prompt.ticket = ticket;
  prompt.endpoint = endpoint;
  prompt.reading = Seconds(reading);
  return prompt;
}

// The plain form: every prompt in a list, summed anew at each question.
class PlainPrompts {
 public:
  void Sent(const SentPrompt& prompt, TimePoint now) {
    for (const auto& known : prompts_) {
      bool same = known.first.life == prompt.life &&
                  known.first.ticket == prompt.ticket;
      if (same) return;
    }
    prompts_.emplace_back(prompt, now);
  }
  void Read(uint32_t life, uint64_t ticket) {
    Drop([&](const auto& known) {
      return known.first.life == life && known.first.ticket == ticket;
    });
  }
  void Expire(TimePoint now) {
    Drop([&](const auto& known) {
      return now - known.second > std::chrono::seconds(6);
    });
  }
  double ReadingAt(const std::string& endpoint) const {
    double sum = 0;
    for (const auto& known : prompts_) {
      if (known.first.endpoint == endpoint) sum += known.first.reading.count();
    }
    return sum;
  }
  size_t size() const { return prompts_.size(); }

 private:
  template <typename Match>
  void Drop(Match match) {
    prompts_.erase(std::remove_if(prompts_.begin(), prompts_.end(), match),
                   prompts_.end());
  }
  std::vector<std::pair<SentPrompt, TimePoint>> prompts_;
};

TEST_CASE("what endpoints read for other boxes is as by a plain list") {
  std::mt19937 random(3);
  PeerPrompts prompts;
  PlainPrompts plain;
  TimePoint now = kStart;
  const std::string endpoints[] = {"a", "b", "c"};
  for (int step = 0; step < 20000; ++step) {
    now += milliseconds(random() % 200);
    uint32_t life = random() % 3;
    uint64_t ticket = random() % 50;
    switch (random() % 4) {
      case 0:
      case 1: {
        SentPrompt prompt = PromptOf(life, ticket, endpoints[random() % 3],
                                     static_cast<double>(random() % 100) / 50);
        prompts.Sent(prompt, now);
        plain.Sent(prompt, now);
        break;
      }
      case 2:
        prompts.Read(life, ticket);
        plain.Read(life, ticket);
        break;
      default:
        prompts.Expire(now);
        plain.Expire(now);
    }
    REQUIRE(prompts.size() == plain.size());
    for (const std::string& endpoint : endpoints) {
      REQUIRE(prompts.ReadingAt(endpoint).count() ==
              doctest::Approx(plain.ReadingAt(endpoint)));
    }
  }
}

TEST_CASE("the same ticket of another life is another prompt") {
  PeerPrompts prompts;
  prompts.Sent(PromptOf(1, 7, "a", 1), kStart);
  prompts.Sent(PromptOf(2, 7, "a", 2), kStart);
  CHECK(prompts.ReadingAt("a").count() == doctest::Approx(3));
  prompts.Read(1, 7);
  CHECK(prompts.ReadingAt("a").count() == doctest::Approx(2));
}

}  // namespace
}  // namespace leverwick
