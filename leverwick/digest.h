// Digests and encodings, from OpenSSL's libcrypto, and the rendezvous hash.

#ifndef LEVERWICK_DIGEST_H_
#define LEVERWICK_DIGEST_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "leverwick/base64.h"

namespace leverwick {

// SHA-256 of `text` as 64 lower-case hex characters.
std::string Sha256Hex(std::string_view text);

// The first 16 bytes of SHA-256 of `text`.
std::string ShortDigest(std::string_view text);

// HMAC-SHA-256, first 16 bytes.
std::string ShortMac(std::string_view secret, std::string_view text);

// Whether two strings are equal, in a time that depends on the length only.
bool EqualInConstantTime(std::string_view a, std::string_view b);

// Standard base64 with padding; false when the text is not that.
bool Base64Decode(const std::string& text, std::string* bytes);

// The base64 alphabet of URLs, without padding.
std::string Base64UrlEncode(std::string_view bytes);
bool Base64UrlDecode(std::string_view text, std::string* bytes);

// A 64-bit hash that is the same on every box and in every release.
uint64_t StableHash(std::string_view text);
uint64_t StableHash(std::string_view text, uint64_t seed);

// StableHash mapped to [0, 1).
double UnitHash(std::string_view text);

}  // namespace leverwick

#endif  // LEVERWICK_DIGEST_H_
