// Whether the boxes of a fleet know the same boxes, so that one that is new may
// take over what only one box at a time may do.
//
// A box that is new in the list tells each listed one its name and a digest of
// the boxes that it knows; whoever hears it adds it and tells its own digest in
// reply. Once all that answer know the same boxes, nobody acts any more on a
// list without this box. One that stays silent is left out, if at least half of
// the fleet has answered: it is gone or cut off. A box that hears from none
// can't tell whether it is alone, and never agrees.
//
//   FleetAgreement agreement({"box-1", "dc1"});
//   agreement.SetBoxes(others);
//   for (const std::string& name : agreement.Unsettled()) ask it;
//   agreement.Asked(name);  // counts towards its silence
//   agreement.Heard(box, digest);
//   if (agreement.holds()) ...

#ifndef LEVERWICK_FLEET_AGREEMENT_H_
#define LEVERWICK_FLEET_AGREEMENT_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "leverwick/send_permits.h"

namespace leverwick {

// Not thread-safe.
class FleetAgreement {
 public:
  // A box that has not answered so many asks before the next one is silent.
  static constexpr int kSilentAsks = 3;
  // One that the list has not named in so many reads, although it told of
  // itself, is gone.
  static constexpr int kUnlistedReads = 3;

  explicit FleetAgreement(GranterBox self);

  // All boxes that the list names but this one; replaces them. Those that told
  // of themselves and that the list does not name yet stay.
  void SetBoxes(const std::vector<GranterBox>& others);
  // The others have dropped this box from the list: it is new to them again.
  void Restart();
  // A box told of itself, and the digest of the boxes that it knows. True if it
  // was not known here.
  bool Heard(const GranterBox& box, uint64_t digest);
  // The box is asked once more.
  void Asked(const std::string& name);

  // Of the boxes that this one knows, itself included.
  uint64_t digest() const { return digest_; }
  // Whether all that answer have known the same boxes at some moment.
  bool holds() const { return holds_; }
  // Those that have not told the digest of this box, while nothing holds.
  std::vector<std::string> Unsettled() const;
  // All boxes known but this one.
  std::vector<GranterBox> others() const;

 private:
  struct Other {
    GranterBox box;
    bool is_listed = false;
    int unlisted_reads = 0;
    int asks = 0;  // since it last told something
    std::optional<uint64_t> digest;
  };

  void Digest();
  void Judge();

  const GranterBox self_;
  std::map<std::string, Other> others_;  // by name
  uint64_t digest_ = 0;
  bool holds_ = false;
};

}  // namespace leverwick

#endif  // LEVERWICK_FLEET_AGREEMENT_H_
