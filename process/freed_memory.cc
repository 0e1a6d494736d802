#include "process/freed_memory.h"

#include <malloc.h>

namespace leverwick {
namespace {

// Requests and answers of usual sizes are below it: a block of its own costs
// two system calls.
constexpr int kLargeBlock = 256 * 1024;
// The heap shrinks by steps, not with each request.
constexpr int kFreeHeap = 2 * 1024 * 1024;

}  // namespace

void ReturnFreedMemory() {
  // An allocator without these parameters goes on as it does by default.
  mallopt(M_MMAP_THRESHOLD, kLargeBlock);
  mallopt(M_TRIM_THRESHOLD, kFreeHeap);
}

}  // namespace leverwick
