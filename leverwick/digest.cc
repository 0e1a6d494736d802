// Thin wrappers around libcrypto. StableHash is FNV-1a followed by the
// finalizer of MurmurHash3: rendezvous hashing compares the hashes of nearly
// equal strings, and plain FNV-1a leaves the high bits of those alike.

#include "leverwick/digest.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/sha.h>

#include <algorithm>
#include <cmath>
#include <vector>

namespace leverwick {
namespace {

constexpr size_t kTruncatedBytes = 16;

const unsigned char* AsUnsignedBytes(std::string_view text) {
  return reinterpret_cast<const unsigned char*>(text.data());
}

std::string Sha256(std::string_view text) {
  unsigned char digest[SHA256_DIGEST_LENGTH];
  SHA256(AsUnsignedBytes(text), text.size(), digest);
  return std::string(reinterpret_cast<char*>(digest), sizeof digest);
}

uint64_t MixBits(uint64_t hash) {
  hash ^= hash >> 33;
  hash *= 0xff51afd7ed558ccdULL;
  hash ^= hash >> 33;
  hash *= 0xc4ceb9fe1a85ec53ULL;
  return hash ^ (hash >> 33);
}

}  // namespace

std::string Sha256Hex(std::string_view text) {
  static const char kDigits[] = "0123456789abcdef";
  std::string hex;
  for (unsigned char byte : Sha256(text)) {
    hex += kDigits[byte >> 4];
    hex += kDigits[byte & 15];
  }
  return hex;
}

std::string ShortDigest(std::string_view text) {
  return Sha256(text).substr(0, kTruncatedBytes);
}

std::string ShortMac(std::string_view secret, std::string_view text) {
  unsigned char mac[EVP_MAX_MD_SIZE];
  unsigned int size = 0;
  HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()),
       AsUnsignedBytes(text), text.size(), mac, &size);
  return std::string(reinterpret_cast<char*>(mac), kTruncatedBytes);
}

bool EqualInConstantTime(std::string_view a, std::string_view b) {
  return a.size() == b.size() &&
         CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

std::string Base64Encode(const std::string& bytes) {
  std::string text(4 * ((bytes.size() + 2) / 3) + 1, '\0');
  int size =
      EVP_EncodeBlock(reinterpret_cast<unsigned char*>(&text[0]),
                      AsUnsignedBytes(bytes), static_cast<int>(bytes.size()));
  text.resize(static_cast<size_t>(size));
  return text;
}

bool Base64Decode(const std::string& text, std::string* bytes) {
  bytes->clear();
  if (text.empty()) return true;
  if (text.size() % 4 != 0) return false;
  std::string decoded(text.size() / 4 * 3, '\0');
  int size =
      EVP_DecodeBlock(reinterpret_cast<unsigned char*>(&decoded[0]),
                      AsUnsignedBytes(text), static_cast<int>(text.size()));
  if (size < 0) return false;
  size_t padding = 0;
  while (padding < 2 && text[text.size() - 1 - padding] == '=') ++padding;
  decoded.resize(static_cast<size_t>(size) - padding);
  *bytes = std::move(decoded);
  return true;
}

std::string Base64UrlEncode(std::string_view bytes) {
  std::string text = Base64Encode(std::string(bytes));
  while (!text.empty() && text.back() == '=') text.pop_back();
  std::replace(text.begin(), text.end(), '+', '-');
  std::replace(text.begin(), text.end(), '/', '_');
  return text;
}

bool Base64UrlDecode(std::string_view text, std::string* bytes) {
  std::string padded(text);
  std::replace(padded.begin(), padded.end(), '-', '+');
  std::replace(padded.begin(), padded.end(), '_', '/');
  while (padded.size() % 4 != 0) padded += '=';
  return Base64Decode(padded, bytes);
}

uint64_t StableHash(std::string_view text) { return StableHash(text, 0); }

uint64_t StableHash(std::string_view text, uint64_t seed) {
  uint64_t hash = 0xcbf29ce484222325ULL ^ MixBits(seed);
  for (unsigned char byte : text) {
    hash ^= byte;
    hash *= 0x100000001b3ULL;
  }
  return MixBits(hash);
}

double UnitHash(std::string_view text) {
  return std::ldexp(static_cast<double>(StableHash(text) >> 11), -53);
}

}  // namespace leverwick
