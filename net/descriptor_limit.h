// How many file descriptors the kernel lets this process open.

#ifndef NET_DESCRIPTOR_LIMIT_H_
#define NET_DESCRIPTOR_LIMIT_H_

#include <cstddef>

namespace leverwick {

// The largest number there is if the kernel sets no limit.
size_t DescriptorLimit();

}  // namespace leverwick

#endif  // NET_DESCRIPTOR_LIMIT_H_
