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
// A read proves nothing either while the newest configuration that was read is
// not in force, for example because this release can't decode it. It may
// withdraw keys. The last proof before it then ages as in an outage of the
// store, until a configuration comes that can be applied.
//
//   ReadProof proof(max_age);
//   proof.RecordNewestConfig(is_in_force);  // before the read is recorded
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

  // Records whether the newest configuration that was read is in force. Returns
  // false if that is as before.
  bool RecordNewestConfig(bool is_in_force) {
    bool is_change = is_in_force == lacks_newest_config_;
    lacks_newest_config_ = !is_in_force;
    return is_change;
  }

  // Records that the reply to a read sent at `sent_at` has been applied.
  void RecordRead(TimePoint sent_at) {
    if (lacks_newest_config_) return;
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
  bool lacks_newest_config_ = false;
  TimePoint newest_sent_at_{};
};

}  // namespace leverwick

#endif  // LEVERWICK_READ_PROOF_H_
