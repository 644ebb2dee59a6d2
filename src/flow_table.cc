#include "flow_table.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace sardinelead {
namespace {

constexpr std::size_t kMinHomeSlots = 16;
constexpr std::size_t kMaxLoadPercent = 85;
constexpr std::size_t kMinLoadPercent = 40;
constexpr std::size_t kRebuiltLoadPercent = 74;
// Number of slots searched for an opening flow to evict.
constexpr std::size_t kEvictionScanSlots = 32;

bool IsOpening(const FlowRecord& record) {
  return record.state == FlowState::kOpening;
}

}  // namespace

FlowRecord* FlowTable::Find(std::uint32_t hash, const Endpoint& caller) {
  if (m_size == 0) return nullptr;
  for (std::size_t i = HomeOf(hash); i < m_slots.size(); ++i) {
    FlowRecord& slot = m_slots[i];
    if (slot.state == FlowState::kEmpty || slot.hash > hash) return nullptr;
    if (slot.hash < hash || slot.caller_port != caller.port) continue;
    if (slot.caller == caller.address) return &slot;
  }
  return nullptr;
}

FlowRecord* FlowTable::Insert(const FlowRecord& record,
                              std::uint32_t evictable_before_ms) {
  if (IsOpening(record) &&
      m_budget->opening.load(std::memory_order_relaxed) >=
          m_budget->max_opening &&
      !MakeRoomForOpening(record.hash, evictable_before_ms)) {
    return nullptr;
  }
  if (m_budget->records.load(std::memory_order_relaxed) >=
      m_budget->max_records) {
    return nullptr;
  }
  const bool is_full = m_size * 100 >= m_home_slots * kMaxLoadPercent;
  if (is_full) {
    Rebuild(std::max(kMinHomeSlots, (m_size + 1) * 100 / kRebuiltLoadPercent));
  }
  FlowRecord* placed = TryPlace(record);
  while (placed == nullptr) {
    Rebuild(m_home_slots + m_home_slots / 8 + 8);
    placed = TryPlace(record);
  }
  m_budget->records.fetch_add(1, std::memory_order_relaxed);
  if (IsOpening(record)) {
    m_budget->opening.fetch_add(1, std::memory_order_relaxed);
  }
  return placed;
}

FlowRecord* FlowTable::TryPlace(const FlowRecord& record) {
  std::size_t at = HomeOf(record.hash);
  while (at < m_slots.size() && m_slots[at].state != FlowState::kEmpty &&
         m_slots[at].hash <= record.hash) {
    ++at;
  }
  std::size_t free = at;
  while (free < m_slots.size() && m_slots[free].state != FlowState::kEmpty) {
    ++free;
  }
  if (free == m_slots.size()) return nullptr;
  std::move_backward(m_slots.begin() + at, m_slots.begin() + free,
                     m_slots.begin() + free + 1);
  m_slots[at] = record;
  ++m_size;
  return &m_slots[at];
}

bool FlowTable::MakeRoomForOpening(std::uint32_t hash,
                                   std::uint32_t evictable_before_ms) {
  const std::size_t home = m_slots.empty() ? 0 : HomeOf(hash);
  const std::size_t end = std::min(m_slots.size(), home + kEvictionScanSlots);
  for (std::size_t i = home; i < end; ++i) {
    if (!IsOpening(m_slots[i])) continue;
    const auto age =
        static_cast<std::int32_t>(evictable_before_ms - m_slots[i].seen_ms);
    if (age < 0) continue;
    EraseAt(i);
    return true;
  }
  return false;
}

void FlowTable::SetState(FlowRecord* record, FlowState state) {
  if (record->state == state) return;
  assert(state != FlowState::kEmpty);
  if (IsOpening(*record)) m_budget->opening.fetch_sub(1);
  record->state = state;
  if (IsOpening(*record)) m_budget->opening.fetch_add(1);
}

void FlowTable::EraseAt(std::size_t index) {
  m_budget->records.fetch_sub(1, std::memory_order_relaxed);
  if (IsOpening(m_slots[index])) {
    m_budget->opening.fetch_sub(1, std::memory_order_relaxed);
  }
  std::size_t next = index + 1;
  while (next < m_slots.size() && m_slots[next].state != FlowState::kEmpty &&
         HomeOf(m_slots[next].hash) < next) {
    m_slots[next - 1] = m_slots[next];
    ++next;
  }
  m_slots[next - 1] = FlowRecord();
  --m_size;
}

void FlowTable::RemoveIf(const std::function<bool(FlowRecord*)>& remove) {
  for (std::size_t i = 0; i < m_slots.size();) {
    const bool is_empty = m_slots[i].state == FlowState::kEmpty;
    if (!is_empty && remove(&m_slots[i])) {
      EraseAt(i);
      continue;
    }
    ++i;
  }
  const bool is_sparse = m_size * 100 < m_home_slots * kMinLoadPercent;
  if (!is_sparse || m_home_slots <= kMinHomeSlots) return;
  Rebuild(std::max(kMinHomeSlots, m_size * 100 / kRebuiltLoadPercent));
}

void FlowTable::VisitFrom(
    std::uint32_t hash,
    const std::function<bool(const FlowRecord&)>& visit) const {
  const std::size_t home = m_slots.empty() ? 0 : HomeOf(hash);
  for (std::size_t i = home; i < m_slots.size(); ++i) {
    const FlowRecord& slot = m_slots[i];
    if (slot.state == FlowState::kEmpty || slot.hash < hash) continue;
    if (!visit(slot)) return;
  }
}

void FlowTable::Rebuild(std::size_t home_slots) {
  constexpr std::size_t kSpareSlots = 8;
  const Slots old = std::move(m_slots);
  m_budget->bytes.fetch_sub(old.size() * sizeof(FlowRecord));
  m_home_slots = home_slots;
  m_slots =
      Slots(home_slots + home_slots / 64 + kSpareSlots, old.get_allocator());
  m_budget->bytes.fetch_add(m_slots.size() * sizeof(FlowRecord));
  m_size = 0;
  for (const FlowRecord& record : old) {
    if (record.state == FlowState::kEmpty) continue;
    const FlowRecord* placed = TryPlace(record);
    // The spare slots overflow only with many equal hashes.
    while (placed == nullptr) {
      m_slots.resize(m_slots.size() + kSpareSlots);
      m_budget->bytes.fetch_add(kSpareSlots * sizeof(FlowRecord));
      placed = TryPlace(record);
    }
  }
  PublishHint();
}

void FlowTable::PublishHint() { m_hint->Set(m_slots.data(), m_home_slots); }

void FlowTable::Clear() {
  for (const FlowRecord& slot : m_slots) {
    if (slot.state == FlowState::kEmpty) continue;
    m_budget->records.fetch_sub(1);
    if (IsOpening(slot)) m_budget->opening.fetch_sub(1);
  }
  m_budget->bytes.fetch_sub(m_slots.size() * sizeof(FlowRecord));
  m_slots = Slots(m_slots.get_allocator());
  m_home_slots = 0;
  m_size = 0;
  PublishHint();
}

}  // namespace sardinelead
