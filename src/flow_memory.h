#ifndef SARDINELEAD_SRC_FLOW_MEMORY_H_
#define SARDINELEAD_SRC_FLOW_MEMORY_H_

// An allocator for flow records that uses huge pages where available.
//
// Packets arrive in random order, so each accesses its record at a random
// address in a region of ten megabytes or more. With 4 KB pages nearly every
// such access misses the TLB, which costs several times the access itself; with
// 2 MB pages nearly none does. Records are therefore allocated from one address
// range, reserved at startup, populated on demand and marked for huge pages.
// When the range is exhausted, memory comes from the heap.

#include <cstddef>
#include <memory>
#include <type_traits>

namespace sardinelead {

// Thread-safe. An allocation searches a balanced tree of free blocks.
class FlowMemory {
 public:
  // Reserves `bytes` of address space without committing memory.
  explicit FlowMemory(std::size_t bytes);
  ~FlowMemory();
  FlowMemory(const FlowMemory&) = delete;
  FlowMemory& operator=(const FlowMemory&) = delete;

  void* Allocate(std::size_t bytes);
  void Free(void* block);

 private:
  class Range;
  std::unique_ptr<Range> m_range;  // Null if the reservation failed.
};

// A standard allocator backed by a FlowMemory, which must outlive the
// container.
template <typename T>
class FlowAllocator {
 public:
  using value_type = T;                                           // NOLINT
  using propagate_on_container_move_assignment = std::true_type;  // NOLINT
  using propagate_on_container_swap = std::true_type;             // NOLINT

  explicit FlowAllocator(FlowMemory* memory) : m_memory(memory) {}
  template <typename U>
  FlowAllocator(const FlowAllocator<U>& other)  // NOLINT: rebinding converts
      : m_memory(other.memory()) {}

  T* allocate(std::size_t count) {  // NOLINT: the standard's name
    return static_cast<T*>(m_memory->Allocate(count * sizeof(T)));
  }
  void deallocate(T* block, std::size_t /*count*/) {  // NOLINT
    m_memory->Free(block);
  }
  FlowMemory* memory() const { return m_memory; }  // NOLINT

  friend bool operator==(const FlowAllocator& a, const FlowAllocator& b) {
    return a.m_memory == b.m_memory;
  }
  friend bool operator!=(const FlowAllocator& a, const FlowAllocator& b) {
    return !(a == b);
  }

 private:
  FlowMemory* m_memory;
};

}  // namespace sardinelead

#endif  // SARDINELEAD_SRC_FLOW_MEMORY_H_
