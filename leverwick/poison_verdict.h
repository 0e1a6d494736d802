// Whether a request may be sent although endpoints have crashed while running
// it, or requests that share a prompt part with it.
//
//   PoisonVerdict verdict = StricterVerdict(
//       requests.Evaluate(digest, target, is_listed, now),
//       parts.Evaluate(part_digests, organisation, target, is_listed, now));

#ifndef LEVERWICK_POISON_VERDICT_H_
#define LEVERWICK_POISON_VERDICT_H_

#include <cstddef>
#include <optional>
#include <vector>

#include "leverwick/part_digest.h"
#include "leverwick/time.h"

namespace leverwick {

struct PoisonVerdict {
  enum class Kind {
    kSend,         // to any endpoint
    kAvoidTarget,  // to any endpoint but those of a roll-out's target version
    kTrial,        // to one endpoint, once; the caller must call RecordTrial
    kQuarantine,   // to no endpoint
  };
  Kind kind = Kind::kSend;
  size_t crashes = 0;  // those that count against the request or a part
  // Time until this box may send a trial; set if the request is quarantined and
  // the box is connected to its peers.
  std::optional<milliseconds> time_until_trial;
  // The quarantined parts of the request's prompt.
  std::vector<PartDigest> parts;
  // A trial is due that no box has claimed; the caller must call ClaimTrial.
  bool may_claim_trial = false;
};

// Returns the verdict that allows less, with the parts of both.
PoisonVerdict StricterVerdict(PoisonVerdict a, PoisonVerdict b);

}  // namespace leverwick

#endif  // LEVERWICK_POISON_VERDICT_H_
