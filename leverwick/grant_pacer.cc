#include "leverwick/grant_pacer.h"

#include <algorithm>

namespace leverwick {
namespace {

// A request for a grant that is late by up to this does not delay later grants.
constexpr milliseconds kMaxCredit{250};
// Exceeds the interval between grants at any rate in use.
constexpr std::chrono::seconds kIdleRetention{60};

}  // namespace

GrantPacer::Result GrantPacer::TryGrant(const std::string& endpoint,
                                        double requests_per_second,
                                        TimePoint now) {
  auto [found, is_new] = paces_.try_emplace(endpoint);
  Pace& pace = found->second;
  if (is_new) pace.last_due = now;
  pace.last_requested = now;
  TimePoint next_due = pace.last_due + FromSeconds(1 / requests_per_second);
  if (now < next_due) return {false, next_due - now};
  pace.last_due = std::max(next_due, now - kMaxCredit);
  return {true, nanoseconds(0)};
}

void GrantPacer::Expire(TimePoint now) {
  for (auto entry = paces_.begin(); entry != paces_.end();) {
    bool is_old = now - entry->second.last_requested > kIdleRetention;
    entry = is_old ? paces_.erase(entry) : std::next(entry);
  }
}

}  // namespace leverwick
