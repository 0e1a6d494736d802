#include "net/deflate.h"

#include <zlib.h>

namespace leverwick {
namespace {

// Records of endpoints are so alike that more effort saves little.
constexpr int kLevel = 1;

const Bytef* BytesOf(const std::string& text) {
  return reinterpret_cast<const Bytef*>(text.data());
}

}  // namespace

std::string Deflate(const std::string& text) {
  uLongf size = compressBound(text.size());
  std::string packed(size, '\0');
  // Fails only for want of memory, and then leaves nothing to read.
  int result = compress2(reinterpret_cast<Bytef*>(packed.data()), &size,
                         BytesOf(text), text.size(), kLevel);
  packed.resize(result == Z_OK ? size : 0);
  return packed;
}

bool Inflate(const std::string& packed, size_t size, std::string* text) {
  text->assign(size, '\0');
  uLongf unpacked = size;
  int result = uncompress(reinterpret_cast<Bytef*>(text->data()), &unpacked,
                          BytesOf(packed), packed.size());
  return result == Z_OK && unpacked == size;
}

}  // namespace leverwick
