// Selects the boxes that a box sends each of its notes to, so that the notes of
// all boxes of a data centre together grow with their rate only, not with the
// number of boxes that receive them.
//
// Up to kMaxMesh boxes send to each other. Of more boxes, each sends to so few
// that there are no more pairs than among kMaxMesh, to the ones that follow it
// in the order of names. Each box then hears as many as it sends to.
//
//   std::vector<std::string> recipients = GossipRecipients(self, others);

#ifndef LEVERWICK_GOSSIP_FANOUT_H_
#define LEVERWICK_GOSSIP_FANOUT_H_

#include <algorithm>
#include <cstddef>
#include <string>
#include <vector>

namespace leverwick {

// Boxes that all send to each other, at most.
constexpr size_t kMaxMesh = 64;

inline size_t GossipFanout(size_t others) {
  if (others <= kMaxMesh) return others;
  return std::max<size_t>(1, kMaxMesh * kMaxMesh / others);
}

// `others` holds the names of all boxes but `self`, in any order.
inline std::vector<std::string> GossipRecipients(
    const std::string& self, std::vector<std::string> others) {
  std::sort(others.begin(), others.end());
  auto next = std::lower_bound(others.begin(), others.end(), self);
  std::rotate(others.begin(), next, others.end());
  others.resize(GossipFanout(others.size()));
  return others;
}

}  // namespace leverwick

#endif  // LEVERWICK_GOSSIP_FANOUT_H_
