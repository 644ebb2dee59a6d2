#ifndef SARDINELEAD_SRC_STALL_GUARD_H_
#define SARDINELEAD_SRC_STALL_GUARD_H_

// Detects that this process did not run for a while, for example because it was
// stopped or its VM was suspended. What it reads shortly afterwards may have
// waited for as long, so its age is unknown.
//
//   StallGuard guard(StallGuardSettings{}, clocks);
//   guard.Observe(clocks);                            // At each tick.
//   if (guard.IsAgeUnknown(clocks)) return refused;   // For what is read now.
//
// The steady clock does not advance while the VM is suspended, so a
// second clock is read. Sans-I/O; not thread-safe.

#include <cstdint>

#include "sardinelead/types.h"

namespace sardinelead {

struct StallGuardSettings {
  // A longer or equal gap between two observations is a stall. Must exceed the
  // interval of the ticks.
  Duration min_stall = std::chrono::milliseconds(500);
  // For this long after a stall, the age of what is read is unknown.
  Duration hold = std::chrono::milliseconds(50);
};

struct ClockReadings {
  TimePoint steady;
  TimePoint boot;  // Also advances while the VM is suspended.
};

class StallGuard {
 public:
  StallGuard(StallGuardSettings settings, const ClockReadings& now)
      : m_settings(settings), m_last(now), m_held_until(now.steady) {}

  void Observe(const ClockReadings& now);
  // Whether something read now may have waited during a stall.
  bool IsAgeUnknown(const ClockReadings& now);
  // Number of stalls so far; a higher number than before means that one
  // occurred since.
  std::uint64_t CountStalls(const ClockReadings& now);

 private:
  StallGuardSettings m_settings;
  ClockReadings m_last;
  TimePoint m_held_until;
  std::uint64_t m_stalls = 0;
};

}  // namespace sardinelead

#endif  // SARDINELEAD_SRC_STALL_GUARD_H_
