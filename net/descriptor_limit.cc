#include "net/descriptor_limit.h"

#include <sys/resource.h>

#include <limits>

namespace leverwick {

size_t DescriptorLimit() {
  constexpr size_t kNone = std::numeric_limits<size_t>::max();
  rlimit limit{};
  bool is_known = getrlimit(RLIMIT_NOFILE, &limit) == 0;
  bool is_limited = is_known && limit.rlim_cur != RLIM_INFINITY;
  return is_limited ? static_cast<size_t>(limit.rlim_cur) : kNone;
}

}  // namespace leverwick
