// Rendezvous hashing: an order of the boxes for each key. All boxes with the
// same member list compute the same order, without communication.
//
//   size_t rank = RendezvousRank(key, box, others);  // 0 is first
//
// Weighted rendezvous hashing prefers candidates in proportion to a weight:
//
//   double score = WeightedRendezvousScore(hash, weight);  // highest is first

#ifndef LEVERWICK_RENDEZVOUS_H_
#define LEVERWICK_RENDEZVOUS_H_

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <limits>
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

// Returns the score of a candidate in weighted rendezvous hashing. The one with
// the highest score is a given candidate with a probability in proportion to
// its weight, which is above 0; a change of one weight moves only keys to or
// from that candidate. Equal weights leave the order of the hashes.
inline double WeightedRendezvousScore(uint64_t hash, double weight) {
  // Below 1, so that the logarithm is not 0.
  constexpr double kMaxUnit = 1 - std::numeric_limits<double>::epsilon() / 2;
  double unit = std::ldexp(static_cast<double>(hash) + 0.5, -64);
  return weight / -std::log(std::min(unit, kMaxUnit));
}

}  // namespace leverwick

#endif  // LEVERWICK_RENDEZVOUS_H_
