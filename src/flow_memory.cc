#include "flow_memory.h"

#include <sys/mman.h>

#include <boost/interprocess/managed_external_buffer.hpp>
#include <cstdint>
#include <mutex>
#include <new>

namespace sardinelead {
namespace {

constexpr std::size_t kHugePageBytes = std::size_t{2} << 20;

std::size_t RoundUp(std::size_t bytes) {
  return (bytes + kHugePageBytes - 1) / kHugePageBytes * kHugePageBytes;
}

}  // namespace

// A reserved address range managed by Boost's best-fit allocator. The allocator
// must coalesce adjacent free blocks: tables grow by a seventh at a time, so
// each freed block alone is too small for any later table.
class FlowMemory::Range {
 public:
  // Returns null if the address space cannot be reserved.
  static std::unique_ptr<Range> Reserve(std::size_t bytes) {
    const std::size_t reserved = RoundUp(bytes) + kHugePageBytes;
    void* start = mmap(nullptr, reserved, PROT_READ | PROT_WRITE,
                       MAP_PRIVATE | MAP_ANONYMOUS | MAP_NORESERVE, -1, 0);
    if (start == MAP_FAILED) return nullptr;
    return std::unique_ptr<Range>(new Range(start, reserved));
  }

  ~Range() { munmap(m_reserved, m_reserved_bytes); }
  Range(const Range&) = delete;
  Range& operator=(const Range&) = delete;

  // Returns null if no free block is large enough.
  void* Allocate(std::size_t bytes) {
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_blocks.allocate(bytes, std::nothrow);
  }
  void Free(void* block) {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_blocks.deallocate(block);
  }
  bool Contains(const void* block) const {
    const auto* byte = static_cast<const char*>(block);
    const auto* start = static_cast<const char*>(m_reserved);
    return byte >= start && byte < start + m_reserved_bytes;
  }

 private:
  Range(void* reserved, std::size_t bytes)
      : m_reserved(reserved),
        m_reserved_bytes(bytes),
        m_blocks(boost::interprocess::create_only, RequestHugePages(),
                 bytes - kHugePageBytes) {}

  // Requests huge pages and returns the first huge-page boundary in the range.
  void* RequestHugePages() {
    const auto address = reinterpret_cast<std::uintptr_t>(m_reserved);
    void* aligned =
        static_cast<char*>(m_reserved) + (RoundUp(address) - address);
    // The result is ignored: without huge page support the kernel returns an
    // error and the range uses small pages.
    madvise(aligned, m_reserved_bytes - kHugePageBytes, MADV_HUGEPAGE);
    return aligned;
  }

  void* m_reserved;
  std::size_t m_reserved_bytes;
  std::mutex m_mutex;
  boost::interprocess::managed_external_buffer m_blocks;
};

FlowMemory::FlowMemory(std::size_t bytes) : m_range(Range::Reserve(bytes)) {}
FlowMemory::~FlowMemory() = default;

void* FlowMemory::Allocate(std::size_t bytes) {
  void* block = m_range ? m_range->Allocate(bytes) : nullptr;
  return block != nullptr ? block : ::operator new(bytes);
}

void FlowMemory::Free(void* block) {
  if (m_range && m_range->Contains(block)) {
    m_range->Free(block);
    return;
  }
  ::operator delete(block);
}

}  // namespace sardinelead
