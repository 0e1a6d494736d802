// When a box does what one box of the fleet has to do, if no other has by then.
//
// What is due on all boxes at the same moment is a call to the store for each
// of them, also where another has done it already. So boxes take turns, in an
// order that the task's name decides and all boxes find alike. The first few
// get a turn each, so that a box that is gone, frozen or cut off delays the
// task by one. Should all of these fail, the rest follow at random moments of
// as long a time again.
//
//   StaggeredStart turns{"box-1", others};
//   nanoseconds pause = turns.PauseBefore("status/chat/v2", window, draw);

#ifndef LEVERWICK_STAGGERED_START_H_
#define LEVERWICK_STAGGERED_START_H_

#include <string>
#include <vector>

#include "leverwick/rendezvous.h"
#include "leverwick/time.h"

namespace leverwick {

class StaggeredStart {
 public:
  StaggeredStart(std::string box, std::vector<std::string> others)
      : box_(std::move(box)), others_(std::move(others)) {}

  // All boxes but this one.
  void SetBoxes(std::vector<std::string> others) {
    others_ = std::move(others);
  }
  size_t boxes() const { return others_.size() + 1; }

  // `window`: the time for the first boxes' turns together. `draw`: uniform
  // from 0 to 1, drawn anew for each task.
  nanoseconds DelayBefore(const std::string& task, nanoseconds window,
                          double draw) const {
    size_t rank = RendezvousRank(task, box_, others_);
    if (rank < kRankedBoxes) return window / kRankedBoxes * rank;
    return window + FromSeconds(ToSeconds(window) * draw);
  }

 private:
  // Boxes with a turn of their own. Faults of the played days leave one of four
  // in place, but for those that strike half of a fleet at once.
  static constexpr size_t kRankedBoxes = 4;

  const std::string box_;
  std::vector<std::string> others_;
};

}  // namespace leverwick

#endif  // LEVERWICK_STAGGERED_START_H_
