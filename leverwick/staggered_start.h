// StaggeredStart delays a task that one box of the fleet has to do, so that the
// other boxes can skip it once they observe that it is done.
//
// A task that becomes due on all boxes at the same moment would cost one store
// call per box, although one is enough. Boxes therefore start in the order of
// their rendezvous rank for the task, which all boxes compute alike. The first
// kRankedBoxes boxes have a slot each, so that a box that is down, frozen or
// partitioned delays the task by one slot only. If all of them fail, the
// remaining boxes start at random moments within a second window of the same
// length.
//
//   StaggeredStart start{"box-1", others};
//   nanoseconds delay = start.DelayBefore("status/chat/v2", window, draw);

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

  // Sets the other boxes of the fleet, without this one.
  void SetBoxes(std::vector<std::string> others) {
    others_ = std::move(others);
  }
  size_t boxes() const { return others_.size() + 1; }

  // Returns how long this box waits before it starts the task. `window` is the
  // time for the slots of the ranked boxes together. `draw` is uniform from 0
  // to 1 and drawn anew for each task.
  nanoseconds DelayBefore(const std::string& task, nanoseconds window,
                          double draw) const {
    size_t rank = RendezvousRank(task, box_, others_);
    if (rank < kRankedBoxes) return window / kRankedBoxes * rank;
    return window + FromSeconds(ToSeconds(window) * draw);
  }

 private:
  // Boxes with a slot of their own. With four slots, at least one of these
  // boxes is usually up, except in faults that hit half of the fleet at once.
  static constexpr size_t kRankedBoxes = 4;

  const std::string box_;
  std::vector<std::string> others_;
};

}  // namespace leverwick

#endif  // LEVERWICK_STAGGERED_START_H_
