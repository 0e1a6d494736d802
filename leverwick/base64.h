// Base64 encoding and decoding with the standard alphabet (RFC 4648, section
// 4). This header must compile as C++14 because net/rpc.h includes it.

#ifndef LEVERWICK_BASE64_H_
#define LEVERWICK_BASE64_H_

#include <string>

namespace leverwick {

std::string Base64Encode(const std::string& bytes);

// Returns false if the text has characters outside the alphabet or a length
// that is not a multiple of four.
bool Base64Decode(const std::string& text, std::string* bytes);

}  // namespace leverwick

#endif  // LEVERWICK_BASE64_H_
