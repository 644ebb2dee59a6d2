#include "stall_guard.h"

namespace sardinelead {

void StallGuard::Observe(const ClockReadings& now) {
  const bool was_stalled = now.steady - m_last.steady >= m_settings.min_stall ||
                           now.boot - m_last.boot >= m_settings.min_stall;
  m_last = now;
  if (!was_stalled) return;
  ++m_stalls;
  m_held_until = now.steady + m_settings.hold;
}

bool StallGuard::IsAgeUnknown(const ClockReadings& now) {
  Observe(now);
  return now.steady < m_held_until;
}

std::uint64_t StallGuard::CountStalls(const ClockReadings& now) {
  Observe(now);
  return m_stalls;
}

}  // namespace sardinelead
