// Rendezvous hashing: an order of the boxes for each key. All boxes with the
// same member list compute the same order, without communication.
//
//   size_t rank = RendezvousRank(key, box, others);  // 0 is first

#ifndef LEVERWICK_RENDEZVOUS_H_
#define LEVERWICK_RENDEZVOUS_H_

#include <algorithm>
#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "leverwick/digest.h"

namespace leverwick {

// Returns how many of `others` precede `box` in the key's order.
inline size_t RendezvousRank(std::string_view key, std::string_view box,
                             const std::vector<std::string>& others) {
  uint64_t seed = StableHash(key);
  uint64_t own = StableHash(box, seed);
  auto precedes = [&](const std::string& other) {
    return StableHash(other, seed) < own;
  };
  return static_cast<size_t>(
      std::count_if(others.begin(), others.end(), precedes));
}

}  // namespace leverwick

#endif  // LEVERWICK_RENDEZVOUS_H_
