// Cryptographic digests and base64 encodings on top of OpenSSL's libcrypto, and
// the stable non-cryptographic hash used for rendezvous hashing.

#ifndef LEVERWICK_DIGEST_H_
#define LEVERWICK_DIGEST_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "leverwick/base64.h"

namespace leverwick {

// Returns the SHA-256 of `text` as 64 lower-case hex characters.
std::string Sha256Hex(std::string_view text);

// Returns the first 16 bytes of the SHA-256 of `text`.
std::string ShortDigest(std::string_view text);

// Returns the first 16 bytes of the HMAC-SHA-256 of `text`.
std::string ShortMac(std::string_view secret, std::string_view text);

// Compares two strings in a time that depends only on their length.
bool EqualInConstantTime(std::string_view a, std::string_view b);

// Decodes standard base64 with padding. Returns false if the text is invalid.
bool Base64Decode(const std::string& text, std::string* bytes);

// URL-safe base64 without padding (RFC 4648, section 5).
std::string Base64UrlEncode(std::string_view bytes);
bool Base64UrlDecode(std::string_view text, std::string* bytes);

// Returns a 64-bit hash that is the same on every box and in every release.
uint64_t StableHash(std::string_view text);
uint64_t StableHash(std::string_view text, uint64_t seed);

// Returns StableHash mapped to [0, 1).
double UnitHash(std::string_view text);

}  // namespace leverwick

#endif  // LEVERWICK_DIGEST_H_
