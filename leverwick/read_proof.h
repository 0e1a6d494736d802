// How long ago this box knew for certain what is in force.
//
// A key that was taken away must stop working within a bound on every box,
// also on one that can't reach the store that says so. So keyed work needs a
// proof: a read of the end of the operators' log whose answer was applied. Its
// age counts from when the read was sent, since the log may have grown while
// the answer was on its way. A failed attempt proves nothing; Freshness, which
// counts it as good, is for tables that must serve on when cut off.
//
//   ReadProof proof(bound);
//   proof.Proved(sent_at);          // the answer has been applied
//   if (!proof.HoldsAt(now)) ...    // refuse keyed work

#ifndef LEVERWICK_READ_PROOF_H_
#define LEVERWICK_READ_PROOF_H_

#include <algorithm>

#include "leverwick/time.h"

namespace leverwick {

class ReadProof {
 public:
  explicit ReadProof(nanoseconds bound) : bound_(bound) {}

  // A read that was sent at `sent_at` was answered and applied.
  void Proved(TimePoint sent_at) {
    newest_ = any_ ? std::max(newest_, sent_at) : sent_at;
    any_ = true;
  }

  bool HoldsAt(TimePoint now) const { return any_ && now - newest_ < bound_; }

  // Zero before the first proof.
  nanoseconds AgeAt(TimePoint now) const {
    return any_ ? now - newest_ : nanoseconds(0);
  }
  bool any() const { return any_; }

 private:
  const nanoseconds bound_;
  bool any_ = false;
  TimePoint newest_{};
};

}  // namespace leverwick

#endif  // LEVERWICK_READ_PROOF_H_
