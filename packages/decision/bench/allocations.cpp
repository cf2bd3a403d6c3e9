#include "bench.h"

#include <cstdlib>
#include <new>

// The replaced operators have a file of their own: if they are inlined into a caller, the compiler reports
// the call of free as a mismatched deallocation.

namespace {

std::uint64_t AllocationCount = 0;

} // namespace

void *operator new(std::size_t Size) {
  ++AllocationCount;
  if (void *Memory = std::malloc(Size))
    return Memory;
  throw std::bad_alloc();
}

void operator delete(void *Memory) noexcept { std::free(Memory); }

void operator delete(void *Memory, std::size_t /*Size*/) noexcept { std::free(Memory); }

namespace bulrushpitch::bench {

std::uint64_t allocations() { return AllocationCount; }

} // namespace bulrushpitch::bench
