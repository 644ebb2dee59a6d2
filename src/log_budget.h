#ifndef SARDINELEAD_SRC_LOG_BUDGET_H_
#define SARDINELEAD_SRC_LOG_BUDGET_H_

// Rate limit for log lines. Each event has its own token bucket, so a flood of
// one event does not suppress lines of other events and the cost of logging is
// bounded.

#include <cstdint>
#include <string>
#include <unordered_map>

#include "sardinelead/types.h"

namespace sardinelead {

struct LogRateLimitSettings {
  double lines_per_second = 10;  // Per event.
  double burst = 40;
};

class LogRateLimiter {
 public:
  explicit LogRateLimiter(const LogRateLimitSettings& settings)
      : m_settings(settings) {}

  // Returns whether a line of `event` may be written now. If not, counts the
  // line as dropped.
  bool Take(const std::string& event, TimePoint now);
  // Counts a line as dropped that Take() allowed but that could not be written.
  void CountDropped(const std::string& event);
  // Returns the number of dropped lines of `event` since the last call.
  std::uint64_t TakeDroppedCount(const std::string& event);

 private:
  struct Bucket {
    double tokens = 0;
    TimePoint refilled_at;
    std::uint64_t dropped = 0;
  };

  LogRateLimitSettings m_settings;
  std::unordered_map<std::string, Bucket> m_buckets;
};

}  // namespace sardinelead

#endif  // SARDINELEAD_SRC_LOG_BUDGET_H_
