#ifndef SARDINELEAD_SRC_SILENT_FLOW_H_
#define SARDINELEAD_SRC_SILENT_FLOW_H_

// Distinguishes silent flows, whose data is not acknowledged, from idle ones.
//
// A caller that gets no acknowledgment retransmits the same segment. The flow
// record stores the sequence number of the caller's last segment with data and
// the number of consecutive retransmissions. An idle flow sends nothing, or
// probes without data; neither counts. If other flows of the same target make
// progress, the fault is in this flow alone, and a shorter delay applies.

#include <array>
#include <atomic>

#include "flow_table.h"
#include "sardinelead/flow_director.h"

namespace sardinelead {

enum class SilenceStatus : std::uint8_t { kNone, kDetected, kOngoing };

// The time, in seconds, at which this node last saw any flow of each target
// make progress. Targets share slots by id modulo the table size; a collision
// can only cause the shorter of the two delays to be used.
class TargetProgress {
 public:
  void RecordProgress(TargetId target, TimePoint now) {
    std::atomic<std::uint16_t>& slot = m_seconds[SlotOf(target)];
    const std::uint16_t second = ToSeconds(now);
    if (slot.load(std::memory_order_relaxed) == second) return;
    slot.store(second, std::memory_order_relaxed);
  }
  bool HasRecentProgress(TargetId target, TimePoint now) const {
    constexpr std::uint16_t kRecentS = 3;
    const std::uint16_t last =
        m_seconds[SlotOf(target)].load(std::memory_order_relaxed);
    return static_cast<std::uint16_t>(ToSeconds(now) - last) <= kRecentS;
  }

 private:
  static constexpr std::size_t kSlots = 4096;
  static std::size_t SlotOf(TargetId target) { return target.value % kSlots; }

  std::array<std::atomic<std::uint16_t>, kSlots> m_seconds{};
};

// Updates `record` with `packet` and returns whether the flow is silent.
SilenceStatus RecordSegment(const FlowDirectorSettings& settings,
                            const PacketInfo& packet, TimePoint now,
                            TargetProgress* progress, FlowRecord* record);
// Updates `record` when the flow's target has answered.
void RecordAnswer(FlowRecord* record);

}  // namespace sardinelead

#endif  // SARDINELEAD_SRC_SILENT_FLOW_H_
