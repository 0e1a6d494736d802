// Base64 with the standard alphabet. Kept to C++14 for net/rpc.h.

#ifndef LEVERWICK_BASE64_H_
#define LEVERWICK_BASE64_H_

#include <string>

namespace leverwick {

std::string Base64Encode(const std::string& bytes);

// False on characters outside the alphabet or a wrong length.
bool Base64Decode(const std::string& text, std::string* bytes);

}  // namespace leverwick

#endif  // LEVERWICK_BASE64_H_
