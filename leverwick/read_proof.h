// ReadProof records the last time at which this box is known to have had the
// current configuration.
//
// A withdrawn key must stop working within a bounded time on every box,
// including one that can't reach the store. Requests with a key therefore
// require a freshness proof: a read of the end of the operators' log whose
// reply was applied. The age of a proof counts from when the read was sent,
// since the log may have grown while the reply was in transit. A failed attempt
// proves nothing. TableFreshness, which counts failed attempts, is for tables
// that must remain in use while the box is cut off.
//
//   ReadProof proof(max_age);
//   proof.RecordRead(sent_at);        // the reply has been applied
//   if (!proof.IsValidAt(now)) ...    // refuse requests with a key

#ifndef LEVERWICK_READ_PROOF_H_
#define LEVERWICK_READ_PROOF_H_

#include <algorithm>

#include "leverwick/time.h"

namespace leverwick {

class ReadProof {
 public:
  explicit ReadProof(nanoseconds max_age) : max_age_(max_age) {}

  // Records that the reply to a read sent at `sent_at` has been applied.
  void RecordRead(TimePoint sent_at) {
    newest_sent_at_ = has_proof_ ? std::max(newest_sent_at_, sent_at) : sent_at;
    has_proof_ = true;
  }

  // Returns whether the newest proof is younger than the maximum age.
  bool IsValidAt(TimePoint now) const {
    return has_proof_ && now - newest_sent_at_ < max_age_;
  }

  // Returns the age of the newest proof, or zero if there is none.
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
