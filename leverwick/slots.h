// Placement of claim slots on boxes.
//
// A slot is one of a fixed number of partitions of a data centre's idempotency
// keys. The replicas of a slot are the first boxes of the roster in rendezvous
// order, and the first replica is the owner. Rosters change only through the
// platform's log, so placement does not depend on clocks. The epoch of a slot
// is that of the oldest roster since which its replicas have been the same.

#ifndef LEVERWICK_SLOTS_H_
#define LEVERWICK_SLOTS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "schema/table.pb.h"

namespace leverwick {

// The owner and two more replicas; fewer if the roster is smaller.
constexpr size_t kSlotReplicas = 3;

struct Placement {
  uint64_t epoch = 0;            // 0: the data centre has no roster
  std::vector<Member> replicas;  // the owner first
};

// Returns the slot of a claim's key.
uint32_t SlotForKey(const std::string& key, uint32_t slots);

// Returns the members of a roster in order of preference for a slot.
std::vector<Member> RankMembers(const Roster& roster, uint32_t slot);

// Returns the placements of a slot, newest first. Consecutive placements with
// the same replicas are merged.
std::vector<Placement> ComputePlacements(const std::vector<Roster>& rosters,
                                         uint32_t slot);

}  // namespace leverwick

#endif  // LEVERWICK_SLOTS_H_
