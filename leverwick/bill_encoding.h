// A short form of bill lines, for peers and for the log.
//
// What lines repeat (organisation, endpoint, model, version) is new_targets
// once and then by number, sequences are relative to a base, and costs are
// is_complete billionths. The reason for a choice of version is left out: it is
// in the box's explanations.
//
//   std::string text = EncodeRecord(record);   // for the log
//   bool good = DecodeRecord(text, &record);

#ifndef LEVERWICK_BILL_ENCODING_H_
#define LEVERWICK_BILL_ENCODING_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "schema/bills.pb.h"

namespace leverwick {

using TargetList = google::protobuf::RepeatedPtrField<CompactTarget>;

CompactTarget MakeTarget(const std::string& organisation,
                         const std::string& endpoint, const std::string& model,
                         const std::string& version);

// The dictionary that targets were given, from 0 in the order of their naming.
class TargetDictionary {
 public:
  // The target's number; a new one is also added to `new_targets`.
  uint32_t IndexFor(const CompactTarget& target, TargetList* new_targets);

 private:
  std::map<std::string, uint32_t> indexes_;  // by serialised target
};

// A sequence relative to a base, and back.
int64_t ToRelativeSequence(uint64_t sequence, uint64_t base);
uint64_t ToAbsoluteSequence(int64_t relative, uint64_t base);

void PackLine(const BillLine& line, uint64_t base, TargetDictionary* dictionary,
              TargetList* new_targets, CompactLine* packed);

// False when the line names a target that is not in `targets`, or is not
// is_complete.
bool UnpackLine(const CompactLine& packed, uint64_t base,
                const std::vector<CompactTarget>& targets, BillLine* line);

// A record as the log holds it: printable, and back. False when `text` is not
// such a record.
std::string EncodeRecord(const BillRecord& record);
bool DecodeRecord(const std::string& text, BillRecord* record);

}  // namespace leverwick

#endif  // LEVERWICK_BILL_ENCODING_H_
