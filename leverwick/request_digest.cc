// The body, which may be long, is read once: the other fields are the key of a
// keyed hash over it. Each field goes in with its length, so that no two
// identities give the same text.

#include "leverwick/request_digest.h"

#include "leverwick/digest.h"

namespace leverwick {
namespace {

constexpr size_t kOwnerBytes = 4;

}  // namespace

uint32_t RequestDigest::owner() const {
  uint32_t owner = 0;
  for (unsigned char byte : bytes_.substr(0, kOwnerBytes)) {
    owner = owner << 8 | byte;
  }
  return owner;
}

std::string RequestDigest::ShortName() const {
  static const char kDigits[] = "0123456789abcdef";
  constexpr size_t kNameBytes = 4;
  std::string name;
  if (empty()) return name;
  for (unsigned char byte : bytes_.substr(kOwnerBytes, kNameBytes)) {
    name += kDigits[byte >> 4];
    name += kDigits[byte & 15];
  }
  return name;
}

RequestDigest DigestOf(const RequestIdentity& identity) {
  std::string fields;
  for (std::string_view field :
       {identity.host, identity.target, identity.organisation}) {
    fields += std::to_string(field.size()) + ":";
    fields += field;
  }
  std::string owner = ShortDigest(identity.organisation).substr(0, kOwnerBytes);
  return RequestDigest(owner + ShortMac(fields, identity.body));
}

}  // namespace leverwick
