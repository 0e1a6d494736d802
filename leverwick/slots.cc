// Rendezvous hashing: each (slot, incarnation) pair has a hash, and the members
// with the highest hashes are the replicas. A box that joins or leaves moves
// only the slots that it gains or loses.

#include "leverwick/slots.h"

#include <algorithm>

#include "leverwick/digest.h"

namespace leverwick {
namespace {

std::vector<Member> ComputeReplicas(const Roster& roster, uint32_t slot) {
  std::vector<Member> ranked = RankMembers(roster, slot);
  if (ranked.size() > kSlotReplicas) ranked.resize(kSlotReplicas);
  return ranked;
}

bool HasSameIncarnations(const std::vector<Member>& a,
                         const std::vector<Member>& b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                    [](const Member& left, const Member& right) {
                      return left.life() == right.life();
                    });
}

}  // namespace

uint32_t SlotForKey(const std::string& key, uint32_t slots) {
  return static_cast<uint32_t>(StableHash(key) % slots);
}

std::vector<Member> RankMembers(const Roster& roster, uint32_t slot) {
  std::vector<Member> members(roster.members().begin(), roster.members().end());
  auto weight = [slot](const Member& member) {
    return StableHash(member.life(), slot + 1);
  };
  std::sort(members.begin(), members.end(),
            [&weight](const Member& a, const Member& b) {
              return weight(a) > weight(b);
            });
  return members;
}

std::vector<Placement> ComputePlacements(const std::vector<Roster>& rosters,
                                         uint32_t slot) {
  std::vector<Placement> placements;
  for (const Roster& roster : rosters) {
    std::vector<Member> replicas = ComputeReplicas(roster, slot);
    if (!placements.empty() &&
        HasSameIncarnations(placements.back().replicas, replicas)) {
      continue;
    }
    placements.push_back(Placement{roster.epoch(), std::move(replicas)});
  }
  std::reverse(placements.begin(), placements.end());
  return placements;
}

}  // namespace leverwick
