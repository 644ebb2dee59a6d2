#ifndef SARDINELEAD_SRC_FLOW_TABLE_H_
#define SARDINELEAD_SRC_FLOW_TABLE_H_

// The flow records of one partition, sorted by hash.
//
// The table uses open addressing with linear probing. The home slot is a
// monotonic function of the hash and probes don't wrap around, so occupied
// slots are sorted by hash. A search stops at the first greater hash, so at a
// load factor of 85 percent a miss costs no more than a hit. A hash serves as a
// cursor over the table and stays valid across insertions and removals. The
// table grows by a seventh of its size, so a record takes between 48 and 65
// bytes.
//
// Not thread-safe; see FlowShards.

#include <atomic>
#include <cstdint>
#include <functional>
#include <vector>

#include "flow_memory.h"
#include "sardinelead/types.h"

namespace sardinelead {

enum class FlowState : std::uint8_t {
  kEmpty,    // A free slot.
  kOpening,  // Only the opening packet was seen.
  kEstablished,
  kClosing,  // FIN or RST was seen.
};

// Convert a time to milliseconds or seconds in an unsigned integer that wraps
// around, so that only differences between two results are meaningful.
inline std::uint32_t ToMillis(TimePoint at) {
  return static_cast<std::uint32_t>(at.time_since_epoch().count() / 1'000'000);
}
inline std::uint16_t ToSeconds(TimePoint at) {
  return static_cast<std::uint16_t>(at.time_since_epoch().count() /
                                    1'000'000'000);
}

struct FlowRecord {
  IpAddress caller;
  std::uint16_t caller_port = 0;
  FlowState state = FlowState::kEmpty;
  std::uint8_t repeats = 0;        // Retransmissions of the segment `sequence`.
  std::uint32_t hash = 0;          // Low half of FlowKey::Hash().
  std::uint32_t target_half[2]{};  // Split in two to avoid padding.
  std::uint32_t seen_ms = 0;
  std::uint32_t sequence = 0;        // Of the caller's last segment with data.
  std::uint32_t acknowledgment = 0;  // Of the caller's last segment.
  std::uint16_t refreshed_s = 0;  // When the other copies were last refreshed.
  std::uint16_t repeat_since_s = 0;  // When `sequence` was first seen.

  TargetId target() const {  // NOLINT
    return TargetId{std::uint64_t{target_half[1]} << 32 | target_half[0]};
  }
  void set_target(TargetId id) {  // NOLINT
    target_half[0] = static_cast<std::uint32_t>(id.value);
    target_half[1] = static_cast<std::uint32_t>(id.value >> 32);
  }
};
static_assert(sizeof(FlowRecord) == 48);

// The limits and usage that all tables of a node share.
struct FlowBudget {
  FlowBudget(std::uint64_t max_records_in, std::uint64_t max_opening_in)
      : max_records(max_records_in),
        max_opening(max_opening_in),
        memory(max_records_in * kReservedBytesPerRecord + kReservedBytes) {}

  // Address space reserved per record, which costs nothing until it is used.
  // Sized for a record at the lowest load factor, with room for a table that is
  // being resized.
  static constexpr std::size_t kReservedBytesPerRecord = 96;
  static constexpr std::size_t kReservedBytes = std::size_t{4} << 20;

  const std::uint64_t max_records;
  const std::uint64_t max_opening;
  FlowMemory memory;
  std::atomic<std::uint64_t> records{0};
  std::atomic<std::uint64_t> opening{0};
  std::atomic<std::uint64_t> bytes{0};
};

// The location of a table's slots, readable without a lock. The pointer may be
// stale, so it must only be used for prefetching.
class FlowTableHint {
 public:
  // Prefetches the slots where a record with this hash is expected.
  void Prefetch(std::uint32_t hash) const {
    constexpr std::size_t kCacheLineBytes = 64;
    // Three cache lines hold four records of 48 bytes if the first record
    // starts a line, and three whole ones otherwise. Few searches probe further
    // than four records.
    constexpr std::size_t kLines = 3;
    const FlowRecord* slots = m_slots.load(std::memory_order_relaxed);
    const std::uint64_t home_slots =
        m_home_slots.load(std::memory_order_relaxed);
    const auto* home = reinterpret_cast<const char*>(
        slots + (std::uint64_t{hash} * home_slots >> 32));
    for (std::size_t line = 0; line < kLines; ++line) {
      __builtin_prefetch(home + line * kCacheLineBytes, 1);
    }
  }
  void Set(const FlowRecord* slots, std::size_t home_slots) {
    m_slots.store(slots, std::memory_order_relaxed);
    m_home_slots.store(home_slots, std::memory_order_relaxed);
  }

 private:
  std::atomic<const FlowRecord*> m_slots{nullptr};
  std::atomic<std::uint64_t> m_home_slots{0};
};

class FlowTable {
 public:
  FlowTable(FlowBudget* budget, FlowTableHint* hint)
      : m_budget(budget),
        m_hint(hint),
        m_slots(FlowAllocator<FlowRecord>(&budget->memory)) {}
  ~FlowTable() { Clear(); }
  FlowTable(const FlowTable&) = delete;
  FlowTable& operator=(const FlowTable&) = delete;

  // Returns null if there is no such record. Pointers are valid until the next
  // modification.
  FlowRecord* Find(std::uint32_t hash, const Endpoint& caller);
  // Adds `record`, which must not be present. Returns null if the budget is
  // exhausted. Opening flows may use only their share of the budget; beyond it,
  // a new one must evict one last seen at or before `evictable_before_ms`.
  FlowRecord* Insert(const FlowRecord& record,
                     std::uint32_t evictable_before_ms);
  void SetState(FlowRecord* record, FlowState state);
  // Removes every record for which `remove` returns true. `remove` may modify
  // records, except for their key and state.
  void RemoveIf(const std::function<bool(FlowRecord*)>& remove);
  // Calls `visit` for records in order of hash, starting at `hash`, until it
  // returns false.
  void VisitFrom(std::uint32_t hash,
                 const std::function<bool(const FlowRecord&)>& visit) const;
  void Clear();

  std::size_t size() const { return m_size; }

 private:
  using Slots = std::vector<FlowRecord, FlowAllocator<FlowRecord>>;

  std::size_t HomeOf(std::uint32_t hash) const {
    return static_cast<std::size_t>((std::uint64_t{hash} * m_home_slots) >> 32);
  }
  bool MakeRoomForOpening(std::uint32_t hash,
                          std::uint32_t evictable_before_ms);
  void Rebuild(std::size_t home_slots);
  // Returns null if the run of records reaches the last slot.
  FlowRecord* TryPlace(const FlowRecord& record);
  void EraseAt(std::size_t index);
  void PublishHint();

  FlowBudget* m_budget;
  FlowTableHint* m_hint;
  Slots m_slots;
  // Slots that are the home of a hash; spare slots follow.
  std::size_t m_home_slots = 0;
  std::size_t m_size = 0;
};

}  // namespace sardinelead

#endif  // SARDINELEAD_SRC_FLOW_TABLE_H_
