// Compact encoding of bill lines, for replication to peers and for the log.
//
// Repeated fields (organisation, endpoint, model, version) are sent once as a
// target and then referenced by index. Sequences are relative to a base, and
// costs are integers in billionths of a currency unit. The reason for the
// choice of a version is not encoded; the box records it with the explanation
// of the request.
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

// Assigns indexes to targets, from 0 in the order of their first use.
class TargetDictionary {
 public:
  // Returns the index of the target. A new target is also added to
  // `new_targets`.
  uint32_t IndexFor(const CompactTarget& target, TargetList* new_targets);

 private:
  std::map<std::string, uint32_t> indexes_;  // by serialised target
};

// Convert a sequence to its offset from a base and back.
int64_t ToRelativeSequence(uint64_t sequence, uint64_t base);
uint64_t ToAbsoluteSequence(int64_t relative, uint64_t base);

void PackLine(const BillLine& line, uint64_t base, TargetDictionary* dictionary,
              TargetList* new_targets, CompactLine* packed);

// Returns false if the line is incomplete or refers to a target that is not in
// `targets`.
bool UnpackLine(const CompactLine& packed, uint64_t base,
                const std::vector<CompactTarget>& targets, BillLine* line);

// Convert a record to the printable form stored in the log and back.
// DecodeRecord returns false if `text` is not such a record.
std::string EncodeRecord(const BillRecord& record);
bool DecodeRecord(const std::string& text, BillRecord* record);

}  // namespace leverwick

#endif  // LEVERWICK_BILL_ENCODING_H_
