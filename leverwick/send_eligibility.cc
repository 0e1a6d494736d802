#include "leverwick/send_eligibility.h"

#include <algorithm>

namespace leverwick {

// In the order of what they cost: most endpoints pass all of them.
const SendGates::Gate SendGates::kGates[] = {
    &SendGates::Reach, &SendGates::Backoff, &SendGates::SlowStarting,
    &SendGates::Limit};

bool SendGates::IsOpen(const ListedEndpoint& endpoint, Scope scope,
                       TimePoint now) const {
  return std::all_of(std::begin(kGates), std::end(kGates), [&](Gate gate) {
    return (this->*gate)(endpoint, scope, now) <= nanoseconds(0);
  });
}

nanoseconds SendGates::OpensIn(const ListedEndpoint& endpoint,
                               TimePoint now) const {
  nanoseconds latest(0);
  for (Gate gate : kGates) {
    latest = std::max(latest, (this->*gate)(endpoint, Scope::kAll, now));
  }
  return latest;
}

void SendGates::Sent(const std::string& endpoint, TimePoint now) const {
  parts_.reach->Trying(endpoint, now);
  parts_.backoffs->Sent(endpoint, now);
  parts_.slow_start->Sent(endpoint, now);
  parts_.permits->Sent(endpoint, now);
}

nanoseconds SendGates::Reach(const ListedEndpoint& endpoint, Scope,
                             TimePoint now) const {
  bool reached = parts_.reach->MayTry(endpoint.address, now);
  return reached ? nanoseconds(0) : Reachability::kProbeInterval;
}

nanoseconds SendGates::Backoff(const ListedEndpoint& endpoint, Scope scope,
                               TimePoint now) const {
  if (scope == Scope::kIgnoreRequested) return nanoseconds(0);
  return parts_.backoffs->OpensIn(endpoint.address, now);
}

nanoseconds SendGates::SlowStarting(const ListedEndpoint& endpoint, Scope,
                                    TimePoint now) const {
  return parts_.slow_start->RoomIn(endpoint, now);
}

nanoseconds SendGates::Limit(const ListedEndpoint& endpoint, Scope scope,
                             TimePoint now) const {
  const std::string& id = endpoint.address;
  bool left_out =
      scope == Scope::kIgnoreLimits || scope == Scope::kIgnoreRequested;
  if (left_out || parts_.permits->MaySend(id, now)) return nanoseconds(0);
  bool may_ask = parts_.permits->MayAsk(id, now);
  if (scope == Scope::kAskPermits && may_ask) return nanoseconds(0);
  // Without a permit it is shut, also where a granter may have room.
  return std::max(parts_.permits->RoomIn(id, now), nanoseconds(1));
}

}  // namespace leverwick
