// Lets a process return the memory that it has freed.

#ifndef PROCESS_FREED_MEMORY_H_
#define PROCESS_FREED_MEMORY_H_

namespace leverwick {

// Large blocks are returned to the kernel when they are freed, and so is the
// end of the heap. Otherwise the allocator keeps blocks of the largest size
// that was ever freed. To be called before the first large block is allocated.
void ReturnFreedMemory();

}  // namespace leverwick

#endif  // PROCESS_FREED_MEMORY_H_
