#ifndef SARDINELEAD_SRC_LINK_UNITS_H_
#define SARDINELEAD_SRC_LINK_UNITS_H_

// Conversions between bytes, rates and times, for the code that paces a link.

#include "sardinelead/types.h"

namespace sardinelead {

inline double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

// The time in which a link of this rate, which must not be 0, carries `bytes`.
inline Duration TransferTime(double bytes, double bytes_per_second) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(bytes / bytes_per_second));
}

}  // namespace sardinelead

#endif  // SARDINELEAD_SRC_LINK_UNITS_H_
