// Compresses what boxes pass to each other in bulk.
//
//   std::string packed = Deflate(text);
//   std::string unpacked;
//   if (!Inflate(packed, text.size(), &unpacked)) ...

#ifndef NET_DEFLATE_H_
#define NET_DEFLATE_H_

#include <cstddef>
#include <string>

namespace leverwick {

std::string Deflate(const std::string& text);

// False when the bytes can't be read or don't give exactly `size` bytes.
bool Inflate(const std::string& packed, size_t size, std::string* text);

}  // namespace leverwick

#endif  // NET_DEFLATE_H_
