#include "leverwick/grant_pacer.h"

#include <algorithm>

namespace leverwick {
namespace {

// How late an ask may come and still not slow down the ones after it.
constexpr milliseconds kSaved{250};
// Longer than the interval of any rate that is dealt out.
constexpr std::chrono::seconds kForgotten{60};

}  // namespace

RateGrants::Answer RateGrants::Ask(const std::string& endpoint,
                                   double per_second, TimePoint now) {
  auto [found, is_new] = paces_.try_emplace(endpoint);
  Pace& pace = found->second;
  if (is_new) pace.paid = now;
  pace.asked = now;
  TimePoint next = pace.paid + FromSeconds(1 / per_second);
  if (now < next) return {false, next - now};
  pace.paid = std::max(next, now - kSaved);
  return {true, nanoseconds(0)};
}

void RateGrants::Expire(TimePoint now) {
  for (auto entry = paces_.begin(); entry != paces_.end();) {
    bool old = now - entry->second.asked > kForgotten;
    entry = old ? paces_.erase(entry) : std::next(entry);
  }
}

}  // namespace leverwick
