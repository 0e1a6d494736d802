// KeyAdmissions remembers when each API key was last admitted, and how old the
// freshness proof was, so that a box can tell for how long it went on admitting
// a key that a new configuration has withdrawn.
//
//   KeyAdmissions admissions;
//   admissions.Record(key, {now, proof_age});
//   for (const KeyAdmission& last : admissions.TakeWithdrawn(config)) ...

#ifndef LEVERWICK_KEY_ADMISSIONS_H_
#define LEVERWICK_KEY_ADMISSIONS_H_

#include <iterator>
#include <string>
#include <unordered_map>
#include <vector>

#include "leverwick/service_config.h"
#include "leverwick/time.h"

namespace leverwick {

struct KeyAdmission {
  TimePoint at{};
  nanoseconds proof_age{0};  // when the key was admitted
};

// Not thread-safe.
class KeyAdmissions {
 public:
  // Only for keys of the configuration in force, which bounds their number.
  void Record(const std::string& key, const KeyAdmission& admission) {
    last_by_key_[key] = admission;
  }

  // Removes the keys that `config` does not contain and returns their last
  // admissions, in no order.
  std::vector<KeyAdmission> TakeWithdrawn(const ServiceConfig& config) {
    std::vector<KeyAdmission> withdrawn;
    for (auto it = last_by_key_.begin(); it != last_by_key_.end();) {
      bool is_withdrawn = config.FindKeyOwner(it->first) == nullptr;
      if (is_withdrawn) withdrawn.push_back(it->second);
      it = is_withdrawn ? last_by_key_.erase(it) : std::next(it);
    }
    return withdrawn;
  }

 private:
  std::unordered_map<std::string, KeyAdmission> last_by_key_;
};

}  // namespace leverwick

#endif  // LEVERWICK_KEY_ADMISSIONS_H_
