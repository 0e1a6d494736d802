// Which boxes hold the claims of a slot.
//
// A data centre's keys fall into a fixed number of slots. The replicas of a
// slot are the first boxes of the roster in rendezvous order; the first of them
// is the owner. Rosters change only through the platform's log, so placement
// has no clock in it. A slot's epoch is that of the oldest roster since which
// its replicas have stayed the same.

#ifndef LEVERWICK_SLOTS_H_
#define LEVERWICK_SLOTS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "schema/table.pb.h"

namespace leverwick {

// The owner and two holders; fewer when the roster is smaller.
constexpr size_t kSlotReplicas = 3;

struct Placement {
  uint64_t epoch = 0;            // 0: the data centre has no roster
  std::vector<Member> replicas;  // the owner first
};

// The slot of a claim's key.
uint32_t SlotForKey(const std::string& key, uint32_t slots);

// The members of a roster by preference for a slot.
std::vector<Member> RankMembers(const Roster& roster, uint32_t slot);

// Placements of a slot, newest first; consecutive equal ones are merged.
std::vector<Placement> ComputePlacements(const std::vector<Roster>& rosters,
                                         uint32_t slot);

}  // namespace leverwick

#endif  // LEVERWICK_SLOTS_H_
