// PeerSampler draws other boxes of a data centre at random, without those that
// have lately not replied.
//
//   PeerSampler sampler;
//   sampler.SetPeers(boxes_by_rank);
//   std::vector<LogBox> drawn = sampler.Sample(3, sampler.size(), now, draw);
//   sampler.RecordUnresponsive(drawn[0].name, now);

#ifndef LEVERWICK_PEER_SAMPLER_H_
#define LEVERWICK_PEER_SAMPLER_H_

#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "leverwick/read_sources.h"
#include "leverwick/time.h"

namespace leverwick {

class PeerSampler {
 public:
  // Sets the boxes to draw from, in order of preference.
  void SetPeers(std::vector<LogBox> peers, TimePoint now);
  const std::vector<LogBox>& peers() const { return peers_; }
  size_t size() const { return peers_.size(); }

  // Leaves the box out for a while.
  void RecordUnresponsive(const std::string& name, TimePoint now);
  // Called when the failures were this box's own.
  void ClearUnresponsive() { unresponsive_until_.clear(); }

  // Returns up to `count` of the first `among` boxes. Each call of `draw`
  // returns a random number in [0, 1).
  std::vector<LogBox> Sample(size_t count, size_t among, TimePoint now,
                             const std::function<double()>& draw) const;

 private:
  bool IsResponsive(const std::string& name, TimePoint now) const;

  std::vector<LogBox> peers_;
  std::map<std::string, TimePoint> unresponsive_until_;
};

}  // namespace leverwick

#endif  // LEVERWICK_PEER_SAMPLER_H_
