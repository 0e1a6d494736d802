// The digest is an HMAC of the body, keyed with the other fields, so that a
// long body is read only once. Each field is prefixed with its length, so that
// different identities never give the same key.

#include "leverwick/request_digest.h"

#include "leverwick/digest.h"

namespace leverwick {
namespace {

constexpr size_t kOrganisationHashBytes = 4;

}  // namespace

uint64_t RequestDigest::hash() const { return StableHash(bytes_); }

uint32_t RequestDigest::organisation_hash() const {
  uint32_t organisation_hash = 0;
  for (unsigned char byte : bytes_.substr(0, kOrganisationHashBytes)) {
    organisation_hash = organisation_hash << 8 | byte;
  }
  return organisation_hash;
}

std::string RequestDigest::ShortHex() const {
  static const char kDigits[] = "0123456789abcdef";
  constexpr size_t kShortHexBytes = 4;
  std::string hex;
  if (empty()) return hex;
  for (unsigned char byte :
       bytes_.substr(kOrganisationHashBytes, kShortHexBytes)) {
    hex += kDigits[byte >> 4];
    hex += kDigits[byte & 15];
  }
  return hex;
}

RequestDigest ComputeRequestDigest(const RequestIdentity& identity) {
  std::string fields;
  for (std::string_view field :
       {identity.host, identity.target, identity.organisation}) {
    fields += std::to_string(field.size()) + ":";
    fields += field;
  }
  std::string organisation_hash =
      ShortDigest(identity.organisation).substr(0, kOrganisationHashBytes);
  return RequestDigest(organisation_hash + ShortMac(fields, identity.body));
}

}  // namespace leverwick
