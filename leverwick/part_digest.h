// Digests that identify the shareable parts of a prompt.
//
// Boxes refer to parts by digest in their reports to peers and in log lines, so
// neither reveals what callers call their parts. Equal parts of different
// services have different digests. The last part of a prompt is specific to the
// request and has none.
//
//   PartDigests parts = ComputePartDigests(service, prompt);
//   for (PartDigest part : *parts) ...

#ifndef LEVERWICK_PART_DIGEST_H_
#define LEVERWICK_PART_DIGEST_H_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "leverwick/prompt.h"

namespace leverwick {

using PartDigest = uint64_t;
// The different parts of one prompt, in order. Null if there are none.
using PartDigests = std::shared_ptr<const std::vector<PartDigest>>;

// The number of parts of a prompt that have digests. Of longer prompts, the
// parts in the middle have none.
constexpr size_t kMaxDigestedParts = 64;

// Takes as long as a SHA-256 of some 30 bytes for each part.
PartDigests ComputePartDigests(std::string_view service, const Prompt& prompt);

// Returns eight hex characters that name the part in log lines.
std::string ShortHex(PartDigest part);

}  // namespace leverwick

#endif  // LEVERWICK_PART_DIGEST_H_
