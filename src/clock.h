#ifndef SARDINELEAD_SRC_CLOCK_H_
#define SARDINELEAD_SRC_CLOCK_H_

// The machine's clocks as the library's types, for what is not sans-I/O.

#include <cstdint>

#include "sardinelead/types.h"

namespace sardinelead {

// The monotonic clock as the library's time.
TimePoint SteadyNow();

// The number of a start of this process, from the time of day in microseconds.
// Later starts have greater ones as long as the clock does not go back.
Incarnation ClockIncarnation();

// Whole milliseconds, towards zero.
std::int64_t Milliseconds(Duration duration);

}  // namespace sardinelead

#endif  // SARDINELEAD_SRC_CLOCK_H_
