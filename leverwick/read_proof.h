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
  explicit ReadProof(nanoseconds max_age) : max_age_(max_age) {}

  // A read that was sent at `sent_at` was answered and applied.
  void RecordRead(TimePoint sent_at) {
    newest_sent_at_ = has_proof_ ? std::max(newest_sent_at_, sent_at) : sent_at;
    has_proof_ = true;
  }

  bool IsValidAt(TimePoint now) const {
    return has_proof_ && now - newest_sent_at_ < max_age_;
  }

  // Zero before the first proof.
  nanoseconds AgeAt(TimePoint now) const {
    return has_proof_ ? now - newest_sent_at_ : nanoseconds(0);
  }
  bool has_proof() const { return has_proof_; }

 private:
  const nanoseconds max_age_;
  bool has_proof_ = false;
  TimePoint newest_sent_at_{};
};

}  // namespace leverwick

#endif  // LEVERWICK_READ_PROOF_H_
