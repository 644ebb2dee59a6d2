#ifndef SARDINELEAD_SRC_RATE_METER_H_
#define SARDINELEAD_SRC_RATE_METER_H_

// A lock-free rate limiter shared by many threads.
//
// Implements the generic cell rate algorithm (GCRA): the meter stores the
// theoretical arrival time of the next event. Each event advances it by one
// interval. An event is refused if that would move it ahead of the present by
// more than the burst tolerance, or by more than one interval if that is
// longer.

#include <algorithm>
#include <atomic>
#include <cstdint>

#include "sardinelead/types.h"

namespace sardinelead {

class RateMeter {
 public:
  static constexpr Duration kBurst = std::chrono::milliseconds(250);
  static constexpr Duration kMaxDebt = std::chrono::seconds(1);

  // Returns whether one more event at `now` conforms to the rate `per_second`,
  // and counts it if so. A rate of 0 means no limit.
  bool Allow(double per_second, TimePoint now) {
    if (per_second <= 0) return true;
    const auto interval = static_cast<std::int64_t>(1e9 / per_second);
    const std::int64_t now_ns = now.time_since_epoch().count();
    const std::int64_t latest = now_ns + std::max(kBurst.count(), interval);
    std::int64_t arrival =
        m_theoretical_arrival.load(std::memory_order_relaxed);
    while (true) {
      const std::int64_t next = std::max(arrival, now_ns) + interval;
      if (next > latest) return false;
      if (m_theoretical_arrival.compare_exchange_weak(
              arrival, next, std::memory_order_relaxed)) {
        return true;
      }
    }
  }

  // Counts an event that another meter allowed, even beyond the burst, up to
  // kMaxDebt ahead.
  void Charge(double per_second, TimePoint now) {
    if (per_second <= 0) return;
    const auto interval = static_cast<std::int64_t>(1e9 / per_second);
    const std::int64_t now_ns = now.time_since_epoch().count();
    std::int64_t arrival =
        m_theoretical_arrival.load(std::memory_order_relaxed);
    std::int64_t next = 0;
    do {
      next = std::min(std::max(arrival, now_ns) + interval,
                      now_ns + kMaxDebt.count());
    } while (!m_theoretical_arrival.compare_exchange_weak(
        arrival, next, std::memory_order_relaxed));
  }

 private:
  std::atomic<std::int64_t> m_theoretical_arrival{0};
};

}  // namespace sardinelead

#endif  // SARDINELEAD_SRC_RATE_METER_H_
