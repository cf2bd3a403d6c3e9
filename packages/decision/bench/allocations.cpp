#include "bench.h"

#include <cstdlib>
#include <new>

// The replaced operators are in a file of their own: inlined into a caller, the compiler takes the call of
// free for a mismatch.

namespace {

std::uint64_t Count = 0;

} // namespace

void *operator new(std::size_t Size) {
  ++Count;
  if (void *Memory = std::malloc(Size))
    return Memory;
  throw std::bad_alloc();
}

void operator delete(void *Memory) noexcept { std::free(Memory); }

void operator delete(void *Memory, std::size_t /*Size*/) noexcept { std::free(Memory); }

namespace bulrushpitch::bench {

std::uint64_t allocations() { return Count; }

} // namespace bulrushpitch::bench
