// KeyValidityPolicy decides whether a known API key admits requests while the
// box can't prove that its configuration is current.
//
// Operators choose between two guarantees by a setting: either a withdrawn key
// stops working everywhere within a bounded time, or callers are served through
// an outage of the store. A key or route that the box does not know may be
// newer than its configuration. Without a proof such a request is refused as
// kStaleTable, which tells the caller to retry later.
//
//   const KeyValidityPolicy& policy = KeyValidityPolicyFor(is_strict);
//   Result result = AdmitKey(policy, is_known, proof.IsValidAt(now));

#ifndef LEVERWICK_KEY_VALIDITY_H_
#define LEVERWICK_KEY_VALIDITY_H_

#include "leverwick/result.h"

namespace leverwick {

class KeyValidityPolicy {
 public:
  virtual ~KeyValidityPolicy() = default;
  // Returns whether a known key is accepted. `is_config_current` is true if a
  // recent read proves that the configuration is current.
  virtual bool Accepts(bool is_config_current) const = 0;
};

// A withdrawn key stops working within the maximum age of a freshness proof.
class RequireCurrentConfig : public KeyValidityPolicy {
 public:
  bool Accepts(bool is_config_current) const override {
    return is_config_current;
  }
};

// Known keys keep working through an outage of the store. This avoids most
// refusals in short outages, but a withdrawn key also keeps working.
class AcceptKnownKeys : public KeyValidityPolicy {
 public:
  bool Accepts(bool) const override { return true; }
};

// Returns the policy for the setting `table.strict_withdrawal`.
inline const KeyValidityPolicy& KeyValidityPolicyFor(bool is_strict) {
  static const RequireCurrentConfig require_current;
  static const AcceptKnownKeys accept_known;
  if (is_strict) return require_current;
  return accept_known;
}

// Returns kOk, kBadKey or kStaleTable. `is_known` is true if the configuration
// contains the key.
inline Result AdmitKey(const KeyValidityPolicy& policy, bool is_known,
                       bool is_config_current) {
  if (is_known && policy.Accepts(is_config_current)) return Result::kOk;
  return is_config_current ? Result::kBadKey : Result::kStaleTable;
}

}  // namespace leverwick

#endif  // LEVERWICK_KEY_VALIDITY_H_
