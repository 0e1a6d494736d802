#include "leverwick/rate_limiter.h"

#include <doctest/doctest.h>

#include <memory>
#include <random>
#include <vector>

namespace leverwick {
namespace {

Organisation MakeOrganisation(double requests, double tokens) {
  Organisation organisation;
  organisation.set_name("acme");
  organisation.set_requests_per_second(requests);
  organisation.set_tokens_per_second(tokens);
  return organisation;
}

TimePoint At(double seconds) {
  return TimePoint() + FromSeconds(1e6 + seconds);
}

TEST_CASE("a limit is enforced and a refusal says when to retry") {
  RateLimiter limiter;
  limiter.SetRoster(1, 2, 0.5, true);
  Organisation organisation = MakeOrganisation(40, 0);
  int admitted = 0;
  nanoseconds retry_after{0};
  for (int i = 0; i < 1000; ++i) {
    auto decision = limiter.Admit(organisation, 1, At(i * 0.01));
    admitted += decision.admitted ? 1 : 0;
    if (!decision.admitted) retry_after = decision.retry_after;
  }
  // 40 requests per second, half of them for the data centre and half of that
  // for the box: 10 per second.
  CHECK(admitted >= 95);
  CHECK(admitted <= 110);
  CHECK(ToSeconds(retry_after) > 0);
  CHECK(ToSeconds(retry_after) <= 0.1001);
}

TEST_CASE("tokens are limited and reconciled with the actual number") {
  RateLimiter limiter;
  limiter.SetRoster(1, 1, 1, true);
  Organisation organisation = MakeOrganisation(0, 100);
  CHECK(limiter.Admit(organisation, 100, At(0)).admitted);
  CHECK(!limiter.Admit(organisation, 50, At(0.1)).admitted);
  limiter.ReconcileTokens("acme", 100, 20);
  CHECK(limiter.Admit(organisation, 50, At(0.1)).admitted);
}

TEST_CASE("an organisation without limits is always admitted") {
  RateLimiter limiter;
  Organisation organisation = MakeOrganisation(0, 0);
  for (int i = 0; i < 100; ++i) {
    CHECK(limiter.Admit(organisation, 1e9, At(0)).admitted);
  }
}

// Boxes move through epochs independently, give share to peers, lose replies,
// stop and join. The sum of the shares that live boxes may use must never
// exceed the limit.
TEST_CASE("the shares of a data centre never sum above one") {
  struct Box {
    RateLimiter limiter;
    uint64_t epoch = 0;
    bool alive = true;
  };
  for (unsigned seed = 1; seed <= 200; ++seed) {
    std::mt19937 random(seed);
    auto pick = [&random](size_t n) { return random() % n; };
    std::vector<std::unique_ptr<Box>> boxes;
    std::vector<std::vector<size_t>> rosters;  // epoch - 1 to members
    auto add_box = [&] { boxes.push_back(std::make_unique<Box>()); };
    auto add_roster = [&] {
      std::vector<size_t> members;
      for (size_t i = 0; i < boxes.size(); ++i) {
        if (boxes[i]->alive) members.push_back(i);
      }
      if (!members.empty()) rosters.push_back(members);
    };
    auto is_member = [&](size_t box, uint64_t epoch) {
      const auto& members = rosters[epoch - 1];
      return std::find(members.begin(), members.end(), box) != members.end();
    };
    add_box();
    add_box();
    add_roster();
    Organisation organisation = MakeOrganisation(100, 0);
    for (int step = 0; step < 300; ++step) {
      size_t number = pick(boxes.size());
      Box& box = *boxes[number];
      switch (pick(8)) {
        case 0:
          if (boxes.size() < 8) add_box();
          break;
        case 1:
          // A box leaves the roster only after it has stopped taking work.
          if (pick(4) == 0) box.alive = false;
          break;
        case 2:
          if (pick(3) == 0) add_roster();
          break;
        case 3:
        case 4: {
          if (!box.alive || rosters.empty()) break;
          uint64_t epoch = std::min<uint64_t>(box.epoch + 1, rosters.size());
          box.epoch = epoch;
          if (!is_member(number, epoch)) break;
          box.limiter.SetRoster(epoch, rosters[epoch - 1].size(), 1,
                                epoch == 1);
          bool is_settled = true;
          for (size_t member : rosters[epoch - 1]) {
            is_settled = is_settled && boxes[member]->epoch >= epoch;
          }
          if (is_settled) box.limiter.MarkEpochSettled(epoch);
          break;
        }
        case 5: {
          Box& other = *boxes[pick(boxes.size())];
          if (&other == &box || !box.alive || !other.alive) break;
          uint64_t epoch = box.limiter.epoch();
          double given = other.limiter.ReleaseShare("acme", epoch, 0.3);
          bool lost = pick(4) == 0;
          if (!lost) box.limiter.AddShare("acme", epoch, given);
          break;
        }
        default:
          box.limiter.Admit(organisation, 1, At(step * 0.2));
      }
      double sum = 0;
      for (auto& each : boxes) {
        bool has_share = each->alive && each->limiter.epoch() > 0;
        if (has_share) sum += each->limiter.ShareFor("acme");
      }
      INFO("seed " << seed << " step " << step);
      REQUIRE(sum <= 1 + 1e-9);
    }
  }
}

TEST_CASE("share moves to the box that has the demand") {
  RateLimiter busy;
  RateLimiter quiet;
  for (RateLimiter* limiter : {&busy, &quiet})
    limiter->SetRoster(1, 2, 1, true);
  Organisation organisation = MakeOrganisation(100, 0);
  for (int i = 0; i < 900; ++i) {
    busy.Admit(organisation, 1, At(i * 0.01));
    if (i % 50 == 0) quiet.Admit(organisation, 1, At(i * 0.01));
  }
  double wanted = busy.ComputeMissingShare("acme");
  CHECK(wanted > 0.3);
  double given = quiet.ReleaseShare("acme", 1, wanted);
  CHECK(given > 0.3);
  busy.AddShare("acme", 1, given);
  CHECK(busy.ShareFor("acme") + quiet.ShareFor("acme") <= 1 + 1e-9);
  CHECK(busy.ShareFor("acme") > 0.8);
}

}  // namespace
}  // namespace leverwick
