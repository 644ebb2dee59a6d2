#ifndef SARDINELEAD_SRC_CLOCK_H_
#define SARDINELEAD_SRC_CLOCK_H_

// System clocks as the library's time types, for code that performs I/O. The
// sans-I/O code is passed the time instead.

#include <cstdint>

#include "sardinelead/types.h"

namespace sardinelead {

// Returns the time of the monotonic clock.
TimePoint SteadyNow();

// Returns the time since the VM started, including time when it was suspended.
TimePoint BootNow();

// Returns an incarnation number for this process start: the wall-clock time in
// microseconds. It increases with every restart unless the clock is set back.
Incarnation ClockIncarnation();

// Converts to whole milliseconds, rounding towards zero.
std::int64_t Milliseconds(Duration duration);

}  // namespace sardinelead

#endif  // SARDINELEAD_SRC_CLOCK_H_
