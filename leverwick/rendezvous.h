// Rendezvous hashing: an order of the boxes for each key, which all boxes that
// know the same boxes find alike, without talking.
//
//   size_t rank = RendezvousRank(key, box, others);  // 0: comes first

#ifndef LEVERWICK_RENDEZVOUS_H_
#define LEVERWICK_RENDEZVOUS_H_

#include <algorithm>
#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "leverwick/digest.h"

namespace leverwick {

// How many of `others` come before `box` in the key's order.
inline size_t RendezvousRank(std::string_view key, std::string_view box,
                             const std::vector<std::string>& others) {
  uint64_t seed = StableHash(key);
  uint64_t own = StableHash(box, seed);
  auto comes_before = [&](const std::string& other) {
    return StableHash(other, seed) < own;
  };
  return static_cast<size_t>(
      std::count_if(others.begin(), others.end(), comes_before));
}

}  // namespace leverwick

#endif  // LEVERWICK_RENDEZVOUS_H_
