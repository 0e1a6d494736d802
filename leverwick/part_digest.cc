// A digest is the first eight bytes of an HMAC of the part's id, keyed with the
// service. The number of tokens is left out: it may be told differently.

#include "leverwick/part_digest.h"

#include <algorithm>
#include <cstdio>

#include "leverwick/digest.h"

namespace leverwick {
namespace {

PartDigest ComputePartDigest(std::string_view service, std::string_view id) {
  std::string mac = ShortMac(service, id);
  PartDigest digest = 0;
  for (size_t i = 0; i < sizeof(PartDigest); ++i) {
    digest = digest << 8 | static_cast<unsigned char>(mac[i]);
  }
  return digest;
}

}  // namespace

PartDigests ComputePartDigests(std::string_view service, const Prompt& prompt) {
  size_t shareable = prompt.empty() ? 0 : prompt.size() - 1;
  if (shareable == 0) return nullptr;
  auto digests = std::make_shared<std::vector<PartDigest>>();
  for (size_t i = 0; i < shareable; ++i) {
    bool is_in_middle =
        i >= kMaxDigestedParts / 2 && shareable - i > kMaxDigestedParts / 2;
    if (is_in_middle) continue;
    PartDigest digest = ComputePartDigest(service, prompt[i].id);
    bool is_known =
        std::find(digests->begin(), digests->end(), digest) != digests->end();
    if (!is_known) digests->push_back(digest);
  }
  return digests;
}

std::string ShortHex(PartDigest part) {
  constexpr int kShownBits = 32;
  char text[9];
  std::snprintf(text, sizeof(text), "%08x",
                static_cast<unsigned>(part >> kShownBits));
  return text;
}

}  // namespace leverwick
